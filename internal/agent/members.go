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
	ackInterval        = 1500 * time.Millisecond // age of the last Ack from which heartbeats request another
	fetchTimeout       = 2 * time.Second
	sweepTicks         = 25 // ticks between sweeps of the packet connection's tables
	reloadTicks        = 10 // ticks between reloads of the credentials
	probeTicks         = 5  // ticks between probes of a host that is down
	leaveTransmissions = 2  // copies of the final heartbeat, since datagrams may be lost
)

// runTicker calls tick at regular intervals until ctx is done.
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

// tick does the periodic work that is due at tick n.
func (a *Agent) tick(ctx context.Context, now time.Time, n int) {
	a.announce(now)
	a.requests.expire(a.clock())
	if n%sweepTicks == 0 {
		a.conn.sweep(now)
	}
	if n%reloadTicks == 0 {
		if _, err := a.creds.Reload(); err != nil {
			a.counters.reloadErrors.Inc()
			a.log.Warn().Err(err).Msg("failed to reload credentials, keeping the current ones")
		}
	}
	if n%probeTicks == 0 && a.hostDown() {
		a.probeHost(ctx)
	}
}

// announce sends a heartbeat to the observers if one is due or if the agent's state or
// warmth has changed.
func (a *Agent) announce(now time.Time) {
	a.mu.Lock()
	changed := a.updateSelf(now)
	if !changed && now.Sub(a.lastHeartbeat) < heartbeatInterval {
		a.mu.Unlock()
		return
	}
	a.lastHeartbeat = now
	m := a.heartbeat(changed)
	m.WantReply = changed || now.Sub(a.lastAck) > ackInterval
	to := a.destinations(now)
	a.mu.Unlock()
	for _, d := range to {
		a.send(d, m)
	}
}

// updateSelf updates the agent's own member record and reports whether it changed.
// a.mu must be held.
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

// heartbeat returns a heartbeat. Unless full is set, it omits the names, which the
// observers already know. a.mu must be held.
func (a *Agent) heartbeat(full bool) *control.Message {
	from := a.self
	from.Sessions = uint32(a.sessions.Load())
	from.Generation = a.catalog.Generation(a.cfg.Number)
	if !full && len(a.observers) > 0 {
		from.Name, from.Zone, from.Host = "", "", ""
	}
	return &control.Message{Kind: control.Heartbeat, From: from, Digest: a.members.ServiceDigest(a.cfg.Number)}
}

// destinations returns the addresses that heartbeats go to: the observers. If none is
// known or no balancer has answered lately, it adds the seeds and the fabric's entry
// address, which reaches any balancer. a.mu must be held.
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
		a.log.Error().Err(err).Msg("failed to encode control message")
		return
	}
	a.counters.controlOutBytes.Add(len(datagram))
	if _, err := a.conn.udp.WriteToUDPAddrPort(datagram, to); err != nil {
		a.counters.sendErrors.Inc()
	}
}

// handleAck processes a balancer's Ack. It ignores messages of other kinds.
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
	suspected := m.KnownState >= roster.Suspect
	if suspected {
		a.refuteSuspicion(now)
	}
	var reply *control.Message
	if m.WantReply || suspected {
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

// refuteSuspicion raises the sequence number of the agent's own record, so that the
// record overrides an observer's suspicion. a.mu must be held.
func (a *Agent) refuteSuspicion(now time.Time) {
	a.self.Seq++
	a.members.Apply(now, a.self)
}

// enqueueFetch requests a fetch of the configuration from a balancer. If the queue is
// full, it drops the request, since the next Ack causes another one.
func (a *Agent) enqueueFetch(from netip.AddrPort) {
	select {
	case a.fetchQueue <- from:
	default:
	}
}

// runFetcher executes the queued fetches one at a time until ctx is done.
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
		a.log.Debug().Err(err).Msg("failed to fetch configuration")
		return
	}
	for _, s := range services {
		a.applyService(s)
	}
}

// applyService applies the configuration of the service if it is newer than the current
// one.
func (a *Agent) applyService(s service.Service) {
	if s.Number != a.cfg.Number || s.Name != a.cfg.Service {
		a.log.Error().Str("service", s.Name).Uint16("number", s.Number).Msg("configuration ignored: its service is not the one in the settings")
		return
	}
	a.mu.Lock()
	changed := a.catalog.Apply(s)
	a.mu.Unlock()
	if changed {
		a.conn.generation.Store(s.Generation)
		a.log.Info().Uint32("generation", s.Generation).Msg("configuration applied")
		a.announce(time.Now())
	}
}

// Services returns the agent's service if its generation is newer than that in have.
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

// Members returns the known members, which are the targets of the service.
func (a *Agent) Members() []roster.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members.Members(func(*roster.Member) bool { return true })
}

// currentService returns the confirmed service, or one without classes and intent if
// none is known yet.
func (a *Agent) currentService() service.Service {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s, ok := a.catalog.Get(a.cfg.Number); ok {
		return *s
	}
	return service.Service{Name: a.cfg.Service, Tenant: a.cfg.Tenant, Number: a.cfg.Number}
}

// admit decides whether to accept a new flow or to forward it. A forwarded flow is
// added to the load of the other target at once, before that target reports it.
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

// loadsByTarget returns the load of this target and those of the other ready targets.
// a.mu must be held.
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

// loadOf returns the load of a target, with its weight: the share in the intent times
// the warmth. a.mu must be held.
func (a *Agent) loadOf(m *roster.Member) target.Load {
	share := 1.0
	if s, ok := a.catalog.Get(a.cfg.Number); ok {
		share, _ = s.Intent.Share(m.Name, m.Host, m.Zone)
	}
	return target.Load{Agent: m.Addr, Weight: share * float64(m.Warmth) / 100, Sessions: a.loads[m.Addr]}
}

// announceLeave tells the observers that this incarnation has ended.
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
