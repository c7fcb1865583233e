package entry

import (
	"net/netip"
	"time"

	"skylarkturn/internal/control"
	"skylarkturn/internal/membership"
	"skylarkturn/internal/packet"
	"skylarkturn/internal/parcel"
	"skylarkturn/internal/steering"
	"skylarkturn/internal/trace"
)

const maxClientDatagram = 2048 // bytes; packets are smaller

// Decides on a datagram from a client's side; out is room for the actions.
func (b *Balancer) fromClient(raw []byte, out []steering.Action) []steering.Action {
	now := time.Now()
	b.lastIn.Store(now.UnixNano())
	h, err := b.platform.Format.Parse(raw)
	if err != nil || !fromClientAllowed(&h) {
		b.counters.forged.Inc()
		return out
	}
	b.mu.Lock()
	pending := b.steer.Pending()
	out = b.steer.Packet(now, &h, raw, out)
	b.wakeTicks(pending)
	b.mu.Unlock()
	b.act(out)
	return out
}

// Reports whether a client may send such a packet: hosts alone accept flows and
// return packets.
func fromClientAllowed(h *packet.Head) bool {
	return !h.Flags.Has(packet.Bounced) && !h.Flags.Has(packet.SYN|packet.ACK)
}

// Parcel takes an agent's answer.
func (b *Balancer) Parcel(from netip.AddrPort, h *parcel.Header, content []byte) {
	if h.Kind == parcel.AnswerMany {
		b.answers(from, content)
		return
	}
	if h.Kind != parcel.Owned && h.Kind != parcel.Refused {
		b.counters.forged.Inc()
		return
	}
	var p *packet.Head
	if len(content) > 0 {
		head, err := b.platform.Format.Parse(content)
		if err != nil {
			b.counters.forged.Inc()
			return
		}
		p = &head
	}
	if h.Kind == parcel.Refused {
		b.counters.refused[h.Reason].Inc()
	}
	b.mu.Lock()
	pending := b.steer.Pending()
	out := b.steer.Answer(time.Now(), from, h, p, content, nil)
	b.wakeTicks(pending)
	b.mu.Unlock()
	b.act(out)
}

// Takes an agent's answers to many questions.
func (b *Balancer) answers(from netip.AddrPort, content []byte) {
	answers, err := parcel.DecodeAnswers(content)
	if err != nil {
		b.counters.forged.Inc()
		return
	}
	now := time.Now()
	var out []steering.Action
	b.mu.Lock()
	for _, a := range answers {
		h := a.Header()
		out = b.steer.Answer(now, from, &h, nil, nil, out)
		b.counters.refused[a.Reason].Inc()
	}
	b.mu.Unlock()
	b.act(out)
}

// Carries out actions. Questions without packets go to each agent in one parcel.
func (b *Balancer) act(actions []steering.Action) {
	if len(actions) == 0 {
		return
	}
	now, version := time.Now(), b.version.Load()
	var questions map[netip.AddrPort][]parcel.Question
	for i := range actions {
		a := &actions[i]
		b.counters.actions[a.Verb][a.Cause].Inc()
		b.counters.waited(a)
		switch a.Verb {
		case steering.Send:
			if a.Kind == parcel.Ask && a.Packet == nil {
				if questions == nil {
					questions = make(map[netip.AddrPort][]parcel.Question)
				}
				questions[a.Agent] = append(questions[a.Agent], parcel.Question{Flow: a.Flow, Ack: a.ClientAck})
				continue
			}
			h := parcel.Header{Kind: a.Kind, Flow: a.Flow}
			if a.Service != "" {
				h.Service = parcel.ServiceIDOf(a.Service)
			}
			b.inner.SendParcel(a.Agent, h, a.Packet)
		case steering.Reset:
			b.reset(a)
		}
		b.note(a, now, version)
	}
	for agent, q := range questions {
		b.inner.SendQuestions(agent, q)
	}
}

func (b *Balancer) reset(a *steering.Action) {
	var buf [packet.MaxLen]byte
	raw := b.platform.Format.AppendReset(buf[:0], a.Flow, a.ClientAck)
	to := netip.AddrPortFrom(a.Flow.Client.Addr(), b.cfg.Packets.Port())
	if _, err := b.clients.WriteToUDPAddrPort(raw, to); err != nil {
		b.counters.readErrors.Inc()
	}
}

var outcomes = [...]string{steering.Send: "send", steering.Reset: "reset", steering.Drop: "drop"}

// Notes a decision in the ring, and in the log when it is not the usual one.
func (b *Balancer) note(a *steering.Action, now time.Time, version uint64) {
	if a.Cause == steering.Known || a.Cause == steering.Waiting {
		return
	}
	d := trace.Decision{At: now, Flow: a.Flow, Outcome: outcomes[a.Verb], Cause: a.Cause.String(), Version: version}
	if a.Agent.IsValid() {
		d.Peer = a.Agent.String()
	}
	b.ring.Add(d)
	if a.Cause == steering.Placed || a.Cause == steering.LookedUp || !b.lines.Allow(now) {
		return
	}
	e := b.log.Info().Str("event", "flow").Stringer("flow", a.Flow).Str("outcome", d.Outcome).Str("cause", d.Cause).Uint64("version", version)
	if d.Peer != "" {
		e.Str("agent", d.Peer)
	}
	e.Msg("")
}

// Message takes a control message.
func (b *Balancer) Message(m *control.Message) {
	now := time.Now()
	b.mu.Lock()
	out := b.members.Receive(now, m)
	if m.Kind == control.Heartbeat {
		b.refresh(now, m.From.Addr)
	}
	b.settle(now)
	actions := b.syncTargets(now)
	behind := b.members.Newest().Number > b.steer.Routes().Version()
	b.mu.Unlock()
	b.sendMessages(out)
	b.act(actions)
	if behind {
		b.wakeFollower()
	}
}

func (b *Balancer) sendMessages(out []membership.Outgoing) {
	if err := b.inner.SendMessages(out); err != nil {
		b.log.Error().Err(err).Msg("control message not sent")
	}
}

// Wakes followPeers, unless it is awake already.
func (b *Balancer) wakeFollower() {
	select {
	case b.newer <- struct{}{}:
	default:
	}
}
