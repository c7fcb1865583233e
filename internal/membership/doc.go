// Package membership implements the membership protocol between balancers and
// agents. Agents send heartbeats to the balancers that observe them; balancers
// disseminate changes by gossip and repair what it missed by anti-entropy.
//
// The package does no I/O, starts no goroutines and reads no clock: callers pass
// received messages and the current time and send the messages it returns.
package membership
