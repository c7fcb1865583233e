package packetbalancer

import (
	"net/netip"
	"time"

	"skylarkturn/internal/control"
	"skylarkturn/internal/membership"
	"skylarkturn/internal/packet"
	"skylarkturn/internal/steering"
	"skylarkturn/internal/trace"
	"skylarkturn/internal/tunnel"
)

const maxClientDatagram = 2048 // bytes; valid packets are smaller

// handleClientPacket decides on a datagram received on the client socket and
// carries out the actions. It reuses the storage of out for them and returns it.
func (b *Balancer) handleClientPacket(raw []byte, out []steering.Action) []steering.Action {
	now := time.Now()
	b.lastClientPacket.Store(now.UnixNano())
	h, err := b.platform.Codec.Parse(raw)
	if err != nil || !allowedFromClient(&h) {
		b.counters.invalidPackets.Inc()
		return out
	}
	b.mu.Lock()
	pending := b.steering.PendingCount()
	out = b.steering.HandlePacket(now, &h, raw, out)
	b.wakeTickLoop(pending)
	b.mu.Unlock()
	b.execute(out)
	return out
}

// allowedFromClient reports whether a client may send a packet with this header. Only hosts
// accept flows (SYN and ACK) or return packets (Bounced).
func allowedFromClient(h *packet.Header) bool {
	return !h.Flags.Has(packet.Bounced) && !h.Flags.Has(packet.SYN|packet.ACK)
}

// HandleTunnelDatagram handles an agent's answers about one or several flows.
func (b *Balancer) HandleTunnelDatagram(from netip.AddrPort, h *tunnel.Header, content []byte) {
	if h.Kind == tunnel.Answers {
		b.handleAnswers(from, content)
		return
	}
	if h.Kind != tunnel.Owned && h.Kind != tunnel.Refused {
		b.counters.invalidPackets.Inc()
		return
	}
	var p *packet.Header
	if len(content) > 0 {
		header, err := b.platform.Codec.Parse(content)
		if err != nil {
			b.counters.invalidPackets.Inc()
			return
		}
		p = &header
	}
	if h.Kind == tunnel.Refused {
		b.counters.refusals[h.Reason].Inc()
	}
	b.mu.Lock()
	pending := b.steering.PendingCount()
	out := b.steering.HandleAnswer(time.Now(), from, h, p, content, nil)
	b.wakeTickLoop(pending)
	b.mu.Unlock()
	b.execute(out)
}

// handleAnswers handles an Answers datagram.
func (b *Balancer) handleAnswers(from netip.AddrPort, content []byte) {
	answers, err := tunnel.DecodeAnswers(content)
	if err != nil {
		b.counters.invalidPackets.Inc()
		return
	}
	now := time.Now()
	var out []steering.Action
	b.mu.Lock()
	for _, a := range answers {
		h := a.Header()
		out = b.steering.HandleAnswer(now, from, &h, nil, nil, out)
		b.counters.refusals[a.Reason].Inc()
	}
	b.mu.Unlock()
	b.execute(out)
}

// execute carries out steering's actions, and counts and records them. Questions
// without a packet are batched per agent.
func (b *Balancer) execute(actions []steering.Action) {
	if len(actions) == 0 {
		return
	}
	now, version := time.Now(), b.configVersion.Load()
	var questions map[netip.AddrPort][]tunnel.Question
	for i := range actions {
		a := &actions[i]
		b.counters.actions[a.Op][a.Cause].Inc()
		b.counters.observeWait(a)
		switch a.Op {
		case steering.Send:
			if a.Kind == tunnel.Ask && a.Packet == nil {
				if questions == nil {
					questions = make(map[netip.AddrPort][]tunnel.Question)
				}
				questions[a.Agent] = append(questions[a.Agent], tunnel.Question{Flow: a.Flow, Ack: a.ClientAck})
				continue
			}
			h := tunnel.Header{Kind: a.Kind, Flow: a.Flow, Class: a.Class, Final: a.Final}
			if a.Service != "" {
				h.Service = tunnel.ServiceIDOf(a.Service)
			}
			b.innerSocket.SendTunnelDatagram(a.Agent, h, a.Packet)
		case steering.Reset:
			b.sendReset(a)
		}
		b.recordDecision(a, now, version)
	}
	for agent, q := range questions {
		b.innerSocket.SendQuestions(agent, q)
	}
}

// sendReset sends the client a reset of its flow.
func (b *Balancer) sendReset(a *steering.Action) {
	var buf [packet.MaxLen]byte
	raw := b.platform.Codec.AppendReset(buf[:0], a.Flow, a.ClientAck)
	to := netip.AddrPortFrom(a.Flow.Client.Addr(), b.settings.ClientAddr.Port())
	if _, err := b.clientConn.WriteToUDPAddrPort(raw, to); err != nil {
		b.counters.clientSocketErrors.Inc()
	}
}

var outcomeNames = [...]string{steering.Send: "send", steering.Reset: "reset", steering.Drop: "drop"}

// recordDecision records a decision for /debug/flows, unless it concerns a packet
// of a known flow or of a flow that already waits. It logs the decision unless
// its cause is routine.
func (b *Balancer) recordDecision(a *steering.Action, now time.Time, version uint64) {
	if a.Cause == steering.Known || a.Cause == steering.Waiting {
		return
	}
	d := trace.Decision{At: now, Flow: a.Flow, Outcome: outcomeNames[a.Op], Cause: a.Cause.String(), Version: version}
	if a.Agent.IsValid() {
		d.Peer = a.Agent.String()
	}
	b.decisions.Add(d)
	if a.Cause == steering.Placed || a.Cause == steering.LookedUp || !b.flowLogLimit.Allow(now) {
		return
	}
	e := b.log.Info().Str("event", "flow").Stringer("flow", a.Flow).Str("outcome", d.Outcome).Str("cause", d.Cause).Uint64("version", version)
	if d.Peer != "" {
		e.Str("agent", d.Peer)
	}
	e.Msg("")
}

// HandleMessage handles a control message.
func (b *Balancer) HandleMessage(m *control.Message) {
	now := time.Now()
	b.platform.Epochs.Observe(m.StoreEpoch) // an older epoch than the known one is ignored
	b.mu.Lock()
	out := b.members.Receive(now, m)
	if m.Kind == control.Heartbeat {
		b.refreshTarget(now, m.From.Addr)
	}
	b.updateSettled(now)
	actions := b.syncTargets(now)
	newerAvailable := b.members.NewestVersion().Number > b.steering.Routes().Version()
	b.mu.Unlock()
	b.sendMessages(out)
	b.execute(actions)
	if newerAvailable {
		b.wakePeerFetch()
	}
}

func (b *Balancer) sendMessages(out []membership.Outgoing) {
	if err := b.innerSocket.SendMessages(out); err != nil {
		b.log.Error().Err(err).Msg("failed to encode control message")
	}
}

// wakePeerFetch wakes syncWithPeers. It does nothing if a wakeup is already pending.
func (b *Balancer) wakePeerFetch() {
	select {
	case b.peerConfigNewer <- struct{}{}:
	default:
	}
}
