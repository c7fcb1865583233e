package steering

import (
	"net/netip"
	"slices"
	"time"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/tunnel"
)

// bufferedPacket is a packet of the client that waits for the flow's owner.
type bufferedPacket struct {
	raw     []byte
	hasData bool
}

// startLookup starts a lookup of a flow's owner, or buffers the packet h, raw on the wire, for
// the one in progress. The targets that rank highest for the flow are queried at
// once, the others in later ticks. Agents in refused, which are known not to hold
// the flow, are not queried.
func (t *Table) startLookup(now time.Time, k packet.Key, f *flow, h *packet.Header, raw []byte, out []Action, refused ...netip.AddrPort) []Action {
	if f.lookup != nil {
		f.lookup.buffer(h, raw)
		return append(out, Action{Op: Drop, Cause: Waiting, Flow: k})
	}
	if len(t.pending) >= maxPendingFlows {
		return append(out, Action{Op: Drop, Cause: Unsettled, Flow: k})
	}
	l := &lookup{started: now, refused: refused, retryAfter: queryRetryDelay}
	l.buffer(h, raw)
	f.lookup = l
	t.pending[k] = f
	first := t.likelyOwners(k)
	if len(t.targets) <= singleWaveAgents {
		first = t.unqueriedAgents(l, singleWaveAgents)
	}
	l.outstanding = slices.DeleteFunc(first, func(a netip.AddrPort) bool { return slices.Contains(refused, a) })
	if len(l.outstanding) == 0 {
		return t.resetIfUnowned(now, k, f, out)
	}
	return t.sendQueries(now, k, f, l.outstanding, out)
}

// buffer buffers a packet of the client until the owner is found; packets beyond
// maxBufferedPackets are dropped.
func (l *lookup) buffer(h *packet.Header, raw []byte) {
	if len(l.buffered) < maxBufferedPackets {
		l.buffered = append(l.buffered, bufferedPacket{slices.Clone(raw), h.DataLen > 0})
	}
}

// questionPacket returns the shortest buffered packet that a host which holds the flow
// answers. A bare acknowledgement gets no answer, and is only taken if there is nothing else.
func (l *lookup) questionPacket() []byte {
	return slices.MinFunc(l.buffered, func(a, b bufferedPacket) int {
		if a.hasData != b.hasData {
			if a.hasData {
				return -1
			}
			return 1
		}
		return len(a.raw) - len(b.raw)
	}).raw
}

// likelyOwners returns the agents that the flow was most likely placed on: those
// that rank highest for it.
func (t *Table) likelyOwners(k packet.Key) (agents []netip.AddrPort) {
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

// unqueriedAgents returns up to n agents that the lookup has not queried yet.
func (t *Table) unqueriedAgents(l *lookup, n int) (agents []netip.AddrPort) {
	for a := range t.targets {
		if !slices.Contains(l.outstanding, a) && !slices.Contains(l.refused, a) {
			agents = append(agents, a)
		}
	}
	slices.SortFunc(agents, netip.AddrPort.Compare)
	return agents[:min(n, len(agents))]
}

// sendQueries appends the queries to agents to out and deducts them from the
// query budget of the tick.
func (t *Table) sendQueries(now time.Time, k packet.Key, f *flow, agents []netip.AddrPort, out []Action) []Action {
	f.lookup.lastQuery = now
	t.queryBudget -= len(agents)
	for _, a := range agents {
		out = append(out, t.query(k, f, a))
	}
	return out
}

// query returns the query to an agent. It carries a packet only for an unsure agent whose turn
// it is or was.
func (t *Table) query(k packet.Key, f *flow, agent netip.AddrPort) Action {
	x := Action{Op: Send, Cause: LookedUp, Flow: k, Agent: agent, Kind: tunnel.Ask, ClientAck: f.clientAck}
	if slices.Contains(f.lookup.asked, agent) {
		x.Packet = f.lookup.questionPacket()
	}
	return x
}

// handleLookupRefusal handles the answer of an agent that does not hold the flow,
// or does not know whether it does.
func (t *Table) handleLookupRefusal(now time.Time, from netip.AddrPort, h *tunnel.Header, f *flow, out []Action) []Action {
	l, k := f.lookup, h.Flow
	if slices.Contains(l.refused, from) {
		return out
	}
	t.dropEnded(l)
	if h.Reason == tunnel.Unsure {
		if !slices.Contains(l.unsure, from) {
			l.unsure = append(l.unsure, from)
			return t.askUnsure(now, k, f, out)
		}
		return out
	}
	l.outstanding = slices.DeleteFunc(l.outstanding, func(a netip.AddrPort) bool { return a == from })
	l.refused = append(l.refused, from)
	return t.resetIfUnowned(now, k, f, t.askUnsure(now, k, f, out))
}

// dropEnded removes the agents from a lookup that have ended or fallen silent since they were
// queried.
func (t *Table) dropEnded(l *lookup) {
	l.outstanding = slices.DeleteFunc(l.outstanding, func(a netip.AddrPort) bool { return t.targets[a] == nil })
}

// askUnsure sends a packet of the flow to agents that are unsure once all queried agents have
// answered. Each of them puts it to its host. Hosts that do not hold the flow should see as
// few of its packets as possible, and none after its own has, so the likely owners are
// asked one after the other.
func (t *Table) askUnsure(now time.Time, k packet.Key, f *flow, out []Action) []Action {
	l := f.lookup
	waiting := slices.ContainsFunc(l.outstanding, func(a netip.AddrPort) bool { return !slices.Contains(l.unsure, a) })
	asking := slices.ContainsFunc(l.outstanding, func(a netip.AddrPort) bool { return slices.Contains(l.asked, a) })
	if waiting && !l.retried || asking && now.Sub(l.askedAt) < waveInterval {
		return out
	}
	for _, a := range t.nextToAsk(k, l) {
		l.asked, l.askedAt = append(l.asked, a), now
		out = append(out, t.query(k, f, a))
	}
	return out
}

// nextToAsk returns the unsure agents to send a packet of the flow to: the first likely owner
// that has not got one, or else all others.
func (t *Table) nextToAsk(k packet.Key, l *lookup) []netip.AddrPort {
	left := slices.DeleteFunc(slices.Clone(l.unsure), func(a netip.AddrPort) bool {
		return !slices.Contains(l.outstanding, a) || slices.Contains(l.asked, a)
	})
	for _, a := range t.likelyOwners(k) {
		if slices.Contains(left, a) {
			return []netip.AddrPort{a}
		}
	}
	return left
}

// continueLookup continues a lookup at a tick: it sends the next wave, repeats
// unanswered queries or abandons the lookup. Queries per tick are bounded so that
// a fleet in which many flows are lost at once does not saturate slow links.
func (t *Table) continueLookup(now time.Time, k packet.Key, f *flow, out []Action) []Action {
	l := f.lookup
	t.dropEnded(l)
	if now.Sub(l.started) >= lookupTimeout {
		f.lookup = nil
		t.updatePending(k, f)
		return out
	}
	if t.queryBudget <= 0 {
		return out
	}
	if len(l.outstanding) == 0 || now.Sub(l.lastQuery) >= waveInterval && !l.retried {
		if more := t.unqueriedAgents(l, maxOutstandingQueries-len(l.outstanding)); len(more) > 0 && len(l.refused) < maxLookupRefusals {
			l.outstanding = append(l.outstanding, more...)
			return t.sendQueries(now, k, f, more, out)
		}
	}
	if len(l.outstanding) > 0 && now.Sub(l.lastQuery) >= l.retryAfter {
		l.retryAfter *= 2 // an agent behind a slow link may still answer
		l.retried = true
		return t.sendQueries(now, k, f, l.outstanding, out)
	}
	return t.resetIfUnowned(now, k, f, t.askUnsure(now, k, f, out))
}

// resetIfUnowned ends a lookup with a reset when every agent has refused the
// flow. While the list of targets is incomplete the lookup continues, because an
// unknown agent may be the owner.
func (t *Table) resetIfUnowned(now time.Time, k packet.Key, f *flow, out []Action) []Action {
	l := f.lookup
	if len(l.outstanding) > 0 || !t.settled || len(t.targets) == 0 || len(t.unqueriedAgents(l, 1)) > 0 {
		return out
	}
	f.lookup = nil
	t.updatePending(k, f)
	f.lostAt = now
	return append(out, Action{Op: Reset, Cause: Lost, Flow: k, ClientAck: f.clientAck})
}
