package flowtable

import (
	"net/netip"
	"time"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/parcel"
)

const (
	maxFlows      = 1 << 15          // a host holds a few thousand
	halfOpenTimeout   = 4 * time.Second  // a client gives up after 1.4 s
	busyTimeout       = 10 * time.Second // time without a packet after which nobody waits for an answer any more
	closedTimeout     = 5 * time.Second  // time that packets of an ended flow still go to the host
	openTimeout       = 70 * time.Second // a flow in use is discarded by then at the latest
	questionTimeout        = 2 * time.Second  // time that a question put to the host stays open
	maxAckAdvance     = 1 << 20          // bytes that a client may have acknowledged before its first packet arrives here
	maxSweptPerTick  = 512
	maxPendingQuestions   = 4096
	minUnanswered = 2 // unanswered packets from which a host may have ended
)

type state uint8

const (
	halfOpen state = iota
	open
	closed
)

type flow struct {
	state     state
	accepted  bool // the host has accepted it
	requestPending      bool // a request waits for its answer
	clientFin bool
	hostFin   bool
	acceptSeq   uint32 // of the host's acceptance
	hostAck   uint32 // bytes of the client that the host has, up to this number; valid with heard
	hostAckValid     bool   // the host has acknowledged something
	clientAck uint32
	balancer       netip.AddrPort // balancer that sent the last packet
	createdAt     time.Time      // when it came into the table
	lastPacketAt      time.Time
}

type pendingQuestion struct {
	balancer netip.AddrPort
	askedAt  time.Time
	kind parcel.Kind // of the parcel that gave rise to it
}

// Table is the table of one host's flows. It is not safe for concurrent use.
type Table struct {
	started    time.Time
	reportInterval  time.Duration // interval of the host's reports
	complete   bool          // every flow that the host holds is in flows
	host       Report
	registered bool
	hostLeft       bool // the host of the last report has said farewell
	resetFlowsAt    time.Time
	lastReport      time.Time // last report
	unanswered    unansweredPackets
	flows      map[packet.Key]*flow
	questions  map[packet.Key]pendingQuestion // put to the host
	endedIncarnations    map[incarnation]bool    // incarnations of the host that have ended
	previous    Snapshot                // written before this process started
	previousHostEnded     bool                    // the host of that time has ended
	pendingOpens   []time.Time             // when flows were given to the host that have not opened, the oldest first
	activeFlows       int                     // flows that are not closed
	busyFlows       int
	evictions  uint64
}

// New returns the table of an agent that starts now, whose host reports at the
// given interval; first tells that the host can't have started before.
func New(now time.Time, beatEvery time.Duration, first bool) *Table {
	return &Table{
		started:   now,
		reportInterval: beatEvery,
		complete:  first,
		flows:     make(map[packet.Key]*flow),
		questions: make(map[packet.Key]pendingQuestion),
		endedIncarnations:   make(map[incarnation]bool),
	}
}

// Flows returns the number of flows that are open or half open.
func (t *Table) Flows() int { return t.activeFlows }

// Busy returns the number of flows with a request that waits for its answer.
func (t *Table) Busy() int { return t.busyFlows }

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
		if !f.ackMatches(p.Ack) {
			return append(out, refusedReply(k, from, h.Kind, parcel.NotHeld, raw)) // another host's flow
		}
		f.state = open
		t.recordOpened()
	}
	f.balancer, f.lastPacketAt = from, now
	t.updateFromClient(f, p)
	out = append(out, Action{Verb: ToHost, Cause: Usual, Flow: k, Packet: raw})
	if h.Kind == parcel.Ask {
		out = append(out, ownedReply(k, from))
	}
	return out
}

// Asked answers the question whether the host holds a flow.
func (t *Table) Asked(q parcel.Question) parcel.Answer {
	f := t.flows[q.Flow]
	switch {
	case f == nil && !t.authoritative():
		return parcel.Answer{Flow: q.Flow, Reason: parcel.Unsure}
	case f == nil || f.state == halfOpen && !f.ackMatches(q.Ack):
		return parcel.Answer{Flow: q.Flow, Reason: parcel.NotHeld}
	}
	return parcel.Answer{Flow: q.Flow}
}

// Reports whether a flow that is not in the table is not at the host either.
func (t *Table) authoritative() bool { return t.complete || t.hostLeft && t.resetFlowsAt.IsZero() }

// Reports whether the client's acknowledgement is of this host's acceptance.
func (f *flow) ackMatches(ack uint32) bool { return f.accepted && ack-f.acceptSeq <= maxAckAdvance }

func (t *Table) deliverOpening(now time.Time, from netip.AddrPort, h *parcel.Header, k packet.Key, f *flow, raw []byte, out []Action) []Action {
	if f == nil || f.state == closed {
		if reason := t.rejectReason(h.Service); reason != 0 {
			return append(out, refusedReply(k, from, parcel.Deliver, reason, raw))
		}
		if t.overloaded(now) {
			return append(out, refusedReply(k, from, parcel.Deliver, parcel.Crowded, raw))
		}
		f = t.add(now, k)
		t.pendingOpens = append(t.pendingOpens, now)
	}
	f.balancer, f.lastPacketAt = from, now
	return append(out, Action{Verb: ToHost, Cause: Usual, Flow: k, Packet: raw})
}

// Decides on a packet of a flow that is not in the table.
func (t *Table) deliverUnknown(now time.Time, from netip.AddrPort, kind parcel.Kind, k packet.Key, raw []byte, out []Action) []Action {
	if t.authoritative() || len(t.questions) >= maxPendingQuestions {
		return append(out, refusedReply(k, from, kind, parcel.NotHeld, raw))
	}
	t.questions[k] = pendingQuestion{from, now, kind}
	return append(out, Action{Verb: ToHost, Cause: Asked, Flow: k, Packet: raw})
}

// Reports whether the host has had all data of the packet, which the client then
// sends again: no answer will follow it.
func (f *flow) isRetransmission(p *packet.Head) bool {
	end := p.Seq + uint32(p.DataLen)
	return f.hostAckValid && int32(end-f.hostAck) <= 0
}

func (t *Table) updateFromClient(f *flow, p *packet.Head) {
	if p.Flags.Has(packet.ACK) {
		f.clientAck = p.Ack
	}
	if p.DataLen > 0 && !f.isRetransmission(p) {
		t.setRequestPending(f, true)
	}
	if p.Flags.Has(packet.FIN) {
		f.clientFin = true
	}
	if p.Flags.Has(packet.RST) || f.hostFin && f.clientFin {
		t.closeFlow(f)
	}
}

// Tick does what is due: it ends the flows of a host that has left, and forgets
// flows that have ended.
func (t *Table) Tick(now time.Time, out []Action) []Action {
	if t.hostLeft && !t.resetFlowsAt.IsZero() && now.After(t.resetFlowsAt) {
		t.resetFlowsAt = time.Time{}
		out = t.endAllFlows(HostLeft, out)
		out = t.resetPreviousFlows(HostLeft, out)
		t.complete = true
	}
	if !t.complete && now.Sub(t.started) > completeAfter {
		t.complete = true
	}
	for k, q := range t.questions {
		if now.Sub(q.askedAt) > questionTimeout {
			delete(t.questions, k)
		}
	}
	t.removeExpired(now)
	return out
}

func (t *Table) removeExpired(now time.Time) {
	n := 0
	for k, f := range t.flows {
		if n++; n > maxSweptPerTick {
			return
		}
		keep := [...]time.Duration{halfOpen: halfOpenTimeout, open: openTimeout, closed: closedTimeout}[f.state]
		if now.Sub(f.lastPacketAt) > busyTimeout {
			t.setRequestPending(f, false)
		}
		if now.Sub(f.lastPacketAt) > keep {
			t.remove(k, f)
		}
	}
}

// Ends all flows and resets those that are open.
func (t *Table) endAllFlows(cause Cause, out []Action) []Action {
	clear(t.questions)
	return t.endFlowsBefore(farFuture, cause, out)
}

// farFuture is later than any time that a clock shows.
var farFuture = time.Unix(1<<40, 0)

// Ends the flows that are older than a time and resets those that are open.
func (t *Table) endFlowsBefore(cutoff time.Time, cause Cause, out []Action) []Action {
	for k, f := range t.flows {
		if !f.createdAt.Before(cutoff) {
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
	f := &flow{createdAt: now, lastPacketAt: now}
	t.flows[k] = f
	t.activeFlows++
	return f
}

func (t *Table) closeFlow(f *flow) {
	if f.state == closed {
		return
	}
	t.setRequestPending(f, false)
	f.state = closed
	t.activeFlows--
}

func (t *Table) remove(k packet.Key, f *flow) {
	t.closeFlow(f)
	delete(t.flows, k)
}

func (t *Table) setRequestPending(f *flow, busy bool) {
	if f.requestPending == busy || f.state == closed {
		return
	}
	f.requestPending = busy
	if busy {
		t.busyFlows++
	} else {
		t.busyFlows--
	}
}
