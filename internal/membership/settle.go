package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"skylarkturn/internal/control"
	"skylarkturn/internal/roster"
)

// SetRegisteredAgents sets the agents listed in the registry. The balancer waits
// for them before it is settled. If the list is not complete, it proves nothing about
// other agents.
func (b *Balancer) SetRegisteredAgents(agents []netip.AddrPort, complete bool) {
	b.registryRead = complete
	b.registeredCount = len(agents)
	b.missingAgents = make(map[netip.AddrPort]bool)
	for _, a := range agents {
		b.missingAgents[a] = true
	}
}

// peerStates records which states other balancers have announced in gossip.
type peerStates struct {
	unsettled bool // at least one was unsettled
	settled   bool // at least one was settled
}

// Settled reports whether the balancer knows all members.
//
// A settled peer with the same digest proves this. After a power loss there is no
// such peer; then this balancer or another one must have received a heartbeat from
// every registered agent. Timeouts apply if the registry cannot be read or may be
// incomplete, and to registered agents that ended without deregistering. The timeout for these is
// longer if no other balancer is known or most registered agents are missing,
// because the cause may be a partition.
func (b *Balancer) Settled(now time.Time) bool {
	if b.settled {
		return true
	}
	for a := range b.missingAgents {
		if _, known := b.members.Get(a); known {
			delete(b.missingAgents, a)
		}
	}
	age := now.Sub(b.startedAt)
	switch {
	case b.registryRead && len(b.missingAgents) == 0:
		b.settled = age >= minSettleTime || b.peers.unsettled && !b.peers.settled
	case b.registryRead && (b.Alone() || 2*len(b.missingAgents) > b.registeredCount):
		b.settled = age >= partitionSettleTimeout
	case b.registryRead:
		b.settled = age >= missingAgentSettleTimeout
	default:
		b.settled = age >= noRegistrySettleTimeout
	}
	return b.settled
}

// NeedsDiscovery reports whether the balancer is to look up other balancers in
// the registry: it knows none, or it is not settled and the peers that it knows
// may be unsettled too.
func (b *Balancer) NeedsDiscovery(now time.Time) bool { return b.Alone() || !b.Settled(now) }

// Isolated reports whether the balancer has stopped receiving heartbeats from all
// agents. The cause is then more likely a partition than a failure of all agents.
func (b *Balancer) Isolated(now time.Time) bool {
	return !b.lastAgentHeartbeat.IsZero() && now.Sub(b.lastAgentHeartbeat) >= isolationTimeout
}

// MissingAgents returns the registered agents that are not known as members,
// sorted by address.
func (b *Balancer) MissingAgents() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(b.missingAgents), netip.AddrPort.Compare)
}

// AgentsToDeregister returns the names of agents that have left permanently and
// that this balancer, as their first observer, is to remove from the registry.
// Agents deregister on shutdown, but may fail to.
func (b *Balancer) AgentsToDeregister() (names []string) {
	left := b.members.Members(func(m *roster.Member) bool { return m.Role == roster.Agent && m.State == roster.Left })
	for _, m := range left {
		observers := b.members.Observers(m.Service, Timing.Observers)
		if len(observers) > 0 && observers[0].Addr == b.self.Addr && b.deregistered[m.Addr] != m.Incarnation {
			names = append(names, m.Name)
		}
	}
	return names
}

// MarkDeregistered records that an agent returned by AgentsToDeregister has been
// removed from the registry.
func (b *Balancer) MarkDeregistered(name string) {
	for _, m := range b.members.Members(func(m *roster.Member) bool { return m.Name == name && m.State == roster.Left }) {
		b.deregistered[m.Addr] = m.Incarnation
	}
}

// updatePeerStates records the state announced in gossip. A settled peer with an
// equal digest makes this balancer settled.
func (b *Balancer) updatePeerStates(m *control.Message) {
	if !m.Settled {
		b.peers.unsettled = true
		return
	}
	b.peers.settled = true
	if m.Digest == b.members.Digest() {
		b.settled = true
	}
}
