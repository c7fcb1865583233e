package steering

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/tunnel"
)

// handleOpen handles a packet that opens a flow. A newer retransmission goes to
// another target unless the first one has confirmed the flow.
func (t *Table) handleOpen(now time.Time, k packet.Key, f *flow, h *packet.Header, raw []byte, out []Action) []Action {
	if t.routes != nil && t.routes.Lookup(k.Route) == nil {
		return append(out, Action{Op: Reset, Cause: NoRoute, Flow: k, ClientAck: h.Ack})
	}
	if f == nil {
		f = t.addFlow(now, k)
		return t.place(now, k, f, h.Ack, raw, out)
	}
	if f.queuedOpen != nil {
		return append(out, Action{Op: Drop, Cause: Waiting, Flow: k})
	}
	if now.Sub(f.firstSeen) >= openTimeout {
		f.resetAttempts(now)
	}
	retransmitted := h.Ack > f.retransmission
	f.retransmission = max(f.retransmission, h.Ack)
	switch owner := t.targets[f.owner]; {
	case owner != nil && (f.confirmed || !retransmitted):
		cause := Known
		if !f.confirmed {
			cause = Placed
		}
		return append(out, Action{Op: Send, Cause: cause, Flow: k, Agent: f.owner, Kind: tunnel.Deliver, Service: owner.Service, Packet: raw})
	case f.owner.IsValid():
		f.tried = append(f.tried, f.owner)
	}
	return t.place(now, k, f, h.Ack, raw, out)
}

// place places a new flow on a target that it has not been tried on.
func (t *Table) place(now time.Time, k packet.Key, f *flow, clientAck uint32, raw []byte, out []Action) []Action {
	f.owner, f.confirmed = netip.AddrPort{}, false
	if t.routes == nil {
		return append(out, t.queueOpen(now, k, f, raw))
	}
	if f.crowded && now.Sub(f.firstSeen) >= maxCrowdedWait {
		f.tried = f.tried[:0] // a later retransmission may try them again
		return append(out, Action{Op: Reset, Cause: AllRefused, Flow: k, ClientAck: clientAck})
	}
	hash := k.Hash()
	service, ok := t.routes.Lookup(k.Route).Service(hash)
	if !ok {
		return append(out, Action{Op: Reset, Cause: NoTarget, Flow: k, ClientAck: clientAck})
	}
	ranked := t.services[service].rank(hash, func(n *target) bool {
		return n.available() && !n.throttled(now) && !slices.Contains(f.tried, n.Agent)
	})
	best := ranked.leastLoaded()
	if best == nil {
		return append(out, t.queueOrRefuse(now, k, f, service, clientAck, raw))
	}
	f.owner = best.Agent
	best.recordPlacement(now)
	cause := Placed
	if len(f.tried) > 0 {
		cause = PlacedAgain
	}
	return append(out, Action{Op: Send, Cause: cause, Flow: k, Agent: best.Agent, Kind: tunnel.Deliver, Service: service, Packet: raw, Waited: now.Sub(f.firstSeen)})
}

// queueOrRefuse queues a new flow without an available target when one may accept
// it soon, and resets it otherwise.
func (t *Table) queueOrRefuse(now time.Time, k packet.Key, f *flow, service string, clientAck uint32, raw []byte) Action {
	starting, crowded := t.services[service].pendingCapacity(now)
	switch {
	case starting || crowded && now.Sub(f.firstSeen) < maxCrowdedWait:
	case crowded || len(f.tried) > 0:
		f.tried = f.tried[:0] // a later retransmission may try them again
		return Action{Op: Reset, Cause: AllRefused, Flow: k, ClientAck: clientAck}
	case t.settled:
		return Action{Op: Reset, Cause: NoTarget, Flow: k, ClientAck: clientAck}
	}
	return t.queueOpen(now, k, f, raw)
}

// queueOpen queues the packet that opens a flow until a later tick can place it.
func (t *Table) queueOpen(now time.Time, k packet.Key, f *flow, raw []byte) Action {
	if f.queuedOpen == nil && len(t.pending) < maxPendingFlows {
		f.queuedOpen = slices.Clone(raw)
		t.pending[k] = f
	}
	return Action{Op: Drop, Cause: Unsettled, Flow: k}
}

// retryQueued retries the placement of all queued flows, oldest first.
func (t *Table) retryQueued(now time.Time, out []Action) []Action {
	queued := make([]packet.Key, 0, len(t.pending))
	for k, f := range t.pending {
		if f.queuedOpen != nil {
			queued = append(queued, k)
		}
	}
	slices.SortFunc(queued, func(a, b packet.Key) int {
		return cmp.Or(t.pending[a].firstSeen.Compare(t.pending[b].firstSeen), cmp.Compare(a.Hash(), b.Hash()))
	})
	for _, k := range queued {
		out = t.retryPlacement(now, k, t.pending[k], out)
	}
	return out
}

// retryPlacement retries the placement of a queued flow, or drops the queued
// packet once its client has given up.
func (t *Table) retryPlacement(now time.Time, k packet.Key, f *flow, out []Action) []Action {
	raw := f.queuedOpen
	f.queuedOpen = nil
	delete(t.pending, k)
	if now.Sub(f.firstSeen) >= openTimeout {
		return out
	}
	if t.routes != nil && t.routes.Lookup(k.Route) == nil {
		return append(out, Action{Op: Reset, Cause: NoRoute, Flow: k})
	}
	before := len(out)
	out = t.place(now, k, f, f.retransmission, raw, out)
	if f.queuedOpen != nil {
		return out[:before] // the drop was reported when the packet was queued
	}
	return out
}

// handleOpenRefusal handles an agent's refusal of a packet that opens a flow:
// it tries the flow on another target, and places fewer or no further flows on the
// agent, depending on the reason.
func (t *Table) handleOpenRefusal(now time.Time, from netip.AddrPort, h *tunnel.Header, f *flow, p *packet.Header, raw []byte, out []Action) []Action {
	n := t.targets[from]
	crowded := n != nil && h.Reason == tunnel.Crowded
	switch {
	case crowded:
		n.recordCrowdedRefusal(now)
		f.crowded = true
	case n != nil && h.Reason != tunnel.Full:
		n.refusing = true
	}
	if f.owner != from || t.routes.Lookup(h.Flow.Route) == nil {
		return out
	}
	if !crowded {
		f.tried = append(f.tried, from)
	}
	return t.place(now, h.Flow, f, p.Ack, raw, out)
}
