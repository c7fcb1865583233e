package flow

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"
)

// Candidate is a target that new flows may be placed on.
type Candidate struct {
	Agent  netip.AddrPort
	Weight float64 // relative share; a target with weight 0 or less gets no flows
}

// Place returns the agent of the candidate with the highest weighted rendezvous
// score for the key; ok is false if no candidate has a positive weight.
func Place(key uint64, candidates []Candidate) (agent netip.AddrPort, ok bool) {
	best := math.Inf(-1)
	for i := range candidates {
		if s := score(key, &candidates[i]); s > best {
			best, agent, ok = s, candidates[i].Agent, true
		}
	}
	return agent, ok
}

// Rank returns the agents of the candidates in descending order of their
// weighted rendezvous score for the key.
func Rank(key uint64, candidates []Candidate) []netip.AddrPort {
	type scored struct {
		agent netip.AddrPort
		score float64
	}
	all := make([]scored, len(candidates))
	for i := range candidates {
		all[i] = scored{candidates[i].Agent, score(key, &candidates[i])}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	agents := make([]netip.AddrPort, len(all))
	for i, s := range all {
		agents[i] = s.agent
	}
	return agents
}

// PlacementKey returns the placement key of a new flow, the hash of the destination
// connection ID that the client chose.
func PlacementKey(dcid []byte) uint64 { return xxh3.Hash(dcid) }

// score returns the weighted rendezvous score -weight/ln(u), where the hash u of
// key and candidate is uniform in (0, 1).
func score(key uint64, c *Candidate) float64 {
	if c.Weight <= 0 {
		return math.Inf(-1)
	}
	a4 := c.Agent.Addr().As4()
	h := Mix(key ^ Mix(uint64(binary.BigEndian.Uint32(a4[:]))<<16|uint64(c.Agent.Port())))
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -c.Weight / math.Log(u)
}

// Mix is the SplitMix64 output function, a 64-bit mixer in which each bit of x
// affects all bits of the result.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
