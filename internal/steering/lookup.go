package steering

import (
	"net/netip"
	"slices"
	"time"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/parcel"
)

// Looks for the owner of a flow: the targets that rank highest for the flow are
// asked at once, the others with the next ticks. Agents that are known not to
// hold it are left out.
func (t *Table) find(now time.Time, k packet.Key, f *flow, raw []byte, out []Action, refused ...netip.AddrPort) []Action {
	if f.lookup != nil {
		f.lookup.hold(raw)
		return append(out, Action{Verb: Drop, Cause: Waiting, Flow: k})
	}
	if len(t.pending) >= maxPending {
		return append(out, Action{Verb: Drop, Cause: Unsettled, Flow: k})
	}
	l := &lookup{started: now, refused: refused, again: askAgain}
	l.hold(raw)
	f.lookup = l
	t.pending[k] = f
	first := t.likely(k)
	if len(t.targets) <= smallFleet {
		first = t.unasked(l, smallFleet)
	}
	l.waiting = slices.DeleteFunc(first, func(a netip.AddrPort) bool { return slices.Contains(refused, a) })
	if len(l.waiting) == 0 {
		return t.conclude(now, k, f, out)
	}
	return t.ask(now, k, f, l.waiting, out)
}

func (l *lookup) hold(raw []byte) {
	if len(l.held) < maxHeld {
		l.held = append(l.held, slices.Clone(raw))
	}
}

// Returns the agents that the flow was most likely placed on.
func (t *Table) likely(k packet.Key) (agents []netip.AddrPort) {
	r := t.routes.Lookup(k.Route)
	if r == nil {
		return nil
	}
	hash := k.Hash()
	service, _ := r.Service(hash)
	ranked := t.services[service].rank(hash, func(n *target) bool { return true })
	for _, n := range ranked.targets[:ranked.n] {
		agents = append(agents, n.Agent)
	}
	return agents
}

// Returns up to n agents that have not been asked yet.
func (t *Table) unasked(l *lookup, n int) (agents []netip.AddrPort) {
	for a := range t.targets {
		if !slices.Contains(l.waiting, a) && !slices.Contains(l.refused, a) {
			agents = append(agents, a)
		}
	}
	slices.SortFunc(agents, netip.AddrPort.Compare)
	return agents[:min(n, len(agents))]
}

func (t *Table) ask(now time.Time, k packet.Key, f *flow, agents []netip.AddrPort, out []Action) []Action {
	f.lookup.asked = now
	t.budget -= len(agents)
	for _, a := range agents {
		out = append(out, t.question(k, f, a))
	}
	return out
}

// Returns the question to an agent; it carries a packet only where the agent
// can't tell otherwise.
func (t *Table) question(k packet.Key, f *flow, agent netip.AddrPort) Action {
	x := Action{Verb: Send, Cause: LookedUp, Flow: k, Agent: agent, Kind: parcel.Ask, ClientAck: f.ack}
	if slices.Contains(f.lookup.unsure, agent) {
		x.Packet = slices.MinFunc(f.lookup.held, func(a, b []byte) int { return len(a) - len(b) })
	}
	return x
}

func (t *Table) refusedLookup(now time.Time, from netip.AddrPort, h *parcel.Header, f *flow, out []Action) []Action {
	l, k := f.lookup, h.Flow
	if l == nil || slices.Contains(l.refused, from) {
		return out
	}
	if h.Reason == parcel.Unsure {
		if !slices.Contains(l.unsure, from) {
			l.unsure = append(l.unsure, from)
			return append(out, t.question(k, f, from))
		}
		return out
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(a netip.AddrPort) bool { return a == from })
	l.refused = append(l.refused, from)
	return t.conclude(now, k, f, out)
}

// Goes on with a lookup at a tick. What a tick may ask is bounded, so that a
// fleet in which many flows are lost at once does not fill slow links.
func (t *Table) continueLookup(now time.Time, k packet.Key, f *flow, out []Action) []Action {
	l := f.lookup
	l.waiting = slices.DeleteFunc(l.waiting, func(a netip.AddrPort) bool { return t.targets[a] == nil })
	if now.Sub(l.started) >= lookupFor {
		f.lookup = nil
		delete(t.pending, k)
		return out
	}
	if t.budget <= 0 {
		return out
	}
	if len(l.waiting) == 0 || now.Sub(l.asked) >= waveAfter && !l.repeated {
		if more := t.unasked(l, maxAsked-len(l.waiting)); len(more) > 0 && len(l.refused) < maxRefused {
			l.waiting = append(l.waiting, more...)
			return t.ask(now, k, f, more, out)
		}
	}
	if len(l.waiting) > 0 && now.Sub(l.asked) >= l.again {
		l.again *= 2 // an agent behind a slow link answers late
		l.repeated = true
		return t.ask(now, k, f, l.waiting, out)
	}
	return t.conclude(now, k, f, out)
}

// Ends a lookup in which every agent has refused the flow. Until all members are
// known it stays open, since the owner may be one of those that are not.
func (t *Table) conclude(now time.Time, k packet.Key, f *flow, out []Action) []Action {
	l := f.lookup
	if len(l.waiting) > 0 || !t.settled || len(t.targets) == 0 || len(t.unasked(l, 1)) > 0 {
		return out
	}
	f.lookup = nil
	delete(t.pending, k)
	f.lost = now
	return append(out, Action{Verb: Reset, Cause: Lost, Flow: k, ClientAck: f.ack})
}
