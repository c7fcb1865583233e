package membership

import (
	"time"

	"skylarkturn/internal/control"
	"skylarkturn/internal/packet"
	"skylarkturn/internal/roster"
)

// A configuration is to be in force on all balancers 3 s after the store has
// taken it, also where a watch has gone deaf. One balancer therefore asks the
// store every checkEvery and tells the others with its gossip; one that has not
// heard of a check for longer asks in its place.
const (
	checkEvery  = 1500 * time.Millisecond
	checkAfter  = 2000 * time.Millisecond
	checkSpread = 400 * time.Millisecond // between the first of them and the last
)

// confirmation is the newest known check of the configuration against the store.
// Its number is higher than those that the balancer that made it knew of, so that
// news of a check on its way between balancers is never taken for a later one.
type confirmation struct {
	number uint64
	at     time.Time
	here   bool // this balancer has made it, and goes on
}

// Confirm notes that the store has just confirmed the configuration in force, by
// a check or otherwise.
func (b *Balancer) Confirm(now time.Time, check bool) {
	b.confirmed = confirmation{b.confirmed.number + 1, now, check}
}

// CheckAt returns when this balancer is to check its configuration against the
// store, unless it hears before that another one has.
func (b *Balancer) CheckAt() time.Time {
	if b.confirmed.at.IsZero() {
		return b.started.Add(checkAfter) // a configuration is being fetched
	}
	if b.confirmed.here || b.Alone() {
		return b.confirmed.at.Add(checkEvery)
	}
	share := float64(uint32(packet.EndpointOf(b.me.Addr).Hash())) / (1 << 32)
	return b.confirmed.at.Add(checkAfter + time.Duration(share*float64(checkSpread)))
}

// OldestHeartbeat returns the age of the oldest newest heartbeat among the agents
// that are taken to be up.
func (b *Balancer) OldestHeartbeat(now time.Time) (age time.Duration) {
	for _, m := range b.members.Members(func(m *roster.Member) bool { return m.Role == roster.Agent && roster.Live(m) }) {
		if heard := b.members.Heartbeat(m.Addr); !heard.IsZero() {
			age = max(age, now.Sub(heard))
		}
	}
	return age
}

// CheckedAgo returns the time since the newest check that is known of; ok is
// false when there was none.
func (b *Balancer) CheckedAgo(now time.Time) (ago time.Duration, ok bool) {
	return now.Sub(b.confirmed.at), !b.confirmed.at.IsZero()
}

// Returns the milliseconds since the newest check, 0 when there was none.
func (b *Balancer) checkedAgo(now time.Time) uint32 {
	ago, ok := b.CheckedAgo(now)
	if !ok {
		return 0
	}
	return uint32(max(ago.Milliseconds(), 1))
}

// Takes over a check that a balancer with the same configuration knows of.
func (b *Balancer) hearCheck(now time.Time, m *control.Message) {
	if m.Version != b.version {
		return
	}
	if m.Check <= b.confirmed.number {
		rival := m.Checker && m.Check == b.confirmed.number
		b.confirmed.here = b.confirmed.here && !(rival && m.From.Addr.Compare(b.me.Addr) < 0)
		return
	}
	b.confirmed = confirmation{m.Check, now.Add(-time.Duration(m.CheckedAgo) * time.Millisecond), false}
}
