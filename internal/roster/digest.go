package roster

import (
	"net/netip"

	"github.com/zeebo/xxh3"
)

// Digest returns one hash over all records.
func (r *Roster) Digest() uint64 {
	var d uint64
	for i, b := range r.buckets {
		d ^= b * uint64(2*i+1)
	}
	return d
}

// Buckets returns the hash of each bucket of records.
func (r *Roster) Buckets() []uint64 {
	b := r.buckets
	return b[:]
}

// Differing returns the records in the buckets whose hash differs from the
// given ones, at most n.
func (r *Roster) Differing(buckets []uint64, n int) []Member {
	if len(buckets) != BucketCount {
		return nil
	}
	found := r.Members(func(m *Member) bool {
		i := bucketOf(m.Addr)
		return buckets[i] != r.buckets[i]
	})
	r.rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(n, len(found))]
}

func bucketOf(a netip.AddrPort) int {
	a4 := a.Addr().As4()
	p := a.Port()
	return int(xxh3.Hash([]byte{a4[0], a4[1], a4[2], a4[3], byte(p >> 8), byte(p)}) % BucketCount)
}
