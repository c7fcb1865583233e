package balancer

import (
	"net/netip"
	"time"

	"skylarkturn/internal/flow"
	"skylarkturn/internal/roster"
)

const minRebuildInterval = 50 * time.Millisecond // between rebuilds on control messages

// rebuildTable rebuilds the routing table if the members, the catalog or the flow
// keys have changed. Suspect agents are candidates only in services that have no
// other. The caller must hold mu.
func (b *Balancer) rebuildTable() {
	if b.tableVersion == b.members.Version() && !b.tableStale {
		return
	}
	b.tableVersion, b.tableStale, b.tableBuiltAt = b.members.Version(), false, time.Now()
	services := make(map[uint16][]flow.Candidate)
	suspects := make(map[uint16][]flow.Candidate)
	incarnations := make(map[netip.AddrPort]uint32)
	for _, m := range b.members.Members(func(m *roster.Member) bool { return m.Role == roster.Agent }) {
		b.addCandidate(&m, services, suspects, incarnations)
	}
	for number, c := range suspects {
		if len(services[number]) == 0 {
			services[number] = c
		}
	}
	b.table.Store(flow.NewTable(b.credentials.FlowKeys(), services, incarnations))
	generations := make(map[uint16]uint32)
	for _, s := range b.catalog.All() {
		generations[s.Number] = s.Generation
	}
	b.tableGenerations.Store(&generations)
}

// addCandidate records the incarnation hash of the agent and, if the agent can take
// new flows, adds it to services or, if it is suspect, to suspects. The hash 0 marks an
// agent that has ended.
func (b *Balancer) addCandidate(m *roster.Member, services, suspects map[uint16][]flow.Candidate, incarnations map[netip.AddrPort]uint32) {
	incarnations[m.Addr] = flow.HashIncarnation(m.Incarnation)
	if m.State.Ended() {
		incarnations[m.Addr] = 0
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
