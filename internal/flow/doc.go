// Package flow decides where a datagram of a flow goes.
//
// The owner of a flow is written into the QUIC connection IDs that the owner
// chooses, so a balancer needs the key ring and the datagram, and no table of
// flows, to route a flow that exists. New flows are placed by weighted
// rendezvous hashing over the ready targets of the service.
//
// The package does no I/O, starts no goroutines and reads no clock.
package flow
