package flowtable

import (
	"net/netip"
	"time"

	"skylarkturn/internal/admission"
	"skylarkturn/internal/packet"
	"skylarkturn/internal/tunnel"
)

const (
	maxFlows            = 1 << 15          // a host usually has a few thousand
	halfOpenTimeout     = 4 * time.Second  // clients give up connecting after 1.4 s
	busyTimeout         = 10 * time.Second // idle time after which a pending request is assumed abandoned
	closedTimeout       = 5 * time.Second  // how long packets of a closed flow are still forwarded to the host
	openMargin          = 10 * time.Second // by which an idle open flow is kept longer than any flow lasts
	questionTimeout     = 2 * time.Second  // maximum time until the host answers or bounces a packet of an unknown flow
	maxSweptPerTick     = 512              // flows checked for expiry in one Tick
	maxPendingQuestions = 4096
	minUnanswered       = 2 // unanswered packets before the host is suspected to be down
)

type state uint8

const (
	halfOpen state = iota
	open
	closed
)

type flow struct {
	state        state
	accepted     bool   // the host has sent a SYN-ACK
	clientFin    bool   // the client has sent a FIN
	hostFin      bool   // the host has sent a FIN
	acceptSeq    uint32 // sequence number of the host's SYN-ACK
	hostAck      uint32 // last acknowledgement number from the host, if hostAckValid
	hostAckValid bool
	clientAck    uint32           // last acknowledgement number from the client
	service      tunnel.ServiceID // of the packet that opens the flow
	balancer     netip.AddrPort   // balancer that forwarded the client's last packet
	createdAt    time.Time
	lastPacketAt time.Time
	route        *routeState // shared by the flows of the route
	request      request     // the client's current request
}

// pendingQuestion is a packet of an unknown flow that was forwarded to the host
// to find out whether the host holds the flow.
type pendingQuestion struct {
	balancer netip.AddrPort
	askedAt  time.Time
	kind     tunnel.Kind // kind of the tunnel datagram that carried the packet
}

// Table tracks the flows of one host. It is not safe for concurrent use.
type Table struct {
	vm                VM
	startedAt         time.Time     // start of the agent
	reportInterval    time.Duration // interval of the host's heartbeats
	complete          bool          // every flow that the host holds is in flows
	host              Report        // newest report; without an ID if none has been received
	hasStartTimes     bool          // hosts report their start time: a report without one is of another writer
	presence          Presence      // of a host at the VM's address
	countedFrom       time.Time     // first of the reports in a row
	refused           refusal       // the last one
	pausedUntil       time.Time     // end of the agent's last pause
	departure         departure     // of the current incarnation
	origin            origin        // of the current incarnation
	vacant            bool          // since the agent's start there has been a time without a host
	onlyNewHosts      bool          // any other incarnation that runs has started after the agent
	lastReport        time.Time     // when host was received
	unanswered        unansweredPackets
	flows             map[packet.Key]*flow
	questions         map[packet.Key]pendingQuestion // by flow
	endedIncarnations []incarnation                  // oldest first
	previous          Snapshot                       // written by an earlier agent process
	previousHostEnded bool                           // the host of the previous snapshot is known to have ended
	routes            map[packet.Endpoint]*routeState
	admission         *admission.Queue // of the host
	held              map[admission.Ticket]*heldRequest
	started           []admission.Ticket // requests that have got a slot and are not forwarded yet
	lastTicket        admission.Ticket
	pendingOpens      []time.Time // when each flow that is not open yet was forwarded to the host, oldest first
	activeFlows       int         // flows that are open or half open
	evictions         uint64      // flows evicted because the table was full
}

// New returns the table of an agent that starts now on the VM and whose host reports
// at the given interval. If firstStart is set, no host can have started before the
// agent, so the empty table is complete.
func New(now time.Time, vm VM, reportInterval time.Duration, firstStart bool) *Table {
	if vm.FlowLifetime == 0 {
		vm.FlowLifetime = DefaultFlowLifetime
	}
	t := &Table{
		vm:             vm,
		startedAt:      now,
		reportInterval: reportInterval,
		complete:       firstStart,
		vacant:         firstStart,
		onlyNewHosts:   firstStart,
		flows:          make(map[packet.Key]*flow),
		questions:      make(map[packet.Key]pendingQuestion),
		routes:         make(map[packet.Endpoint]*routeState),
		held:           make(map[admission.Ticket]*heldRequest),
		admission:      admission.NewQueue(admission.Limits{Slots: maxInProgress(defaultSlots), Queue: maxHeldRequests}),
	}
	if firstStart {
		t.presence = vacant
	}
	return t
}

// SetService changes the service that the platform assigns to the VM's host, unless
// service is empty. It reports whether the service was another one.
func (t *Table) SetService(service string) (changed bool) {
	if service == "" || service == t.vm.Service {
		return false
	}
	t.vm.Service = service
	return true
}

// Flows returns the number of flows that are open or half open.
func (t *Table) Flows() int { return t.activeFlows }

// Busy returns the number of requests that the host has not answered yet, held ones
// included.
func (t *Table) Busy() int { return t.admission.Busy() + t.admission.Queued() }

// Held returns the number of requests that are held back.
func (t *Table) Held() int { return t.admission.Queued() }

// Complete reports whether the table contains every flow that the host holds.
func (t *Table) Complete() bool { return t.complete }

// Evictions returns the number of flows that were evicted because the table was
// full.
func (t *Table) Evictions() uint64 { return t.evictions }

// HandleInbound handles a client packet that a balancer forwarded.
func (t *Table) HandleInbound(now time.Time, from netip.AddrPort, h *tunnel.Header, p *packet.Header, raw []byte, out []Action) []Action {
	k := p.KeyFromClient()
	f := t.flows[k]
	if p.Opens() {
		return t.handleOpening(now, from, h, k, f, raw, out)
	}
	if f == nil {
		return t.handleUnknown(now, from, h.Kind, k, raw, out)
	}
	if f.state == halfOpen {
		if !f.ackMatches(p.Ack) {
			return append(out, refusedReply(k, from, h.Kind, tunnel.NotHeld, raw)) // the client acknowledged another host's SYN-ACK
		}
		f.state = open
		t.recordOpened()
	}
	f.balancer, f.lastPacketAt = from, now
	f.route.update(h.Class)
	if t.updateFromClient(now, k, f, p, raw) {
		out = append(out, Action{Op: ToHost, Cause: Usual, Flow: k, Packet: raw})
	} else {
		out = append(out, Action{Op: Drop, Cause: Held, Flow: k, Load: t.load(f.route)})
	}
	if h.Kind == tunnel.Ask {
		out = append(out, ownedReply(k, from))
	}
	if len(t.started) > 0 {
		out = t.forwardStarted(now, out)
	}
	return out
}

// Lookup answers whether the host holds a flow.
func (t *Table) Lookup(q tunnel.Question) tunnel.Answer {
	f := t.flows[q.Flow]
	switch {
	case f == nil && !t.complete:
		return tunnel.Answer{Flow: q.Flow, Reason: tunnel.Unsure}
	case f == nil || f.state == halfOpen && !f.ackMatches(q.Ack):
		return tunnel.Answer{Flow: q.Flow, Reason: tunnel.NotHeld}
	}
	return tunnel.Answer{Flow: q.Flow}
}

// ackMatches reports whether the client's acknowledgement number fits this host's
// SYN-ACK.
func (f *flow) ackMatches(ack uint32) bool {
	return f.accepted && packet.AcksAcceptance(ack, f.acceptSeq)
}

// awaitsAcceptance reports whether the host has not accepted the flow yet.
func (f *flow) awaitsAcceptance() bool { return f.state == halfOpen && !f.accepted }

// handleOpening handles a SYN.
func (t *Table) handleOpening(now time.Time, from netip.AddrPort, h *tunnel.Header, k packet.Key, f *flow, raw []byte, out []Action) []Action {
	if f == nil || f.state == closed {
		if reason := t.rejectReason(now, h.Service); reason != 0 {
			return append(out, refusedReply(k, from, tunnel.Deliver, reason, raw))
		}
		r := t.routeOf(k)
		r.update(h.Class)
		if reason := t.overloadReason(now, r, h.Final); reason != 0 {
			refused := refusedReply(k, from, tunnel.Deliver, reason, raw)
			refused.Load = t.load(r)
			return append(out, refused)
		}
		f = t.add(now, k)
		f.service = h.Service
		t.pendingOpens = append(t.pendingOpens, now)
	} else if reason := t.absenceReason(now, h.Service); reason != 0 && f.awaitsAcceptance() {
		t.remove(now, k, f)
		return append(out, refusedReply(k, from, tunnel.Deliver, reason, raw))
	}
	f.balancer, f.lastPacketAt = from, now
	out = append(out, Action{Op: ToHost, Cause: Usual, Flow: k, Packet: raw})
	return t.forwardStarted(now, out)
}

// handleUnknown handles a packet of a flow that is not in the table.
func (t *Table) handleUnknown(now time.Time, from netip.AddrPort, kind tunnel.Kind, k packet.Key, raw []byte, out []Action) []Action {
	if t.complete || len(t.questions) >= maxPendingQuestions {
		return append(out, refusedReply(k, from, kind, tunnel.NotHeld, raw))
	}
	t.questions[k] = pendingQuestion{from, now, kind}
	return append(out, Action{Op: ToHost, Cause: Asked, Flow: k, Packet: raw})
}

// isRetransmission reports whether the host has already acknowledged all data of
// the packet, so that no answer will follow it.
func (f *flow) isRetransmission(p *packet.Header) bool {
	end := p.Seq + uint32(p.DataLen)
	return f.hostAckValid && int32(end-f.hostAck) <= 0
}

// updateFromClient updates a flow with a packet of the client and reports whether the
// packet is to be forwarded to the host.
func (t *Table) updateFromClient(now time.Time, k packet.Key, f *flow, p *packet.Header, raw []byte) (forward bool) {
	forward = true
	if p.Flags.Has(packet.ACK) {
		f.clientAck = p.Ack
	}
	if p.DataLen > 0 && f.request.stage != running && !f.isRetransmission(p) {
		forward = t.admitRequest(now, k, f, p, raw)
	}
	if p.Flags.Has(packet.FIN) {
		f.clientFin = true
	}
	if p.Flags.Has(packet.RST) || f.hostFin && f.clientFin {
		t.closeFlow(now, f)
	}
	return forward
}

// Tick runs the timers: it resets the flows of a host that has left and removes
// expired flows and questions.
func (t *Table) Tick(now time.Time, out []Action) []Action {
	if at := t.departure.resetFlowsAt; !at.IsZero() && now.After(at) {
		t.departure.resetFlowsAt = time.Time{}
		t.recordHostEvent(ended)
		out = t.endAllFlows(now, HostLeft, out)
		out = t.resetPreviousFlows(HostLeft, out)
		t.recordVacant()
	}
	t.expireReport(now)
	if !t.complete && t.isOld(now) {
		t.complete = true
	}
	for k, q := range t.questions {
		if now.Sub(q.askedAt) > questionTimeout {
			delete(t.questions, k)
		}
	}
	t.removeExpired(now)
	t.started = append(t.started, t.admission.StartOverdue(t.clock(now))...)
	return t.forwardStarted(now, out)
}

// removeExpired removes flows that have been idle for too long. It checks at most
// maxSweptPerTick flows; the random order of the map spreads the rest over later
// calls.
func (t *Table) removeExpired(now time.Time) {
	n := 0
	for k, f := range t.flows {
		if n++; n > maxSweptPerTick {
			return
		}
		timeout := [...]time.Duration{halfOpen: halfOpenTimeout, open: t.vm.FlowLifetime + openMargin, closed: closedTimeout}[f.state]
		if now.Sub(f.lastPacketAt) > busyTimeout {
			t.endRequest(now, f)
		}
		if now.Sub(f.lastPacketAt) > timeout {
			t.remove(now, k, f)
		}
	}
}

// endAllFlows removes all flows and resets those that are open.
func (t *Table) endAllFlows(now time.Time, cause Cause, out []Action) []Action {
	clear(t.questions)
	return t.endFlowsBefore(now, farFuture, cause, out)
}

// farFuture is later than the creation time of any flow.
var farFuture = time.Unix(1<<40, 0)

// endFlowsBefore removes the flows created before the cutoff and resets those that
// are open.
func (t *Table) endFlowsBefore(now, cutoff time.Time, cause Cause, out []Action) []Action {
	for k, f := range t.flows {
		if !f.createdAt.Before(cutoff) {
			continue
		}
		if f.state == open {
			out = append(out, Action{Op: Reset, Cause: cause, Flow: k, ClientAck: f.clientAck})
		}
		t.remove(now, k, f)
	}
	return out
}

// add inserts a half-open flow. If the table is full, it evicts another flow.
func (t *Table) add(now time.Time, k packet.Key) *flow {
	if old := t.flows[k]; old != nil {
		t.remove(now, k, old)
	}
	if len(t.flows) >= maxFlows {
		for victim, f := range t.flows { // map iteration order makes the choice random
			t.remove(now, victim, f)
			t.evictions++
			t.complete = false
			break
		}
	}
	f := &flow{createdAt: now, lastPacketAt: now, route: t.routeOf(k)}
	t.flows[k] = f
	t.activeFlows++
	return f
}

// closeFlow marks a flow as closed. It stays in the table for closedTimeout.
func (t *Table) closeFlow(now time.Time, f *flow) {
	if f.state == closed {
		return
	}
	t.endRequest(now, f)
	f.state = closed
	t.activeFlows--
}

func (t *Table) remove(now time.Time, k packet.Key, f *flow) {
	t.closeFlow(now, f)
	delete(t.flows, k)
}
