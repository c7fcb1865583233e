package steering

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/route"
	"skylarkturn/internal/tunnel"
)

// handleOpen handles a packet that opens a flow. A newer retransmission goes to
// another target unless the first one has accepted the flow.
func (t *Table) handleOpen(now time.Time, k packet.Key, f *flow, h *packet.Header, raw []byte, out []Action) []Action {
	r := t.routes.Lookup(k.Route)
	if t.routes != nil && r == nil {
		return append(out, Action{Op: Reset, Cause: NoRoute, Flow: k, ClientAck: h.Ack})
	}
	if f == nil {
		f = t.addFlow(now, k, r)
		return t.place(now, k, r, f, h.Ack, raw, out)
	}
	if f.queuedOpen != nil {
		return append(out, Action{Op: Drop, Cause: Waiting, Flow: k})
	}
	if now.Sub(f.firstSeen) >= openTimeout {
		f.resetAttempts(now)
		return t.place(now, k, r, f, h.Ack, raw, out)
	}
	retransmitted := h.Ack > f.retransmission
	f.retransmission = max(f.retransmission, h.Ack)
	switch owner := t.targets[f.owner]; {
	case owner != nil && (f.ownership != placed || !retransmitted):
		cause := Known
		if f.ownership == placed {
			cause = Placed
		}
		return append(out, Action{Op: Send, Cause: cause, Flow: k, Agent: f.owner, Kind: tunnel.Deliver, Service: serviceOf(r, k, owner), Class: owner.classOf(f), Packet: raw})
	case f.owner.IsValid():
		f.tried = append(f.tried, f.owner)
	}
	return t.place(now, k, r, f, h.Ack, raw, out)
}

// serviceOf returns the service that a route sends a flow to, or that of the flow's target
// while there is no configuration. The target's may have changed since the flow was placed.
func serviceOf(r *route.Route, k packet.Key, owner *target) string {
	if r == nil {
		return owner.Service
	}
	service, _ := r.Service(k.Hash()) // empty if the route has none: no host accepts the flow
	return service
}

// place places a new flow of a route on a target that it has not been tried on. The route
// is nil while there is no configuration.
func (t *Table) place(now time.Time, k packet.Key, r *route.Route, f *flow, clientAck uint32, raw []byte, out []Action) []Action {
	f.clearOwner()
	if r == nil {
		return append(out, t.queueOpen(now, k, f, raw))
	}
	if f.crowded && now.Sub(f.firstSeen) >= f.longestWait() {
		f.tried = f.tried[:0] // a later retransmission may try them again
		return append(out, Action{Op: Reset, Cause: AllRefused, Flow: k, ClientAck: clientAck})
	}
	hash := k.Hash()
	service, ok := r.Service(hash)
	if !ok {
		return append(out, Action{Op: Reset, Cause: NoTarget, Flow: k, ClientAck: clientAck})
	}
	best, final := t.services[service].choose(now, hash, k.Route, f)
	if best == nil {
		return append(out, t.queueOrRefuse(now, k, f, service, clientAck, raw))
	}
	f.owner = best.Agent
	best.placed++
	best.crowding[k.Route].recordPlacement(now)
	cause := Placed
	if len(f.tried) > 0 {
		cause = PlacedAgain
	}
	class := best.classOf(f)
	return append(out, Action{
		Op: Send, Cause: cause, Flow: k, Agent: best.Agent, Kind: tunnel.Deliver, Service: service,
		Class: class, Final: final && class.Known(), Packet: raw, Waited: now.Sub(f.firstSeen),
	})
}

// choose returns the target to place a flow on, or nil, and whether no less busy target
// is known. Targets where requests wait are only chosen if there is no other one.
func (g *targetGroup) choose(now time.Time, hash uint64, r packet.Endpoint, f *flow) (best *target, final bool) {
	anyBusy := false
	ranked := g.rank(hash, func(n *target) bool {
		busy, throttled := n.crowded(now, r)
		anyBusy = anyBusy || busy
		return !busy && !throttled && n.available() && !slices.Contains(f.tried, n.Agent)
	})
	if ranked.n == 0 && anyBusy {
		ranked = g.rank(hash, func(n *target) bool {
			_, throttled := n.crowded(now, r)
			return !throttled && n.available() && !slices.Contains(f.tried, n.Agent)
		})
		return ranked.leastLoaded(), true
	}
	return ranked.leastLoaded(), ranked.n == 1
}

// queueOrRefuse queues a new flow without an available target when one may accept
// it soon, and resets it otherwise.
func (t *Table) queueOrRefuse(now time.Time, k packet.Key, f *flow, service string, clientAck uint32, raw []byte) Action {
	group := t.services[service]
	starting, crowded := group.pendingCapacity(now, k.Route)
	switch {
	case starting:
	case crowded && group.mayWait(now, k.Route, f):
		group.waitingOf(k.Route).queued++
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

// retryQueued retries the placement of all queued flows: the most urgent first, then
// those that can still meet their objective, then the oldest.
func (t *Table) retryQueued(now time.Time, out []Action) []Action {
	for _, g := range t.services {
		g.startTick(now)
	}
	queued := make([]packet.Key, 0, len(t.pending))
	for k, f := range t.pending {
		if f.queuedOpen != nil {
			queued = append(queued, k)
		}
	}
	slices.SortFunc(queued, func(a, b packet.Key) int {
		f, g := t.pending[a], t.pending[b]
		if late := f.isLate(now); f.class.Priority == g.class.Priority && late != g.isLate(now) {
			if late {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(f.class.Priority, g.class.Priority), f.firstSeen.Compare(g.firstSeen), cmp.Compare(a.Hash(), b.Hash()))
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
	t.updatePending(k, f)
	if now.Sub(f.firstSeen) >= openTimeout {
		return out
	}
	r := t.routes.Lookup(k.Route)
	if t.routes != nil && r == nil {
		return append(out, Action{Op: Reset, Cause: NoRoute, Flow: k})
	}
	before := len(out)
	out = t.place(now, k, r, f, f.retransmission, raw, out)
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
	loaded := n != nil && (h.Reason == tunnel.Crowded || h.Reason == tunnel.Busy)
	switch {
	case loaded && h.Reason == tunnel.Busy:
		n.crowdingOf(h.Flow.Route).recordBusyRefusal(now)
	case loaded:
		n.crowdingOf(h.Flow.Route).recordCrowdedRefusal(now)
		f.crowded = true
	case n != nil && h.Reason != tunnel.Full:
		n.refusing = true
	}
	r := t.routes.Lookup(h.Flow.Route)
	if f.owner != from || r == nil {
		return out
	}
	if !loaded {
		f.tried = append(f.tried, from)
	}
	return t.place(now, h.Flow, r, f, p.Ack, raw, out)
}
