// Package roster keeps the members of a region: which balancers and agents
// are here, in which incarnation and state.
//
// Members announce themselves. Incarnation and sequence numbers order what is
// said of a member, whoever says it, so records may arrive late, twice or out
// of order. Changes spread as deltas with a bounded number of transmissions;
// digests over buckets of members find and repair what deltas missed.
//
// The package does no I/O, starts no goroutines and reads no clock.
package roster
