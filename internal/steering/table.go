package steering

import (
	"iter"
	"maps"
	"net/netip"
	"time"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/route"
	"skylarkturn/internal/tunnel"
)

const (
	maxFlows              = 1 << 17                 // cached flows; at most about 20 MB
	flowIdleTimeout       = 30 * time.Second        // an evicted owner is found again by a lookup
	maxBufferedPackets    = 8                       // per flow, during a lookup
	maxPendingFlows       = 4096                    // flows with a lookup or a queued opening packet
	maxOutstandingQueries = 64                      // per lookup
	maxLookupRefusals     = 512                     // per lookup; no more agents are queried after these
	singleWaveAgents      = 16                      // fleets up to this size are queried in one wave
	maxQueriesPerTick     = 1000                    // about 16 KB in batches
	waveInterval          = 60 * time.Millisecond   // before more agents are queried while answers are missing
	queryRetryDelay       = 180 * time.Millisecond  // shorter than a client's first retransmission timeout
	lookupTimeout         = 4 * time.Second         // an unfinished lookup is abandoned without a reset
	openTimeout           = 1400 * time.Millisecond // a client stops retransmitting its opening packet by then
	lostFlowResetPeriod   = 2 * time.Second         // packets of a lost flow are reset without another lookup
	silentTargetTimeout   = 2500 * time.Millisecond // a VM that was paused or cut off for a few seconds is back by then
	maxSweptPerTick       = 2048                    // flows checked for idleness in one tick
)

// ownership is what is known of the cached owner of a flow.
type ownership uint8

const (
	placed   ownership = iota // the flow was placed on it
	accepted                  // its host has accepted the flow; other hosts may have done so, too
	held                      // its host holds the flow
)

// flow is the cached state of one flow.
type flow struct {
	owner          netip.AddrPort   // invalid while unknown
	ownership      ownership        // of owner
	acceptSeq      uint32           // sequence number of the host's acceptance, if ownership is accepted
	crowded        bool             // a target has refused it with tunnel.Crowded
	established    bool             // the client has sent more than opening packets, and neither FIN nor RST
	acked          bool             // the client has acknowledged an acceptance; clientAck is valid
	retransmission uint32           // highest retransmission number of the opening packet, sent in its Ack field
	tried          []netip.AddrPort // targets not to place the flow on again
	firstSeen      time.Time        // first packet of the current attempt to open it
	lastUsed       time.Time        // last packet of the client or answer of the owner
	clientAck      uint32           // the client's latest acknowledgement number
	class          route.Class      // of its requests, when its first packet arrived
	lostAt         time.Time        // when the flow was found to have no owner
	lookup         *lookup
	queuedOpen     []byte // opening packet that waits for a target
}

// resetAttempts clears earlier attempts to open a flow from the same client port.
// After openTimeout the client has abandoned them, and the packet opens another
// flow.
func (f *flow) resetAttempts(now time.Time) {
	f.firstSeen, f.crowded, f.retransmission, f.tried = now, false, 0, nil
	f.established, f.acked = false, false
}

// clearOwner forgets the owner of a flow.
func (f *flow) clearOwner() { f.owner, f.ownership = netip.AddrPort{}, placed }

// recordAck records a packet of the client that does not open the flow.
func (f *flow) recordAck(h *packet.Header) {
	f.established, f.queuedOpen = !closes(h.Flags), nil
	if h.Flags.Has(packet.ACK) {
		f.acked, f.clientAck = true, h.Ack
	}
	if f.ownership == accepted && f.acked && packet.AcksAcceptance(f.clientAck, f.acceptSeq) {
		f.ownership = held
	}
}

// chosenElsewhere reports whether the client has taken the acceptance of another host
// than the cached owner's.
func (f *flow) chosenElsewhere() bool { return f.ownership == accepted && f.acked }

// lookup is a search for the owner of a flow.
type lookup struct {
	outstanding []netip.AddrPort // queried agents that have not answered
	refused     []netip.AddrPort // agents that do not hold the flow
	unsure      []netip.AddrPort // agents that answered tunnel.Unsure and need a packet of the flow
	asked       []netip.AddrPort // unsure agents that have got one
	askedAt     time.Time        // when the last of them got it
	buffered    []bufferedPacket // packets of the client, oldest first
	retried     bool             // unanswered queries have been repeated
	started     time.Time        // when the first wave of queries was sent
	lastQuery   time.Time        // when queries were last sent
	retryAfter  time.Duration    // from lastQuery to the next repetition
}

// Table holds a balancer's targets and its cache of flow owners. It is not safe
// for concurrent use.
type Table struct {
	routes      *route.Table
	targets     map[netip.AddrPort]*target   // by agent
	services    map[string]*targetGroup      // by service name
	silent      map[netip.AddrPort]time.Time // targets that were removed because they had fallen silent, and when
	flows       map[packet.Key]*flow
	pending     map[packet.Key]*flow // flows with a lookup or a queued opening packet
	settled     bool                 // targets is complete
	queryBudget int                  // queries that may still be sent in the current tick
	evictions   uint64               // flows evicted because the cache was full
}

// New returns an empty table.
func New() *Table {
	return &Table{
		targets:  make(map[netip.AddrPort]*target),
		services: make(map[string]*targetGroup),
		silent:   make(map[netip.AddrPort]time.Time),
		flows:    make(map[packet.Key]*flow),
		pending:  make(map[packet.Key]*flow),
	}
}

// SetRoutes replaces the configuration. Open flows keep their owners.
func (t *Table) SetRoutes(r *route.Table) { t.routes = r }

// Routes returns the current configuration, or nil before the first SetRoutes.
func (t *Table) Routes() *route.Table { return t.routes }

// SetSettled sets whether the list of targets is complete. Only then does the
// absence of a flow at all targets prove that it is lost.
func (t *Table) SetSettled(settled bool) { t.settled = settled }

// FlowCount returns the number of cached flows.
func (t *Table) FlowCount() int { return len(t.flows) }

// TargetCount returns the number of targets.
func (t *Table) TargetCount() int { return len(t.targets) }

// PendingCount returns the number of flows that wait for a lookup or a target.
func (t *Table) PendingCount() int { return len(t.pending) }

// Evictions returns the number of flows evicted because the cache was full.
func (t *Table) Evictions() uint64 { return t.evictions }

// Put adds or updates a target. fresh is true if the update comes from a new
// heartbeat of the target itself, whose load figures include the flows placed
// there before. Put reports whether the target is new or differs in anything but
// its load.
func (t *Table) Put(now time.Time, update Target, fresh bool) bool {
	delete(t.silent, update.Agent)
	old := t.targets[update.Agent]
	if old == nil {
		old = &target{hash: agentHash(update.Agent), crowding: make(map[packet.Endpoint]*crowding)}
		t.targets[update.Agent] = old
	} else if old.Service != update.Service {
		t.removeFromGroup(old)
	}
	regroup := old.Service != update.Service || !old.Agent.IsValid()
	if update.Starting && !old.Starting {
		old.startingSince = now
	}
	before := old.Target
	before.Flows = update.Flows
	old.Target = update
	if fresh {
		old.placed, old.refusing = 0, false
		old.forgetCrowding(now)
	}
	if regroup {
		if t.services[update.Service] == nil {
			t.services[update.Service] = &targetGroup{waiting: make(map[packet.Endpoint]*waitingFlows)}
		}
		t.services[update.Service].add(old)
	}
	return before != update
}

// Remove removes a target that has ended or fallen silent. If it has ended, the flows that
// it holds are reset. The host of a silent one may still hold them, so that they are
// reset only when their clients use them, or after silentTargetTimeout.
func (t *Table) Remove(now time.Time, agent netip.AddrPort, ended bool, out []Action) []Action {
	if old := t.targets[agent]; old != nil {
		t.removeFromGroup(old)
		delete(t.targets, agent)
		t.silent[agent] = now
	}
	if _, ok := t.silent[agent]; !ok || !ended {
		return out
	}
	return t.endSilent(now, agent, out)
}

// endSilent ends the wait for a silent target. Once the list of targets is complete it
// resets the established flows that the target holds, so that their clients need not wait
// for a timeout. A flow that was placed on it, or accepted by it, may have been opened at
// another target through another balancer; its owner is looked up.
func (t *Table) endSilent(now time.Time, agent netip.AddrPort, out []Action) []Action {
	delete(t.silent, agent)
	if !t.settled {
		return out
	}
	for k, f := range t.flows {
		wasReset := !f.lostAt.IsZero()
		if f.owner == agent && f.ownership == held && f.established && !wasReset {
			f.lostAt = now
			out = append(out, Action{Op: Reset, Cause: OwnerGone, Flow: k, Agent: agent, ClientAck: f.clientAck})
		}
	}
	return out
}

// heldBySilent reports whether a flow is held by a target that has fallen silent, so that
// no other target can hold it.
func (t *Table) heldBySilent(f *flow) bool {
	if f.ownership != held || !t.settled {
		return false
	}
	_, silent := t.silent[f.owner]
	return silent
}

// SilentTargets returns the removed targets that may still hold flows.
func (t *Table) SilentTargets() iter.Seq[netip.AddrPort] { return maps.Keys(t.silent) }

// Targets calls f for each target.
func (t *Table) Targets(f func(Target)) {
	for _, n := range t.targets {
		f(n.Target)
	}
}

// removeFromGroup removes a target from its service's group, and the group once
// it is empty.
func (t *Table) removeFromGroup(old *target) {
	g := t.services[old.Service]
	if g.remove(old); len(g.targets) == 0 {
		delete(t.services, old.Service)
	}
}

// HandlePacket decides on a packet of a client and appends the actions to out. The
// actions refer to raw, the packet itself; a lookup copies it.
func (t *Table) HandlePacket(now time.Time, h *packet.Header, raw []byte, out []Action) []Action {
	k := h.KeyFromClient()
	f := t.flows[k]
	if f != nil {
		f.lastUsed = now
	}
	if h.Opens() {
		return t.handleOpen(now, k, f, h, raw, out)
	}
	if f != nil {
		f.recordAck(h)
	}
	if f != nil && f.owner.IsValid() && !f.chosenElsewhere() {
		owner := t.targets[f.owner]
		mayStillAnswer := owner != nil && !owner.Suspect && now.Sub(f.firstSeen) < openTimeout
		if owner != nil && (f.ownership != placed || mayStillAnswer) {
			return append(out, Action{Op: Send, Cause: Known, Flow: k, Agent: f.owner, Kind: tunnel.Deliver, Class: owner.classOf(f), Packet: raw})
		}
	}
	if f != nil && t.heldBySilent(f) {
		f.lostAt = now
		return append(out, Action{Op: Reset, Cause: OwnerGone, Flow: k, Agent: f.owner, ClientAck: h.Ack})
	}
	if f != nil && now.Sub(f.lostAt) < lostFlowResetPeriod {
		return append(out, Action{Op: Reset, Cause: Lost, Flow: k, ClientAck: h.Ack})
	}
	if f == nil {
		r := t.routes.Lookup(k.Route)
		if t.routes != nil && r == nil {
			return append(out, Action{Op: Drop, Cause: NoRoute, Flow: k})
		}
		f = t.addFlow(now, k, r)
		f.recordAck(h)
	}
	f.clearOwner()
	return t.startLookup(now, k, f, h, raw, out)
}

// closes reports whether the flags end the client's side of a flow.
func closes(f packet.Flags) bool { return f.Has(packet.FIN) || f.Has(packet.RST) }

// HandleAnswer decides on an agent's answer and appends the actions to out. The
// packet p that came with it, raw on the wire, is nil when there was none.
func (t *Table) HandleAnswer(now time.Time, from netip.AddrPort, h *tunnel.Header, p *packet.Header, raw []byte, out []Action) []Action {
	switch {
	case h.Kind == tunnel.Owned && p != nil && p.Accepts():
		return t.handleAccepted(now, from, h.Flow, p.Seq, out)
	case h.Kind == tunnel.Owned:
		return t.handleOwned(now, from, h.Flow, out)
	}
	f := t.flows[h.Flow]
	if f == nil {
		return out
	}
	if p != nil && p.Opens() {
		return t.handleOpenRefusal(now, from, h, f, p, raw, out)
	}
	if f.lookup != nil {
		return t.handleLookupRefusal(now, from, h, f, out)
	}
	if f.owner != from || p == nil {
		return out
	}
	f.recordAck(p) // queries need it, and the packet may have been sent by an earlier process
	f.clearOwner()
	return t.startLookup(now, h.Flow, f, p, raw, out, from)
}

// handleAccepted handles a host's acceptance of a new flow, which may come long after
// another host has accepted the flow. Once the client has acknowledged an acceptance, only
// that one counts. Until then the first one does.
func (t *Table) handleAccepted(now time.Time, from netip.AddrPort, k packet.Key, acceptSeq uint32, out []Action) []Action {
	f := t.flows[k]
	if f == nil {
		f = t.addFlow(now, k, t.routes.Lookup(k.Route))
	}
	if f.acked && packet.AcksAcceptance(f.clientAck, acceptSeq) {
		return t.handleOwned(now, from, k, out)
	}
	t.recordAnswer(now, from, k, f)
	switch {
	case f.owner == from && f.ownership == held:
		return out
	case f.acked:
		return append(out, Action{Op: Drop, Cause: NotChosen, Flow: k, Agent: from})
	case f.owner != from && f.ownership == accepted && t.isReachable(f.owner):
		return out
	}
	f.owner, f.ownership, f.acceptSeq, f.lastUsed, f.lostAt = from, accepted, acceptSeq, now, time.Time{}
	return out
}

// recordAnswer records an acceptance if the flow was placed on the agent, which has not
// answered before.
func (t *Table) recordAnswer(now time.Time, from netip.AddrPort, k packet.Key, f *flow) {
	if n := t.targets[from]; n != nil && f.owner == from && f.ownership == placed {
		t.recordAcceptance(now, n, k.Route)
	}
}

// isReachable reports whether the agent is a target whose heartbeats are not overdue.
func (t *Table) isReachable(agent netip.AddrPort) bool {
	n := t.targets[agent]
	return n != nil && !n.Suspect
}

// handleOwned records the holder of a flow and sends it the packets buffered by a
// lookup.
func (t *Table) handleOwned(now time.Time, from netip.AddrPort, k packet.Key, out []Action) []Action {
	f := t.flows[k]
	if f == nil {
		f = t.addFlow(now, k, t.routes.Lookup(k.Route))
	}
	t.recordAnswer(now, from, k, f)
	f.owner, f.ownership, f.lastUsed, f.lostAt = from, held, now, time.Time{}
	l := f.lookup
	if l == nil {
		return out
	}
	f.lookup, f.queuedOpen = nil, nil
	t.updatePending(k, f)
	for _, p := range l.buffered {
		out = append(out, Action{Op: Send, Cause: Found, Flow: k, Agent: from, Kind: tunnel.Deliver, Class: t.targets[from].classOf(f), Packet: p.raw, Waited: now.Sub(l.started)})
	}
	return out
}

// Tick retries queued opening packets, continues lookups, gives up silent targets, evicts
// idle flows and appends the actions to out.
func (t *Table) Tick(now time.Time, out []Action) []Action {
	t.queryBudget = maxQueriesPerTick
	out = t.retryQueued(now, out)
	for k, f := range t.pending {
		if f.lookup != nil {
			out = t.continueLookup(now, k, f, out)
		}
	}
	for agent, since := range t.silent {
		if now.Sub(since) >= silentTargetTimeout {
			out = t.endSilent(now, agent, out)
		}
	}
	n := 0
	for k, f := range t.flows {
		if n++; n > maxSweptPerTick {
			break
		}
		if now.Sub(f.lastUsed) > flowIdleTimeout {
			t.removeFlow(k)
		}
	}
	return out
}

// addFlow adds a flow of a route, nil if it is unknown, to the cache, in place of a
// random one when the cache is full.
func (t *Table) addFlow(now time.Time, k packet.Key, r *route.Route) *flow {
	if len(t.flows) >= maxFlows {
		for victim := range t.flows { // map iteration order makes a random choice
			t.removeFlow(victim)
			t.evictions++
			break
		}
	}
	f := &flow{firstSeen: now, lastUsed: now}
	if r != nil {
		f.class = r.Class
	}
	t.flows[k] = f
	return f
}

// updatePending removes a flow from pending if it waits for neither a lookup nor a target.
func (t *Table) updatePending(k packet.Key, f *flow) {
	if f.lookup == nil && f.queuedOpen == nil {
		delete(t.pending, k)
	}
}

func (t *Table) removeFlow(k packet.Key) {
	delete(t.flows, k)
	delete(t.pending, k)
}
