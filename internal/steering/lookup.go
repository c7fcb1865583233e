package steering

import (
	"net/netip"
	"slices"
	"time"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/parcel"
)

// Looks for the owner of a flow: the targets that rank highest for the flow are
// asked first, then all others. Agents that are known not to hold it are left
// out.
func (t *Table) find(now time.Time, k packet.Key, f *flow, raw []byte, out []Action, refused ...netip.AddrPort) []Action {
	l := f.lookup
	if l != nil {
		l.hold(raw)
		if now.Sub(l.asked) >= askAgain && len(l.waiting) > 0 {
			return t.ask(now, k, f, l.waiting, out)
		}
		return append(out, Action{Verb: Drop, Cause: Waiting, Flow: k})
	}
	if len(t.pending) >= maxPending {
		return append(out, Action{Verb: Drop, Cause: Unsettled, Flow: k})
	}
	l = &lookup{started: now, refused: refused}
	l.hold(raw)
	f.lookup = l
	t.pending[k] = f
	l.waiting = slices.DeleteFunc(t.likely(k), func(a netip.AddrPort) bool { return contains(refused, a) })
	if len(l.waiting) == 0 {
		return t.askRest(now, k, f, out)
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
	ranked := rank(hash, t.services[service], func(n *target) bool { return true })
	for _, n := range ranked.targets[:ranked.n] {
		agents = append(agents, n.Agent)
	}
	return agents
}

func (t *Table) ask(now time.Time, k packet.Key, f *flow, agents []netip.AddrPort, out []Action) []Action {
	l := f.lookup
	l.asked = now
	for _, a := range agents {
		out = append(out, Action{Verb: Send, Cause: LookedUp, Flow: k, Agent: a, Kind: parcel.Ask, Packet: l.held[0]})
	}
	return out
}

// Asks the agents that have not been asked yet.
func (t *Table) askRest(now time.Time, k packet.Key, f *flow, out []Action) []Action {
	l := f.lookup
	asked := len(l.waiting) + len(l.refused)
	var rest []netip.AddrPort
	for a := range t.targets {
		if asked+len(rest) >= maxAsked {
			break
		}
		if !contains(l.waiting, a) && !contains(l.refused, a) {
			rest = append(rest, a)
		}
	}
	slices.SortFunc(rest, netip.AddrPort.Compare)
	l.wide = true
	l.waiting = append(l.waiting, rest...)
	switch {
	case len(l.waiting) == 0:
		return t.conclude(now, k, f, out)
	case len(rest) == 0:
		return out
	}
	return t.ask(now, k, f, rest, out)
}

func (t *Table) refusedLookup(now time.Time, from netip.AddrPort, k packet.Key, f *flow, out []Action) []Action {
	l := f.lookup
	if l == nil || contains(l.refused, from) {
		return out
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(a netip.AddrPort) bool { return a == from })
	l.refused = append(l.refused, from)
	if len(l.waiting) == 0 {
		return t.askRest(now, k, f, out)
	}
	return out
}

// Goes on with a lookup that has waited for some time.
func (t *Table) continueLookup(now time.Time, k packet.Key, f *flow, out []Action) []Action {
	l := f.lookup
	l.waiting = slices.DeleteFunc(l.waiting, func(a netip.AddrPort) bool { return t.targets[a] == nil })
	switch {
	case now.Sub(l.started) >= lookupFor:
		f.lookup = nil
		delete(t.pending, k)
	case len(l.waiting) == 0:
		return t.askRest(now, k, f, out)
	case !l.wide && now.Sub(l.asked) >= waveAfter:
		return t.askRest(now, k, f, out)
	case now.Sub(l.asked) >= askAgain:
		return t.ask(now, k, f, l.waiting, out)
	}
	return out
}

// Ends a lookup in which no agent held the flow. Until all members are known it
// stays open, since the owner may be one of those that are not.
func (t *Table) conclude(now time.Time, k packet.Key, f *flow, out []Action) []Action {
	if !t.settled || len(t.targets) == 0 {
		return out
	}
	f.lookup = nil
	delete(t.pending, k)
	f.lost = now
	return append(out, Action{Verb: Reset, Cause: Lost, Flow: k, ClientAck: f.ack})
}
