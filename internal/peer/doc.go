// Package peer carries the calls that daemons make to each other over gRPC:
// fetching configuration and members in bulk, and resolving requests. Messages
// are CBOR; both ends show certificates.
package peer
