package packetbalancer

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"skylarkturn/internal/backoff"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/steering"
)

const (
	pendingTickInterval = 50 * time.Millisecond // interval of ticks while flows wait
)

// runTicks calls tick at the intervals that tick returns, and sooner when a flow
// starts to wait.
func (b *Balancer) runTicks(ctx context.Context) error {
	for ctx.Err() == nil {
		timer := time.NewTimer(b.tick(time.Now()))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-b.flowsPending:
			backoff.Sleep(ctx, pendingTickInterval)
		}
		timer.Stop()
	}
	return nil
}

// wakeTickLoop wakes runTicks if a flow waits and none did before. The caller
// holds mu.
func (b *Balancer) wakeTickLoop(pendingBefore int) {
	if pendingBefore > 0 || b.steering.PendingCount() == 0 {
		return
	}
	select {
	case b.flowsPending <- struct{}{}:
	default:
	}
}

// tick runs timed work of membership and steering, and returns the time until the
// next tick.
func (b *Balancer) tick(now time.Time) time.Duration {
	b.mu.Lock()
	out := b.members.Tick(now)
	b.updateSettled(now)
	actions := b.steering.Tick(now, b.syncTargets(now))
	next := b.members.TickAfter(now)
	if b.steering.PendingCount() > 0 {
		next = pendingTickInterval
	}
	b.mu.Unlock()
	b.sendMessages(out)
	b.execute(actions)
	return next
}

// updateSettled updates isolated and settled, and logs changes. The caller holds
// mu.
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
		Str("unheard", fmt.Sprint(b.members.MissingAgents())).Msg("")
}

// syncTargets updates steering's targets if the membership has changed, and
// returns the resulting actions. The caller holds mu.
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
	for a := range b.steering.SilentTargets() {
		if m, ok := members.Get(a); ok && m.State.Ended() {
			removed = append(removed, a)
		}
	}
	for _, a := range removed {
		m, ok := members.Get(a)
		ended := !ok || m.State.Ended()
		before := len(out)
		out = b.steering.Remove(now, a, ended, out)
		b.log.Info().Str("event", "target_removed").Stringer("agent", a).Bool("ended", ended).Int("flows_reset", len(out)-before).Msg("")
	}
	return out
}

// refreshTarget updates an agent's target from its heartbeat. The caller holds
// mu.
func (b *Balancer) refreshTarget(now time.Time, agent netip.AddrPort) {
	if m, ok := b.members.Members().Get(agent); ok {
		b.updateTarget(now, &m, true)
	}
}

// updateTarget passes a member's record to steering. heartbeat is true if the
// record was received in a new heartbeat. The caller holds mu.
func (b *Balancer) updateTarget(now time.Time, m *roster.Member, heartbeat bool) {
	if m.State >= roster.Gone {
		return
	}
	t := steering.Target{
		Agent:    m.Addr,
		Service:  m.ServiceName,
		Ready:    m.State == roster.Ready,
		Starting: m.State == roster.Starting,
		Suspect:  m.State == roster.Suspect,
		Weight:   float64(m.Slots),
		Flows:    m.Sessions,

		AcceptsClass: m.AcceptsClass,
	}
	if b.steering.Put(now, t, heartbeat) {
		b.log.Info().Str("event", "target").Stringer("agent", m.Addr).Str("name", m.Name).
			Str("service", m.ServiceName).Stringer("state", m.State).Uint64("incarnation", m.Incarnation).Uint32("seq", m.Seq).Msg("")
	}
}

// AddSeeds adds addresses at which other balancers may be reached.
func (b *Balancer) AddSeeds(seeds []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members.AddSeeds(seeds)
}
