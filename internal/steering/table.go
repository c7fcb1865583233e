package steering

import (
	"net/netip"
	"time"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/parcel"
	"skylarkturn/internal/route"
)

const (
	maxFlows     = 1 << 17          // remembered owners; some 20 MB at the most
	flowIdle     = 30 * time.Second // after which an owner is forgotten; asking finds it again
	maxHeld      = 8                // packets of one flow held while its owner is looked up
	maxPending   = 4096             // flows that wait for their owner or for a target
	maxAsked     = 64               // agents asked for the owner of one flow at a time
	maxRefused   = 512              // agents asked in all
	smallFleet   = 16               // agents that are all asked at once
	asksPerTick  = 1000             // questions of lookups in a tick; some 16 KB in batches
	waveAfter    = 60 * time.Millisecond
	askAgain     = 180 * time.Millisecond  // shorter than a client's first retransmission
	lookupFor    = 4 * time.Second         // after which a lookup without result is given up
	openingFor   = 1400 * time.Millisecond // after which a client gives up opening a flow
	lostFor      = 2 * time.Second         // time that later packets of a lost flow are answered by resets
	sweepPerTick = 2048
)

type flow struct {
	owner   netip.AddrPort // not valid while unknown
	owned   bool           // the owner has confirmed it
	crowded bool           // a target has refused it for its load
	opened  bool           // the client has sent more than the opening packet, and not its last
	copies  uint32         // number of the newest copy of the opening packet
	tried   []netip.AddrPort
	since   time.Time // when it was first seen
	used    time.Time
	ack     uint32    // the client's newest acknowledgement number
	lost    time.Time // when no agent held it
	lookup  *lookup
	parked  []byte // the packet that opens the flow, until there is a target for it
}

// Forgets earlier attempts to open a flow between the same ends: a client that
// opens one so late has given them up.
func (f *flow) renew(now time.Time) {
	f.since, f.crowded, f.copies, f.tried = now, false, 0, nil
}

type lookup struct {
	waiting  []netip.AddrPort // agents that have not answered
	refused  []netip.AddrPort // agents that do not hold the flow
	unsure   []netip.AddrPort // agents whose host alone can tell, by a packet
	held     [][]byte         // packets, the oldest first
	repeated bool             // questions have been repeated
	started  time.Time
	asked    time.Time     // when the last questions were sent
	again    time.Duration // until they are repeated
}

// Table is what a balancer knows of flows and targets. It is not safe for
// concurrent use.
type Table struct {
	routes    *route.Table
	targets   map[netip.AddrPort]*target
	services  map[string]*group
	flows     map[packet.Key]*flow
	pending   map[packet.Key]*flow // with a lookup or a parked packet
	settled   bool
	budget    int // questions that this tick may still ask
	evictions uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{
		targets:  make(map[netip.AddrPort]*target),
		services: make(map[string]*group),
		flows:    make(map[packet.Key]*flow),
		pending:  make(map[packet.Key]*flow),
	}
}

// SetRoutes puts a version of the configuration in force. Open flows stay
// where they are.
func (t *Table) SetRoutes(r *route.Table) { t.routes = r }

// Routes returns the configuration in force; it is nil before the first.
func (t *Table) Routes() *route.Table { return t.routes }

// SetSettled tells whether the members known are all there are, so that a flow
// that none of them holds is lost.
func (t *Table) SetSettled(settled bool) { t.settled = settled }

// Flows returns the number of flows remembered.
func (t *Table) Flows() int { return len(t.flows) }

// TargetCount returns the number of targets known.
func (t *Table) TargetCount() int { return len(t.targets) }

// Pending returns the number of flows that wait for their owner or for a target.
func (t *Table) Pending() int { return len(t.pending) }

// Evictions returns how many flows were forgotten for want of room.
func (t *Table) Evictions() uint64 { return t.evictions }

// Put takes what is known of a target; fresh tells that it comes from a new
// heartbeat, which counts all flows placed there before. It reports whether the
// target is new or has changed in what placement depends on, its load aside.
func (t *Table) Put(now time.Time, n Target, fresh bool) bool {
	old := t.targets[n.Agent]
	if old == nil {
		old = &target{hash: agentHash(n.Agent)}
		t.targets[n.Agent] = old
	} else if old.Service != n.Service {
		t.unlist(old)
	}
	relist := old.Service != n.Service || !old.Agent.IsValid()
	if n.Coming && !old.Coming {
		old.since = now
	}
	before := old.Target
	before.Flows, before.Busy = n.Flows, n.Busy
	old.Target = n
	if fresh {
		old.placed, old.refusing = 0, false
	}
	if relist {
		if t.services[n.Service] == nil {
			t.services[n.Service] = &group{}
		}
		t.services[n.Service].add(old)
	}
	return before != n
}

// Remove forgets a target that has ended and resets the flows that it owned, so
// that clients need not find out by waiting.
func (t *Table) Remove(now time.Time, agent netip.AddrPort, out []Action) []Action {
	old := t.targets[agent]
	if old == nil {
		return out
	}
	t.unlist(old)
	delete(t.targets, agent)
	if !t.settled {
		return out
	}
	for k, f := range t.flows {
		if f.owner == agent && f.opened {
			f.lost = now
			out = append(out, Action{Verb: Reset, Cause: OwnerGone, Flow: k, Agent: agent, ClientAck: f.ack})
		}
	}
	return out
}

// Targets calls f for each target.
func (t *Table) Targets(f func(Target)) {
	for _, n := range t.targets {
		f(n.Target)
	}
}

func (t *Table) unlist(old *target) {
	g := t.services[old.Service]
	if g.remove(old); len(g.targets) == 0 {
		delete(t.services, old.Service)
	}
}

// Packet decides on a packet of a client; raw is the packet, which the actions
// refer to and a lookup copies.
func (t *Table) Packet(now time.Time, h *packet.Head, raw []byte, out []Action) []Action {
	k := h.FromClient()
	f := t.flows[k]
	if f != nil {
		f.used = now
	}
	if h.Opens() {
		return t.opening(now, k, f, h, raw, out)
	}
	if f != nil {
		f.opened, f.ack, f.parked = !ends(h.Flags), h.Ack, nil
	}
	if f != nil && f.owner.IsValid() && t.targets[f.owner] != nil {
		return append(out, Action{Verb: Send, Cause: Known, Flow: k, Agent: f.owner, Kind: parcel.Deliver, Packet: raw})
	}
	if f != nil && now.Sub(f.lost) < lostFor {
		return append(out, Action{Verb: Reset, Cause: Lost, Flow: k, ClientAck: h.Ack})
	}
	if f == nil && t.routes != nil && t.routes.Lookup(k.Route) == nil {
		return append(out, Action{Verb: Drop, Cause: NoRoute, Flow: k})
	}
	if f == nil {
		f = t.remember(now, k)
		f.opened, f.ack = true, h.Ack
	}
	f.owner, f.owned = netip.AddrPort{}, false
	return t.find(now, k, f, raw, out)
}

// Reports whether the client sends nothing further in the flow.
func ends(f packet.Flags) bool { return f.Has(packet.FIN) || f.Has(packet.RST) }

// Answer decides on an agent's answer; raw is the packet that came with it.
func (t *Table) Answer(now time.Time, from netip.AddrPort, h *parcel.Header, p *packet.Head, raw []byte, out []Action) []Action {
	if h.Kind == parcel.Owned {
		return t.ownedBy(now, from, h.Flow, out)
	}
	f := t.flows[h.Flow]
	if f == nil {
		return out
	}
	if p != nil && p.Opens() {
		return t.refusedOpening(now, from, h, f, p, raw, out)
	}
	if f.lookup != nil {
		return t.refusedLookup(now, from, h, f, out)
	}
	if f.owner != from || p == nil {
		return out
	}
	f.owner, f.owned = netip.AddrPort{}, false
	return t.find(now, h.Flow, f, raw, out, from)
}

func (t *Table) ownedBy(now time.Time, from netip.AddrPort, k packet.Key, out []Action) []Action {
	f := t.flows[k]
	if f == nil {
		f = t.remember(now, k)
	}
	if n := t.targets[from]; n != nil && !f.owned && f.owner == from {
		n.accept()
	}
	f.owner, f.owned, f.used, f.lost = from, true, now, time.Time{}
	l := f.lookup
	if l == nil {
		return out
	}
	f.lookup = nil
	delete(t.pending, k)
	for _, raw := range l.held {
		out = append(out, Action{Verb: Send, Cause: Found, Flow: k, Agent: from, Kind: parcel.Deliver, Packet: raw, Waited: now.Sub(l.started)})
	}
	return out
}

// Tick continues lookups that wait for answers and forgets flows that are not
// used.
func (t *Table) Tick(now time.Time, out []Action) []Action {
	t.budget = asksPerTick
	out = t.unparkAll(now, out)
	for k, f := range t.pending {
		if f.lookup != nil {
			out = t.continueLookup(now, k, f, out)
		}
	}
	n := 0
	for k, f := range t.flows {
		if n++; n > sweepPerTick {
			break
		}
		if now.Sub(f.used) > flowIdle {
			t.forget(k)
		}
	}
	return out
}

func (t *Table) remember(now time.Time, k packet.Key) *flow {
	if len(t.flows) >= maxFlows {
		for victim := range t.flows { // map order serves as a random choice
			t.forget(victim)
			t.evictions++
			break
		}
	}
	f := &flow{since: now, used: now}
	t.flows[k] = f
	return f
}

func (t *Table) forget(k packet.Key) {
	delete(t.flows, k)
	delete(t.pending, k)
}
