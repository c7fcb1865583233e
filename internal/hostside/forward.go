package hostside

import (
	"context"
	"net/netip"
	"time"

	"skylarkturn/internal/control"
	"skylarkturn/internal/flowtable"
	"skylarkturn/internal/membership"
	"skylarkturn/internal/pace"
	"skylarkturn/internal/packet"
	"skylarkturn/internal/parcel"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/trace"
)

const (
	maxHostDatagram = 2048 // bytes; packets are smaller
	fullWarmth      = 100  // percent
	coldWarmth      = 60   // a host that warms up is some 1.6 times slower
)

// Parcel takes a client's packet, or a question about a flow, from a balancer.
func (a *Agent) Parcel(from netip.AddrPort, h *parcel.Header, content []byte) {
	if h.Kind == parcel.AskMany {
		a.questions(from, content)
		return
	}
	p, err := a.platform.Format.Parse(content)
	if err != nil || h.Kind != parcel.Deliver && h.Kind != parcel.Ask {
		a.counters.forged.Inc()
		return
	}
	now := time.Now()
	a.mu.Lock()
	out := a.flows.Deliver(now, from, h, &p, content, nil)
	suspicious := a.flows.Suspicious(now)
	for i := range out {
		if out[i].Verb == flowtable.ToHost {
			a.flows.Given(now)
		}
	}
	a.mu.Unlock()
	a.act(out)
	if suspicious {
		a.wakeCheck()
	}
}

// Answers a balancer's questions about flows.
func (a *Agent) questions(from netip.AddrPort, content []byte) {
	questions, err := parcel.DecodeQuestions(content)
	if err != nil {
		a.counters.forged.Inc()
		return
	}
	answers := make([]parcel.Answer, len(questions))
	a.mu.Lock()
	for i, q := range questions {
		answers[i] = a.flows.Asked(q)
	}
	a.mu.Unlock()
	a.inner.SendAnswers(from, answers)
}

// Decides on a datagram of the host; out is room for the actions.
func (a *Agent) fromHost(raw []byte, out []flowtable.Action) []flowtable.Action {
	p, err := a.platform.Format.Parse(raw)
	if err != nil {
		a.counters.forged.Inc()
		return out
	}
	now := time.Now()
	a.mu.Lock()
	out = a.flows.Outbound(now, &p, raw, out)
	a.mu.Unlock()
	if p.Flags.Has(packet.Bounced) {
		a.platform.Format.Restore(raw)
	}
	a.act(out)
	return out
}

// Carries out actions.
func (a *Agent) act(actions []flowtable.Action) {
	if len(actions) == 0 {
		return
	}
	now := time.Now()
	for i := range actions {
		x := &actions[i]
		a.counters.actions[x.Verb][x.Cause].Inc()
		switch x.Verb {
		case flowtable.ToHost:
			a.send(x.Packet, a.cfg.Host)
		case flowtable.ToClient:
			a.send(x.Packet, a.clientAddr(x.Flow))
		case flowtable.Reply:
			a.inner.SendParcel(x.Balancer, x.Parcel, x.Packet)
		case flowtable.Reset:
			var buf [packet.MaxLen]byte
			a.send(a.platform.Format.AppendReset(buf[:0], x.Flow, x.ClientAck), a.clientAddr(x.Flow))
		}
		a.note(x, now)
	}
}

func (a *Agent) clientAddr(k packet.Key) netip.AddrPort {
	return netip.AddrPortFrom(k.Client.Addr(), a.cfg.ClientPort)
}

func (a *Agent) send(raw []byte, to netip.AddrPort) {
	if _, err := a.outbound.WriteToUDPAddrPort(raw, to); err != nil {
		a.counters.socketErrors.Inc()
	}
}

var outcomes = [...]string{flowtable.ToHost: "to_host", flowtable.ToClient: "to_client", flowtable.Reply: "reply", flowtable.Reset: "reset", flowtable.Drop: "drop"}

// Notes a decision in the ring and in the log when it is not the usual one.
func (a *Agent) note(x *flowtable.Action, now time.Time) {
	reply := x.Verb == flowtable.Reply
	if x.Cause == flowtable.Usual && !reply {
		return
	}
	d := trace.Decision{At: now, Flow: x.Flow, Outcome: outcomes[x.Verb], Cause: x.Cause.String()}
	if reply {
		d.Peer = x.Balancer.String()
		d.Outcome = "refuse"
		d.Cause = x.Parcel.Reason.String()
		if x.Parcel.Kind == parcel.Owned {
			d.Outcome, d.Cause = "own", x.Cause.String()
		}
	}
	a.ring.Add(d)
	if x.Cause == flowtable.Usual || x.Cause == flowtable.Asked || x.Parcel.Reason == parcel.NotHeld || !a.lines.Allow(now) {
		return
	}
	e := a.log.Info().Str("event", "flow").Stringer("flow", x.Flow).Str("outcome", d.Outcome).Str("cause", d.Cause)
	if d.Peer != "" {
		e.Str("balancer", d.Peer)
	}
	e.Msg("")
}

// Message takes a balancer's answer to a heartbeat.
func (a *Agent) Message(m *control.Message) {
	a.mu.Lock()
	out := a.members.Receive(time.Now(), m)
	a.mu.Unlock()
	a.sendMessages(out)
}

func (a *Agent) sendMessages(out []membership.Outgoing) {
	if err := a.inner.SendMessages(out); err != nil {
		a.log.Error().Err(err).Msg("control message not sent")
	}
}

// Reported takes a heartbeat of a host.
func (a *Agent) Reported(r flowtable.Report) {
	now := time.Now()
	a.mu.Lock()
	verdict, out := a.flows.Reported(now, r, nil)
	messages := a.announce(now)
	a.mu.Unlock()
	a.act(out)
	a.sendMessages(messages)
	if verdict != flowtable.Unchanged {
		a.log.Info().Str("event", "host").Str("host", r.ID).Stringer("verdict", verdict).Int64("born", r.Born).
			Uint64("seq", r.Seq).Str("service", r.Service).Uint8("state", uint8(r.State)).Int("flows_reset", len(out)).Msg("")
	}
}

// Left takes the farewell of a host.
func (a *Agent) Left(id string) {
	now := time.Now()
	a.mu.Lock()
	left := a.flows.Left(now, id)
	messages := a.announce(now)
	a.mu.Unlock()
	a.sendMessages(messages)
	a.log.Info().Str("event", "host_left").Str("host", id).Bool("current", left).Msg("")
}

// Returns the messages that tell what has changed about the host; called with
// mu held.
func (a *Agent) announce(now time.Time) []membership.Outgoing {
	host, ok := a.flows.Host()
	if ok {
		a.hosting.Do(func() { close(a.hosted) })
	}
	return a.members.Update(now, func(me *roster.Member) {
		me.State = roster.Starting
		if ok {
			me.State = roster.Ready
			serve(me, host.Service)
			me.Slots = uint32(host.Slots)
			me.Warmth = fullWarmth
		}
		if host.WarmupLeft > 0 {
			me.Warmth = coldWarmth
		}
		if host.State == flowtable.HostDraining {
			me.State = roster.Draining
		}
		me.Sessions, me.Busy = uint32(a.flows.Flows()), uint32(a.flows.Busy())
	})
}

// Notes the service in the agent's record.
func serve(me *roster.Member, service string) {
	me.Serves = service
	me.Service = uint16(parcel.ServiceIDOf(service)) // spreads services over observers
}

// Drives what depends on time.
func (a *Agent) keepTime(ctx context.Context) error {
	for ctx.Err() == nil {
		pace.Sleep(ctx, a.tick(time.Now()))
	}
	return nil
}

// Does what is due, and returns the time until the next tick.
func (a *Agent) tick(now time.Time) time.Duration {
	a.mu.Lock()
	out := a.flows.Tick(now, nil)
	messages := a.announce(now)
	if len(messages) == 0 {
		messages = a.members.Tick(now)
	}
	suspicious := a.flows.Suspicious(now)
	next := membership.TickEvery
	if a.members.Seeking(now) {
		next = membership.SeekEvery
	}
	a.mu.Unlock()
	a.act(out)
	a.sendMessages(messages)
	if suspicious {
		a.wakeCheck()
	}
	return next
}

// Has the host checked, unless a check is under way.
func (a *Agent) wakeCheck() {
	select {
	case a.checks <- struct{}{}:
	default:
	}
}

// AddSeeds adds addresses at which balancers may be found.
func (a *Agent) AddSeeds(seeds []netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.members.AddSeeds(seeds)
}
