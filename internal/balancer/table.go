package balancer

import (
	"net/netip"
	"time"

	"skylarkturn/internal/flow"
	"skylarkturn/internal/roster"
)

const rebuildEvery = 50 * time.Millisecond // at the most, outside of ticks

// Rebuilds the routing table if what it is made of has changed; called with mu
// held.
func (b *Balancer) rebuild() {
	if b.built == b.members.Version() && !b.stale {
		return
	}
	b.built, b.stale, b.rebuilt = b.members.Version(), false, time.Now()
	services := make(map[uint16][]flow.Candidate)
	suspects := make(map[uint16][]flow.Candidate)
	current := make(map[netip.AddrPort]uint32)
	for _, m := range b.members.Members(func(m *roster.Member) bool { return m.Role == roster.Agent }) {
		b.addTarget(&m, services, suspects, current)
	}
	for number, c := range suspects {
		if len(services[number]) == 0 {
			services[number] = c
		}
	}
	b.table.Store(flow.NewTable(b.creds.Keys(), services, current))
	generations := make(map[uint16]uint32)
	for _, s := range b.catalog.All() {
		generations[s.Number] = s.Generation
	}
	b.generations.Store(&generations)
}

func (b *Balancer) addTarget(m *roster.Member, services, suspects map[uint16][]flow.Candidate, current map[netip.AddrPort]uint32) {
	current[m.Addr] = flow.HashIncarnation(m.Incarnation)
	if m.State.Ended() {
		current[m.Addr] = 0
	}
	share := 1.0
	if s, ok := b.catalog.Get(m.Service); ok {
		share, _ = s.Intent.Share(m.Name, m.Host, m.Zone)
	}
	c := flow.Candidate{Agent: m.Addr, Weight: share * float64(m.Warmth) / 100}
	if c.Weight <= 0 {
		return
	}
	switch m.State {
	case roster.Ready:
		services[m.Service] = append(services[m.Service], c)
	case roster.Suspect:
		suspects[m.Service] = append(suspects[m.Service], c)
	}
}
