package flowtable

import (
	"slices"
	"time"

	"skylarkturn/internal/admission"
	"skylarkturn/internal/packet"
	"skylarkturn/internal/route"
)

const (
	maxHeldRequests = 512         // further ones are forwarded at once
	maxHeldPackets  = 16          // of one request; clients have no more in flight
	maxHoldTime     = time.Second // longest time for which a request is held
	maxRoutes       = 4096        // routes that are kept with their class

	// holdShare is the share of a request's timeout for which it is held at most. A
	// client whose request the host rejects then has time for a retry.
	holdShare = 0.5
)

// routeState is what the agent knows of a route.
type routeState struct {
	id    uint64 // identifies the route in the admission queue
	class route.Class
}

// update sets the class of the route if it is known.
func (r *routeState) update(c route.Class) {
	if c != r.class && c.Known() {
		r.class = c
	}
}

// priority returns the priority of the route's requests in the admission queue.
func (r *routeState) priority() int { return -int(r.class.Priority) }

// routeOf returns the state of the route that a flow uses.
func (t *Table) routeOf(k packet.Key) *routeState {
	r := t.routes[k.Route]
	if r == nil {
		if len(t.routes) >= maxRoutes {
			clear(t.routes) // open flows keep theirs
		}
		r = &routeState{id: k.Route.Hash()}
		t.routes[k.Route] = r
	}
	return r
}

// request is the state of a client's request.
type request struct {
	stage       stage
	ticket      admission.Ticket // while held
	forwardedAt time.Duration    // while running, on the table's clock
}

type stage uint8

const (
	answered stage = iota // or there was no request yet
	held                  // held back until the host can run it
	running               // forwarded to the host
)

// heldRequest is a request that is held back, with its packets.
type heldRequest struct {
	flow    packet.Key
	packets []heldPacket
	heldAt  time.Time
}

type heldPacket struct {
	seq uint32
	raw []byte
}

// clock returns a time as the admission queue has it.
func (t *Table) clock(now time.Time) time.Duration { return now.Sub(t.startedAt) }

// admitRequest handles a packet with data of a client, which starts a request or continues
// a held one. It reports whether the packet is to be forwarded to the host; otherwise it is
// held. Requests of no known class are never held.
func (t *Table) admitRequest(now time.Time, k packet.Key, f *flow, p *packet.Header, raw []byte) (forward bool) {
	r := &f.request
	switch {
	case f.state == closed:
		return true
	case r.stage == held:
		t.held[r.ticket].hold(p.Seq, raw)
		return false
	}
	if !f.route.class.Known() {
		t.admission.ForceStart(f.route.id)
		*r = request{stage: running, forwardedAt: t.clock(now)}
		return true
	}
	t.lastTicket++
	if t.admission.Enqueue(t.clock(now), t.newRequest(now, f.route)) == admission.Start {
		*r = request{stage: running, forwardedAt: t.clock(now)}
		return true
	}
	*r = request{stage: held, ticket: t.lastTicket}
	h := &heldRequest{flow: k, heldAt: now}
	h.hold(p.Seq, raw)
	t.held[r.ticket] = h
	return false
}

// newRequest returns a request of a route that arrives now.
func (t *Table) newRequest(now time.Time, r *routeState) admission.Request {
	at := t.clock(now)
	hold := min(time.Duration(holdShare*float64(r.class.Timeout)), maxHoldTime)
	return admission.Request{
		Ticket: t.lastTicket, Session: r.id, Class: r.id, Priority: r.priority(),
		Objective: at + r.class.Objective, Deadline: at + r.class.Timeout, StartBy: at + hold,
	}
}

// hold keeps a packet unless it is a copy of a held one.
func (h *heldRequest) hold(seq uint32, raw []byte) {
	isCopy := slices.ContainsFunc(h.packets, func(p heldPacket) bool { return p.seq == seq })
	if !isCopy && len(h.packets) < maxHeldPackets {
		h.packets = append(h.packets, heldPacket{seq, slices.Clone(raw)})
	}
}

// recordWork records the time that the host took for the running request of a flow.
func (t *Table) recordWork(now time.Time, f *flow) {
	t.admission.RecordWork(f.route.id, t.clock(now)-f.request.forwardedAt)
}

// endRequest ends the request of a flow, if there is one: it was answered, or the client
// has given up. Requests that have got its slot are forwarded by forwardStarted.
func (t *Table) endRequest(now time.Time, f *flow) {
	switch r := &f.request; r.stage {
	case running:
		t.started = append(t.started, t.admission.Release(t.clock(now), f.route.id)...)
	case held:
		delete(t.held, r.ticket)
		if t.admission.Cancel(r.ticket) {
			break
		}
		t.started = slices.DeleteFunc(t.started, func(s admission.Ticket) bool { return s == r.ticket }) // it has just got a slot
		t.started = append(t.started, t.admission.Release(t.clock(now), f.route.id)...)
	}
	f.request = request{}
}

// forwardStarted forwards the held requests that have got a slot.
func (t *Table) forwardStarted(now time.Time, out []Action) []Action {
	for _, ticket := range t.started {
		h := t.held[ticket]
		delete(t.held, ticket)
		t.flows[h.flow].request = request{stage: running, forwardedAt: t.clock(now)}
		for _, p := range h.packets {
			out = append(out, Action{Op: ToHost, Cause: Released, Flow: h.flow, Packet: p.raw, Waited: now.Sub(h.heldAt)})
		}
	}
	t.started = t.started[:0]
	return out
}

// ReleaseAll forwards all held requests, for an agent that stops.
func (t *Table) ReleaseAll(now time.Time, out []Action) []Action {
	t.started = append(t.started, t.admission.StartAll(t.clock(now))...)
	return t.forwardStarted(now, out)
}
