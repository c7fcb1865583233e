package roster

import (
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"
)

// Digest returns a hash over all records.
func (r *Roster) Digest() uint64 {
	var d uint64
	for i, b := range r.buckets {
		d ^= b * uint64(2*i+1)
	}
	return d
}

// Buckets returns the hash over the records of each bucket.
func (r *Roster) Buckets() []uint64 {
	b := r.buckets
	return b[:]
}

// DifferingBuckets returns the indexes of up to n randomly chosen buckets whose
// hashes differ from the given ones. It returns nil if buckets has the wrong
// length.
func (r *Roster) DifferingBuckets(buckets []uint64, n int) []int {
	if len(buckets) != BucketCount {
		return nil
	}
	var differing []int
	for i, b := range r.buckets {
		if b != buckets[i] {
			differing = append(differing, i)
		}
	}
	r.rand.Shuffle(len(differing), func(i, j int) { differing[i], differing[j] = differing[j], differing[i] })
	return differing[:min(n, len(differing))]
}

// BucketHashes returns the hashes of the records in a bucket.
func (r *Roster) BucketHashes(bucket int) []uint64 {
	hashes := []uint64{}
	for _, m := range r.bucketMembers(bucket) {
		hashes = append(hashes, m.hash())
	}
	return hashes
}

// MissingRecords returns the records of a bucket whose hashes are not in hashes.
func (r *Roster) MissingRecords(bucket int, hashes []uint64) []Member {
	have := make(map[uint64]bool, len(hashes))
	for _, h := range hashes {
		have[h] = true
	}
	return slices.DeleteFunc(r.bucketMembers(bucket), func(m Member) bool { return have[m.hash()] })
}

func (r *Roster) bucketMembers(bucket int) []Member {
	return r.Members(func(m *Member) bool { return bucketOf(m.Addr) == bucket })
}

// AddrHash returns a hash of an IPv4 address and port. The hash is unseeded, so
// all daemons compute the same value.
func AddrHash(a netip.AddrPort) uint64 {
	a4 := a.Addr().As4()
	p := a.Port()
	return xxh3.Hash([]byte{a4[0], a4[1], a4[2], a4[3], byte(p >> 8), byte(p)})
}

func bucketOf(a netip.AddrPort) int { return int(AddrHash(a) % BucketCount) }
