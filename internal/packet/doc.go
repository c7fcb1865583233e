// Package packet holds the head of the packets that clients and hosts exchange
// in flows, as the daemons read it; how it is laid out on the wire is the
// adapter's matter.
package packet
