// Package roster implements the membership table of a region: the known
// balancers and agents with their incarnations and states.
//
// Each member publishes its own record. Incarnation and sequence number totally
// order the records of a member regardless of their source, so records may
// arrive late, duplicated or out of order. Changes are disseminated as deltas
// with a bounded number of transmissions; anti-entropy by digests over buckets
// of members detects and repairs what the deltas missed.
//
// The package does no I/O, starts no goroutines and reads no clock.
package roster
