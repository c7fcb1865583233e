package flowtable

import (
	"time"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/tunnel"
)

// HandleOutbound handles a packet from the host.
func (t *Table) HandleOutbound(now time.Time, p *packet.Header, raw []byte, out []Action) []Action {
	t.unanswered = unansweredPackets{}
	if p.Flags.Has(packet.Bounced) {
		return t.forwardStarted(now, t.handleBounced(now, p, raw, out))
	}
	k := p.KeyFromHost()
	f := t.flows[k]
	if p.Accepts() && !t.mayAccept(now, f) {
		return t.dropAcceptance(now, k, f, out)
	}
	if f == nil {
		f = t.learnFlow(now, k, p)
	}
	if f != nil {
		out = t.updateFromHost(now, k, f, p, raw, out)
	}
	out = append(out, Action{Op: ToClient, Cause: Usual, Flow: k, Packet: raw})
	if len(t.started) > 0 {
		out = t.forwardStarted(now, out)
	}
	return out
}

// mayAccept reports whether the client may get the host's acceptance of a flow. Another
// host than the one that the opening packet was for may have sent it. An acceptance
// without such a packet is for a client that has given up, or for an earlier agent process.
func (t *Table) mayAccept(now time.Time, f *flow) bool {
	return f != nil && (!f.awaitsAcceptance() || t.absenceReason(now, f.service) == 0)
}

// dropAcceptance discards the acceptance of a flow, so that its client opens it elsewhere.
func (t *Table) dropAcceptance(now time.Time, k packet.Key, f *flow, out []Action) []Action {
	if f != nil {
		t.remove(now, k, f)
	}
	return append(out, Action{Op: Drop, Cause: HostUnknown, Flow: k})
}

// learnFlow adds a flow that an incomplete table does not contain yet, from a
// packet of the host. It returns nil for a reset and, if the table is complete,
// for the remaining packets of a flow that has ended.
func (t *Table) learnFlow(now time.Time, k packet.Key, p *packet.Header) *flow {
	if t.complete || p.Flags.Has(packet.RST) {
		return nil
	}
	f := t.add(now, k)
	f.state, f.clientAck = open, p.Seq // slightly ahead of what the client has acknowledged
	return f
}

// updateFromHost updates a flow with a packet from the host, raw on the wire, and answers
// the balancers that have placed it or queried its owner. An acceptance does not answer a
// query: the client may have taken that of another host.
func (t *Table) updateFromHost(now time.Time, k packet.Key, f *flow, p *packet.Header, raw []byte, out []Action) []Action {
	f.lastPacketAt = now
	if p.Flags.Has(packet.ACK) {
		f.hostAck, f.hostAckValid = p.Ack, true
	}
	if p.Accepts() {
		first := !f.accepted
		f.acceptSeq, f.accepted = p.Seq, true
		if first && f.balancer.IsValid() {
			out = append(out, acceptedReply(k, f.balancer, raw))
		}
		return out
	}
	if q, ok := t.questions[k]; ok {
		delete(t.questions, k)
		out = append(out, ownedReply(k, q.balancer))
	}
	if p.DataLen > 0 && f.request.stage == running { // else it repeats an earlier answer
		t.recordWork(now, f)
		t.endRequest(now, f)
	}
	if p.Flags.Has(packet.FIN) {
		f.hostFin = true
	}
	if p.Flags.Has(packet.RST) || f.hostFin && f.clientFin {
		t.closeFlow(now, f)
	}
	return out
}

// handleBounced handles a client packet that the host returned because it does
// not hold, or does not accept, the flow.
func (t *Table) handleBounced(now time.Time, p *packet.Header, raw []byte, out []Action) []Action {
	k := p.KeyFromClient()
	if q, ok := t.questions[k]; ok {
		delete(t.questions, k)
		return append(out, refusedReply(k, q.balancer, q.kind, tunnel.NotHeld, raw))
	}
	f := t.flows[k]
	switch {
	case f == nil || f.state == closed:
		return append(out, Action{Op: Drop, Cause: Bounced, Flow: k})
	case p.Opens():
		if f.accepted {
			return append(out, Action{Op: Drop, Cause: Bounced, Flow: k})
		}
		balancer := f.balancer
		t.remove(now, k, f)
		return append(out, refusedReply(k, balancer, tunnel.Deliver, tunnel.Full, raw))
	case f.state == halfOpen:
		return append(out, Action{Op: Drop, Cause: Bounced, Flow: k})
	}
	t.remove(now, k, f)
	return append(out, Action{Op: Reset, Cause: Bounced, Flow: k, ClientAck: p.Ack})
}
