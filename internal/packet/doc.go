// Package packet defines the header fields of the packets that clients and hosts
// exchange in flows, and the keys that identify flows. The platform adapter defines
// the layout on the wire.
package packet
