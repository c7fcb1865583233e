// Package balancer is the daemon of an entry VM. It routes the datagrams that
// the fabric gives it to agents and carries their answers back, without a table
// of flows; it tracks members and spreads the confirmed configuration.
//
// Lock order: Balancer.mu guards roster, catalog and what is still to be spread;
// no other lock is taken and no call made while it is held. The data path reads
// the routing table through an atomic pointer and takes no lock.
package balancer
