package packetagent

import (
	"context"
	"net/netip"
	"time"

	"skylarkturn/internal/backoff"
	"skylarkturn/internal/control"
	"skylarkturn/internal/fleet"
	"skylarkturn/internal/flowtable"
	"skylarkturn/internal/membership"
	"skylarkturn/internal/packet"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/trace"
	"skylarkturn/internal/tunnel"
)

const (
	maxHostDatagram   = 2048 // bytes; valid packets are smaller
	fullWarmthPercent = 100
)

// HandleTunnelDatagram handles a client's packet or questions about flows from a balancer.
func (a *Agent) HandleTunnelDatagram(from netip.AddrPort, h *tunnel.Header, content []byte) {
	if h.Kind == tunnel.Questions {
		a.handleQuestions(from, content)
		return
	}
	p, err := a.platform.Codec.Parse(content)
	if err != nil || h.Kind != tunnel.Deliver && h.Kind != tunnel.Ask {
		a.counters.invalidPackets.Inc()
		return
	}
	now := time.Now()
	a.mu.Lock()
	if p.Opens() {
		a.detectPause(now)
	}
	out := a.flows.HandleInbound(now, from, h, &p, content, nil)
	suspected := a.flows.HostSuspected(now)
	for i := range out {
		if out[i].Op == flowtable.ToHost {
			a.flows.CountForwarded(now)
		}
	}
	a.mu.Unlock()
	a.execute(out)
	if suspected {
		a.requestCheck()
	}
}

// handleQuestions answers a Questions datagram.
func (a *Agent) handleQuestions(from netip.AddrPort, content []byte) {
	questions, err := tunnel.DecodeQuestions(content)
	if err != nil {
		a.counters.invalidPackets.Inc()
		return
	}
	answers := make([]tunnel.Answer, len(questions))
	a.mu.Lock()
	for i, q := range questions {
		answers[i] = a.flows.Lookup(q)
	}
	a.mu.Unlock()
	a.innerSocket.SendAnswers(from, answers)
}

// handleHostPacket decides on a datagram from the host and carries out the
// actions. It reuses the storage of out for them and returns it.
func (a *Agent) handleHostPacket(raw []byte, out []flowtable.Action) []flowtable.Action {
	p, err := a.platform.Codec.Parse(raw)
	if err != nil {
		a.counters.invalidPackets.Inc()
		return out
	}
	now := time.Now()
	a.mu.Lock()
	if p.Accepts() {
		a.detectPause(now)
	}
	out = a.flows.HandleOutbound(now, &p, raw, out)
	a.mu.Unlock()
	if p.Flags.Has(packet.Bounced) {
		a.platform.Codec.Restore(raw)
	}
	a.execute(out)
	return out
}

// execute carries out the flow table's actions, and counts and records them.
func (a *Agent) execute(actions []flowtable.Action) {
	if len(actions) == 0 {
		return
	}
	now := time.Now()
	for i := range actions {
		action := &actions[i]
		a.counters.actions[action.Op][action.Cause].Inc()
		a.counters.observeHold(action)
		a.counters.observeRefusal(action)
		switch action.Op {
		case flowtable.ToHost:
			a.sendPacket(action.Packet, a.settings.HostAddr)
		case flowtable.ToClient:
			a.sendPacket(action.Packet, a.clientAddr(action.Flow))
		case flowtable.Reply:
			a.innerSocket.SendTunnelDatagram(action.Balancer, action.Header, action.Packet)
		case flowtable.Reset:
			var buf [packet.MaxLen]byte
			a.sendPacket(a.platform.Codec.AppendReset(buf[:0], action.Flow, action.ClientAck), a.clientAddr(action.Flow))
		}
		a.recordDecision(action, now)
	}
}

func (a *Agent) clientAddr(k packet.Key) netip.AddrPort {
	return netip.AddrPortFrom(k.Client.Addr(), a.settings.ClientPort)
}

func (a *Agent) sendPacket(raw []byte, to netip.AddrPort) {
	if _, err := a.hostConn.WriteToUDPAddrPort(raw, to); err != nil {
		a.counters.hostSocketErrors.Inc()
	}
}

var outcomeNames = [...]string{flowtable.ToHost: "to_host", flowtable.ToClient: "to_client", flowtable.Reply: "reply", flowtable.Reset: "reset", flowtable.Drop: "drop"}

// recordDecision records a decision for /debug/flows, unless it is to forward a
// packet as usual. It logs the decision unless its cause is routine.
func (a *Agent) recordDecision(action *flowtable.Action, now time.Time) {
	reply := action.Op == flowtable.Reply
	if action.Cause == flowtable.Usual && !reply {
		return
	}
	d := trace.Decision{At: now, Flow: action.Flow, Outcome: outcomeNames[action.Op], Cause: action.Cause.String(), Load: loadOf(action)}
	if reply {
		d.Peer = action.Balancer.String()
		d.Outcome = "refuse"
		d.Cause = action.Header.Reason.String()
		if action.Header.Kind == tunnel.Owned {
			d.Outcome, d.Cause = "own", action.Cause.String()
		}
	}
	a.decisions.Add(d)
	if action.Cause == flowtable.Usual || action.Cause == flowtable.Asked || action.Header.Reason == tunnel.NotHeld || action.Header.Reason == tunnel.Busy || !a.flowLogLimit.Allow(now) {
		return
	}
	e := a.log.Info().Str("event", "flow").Stringer("flow", action.Flow).Str("outcome", d.Outcome).Str("cause", d.Cause)
	if d.Peer != "" {
		e.Str("balancer", d.Peer)
	}
	if l := d.Load; l != nil {
		e.Int("in_progress", l.InProgress).Int("held", l.Held).Float64("wait_ms", l.WaitMS).Float64("objective_ms", l.ObjectiveMS)
	}
	e.Msg("")
}

// loadOf returns the load that an action rests on, or nil.
func loadOf(action *flowtable.Action) *fleet.Load {
	l := action.Load
	if l == nil {
		return nil
	}
	return &fleet.Load{InProgress: l.InProgress, Held: l.Held, WaitMS: milliseconds(l.Wait), ObjectiveMS: milliseconds(l.Objective)}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// HandleMessage handles a balancer's answer to a heartbeat.
func (a *Agent) HandleMessage(m *control.Message) {
	a.platform.Epochs.Observe(m.StoreEpoch) // an older epoch than the known one is ignored
	a.mu.Lock()
	out := a.members.Receive(time.Now(), m)
	a.mu.Unlock()
	a.sendMessages(out)
}

func (a *Agent) sendMessages(out []membership.Outgoing) {
	if err := a.innerSocket.SendMessages(out); err != nil {
		a.log.Error().Err(err).Msg("failed to encode control message")
	}
}

// HandleHeartbeat handles a heartbeat and reports whether it is of the agent's host.
func (a *Agent) HandleHeartbeat(r flowtable.Report) bool {
	a.updateAssignment(&r)
	now := time.Now()
	a.mu.Lock()
	a.detectPause(now)
	verdict, out := a.flows.HandleReport(now, r, nil)
	messages := a.updateMember(now)
	a.mu.Unlock()
	a.execute(out)
	a.sendMessages(messages)
	a.counters.heartbeats[verdict].Inc()
	if verdict != flowtable.Unchanged && (verdict.Acknowledged() || a.flowLogLimit.Allow(now)) {
		a.log.Info().Str("event", "host").Str("host", r.ID).Stringer("verdict", verdict).Int64("born", r.StartTime).
			Uint64("seq", r.Seq).Str("service", r.Service).Str("zone", r.Zone).Stringer("addr", r.Addr).
			Uint8("state", uint8(r.State)).Int("flows_reset", len(out)).Msg("")
	}
	return verdict.Acknowledged()
}

// RejectHeartbeat records a heartbeat that can't be decoded.
func (a *Agent) RejectHeartbeat(id string, err error) {
	a.counters.malformedHeartbeats.Inc()
	if a.flowLogLimit.Allow(time.Now()) {
		a.log.Warn().Str("event", "host").Str("host", id).Str("verdict", "malformed").Err(err).Msg("")
	}
}

// SetService changes the service that the platform assigns to the agent's host.
func (a *Agent) SetService(service string) {
	a.mu.Lock()
	changed := a.flows.SetService(service)
	a.mu.Unlock()
	if changed {
		a.log.Info().Str("event", "assigned").Str("service", service).Msg("")
	}
}

// updateAssignment reads the service in the settings again if the report needs it. The
// platform may have changed the settings a moment ago, without a signal.
func (a *Agent) updateAssignment(r *flowtable.Report) {
	a.mu.Lock()
	needed := a.flows.NeedsAssignment(r)
	a.mu.Unlock()
	if !needed {
		return
	}
	service, err := a.platform.AssignedService()
	if err != nil {
		if a.flowLogLimit.Allow(time.Now()) {
			a.log.Warn().Str("event", "reload").Err(err).Msg("failed to read settings, keeping the assigned service")
		}
		return
	}
	a.SetService(service)
}

// HandleDeregistration handles the notice of a host that it is shutting down.
func (a *Agent) HandleDeregistration(id string) {
	now := time.Now()
	a.mu.Lock()
	left := a.flows.HandleLeave(now, id)
	messages := a.updateMember(now)
	a.mu.Unlock()
	a.sendMessages(messages)
	a.log.Info().Str("event", "host_left").Str("host", id).Bool("current", left).Msg("")
}

// updateMember updates the agent's membership record from the host's state and
// returns the messages that announce a change. The caller holds mu.
func (a *Agent) updateMember(now time.Time) []membership.Outgoing {
	a.recordPresence(now)
	host, ok := a.flows.Host()
	if ok {
		a.hostSeenOnce.Do(func() { close(a.hostSeen) })
	}
	return a.members.Update(now, func(self *roster.Member) {
		self.State = roster.Starting
		if ok {
			self.State = roster.Ready
			setService(self, host.Service)
			self.Slots = uint32(host.Slots)
			self.Warmth = fullWarmthPercent
		}
		if host.State == flowtable.HostDraining {
			self.State = roster.Draining
		}
		self.Sessions, self.Busy = uint32(a.flows.Flows()), uint32(a.flows.Busy())
	})
}

// detectPause tells the flow table if the agent was paused. What a host's presence is judged by
// may then be older than its arrival. The caller holds mu.
func (a *Agent) detectPause(now time.Time) {
	if a.pauses.Observe(a.uptime()) {
		a.flows.HandlePause(now)
		a.counters.pauses.Inc()
	}
}

// recordPresence counts and logs a change of what the agent knows of its host. The caller
// holds mu.
func (a *Agent) recordPresence(now time.Time) {
	p := a.flows.Presence()
	if p == a.presence {
		return
	}
	host, _ := a.flows.Host()
	a.log.Info().Str("event", "presence").Stringer("presence", p).Stringer("before", a.presence).Str("host", host.ID).
		Str("service", host.Service).Dur("report_age", a.flows.ReportAge(now)).Msg("")
	a.presence = p
	a.counters.presences[p].Inc()
}

// setService sets the service in the agent's membership record.
func setService(self *roster.Member, service string) {
	self.ServiceName = service
	self.Service = uint16(tunnel.ServiceIDOf(service)) // distributes services over observers
}

// runTicks calls tick at the intervals that tick returns.
func (a *Agent) runTicks(ctx context.Context) error {
	for ctx.Err() == nil {
		backoff.Sleep(ctx, a.tick(time.Now()))
	}
	return nil
}

// tick runs timed work of the flow table and membership, and returns the time
// until the next tick.
func (a *Agent) tick(now time.Time) time.Duration {
	a.mu.Lock()
	a.detectPause(now)
	out := a.flows.Tick(now, nil)
	messages := a.updateMember(now)
	if len(messages) == 0 {
		messages = a.members.Tick(now)
	}
	suspected := a.flows.HostSuspected(now)
	next := membership.TickInterval
	if a.members.Discovering(now) {
		next = membership.DiscoveryTickInterval
	}
	a.mu.Unlock()
	a.execute(out)
	a.sendMessages(messages)
	if suspected {
		a.requestCheck()
	}
	return next
}

// requestCheck wakes checkHost. It does nothing if a request is already pending.
func (a *Agent) requestCheck() { wake(a.checkRequested) }

// wake wakes the goroutine that reads c, which has room for one request. It does nothing
// if one is already pending.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// AddSeeds adds addresses at which balancers may be reached.
func (a *Agent) AddSeeds(seeds []netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.members.AddSeeds(seeds)
}
