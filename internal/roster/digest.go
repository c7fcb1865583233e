package roster

import (
	"net/netip"
	"slices"

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

// Differing returns the indexes of up to n buckets, chosen at random, whose hash
// differs from the given ones.
func (r *Roster) Differing(buckets []uint64, n int) []int {
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

// Hashes returns the hashes of the records in a bucket.
func (r *Roster) Hashes(bucket int) []uint64 {
	hashes := []uint64{}
	for _, m := range r.inBucket(bucket) {
		hashes = append(hashes, m.hash())
	}
	return hashes
}

// Missing returns the records of a bucket that are not among the hashes.
func (r *Roster) Missing(bucket int, hashes []uint64) []Member {
	have := make(map[uint64]bool, len(hashes))
	for _, h := range hashes {
		have[h] = true
	}
	return slices.DeleteFunc(r.inBucket(bucket), func(m Member) bool { return have[m.hash()] })
}

func (r *Roster) inBucket(bucket int) []Member {
	return r.Members(func(m *Member) bool { return bucketOf(m.Addr) == bucket })
}

// AddrHash returns a hash of an IPv4 address and port that is the same on every
// daemon.
func AddrHash(a netip.AddrPort) uint64 {
	a4 := a.Addr().As4()
	p := a.Port()
	return xxh3.Hash([]byte{a4[0], a4[1], a4[2], a4[3], byte(p >> 8), byte(p)})
}

func bucketOf(a netip.AddrPort) int { return int(AddrHash(a) % BucketCount) }
