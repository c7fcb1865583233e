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
	closedFor     = 5 * time.Second  // time that packets of an ended flow still go to the host
	openFor       = 70 * time.Second // a flow in use is discarded by then at the latest
	askFor        = 2 * time.Second  // time that a question put to the host stays open
	ackWindow     = 1 << 20          // bytes that a client may have acknowledged before its first packet arrives here
	sweepPerTick  = 512
	maxOpenAsks   = 4096
	silenceBounds = 2 // unanswered packets from which a host may have ended
)

// Verb tells what an Action does.
type Verb uint8

// Verbs of actions.
const (
	ToHost   Verb = iota + 1 // give the packet to the host
	ToClient                 // send the packet to the client
	Reply                    // send the parcel to the balancer
	Reset                    // reset the client's flow
	Drop                     // do nothing with the packet
)

// Cause tells why an action was chosen.
type Cause uint8

// Causes of actions.
const (
	Usual         Cause = iota + 1
	Asked               // the host is asked whether it holds the flow
	Refused             // the host is not to get the packet
	Bounced             // the host does not hold the flow that the table had as open
	HostLeft            // the host has left
	HostRestarted       // a new incarnation of the host has registered
	HostEnded           // nothing listens at the host's address
	Forged              // nobody may send such a packet
)

var causeNames = [...]string{"unknown", "usual", "asked", "refused", "bounced", "host_left", "host_restarted", "host_ended", "forged"}

// Causes is the number of causes, for tables indexed by them.
const Causes = len(causeNames)

// String returns the cause in snake case.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return causeNames[0]
}

// Action is one thing to do.
type Action struct {
	Verb      Verb
	Cause     Cause
	Flow      packet.Key
	Balancer  netip.AddrPort // of Reply
	Parcel    parcel.Header  // of Reply
	Packet    []byte
	ClientAck uint32 // of Reset
}

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
		f = t.add(now, k)
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

// Outbound decides on a packet that the host sent.
func (t *Table) Outbound(now time.Time, p *packet.Head, raw []byte, out []Action) []Action {
	t.silence = silence{}
	if p.Flags.Has(packet.Bounced) {
		return t.returned(p, raw, out)
	}
	k := p.FromHost()
	f := t.flows[k]
	if f == nil {
		f = t.unknownOutbound(now, k, p)
	}
	if f != nil {
		out = t.hostSent(now, k, f, p, out)
	}
	return append(out, Action{Verb: ToClient, Cause: Usual, Flow: k, Packet: raw})
}

// Learns a flow from a packet of the host. A reset or the rest of a flow that
// has ended tells nothing.
func (t *Table) unknownOutbound(now time.Time, k packet.Key, p *packet.Head) *flow {
	if t.complete || p.Flags.Has(packet.RST) {
		return nil
	}
	f := t.add(now, k)
	if !p.Accepts() {
		f.state = open
	}
	if q, ok := t.questions[k]; ok {
		f.via = q.from
	}
	return f
}

func (t *Table) hostSent(now time.Time, k packet.Key, f *flow, p *packet.Head, out []Action) []Action {
	f.used = now
	if q, ok := t.questions[k]; ok {
		delete(t.questions, k)
		out = append(out, owned(k, q.from))
	}
	if p.Accepts() {
		first := !f.answered
		f.hostSeq, f.answered = p.Seq, true
		if first && f.via.IsValid() {
			out = append(out, owned(k, f.via))
		}
		return out
	}
	if p.DataLen > 0 {
		t.setBusy(f, false)
	}
	if p.Flags.Has(packet.FIN) {
		f.hostFin = true
	}
	if p.Flags.Has(packet.RST) || f.hostFin && f.clientFin {
		t.end(f)
	}
	return out
}

func (t *Table) clientSent(f *flow, p *packet.Head) {
	if p.Flags.Has(packet.ACK) {
		f.clientAck = p.Ack
	}
	if p.DataLen > 0 {
		t.setBusy(f, true)
	}
	if p.Flags.Has(packet.FIN) {
		f.clientFin = true
	}
	if p.Flags.Has(packet.RST) || f.hostFin && f.clientFin {
		t.end(f)
	}
}

// Decides on a client's packet that the host returned.
func (t *Table) returned(p *packet.Head, raw []byte, out []Action) []Action {
	k := p.FromClient()
	if q, ok := t.questions[k]; ok {
		delete(t.questions, k)
		return append(out, refusal(k, q.from, q.kind, parcel.NotHeld, raw))
	}
	f := t.flows[k]
	switch {
	case f == nil || f.state == closed:
		return append(out, Action{Verb: Drop, Cause: Bounced, Flow: k})
	case p.Opens():
		if f.answered {
			return append(out, Action{Verb: Drop, Cause: Bounced, Flow: k})
		}
		via := f.via
		t.remove(k, f)
		return append(out, refusal(k, via, parcel.Deliver, parcel.Full, raw))
	case f.state == halfOpen:
		return append(out, Action{Verb: Drop, Cause: Bounced, Flow: k})
	}
	t.remove(k, f)
	return append(out, Action{Verb: Reset, Cause: Bounced, Flow: k, ClientAck: p.Ack})
}

// Tick does what is due: it ends the flows of a host that has left, and forgets
// flows that have ended.
func (t *Table) Tick(now time.Time, out []Action) []Action {
	if t.left && !t.leaveAt.IsZero() && now.After(t.leaveAt) {
		t.leaveAt = time.Time{}
		out = t.endAll(HostLeft, out)
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

func owned(k packet.Key, to netip.AddrPort) Action {
	return Action{Verb: Reply, Cause: Usual, Flow: k, Balancer: to, Parcel: parcel.Header{Kind: parcel.Owned, Flow: k}}
}

// Returns the answer that a packet was refused. The packet goes back unless it
// came with a question, whose sender has kept it.
func refusal(k packet.Key, to netip.AddrPort, kind parcel.Kind, reason parcel.Reason, raw []byte) Action {
	if kind == parcel.Ask {
		raw = nil
	}
	return Action{Verb: Reply, Cause: Refused, Flow: k, Balancer: to, Parcel: parcel.Header{Kind: parcel.Refused, Reason: reason, Flow: k}, Packet: raw}
}
