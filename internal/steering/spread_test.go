package steering

import (
	"math"
	"testing"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/packet"
)

// TestRankingSpreadsFlowsEvenly checks that targets are candidates for equal
// numbers of flows. A count more than five standard deviations from the mean
// would not be random variation.
func TestRankingSpreadsFlowsEvenly(t *testing.T) {
	const (
		targets = 50
		flows   = 100_000
	)
	g := &targetGroup{}
	counts := make(map[*target]int)
	for i := range targets {
		a := packet.Endpoint{IP: 0x0a000000 + uint32(i), Port: 7400}.AddrPort()
		g.add(&target{Target: Target{Agent: a}, hash: agentHash(a)})
	}
	for i := range flows {
		k := packet.Key{Client: packet.Endpoint{IP: 0x64400000 + uint32(i/1000), Port: uint16(1024 + i%1000)}, Route: packet.Endpoint{IP: 0xc6120001, Port: 443}}
		r := g.rank(k.Hash(), func(*target) bool { return true })
		for _, n := range r.targets[:r.n] {
			counts[n]++
		}
	}
	const mean = flows * maxCandidates / targets
	for n, c := range counts {
		qt.Check(t, qt.IsTrue(math.Abs(float64(c-mean)) < 5*math.Sqrt(mean)), qt.Commentf("%v: %d, mean %d", n.Agent, c, mean))
	}
	qt.Check(t, qt.HasLen(counts, targets))
}
