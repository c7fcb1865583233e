// Package peer implements the gRPC calls between daemons: bulk fetches of the
// configuration and the members, and the resolution of requests. Messages are
// encoded as CBOR; connections use mutual TLS.
package peer
