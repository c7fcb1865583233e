// Package balancer implements the daemon of an entry VM. It forwards datagrams
// from the network fabric to agents and their answers back to the callers without
// keeping per-flow state, maintains the membership, and distributes the confirmed
// configuration.
//
// Locking: Balancer.mu guards the roster, the catalog and the queues of pending
// gossip. No other lock is acquired and no remote call is made while it is held.
// The data path reads the routing table through an atomic pointer and acquires no
// lock.
package balancer
