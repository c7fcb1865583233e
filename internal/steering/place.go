package steering

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/parcel"
)

// Decides on a packet that opens a flow.
func (t *Table) opening(now time.Time, k packet.Key, f *flow, h *packet.Head, raw []byte, out []Action) []Action {
	if t.routes != nil && t.routes.Lookup(k.Route) == nil {
		return append(out, Action{Verb: Reset, Cause: NoRoute, Flow: k, ClientAck: h.Ack})
	}
	if f == nil {
		f = t.remember(now, k)
		return t.place(now, k, f, h.Ack, raw, out)
	}
	if f.parked != nil {
		return append(out, Action{Verb: Drop, Cause: Waiting, Flow: k})
	}
	if now.Sub(f.since) >= openingFor {
		f.renew(now)
	}
	later := h.Ack > f.copies
	f.copies = max(f.copies, h.Ack)
	switch owner := t.targets[f.owner]; {
	case owner != nil && (f.owned || !later):
		cause := Known
		if !f.owned {
			cause = Placed
		}
		return append(out, Action{Verb: Send, Cause: cause, Flow: k, Agent: f.owner, Kind: parcel.Deliver, Service: owner.Service, Packet: raw})
	case f.owner.IsValid():
		f.tried = append(f.tried, f.owner)
	}
	return t.place(now, k, f, h.Ack, raw, out)
}

// Places a new flow on a target that has not been tried.
func (t *Table) place(now time.Time, k packet.Key, f *flow, clientAck uint32, raw []byte, out []Action) []Action {
	f.owner, f.owned = netip.AddrPort{}, false
	if t.routes == nil {
		return append(out, t.park(now, k, f, raw))
	}
	if f.crowded && now.Sub(f.since) >= crowdedWait {
		f.tried = f.tried[:0] // a later copy may try them again
		return append(out, Action{Verb: Reset, Cause: AllRefused, Flow: k, ClientAck: clientAck})
	}
	hash := k.Hash()
	service, ok := t.routes.Lookup(k.Route).Service(hash)
	if !ok {
		return append(out, Action{Verb: Reset, Cause: NoTarget, Flow: k, ClientAck: clientAck})
	}
	ranked := t.services[service].rank(hash, func(n *target) bool {
		return n.open() && !n.crowded(now) && !slices.Contains(f.tried, n.Agent)
	})
	best := ranked.lightest()
	if best == nil {
		return append(out, t.unplaced(now, k, f, service, clientAck, raw))
	}
	f.owner = best.Agent
	best.give(now)
	cause := Placed
	if len(f.tried) > 0 {
		cause = PlacedAgain
	}
	return append(out, Action{Verb: Send, Cause: cause, Flow: k, Agent: best.Agent, Kind: parcel.Deliver, Service: service, Packet: raw, Waited: now.Sub(f.since)})
}

// Decides on a new flow that no target takes: it waits where one may take it
// soon, and is refused at once where none will.
func (t *Table) unplaced(now time.Time, k packet.Key, f *flow, service string, clientAck uint32, raw []byte) Action {
	coming, crowded := t.services[service].prospects(now)
	switch {
	case coming || crowded && now.Sub(f.since) < crowdedWait:
	case crowded || len(f.tried) > 0:
		f.tried = f.tried[:0] // a later copy may try them again
		return Action{Verb: Reset, Cause: AllRefused, Flow: k, ClientAck: clientAck}
	case t.settled:
		return Action{Verb: Reset, Cause: NoTarget, Flow: k, ClientAck: clientAck}
	}
	return t.park(now, k, f, raw)
}

// Keeps the packet that opens a flow until more is known of routes and targets.
func (t *Table) park(now time.Time, k packet.Key, f *flow, raw []byte) Action {
	if f.parked == nil && len(t.pending) < maxPending {
		f.parked = slices.Clone(raw)
		t.pending[k] = f
	}
	return Action{Verb: Drop, Cause: Unsettled, Flow: k}
}

// Tries again to place the flows whose opening packets are parked, the oldest
// first.
func (t *Table) unparkAll(now time.Time, out []Action) []Action {
	waiting := make([]packet.Key, 0, len(t.pending))
	for k, f := range t.pending {
		if f.parked != nil {
			waiting = append(waiting, k)
		}
	}
	slices.SortFunc(waiting, func(a, b packet.Key) int {
		return cmp.Or(t.pending[a].since.Compare(t.pending[b].since), cmp.Compare(a.Hash(), b.Hash()))
	})
	for _, k := range waiting {
		out = t.unpark(now, k, t.pending[k], out)
	}
	return out
}

// Tries again to place a flow whose opening packet is parked.
func (t *Table) unpark(now time.Time, k packet.Key, f *flow, out []Action) []Action {
	raw := f.parked
	f.parked = nil
	delete(t.pending, k)
	if now.Sub(f.since) >= openingFor {
		return out
	}
	if t.routes != nil && t.routes.Lookup(k.Route) == nil {
		return append(out, Action{Verb: Reset, Cause: NoRoute, Flow: k})
	}
	before := len(out)
	out = t.place(now, k, f, f.copies, raw, out)
	if f.parked != nil {
		return out[:before] // nothing new to tell
	}
	return out
}

func (t *Table) refusedOpening(now time.Time, from netip.AddrPort, h *parcel.Header, f *flow, p *packet.Head, raw []byte, out []Action) []Action {
	n := t.targets[from]
	crowded := n != nil && h.Reason == parcel.Crowded
	switch {
	case crowded:
		n.refuseCrowded(now)
		f.crowded = true
	case n != nil && h.Reason != parcel.Full:
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
