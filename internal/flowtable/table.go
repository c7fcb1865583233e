package flowtable

import (
	"net/netip"
	"time"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/parcel"
)

const (
	maxFlows      = 1 << 15          // a host holds a few thousand
	halfOpenFor   = 4 * time.Second  // a client gives up after 1.4 s
	busyFor       = 10 * time.Second // time without a packet after which nobody waits for an answer any more
	closedFor     = 5 * time.Second  // time that packets of an ended flow still go to the host
	openFor       = 70 * time.Second // a flow in use is discarded by then at the latest
	askFor        = 2 * time.Second  // time that a question put to the host stays open
	ackWindow     = 1 << 20          // bytes that a client may have acknowledged before its first packet arrives here
	sweepPerTick  = 512
	maxOpenAsks   = 4096
	silenceBounds = 2 // unanswered packets from which a host may have ended
)

type state uint8

const (
	halfOpen state = iota
	open
	closed
)

type flow struct {
	state     state
	answered  bool // the host has accepted it
	busy      bool // a request waits for its answer
	clientFin bool
	hostFin   bool
	hostSeq   uint32 // of the host's acceptance
	hostAck   uint32 // bytes of the client that the host has, up to this number; valid with heard
	heard     bool   // the host has acknowledged something
	clientAck uint32
	via       netip.AddrPort // balancer that sent the last packet
	since     time.Time      // when it came into the table
	used      time.Time
}

type question struct {
	from netip.AddrPort
	put  time.Time
	kind parcel.Kind // of the parcel that gave rise to it
}

// Table is the table of one host's flows. It is not safe for concurrent use.
type Table struct {
	started    time.Time
	beatEvery  time.Duration // interval of the host's reports
	complete   bool          // every flow that the host holds is in flows
	host       Report
	registered bool
	left       bool // the host of the last report has said farewell
	leaveAt    time.Time
	heard      time.Time // last report
	silence    silence
	flows      map[packet.Key]*flow
	questions  map[packet.Key]question // put to the host
	retired    map[incarnation]bool    // incarnations of the host that have ended
	earlier    Snapshot                // written before this process started
	absent     bool                    // the host of that time has ended
	openings   []time.Time             // when flows were given to the host that have not opened, the oldest first
	live       int                     // flows that are not closed
	busy       int
	evictions  uint64
}

// New returns the table of an agent that starts now, whose host reports at the
// given interval; first tells that the host can't have started before.
func New(now time.Time, beatEvery time.Duration, first bool) *Table {
	return &Table{
		started:   now,
		beatEvery: beatEvery,
		complete:  first,
		flows:     make(map[packet.Key]*flow),
		questions: make(map[packet.Key]question),
		retired:   make(map[incarnation]bool),
	}
}

// Flows returns the number of flows that are open or half open.
func (t *Table) Flows() int { return t.live }

// Busy returns the number of flows with a request that waits for its answer.
func (t *Table) Busy() int { return t.busy }

// Complete reports whether the table has every flow that the host holds.
func (t *Table) Complete() bool { return t.complete }

// Evictions returns how many flows were forgotten for want of room.
func (t *Table) Evictions() uint64 { return t.evictions }

// Deliver decides on a client's packet that a balancer sent.
func (t *Table) Deliver(now time.Time, from netip.AddrPort, h *parcel.Header, p *packet.Head, raw []byte, out []Action) []Action {
	k := p.FromClient()
	f := t.flows[k]
	if p.Opens() {
		return t.deliverOpening(now, from, h, k, f, raw, out)
	}
	if f == nil {
		return t.deliverUnknown(now, from, h.Kind, k, raw, out)
	}
	if f.state == halfOpen {
		if !f.accepts(p.Ack) {
			return append(out, refusal(k, from, h.Kind, parcel.NotHeld, raw)) // another host's flow
		}
		f.state = open
		t.opened()
	}
	f.via, f.used = from, now
	t.clientSent(f, p)
	out = append(out, Action{Verb: ToHost, Cause: Usual, Flow: k, Packet: raw})
	if h.Kind == parcel.Ask {
		out = append(out, owned(k, from))
	}
	return out
}

// Asked answers the question whether the host holds a flow.
func (t *Table) Asked(q parcel.Question) parcel.Answer {
	f := t.flows[q.Flow]
	switch {
	case f == nil && !t.tellsByItself():
		return parcel.Answer{Flow: q.Flow, Reason: parcel.Unsure}
	case f == nil || f.state == halfOpen && !f.accepts(q.Ack):
		return parcel.Answer{Flow: q.Flow, Reason: parcel.NotHeld}
	}
	return parcel.Answer{Flow: q.Flow}
}

// Reports whether a flow that is not in the table is not at the host either.
func (t *Table) tellsByItself() bool { return t.complete || t.left && t.leaveAt.IsZero() }

// Reports whether the client's acknowledgement is of this host's acceptance.
func (f *flow) accepts(ack uint32) bool { return f.answered && ack-f.hostSeq <= ackWindow }

func (t *Table) deliverOpening(now time.Time, from netip.AddrPort, h *parcel.Header, k packet.Key, f *flow, raw []byte, out []Action) []Action {
	if f == nil || f.state == closed {
		if reason := t.accepts(h.Service); reason != 0 {
			return append(out, refusal(k, from, parcel.Deliver, reason, raw))
		}
		if t.crowded(now) {
			return append(out, refusal(k, from, parcel.Deliver, parcel.Crowded, raw))
		}
		f = t.add(now, k)
		t.openings = append(t.openings, now)
	}
	f.via, f.used = from, now
	return append(out, Action{Verb: ToHost, Cause: Usual, Flow: k, Packet: raw})
}

// Decides on a packet of a flow that is not in the table.
func (t *Table) deliverUnknown(now time.Time, from netip.AddrPort, kind parcel.Kind, k packet.Key, raw []byte, out []Action) []Action {
	if t.tellsByItself() || len(t.questions) >= maxOpenAsks {
		return append(out, refusal(k, from, kind, parcel.NotHeld, raw))
	}
	t.questions[k] = question{from, now, kind}
	return append(out, Action{Verb: ToHost, Cause: Asked, Flow: k, Packet: raw})
}

// Reports whether the host has had all data of the packet, which the client then
// sends again: no answer will follow it.
func (f *flow) hasAlready(p *packet.Head) bool {
	end := p.Seq + uint32(p.DataLen)
	return f.heard && int32(end-f.hostAck) <= 0
}

func (t *Table) clientSent(f *flow, p *packet.Head) {
	if p.Flags.Has(packet.ACK) {
		f.clientAck = p.Ack
	}
	if p.DataLen > 0 && !f.hasAlready(p) {
		t.setBusy(f, true)
	}
	if p.Flags.Has(packet.FIN) {
		f.clientFin = true
	}
	if p.Flags.Has(packet.RST) || f.hostFin && f.clientFin {
		t.end(f)
	}
}

// Tick does what is due: it ends the flows of a host that has left, and forgets
// flows that have ended.
func (t *Table) Tick(now time.Time, out []Action) []Action {
	if t.left && !t.leaveAt.IsZero() && now.After(t.leaveAt) {
		t.leaveAt = time.Time{}
		out = t.endAll(HostLeft, out)
		out = t.endEarlier(HostLeft, out)
		t.complete = true
	}
	if !t.complete && now.Sub(t.started) > completeAfter {
		t.complete = true
	}
	for k, q := range t.questions {
		if now.Sub(q.put) > askFor {
			delete(t.questions, k)
		}
	}
	t.sweep(now)
	return out
}

func (t *Table) sweep(now time.Time) {
	n := 0
	for k, f := range t.flows {
		if n++; n > sweepPerTick {
			return
		}
		keep := [...]time.Duration{halfOpen: halfOpenFor, open: openFor, closed: closedFor}[f.state]
		if now.Sub(f.used) > busyFor {
			t.setBusy(f, false)
		}
		if now.Sub(f.used) > keep {
			t.remove(k, f)
		}
	}
}

// Ends all flows and resets those that are open.
func (t *Table) endAll(cause Cause, out []Action) []Action {
	clear(t.questions)
	return t.endBefore(farFuture, cause, out)
}

// farFuture is later than any time that a clock shows.
var farFuture = time.Unix(1<<40, 0)

// Ends the flows that are older than a time and resets those that are open.
func (t *Table) endBefore(cutoff time.Time, cause Cause, out []Action) []Action {
	for k, f := range t.flows {
		if !f.since.Before(cutoff) {
			continue
		}
		if f.state == open {
			out = append(out, Action{Verb: Reset, Cause: cause, Flow: k, ClientAck: f.clientAck})
		}
		t.remove(k, f)
	}
	return out
}

func (t *Table) add(now time.Time, k packet.Key) *flow {
	if old := t.flows[k]; old != nil {
		t.remove(k, old)
	}
	if len(t.flows) >= maxFlows {
		for victim, f := range t.flows { // map order serves as a random choice
			t.remove(victim, f)
			t.evictions++
			t.complete = false
			break
		}
	}
	f := &flow{since: now, used: now}
	t.flows[k] = f
	t.live++
	return f
}

func (t *Table) end(f *flow) {
	if f.state == closed {
		return
	}
	t.setBusy(f, false)
	f.state = closed
	t.live--
}

func (t *Table) remove(k packet.Key, f *flow) {
	t.end(f)
	delete(t.flows, k)
}

func (t *Table) setBusy(f *flow, busy bool) {
	if f.busy == busy || f.state == closed {
		return
	}
	f.busy = busy
	if busy {
		t.busy++
	} else {
		t.busy--
	}
}
