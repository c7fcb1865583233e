// Package flow routes the datagrams of QUIC flows to agents.
//
// An agent encrypts its own address into the QUIC connection IDs that it issues.
// A balancer therefore routes the datagrams of an existing flow with the key
// ring alone and keeps no per-flow state. New flows are placed by weighted
// rendezvous hashing over the ready targets of the service.
//
// The package does no I/O, starts no goroutines and reads no clock.
package flow
