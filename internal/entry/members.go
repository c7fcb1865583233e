package entry

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"skylarkturn/internal/pace"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/steering"
)

const (
	lookupTickInterval = 50 * time.Millisecond // between ticks while owners are looked up
	fullWarmthPercent = 100                   // percent
)

// Drives what depends on time.
func (b *Balancer) runTicks(ctx context.Context) error {
	for ctx.Err() == nil {
		timer := time.NewTimer(b.tick(time.Now()))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-b.lookupStarted:
			pace.Sleep(ctx, lookupTickInterval)
		}
		timer.Stop()
	}
	return nil
}

// Wakes keepTime when the first flow waits; called with mu held.
func (b *Balancer) wakeTickLoop(pendingBefore int) {
	if pendingBefore > 0 || b.steering.Pending() == 0 {
		return
	}
	select {
	case b.lookupStarted <- struct{}{}:
	default:
	}
}

// Does what is due, and returns the time until the next tick.
func (b *Balancer) tick(now time.Time) time.Duration {
	b.mu.Lock()
	out := b.members.Tick(now)
	b.updateSettled(now)
	actions := b.steering.Tick(now, b.syncTargets(now))
	next := b.members.TickAfter(now)
	if b.steering.Pending() > 0 {
		next = lookupTickInterval
	}
	b.mu.Unlock()
	b.sendMessages(out)
	b.execute(actions)
	return next
}

// Notes whether all members are known; called with mu held.
func (b *Balancer) updateSettled(now time.Time) {
	isolated := b.members.Isolated(now)
	if isolated != b.isolated {
		b.isolated = isolated
		b.log.Warn().Str("event", "isolated").Bool("isolated", isolated).Msg("")
	}
	settled := b.members.Settled(now) && !isolated
	if settled == b.settled {
		return
	}
	b.settled = settled
	b.steering.SetSettled(settled)
	b.log.Info().Str("event", "settled").Bool("settled", settled).Dur("age", now.Sub(b.started)).Int("targets", b.steering.TargetCount()).
		Str("unheard", fmt.Sprint(b.members.Unheard())).Msg("")
}

// Takes over what changed about members, and returns what that gives rise to;
// called with mu held.
func (b *Balancer) syncTargets(now time.Time) (out []steering.Action) {
	members := b.members.Members()
	if b.syncedVersion == members.Version() {
		return nil
	}
	b.syncedVersion = members.Version()
	for _, m := range members.Members(func(m *roster.Member) bool { return m.Role == roster.Agent }) {
		b.updateTarget(now, &m, false)
	}
	var removed []netip.AddrPort
	b.steering.Targets(func(t steering.Target) {
		if m, ok := members.Get(t.Agent); !ok || m.State >= roster.Gone {
			removed = append(removed, t.Agent)
		}
	})
	for _, a := range removed {
		before := len(out)
		out = b.steering.Remove(now, a, out)
		b.log.Info().Str("event", "target_removed").Stringer("agent", a).Int("flows_reset", len(out)-before).Msg("")
	}
	return out
}

// Takes over an agent's heartbeat; called with mu held.
func (b *Balancer) refreshTarget(now time.Time, agent netip.AddrPort) {
	if m, ok := b.members.Members().Get(agent); ok {
		b.updateTarget(now, &m, true)
	}
}

func (b *Balancer) updateTarget(now time.Time, m *roster.Member, heartbeat bool) {
	if m.State >= roster.Gone {
		return
	}
	t := steering.Target{
		Agent:   m.Addr,
		Service: m.Serves,
		Ready:   m.State == roster.Ready,
		Coming:  m.State == roster.Starting,
		Silent:  m.State == roster.Suspect,
		Weight:  float64(m.Slots) * float64(m.Warmth) / fullWarmthPercent,
		Flows:   m.Sessions,
		Busy:    m.Busy,
	}
	if b.steering.Put(now, t, heartbeat) {
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
