package entry

import (
	"context"
	"net/netip"
	"time"

	"skylarkturn/internal/membership"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/steering"
)

const (
	lookupTick = 50 * time.Millisecond // between ticks while owners are looked up
	fullWarmth = 100                   // percent
)

// Drives what depends on time.
func (b *Balancer) keepTime(ctx context.Context) error {
	var ticked time.Time
	for ctx.Err() == nil {
		now := time.Now()
		members := now.Sub(ticked) >= membership.TickEvery
		if members {
			ticked = now
		}
		sleep(ctx, b.tick(now, members))
	}
	return nil
}

// Does what is due, and returns the time until the next tick.
func (b *Balancer) tick(now time.Time, members bool) time.Duration {
	var out []membership.Outgoing
	b.mu.Lock()
	if members {
		out = b.members.Tick(now)
		b.steer.SetSettled(b.members.Settled(now))
		b.syncTargets()
	}
	actions := b.steer.Tick(now, nil)
	next := membership.TickEvery
	if b.steer.Lookups() > 0 {
		next = lookupTick
	}
	b.mu.Unlock()
	b.sendMessages(out)
	b.act(actions)
	return next
}

// Takes over what the members' heartbeats changed; called with mu held.
func (b *Balancer) syncTargets() {
	members := b.members.Members()
	if b.synced == members.Version() {
		return
	}
	b.synced = members.Version()
	for _, m := range members.Members(func(m *roster.Member) bool { return m.Role == roster.Agent }) {
		b.putTarget(&m, false)
	}
	var ended []netip.AddrPort
	b.steer.Targets(func(t steering.Target) {
		if m, ok := members.Get(t.Agent); !ok || m.State >= roster.Gone {
			ended = append(ended, t.Agent)
		}
	})
	for _, a := range ended {
		b.steer.Remove(a)
		b.log.Info().Str("event", "target_removed").Stringer("agent", a).Msg("")
	}
}

// Takes over an agent's heartbeat; called with mu held.
func (b *Balancer) refresh(agent netip.AddrPort) {
	if m, ok := b.members.Members().Get(agent); ok {
		b.putTarget(&m, true)
	}
}

func (b *Balancer) putTarget(m *roster.Member, fresh bool) {
	if m.State >= roster.Gone {
		return
	}
	t := steering.Target{
		Agent:   m.Addr,
		Service: m.Serves,
		Ready:   m.State == roster.Ready,
		Silent:  m.State == roster.Suspect,
		Weight:  float64(m.Slots) * float64(m.Warmth) / fullWarmth,
		Flows:   m.Sessions,
	}
	if b.steer.Put(t, fresh) {
		b.log.Info().Str("event", "target").Stringer("agent", m.Addr).Str("name", m.Name).
			Str("service", m.Serves).Stringer("state", m.State).Uint64("incarnation", m.Incarnation).Uint32("seq", m.Seq).Msg("")
	}
}

// AddSeeds adds addresses at which other balancers may be found.
func (b *Balancer) AddSeeds(seeds []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members.AddSeeds(seeds)
}
