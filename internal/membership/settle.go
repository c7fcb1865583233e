package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"skylarkturn/internal/control"
	"skylarkturn/internal/roster"
)

// Expect takes the agents that the registry lists.
func (b *Balancer) Expect(agents []netip.AddrPort) {
	b.told = true
	b.listed = len(agents)
	b.expected = make(map[netip.AddrPort]bool)
	for _, a := range agents {
		b.expected[a] = true
	}
}

// peerViews notes what other balancers have said of their own views.
type peerViews struct {
	unsettled bool // one does not know all members
	settled   bool // one knows all members
}

// Settled reports whether the members known are all there are. A balancer that
// is settled and knows the same members says so for certain. After a loss of all
// power there is none; then every agent of the registry must have been heard of,
// by this balancer or by another one. Time has to do without the registry, and for
// agents in it that ended without a word: longer where no other balancer is heard,
// or most agents are not, since a partition may lie between.
func (b *Balancer) Settled(now time.Time) bool {
	if b.settled {
		return true
	}
	for a := range b.expected {
		if _, known := b.members.Get(a); known {
			delete(b.expected, a)
		}
	}
	age := now.Sub(b.started)
	switch {
	case b.told && len(b.expected) == 0:
		b.settled = age >= registryAfter || b.peers.unsettled && !b.peers.settled
	case b.told && (b.Alone() || 2*len(b.expected) > b.listed):
		b.settled = age >= expectFor
	case b.told:
		b.settled = age >= unheardFor
	default:
		b.settled = age >= settleAfter
	}
	return b.settled
}

// Seeking reports whether the balancer is to look for others in the registry: it
// knows none, or only some that do not know all members either.
func (b *Balancer) Seeking(now time.Time) bool { return b.Alone() || !b.Settled(now) }

// Isolated reports whether the balancer has stopped hearing agents altogether, so
// that it is more likely cut off than all of them gone.
func (b *Balancer) Isolated(now time.Time) bool {
	return !b.heardAgent.IsZero() && now.Sub(b.heardAgent) >= isolatedAfter
}

// Unheard returns the agents of the registry that have not been heard of.
func (b *Balancer) Unheard() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(b.expected), netip.AddrPort.Compare)
}

// Departed returns the names of agents that have left for good and that this
// balancer, as the first of their observers, is to take out of the registry: an
// agent that ends may not get that done.
func (b *Balancer) Departed() (names []string) {
	left := b.members.Members(func(m *roster.Member) bool { return m.Role == roster.Agent && m.State == roster.Left })
	for _, m := range left {
		first := b.members.Observers(m.Service, Timing.Observers)
		if len(first) > 0 && first[0].Addr == b.me.Addr && b.forgotten[m.Addr] != m.Incarnation {
			names = append(names, m.Name)
		}
	}
	return names
}

// Forgotten notes that an agent that has left is out of the registry.
func (b *Balancer) Forgotten(name string) {
	for _, m := range b.members.Members(func(m *roster.Member) bool { return m.Name == name && m.State == roster.Left }) {
		b.forgotten[m.Addr] = m.Incarnation
	}
}

func (b *Balancer) hearView(m *control.Message) {
	if !m.Settled {
		b.peers.unsettled = true
		return
	}
	b.peers.settled = true
	if m.Digest == b.members.Digest() {
		b.settled = true
	}
}
