package agent

import (
	"context"
	"net/netip"
	"time"

	"skylarkturn/internal/control"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/service"
	"skylarkturn/internal/target"
)

const (
	tickInterval       = 200 * time.Millisecond
	heartbeatInterval  = 900 * time.Millisecond
	ackInterval        = 1500 * time.Millisecond // time after an observer's answer from which another is asked for
	fetchTimeout       = 2 * time.Second
	sweepTicks         = 25 // ticks
	reloadTicks        = 10 // ticks
	leaveTransmissions = 2
)

func (a *Agent) runTicker(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			a.tick(ctx, now, n)
		}
	}
}

func (a *Agent) tick(ctx context.Context, now time.Time, n int) {
	a.announce(now)
	a.requests.expire(a.clock())
	if n%sweepTicks == 0 {
		a.conn.sweep(now)
	}
	if n%reloadTicks == 0 {
		if _, err := a.creds.Reload(); err != nil {
			a.counters.reloadErrors.Inc()
			a.log.Warn().Err(err).Msg("credentials not reloaded, the ones in use stay")
		}
	}
	if n%5 == 0 && a.hostDown() {
		a.probeHost(ctx)
	}
}

// Sends a heartbeat to the observers: when one is due, and at once when the
// state has changed.
func (a *Agent) announce(now time.Time) {
	a.mu.Lock()
	changed := a.updateSelf(now)
	if !changed && now.Sub(a.lastHeartbeat) < heartbeatInterval {
		a.mu.Unlock()
		return
	}
	a.lastHeartbeat = now
	m := a.heartbeat(changed)
	m.Unknown = changed || now.Sub(a.lastAck) > ackInterval
	to := a.destinations(now)
	a.mu.Unlock()
	for _, d := range to {
		a.send(d, m)
	}
}

// Brings the own record up to date and reports whether it changed; called with
// mu held.
func (a *Agent) updateSelf(now time.Time) bool {
	if s, ok := a.catalog.Get(a.cfg.Number); ok {
		_, drain := s.Intent.Share(a.cfg.Name, a.cfg.Host, a.cfg.Zone)
		a.target.Configure(drain)
	}
	state, warmth := a.target.State(now), a.target.Warmth(now)
	a.draining.set(a.target.Draining())
	if state == a.self.State && warmth == a.self.Warmth {
		return false
	}
	if state != a.self.State {
		a.log.Info().Str("state", state.String()).Msg("target changed state")
	}
	a.self.State, a.self.Warmth = state, warmth
	a.self.Seq++
	a.members.Apply(now, a.self)
	return true
}

// Returns the heartbeat; names go along when the record changed.
func (a *Agent) heartbeat(full bool) *control.Message {
	me := a.self
	me.Sessions = uint32(a.sessions.Load())
	me.Generation = a.catalog.Generation(a.cfg.Number)
	if !full && len(a.observers) > 0 {
		me.Name, me.Zone, me.Host = "", "", ""
	}
	return &control.Message{Kind: control.Heartbeat, From: me, Digest: a.members.ServiceDigest(a.cfg.Number)}
}

// Returns where heartbeats go: the observers, or any balancer by way of the
// fabric and the seeds while none is known or all have fallen silent.
func (a *Agent) destinations(now time.Time) []netip.AddrPort {
	if len(a.observers) > 0 && !a.target.Isolated(now) {
		return a.observers
	}
	var to []netip.AddrPort
	for _, s := range append([]string{a.cfg.Entry}, a.cfg.Seeds...) {
		if d, err := netip.ParseAddrPort(s); err == nil {
			to = append(to, d)
		}
	}
	return append(to, a.observers...)
}

func (a *Agent) send(to netip.AddrPort, m *control.Message) {
	datagram, err := a.codec.Seal(m)
	if err != nil {
		a.log.Error().Err(err).Msg("message not sealed")
		return
	}
	a.counters.controlOutBytes.Add(len(datagram))
	if _, err := a.conn.udp.WriteToUDPAddrPort(datagram, to); err != nil {
		a.counters.sendErrors.Inc()
	}
}

// Acts on an answer of a balancer.
func (a *Agent) handleAck(m *control.Message) {
	if m.Kind != control.Ack {
		return
	}
	now := time.Now()
	a.conn.recordBalancer(now, m.From.Addr)
	a.mu.Lock()
	a.target.RecordBalancerAnswer(now)
	a.lastAck = now
	for _, r := range m.Members {
		if r.Addr != a.self.Addr {
			a.members.Apply(now, r)
			a.loads[r.Addr] = r.Sessions
		}
	}
	for _, l := range m.Loads {
		a.loads[l.Addr] = l.Sessions
	}
	if len(m.Observers) > 0 {
		a.observers = m.Observers
	}
	refuted := m.Believed >= roster.Suspect && a.refute(now)
	var reply *control.Message
	if m.Unknown || refuted {
		reply = a.heartbeat(true)
	}
	for _, g := range m.Generations {
		if g.Service == a.cfg.Number && g.Number > a.catalog.Generation(g.Service) {
			a.enqueueFetch(m.From.Addr)
		}
	}
	a.mu.Unlock()
	if reply != nil {
		a.send(m.From.Addr, reply)
	}
}

// Takes back a false suspicion; called with mu held.
func (a *Agent) refute(now time.Time) bool {
	a.self.Seq++
	a.members.Apply(now, a.self)
	return true
}

// Queues a fetch of the configuration. A full queue drops it: the next answer
// shows the difference again.
func (a *Agent) enqueueFetch(from netip.AddrPort) {
	select {
	case a.fetchQueue <- from:
	default:
	}
}

func (a *Agent) runFetcher(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case from := <-a.fetchQueue:
			a.fetchConfig(ctx, from)
		}
	}
}

func (a *Agent) fetchConfig(ctx context.Context, from netip.AddrPort) {
	a.mu.Lock()
	have := a.catalog.Generation(a.cfg.Number)
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	services, err := a.peers.Services(ctx, from, []control.Generation{{Service: a.cfg.Number, Number: have}}, false)
	if err != nil {
		a.log.Debug().Err(err).Msg("configuration not fetched")
		return
	}
	for _, s := range services {
		a.applyService(s)
	}
}

func (a *Agent) applyService(s service.Service) {
	if s.Number != a.cfg.Number || s.Name != a.cfg.Service {
		a.log.Error().Str("service", s.Name).Uint16("number", s.Number).Msg("configuration is of another service than the settings name")
		return
	}
	a.mu.Lock()
	changed := a.catalog.Apply(s)
	a.mu.Unlock()
	if changed {
		a.conn.generation.Store(s.Generation)
		a.log.Info().Uint32("generation", s.Generation).Msg("configuration in force")
		a.announce(time.Now())
	}
}

// Services returns the agent's service if it is newer here than at the asker.
func (a *Agent) Services(have []control.Generation, all bool) []service.Service {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.catalog.Get(a.cfg.Number)
	if !ok {
		return nil
	}
	for _, g := range have {
		if g.Service == s.Number && g.Number >= s.Generation {
			return nil
		}
	}
	return []service.Service{*s}
}

// Members returns the targets of the service that the agent knows.
func (a *Agent) Members() []roster.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members.Members(func(*roster.Member) bool { return true })
}

// currentService returns the confirmed currentService, or an empty one while none is known.
func (a *Agent) currentService() service.Service {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s, ok := a.catalog.Get(a.cfg.Number); ok {
		return *s
	}
	return service.Service{Name: a.cfg.Service, Tenant: a.cfg.Tenant, Number: a.cfg.Number}
}

// Decides whether a first datagram is taken here or handed on. A flow handed on
// counts at once as the other target's, before its next heartbeat says so.
func (a *Agent) admit(key uint64, hops uint8) target.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	self, others := a.loadsByTarget()
	d := target.Decide(self, others, a.self.State == roster.Ready, key, hops, a.cfg.Overload)
	if d.Next.IsValid() {
		a.loads[d.Next]++
	}
	return d
}

// Returns the targets as placement sees them; called with mu held.
func (a *Agent) loadsByTarget() (self target.Load, others []target.Load) {
	self = a.loadOf(&a.self)
	self.Sessions = uint32(a.sessions.Load())
	for _, m := range a.members.Agents(a.cfg.Number) {
		if m.Addr != a.self.Addr && m.State == roster.Ready {
			others = append(others, a.loadOf(&m))
		}
	}
	return self, others
}

func (a *Agent) loadOf(m *roster.Member) target.Load {
	share := 1.0
	if s, ok := a.catalog.Get(a.cfg.Number); ok {
		share, _ = s.Intent.Share(m.Name, m.Host, m.Zone)
	}
	return target.Load{Agent: m.Addr, Weight: share * float64(m.Warmth) / 100, Sessions: a.loads[m.Addr]}
}

// Tells the observers that this incarnation has ended.
func (a *Agent) announceLeave() {
	a.mu.Lock()
	a.self.Seq++
	a.self.State = roster.Left
	m := a.heartbeat(true)
	to := a.destinations(time.Now())
	a.mu.Unlock()
	for range leaveTransmissions {
		for _, d := range to {
			a.send(d, m)
		}
	}
}
