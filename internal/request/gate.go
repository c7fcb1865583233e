package request

import (
	"slices"
	"time"
)

// Ticket identifies a request at a Gate; the caller of Offer chooses it.
type Ticket uint64

// Offer describes a request that needs a slot.
type Offer struct {
	Ticket   Ticket
	Session  uint64        // slots are shared fairly between sessions
	Priority int           // higher values start first
	Deadline time.Duration // on the agent's clock, since its start
}

// Decision is the result of Gate.Offer.
type Decision uint8

// Decisions returned by Gate.Offer.
const (
	Start  Decision = iota + 1 // a slot is occupied for the request
	Wait                       // queued; a later Release or Expire returns its ticket
	Refuse                     // the queue is full, or the deadline can't be met
)

// GateLimits holds the limits of a Gate.
type GateLimits struct {
	Slots int // requests in progress at the host
	Queue int // requests waiting for a slot
}

type queuedRequest struct {
	Offer
	arrivedAt time.Duration
	seq       uint64
}

// Gate limits the requests in progress at a host to its slots. Further requests
// wait in a bounded queue, which refuses those that can't meet their deadline. It
// is not safe for concurrent use.
type Gate struct {
	limits         GateLimits
	queue          []queuedRequest
	running        map[uint64]int // requests in progress per session
	busy           int
	lastSeq        uint64
	avgServiceTime time.Duration // exponential moving average of the time that requests hold a slot
}

const initialServiceTime = 20 * time.Millisecond // average until requests have been measured

// NewGate returns a gate with all slots free.
func NewGate(limits GateLimits) *Gate {
	return &Gate{limits: limits, running: make(map[uint64]int), avgServiceTime: initialServiceTime}
}

// Busy returns the number of occupied slots.
func (g *Gate) Busy() int { return g.busy }

// Queued returns the number of requests in the queue.
func (g *Gate) Queued() int { return len(g.queue) }

// Offer requests a slot. If the request is refused, retryAfter estimates the time
// until a slot becomes free.
func (g *Gate) Offer(now time.Duration, o Offer) (d Decision, retryAfter time.Duration) {
	if o.Deadline <= now {
		return Refuse, g.estimateWait(len(g.queue))
	}
	if g.busy < g.limits.Slots {
		g.occupySlot(o.Session)
		return Start, 0
	}
	estimate := g.estimateWait(g.countAhead(o.Priority))
	if len(g.queue) >= g.limits.Queue || now+estimate+g.avgServiceTime > o.Deadline {
		return Refuse, g.estimateWait(len(g.queue))
	}
	g.lastSeq++
	g.queue = append(g.queue, queuedRequest{o, now, g.lastSeq})
	return Wait, 0
}

// countAhead returns the number of queued requests that start before a new one of
// the given priority.
func (g *Gate) countAhead(priority int) int {
	n := 0
	for i := range g.queue {
		if g.queue[i].Priority >= priority {
			n++
		}
	}
	return n
}

// estimateWait estimates the time until a slot is free for a request with n
// requests ahead of it.
func (g *Gate) estimateWait(n int) time.Duration {
	return g.avgServiceTime * time.Duration(n+1) / time.Duration(g.limits.Slots)
}

func (g *Gate) occupySlot(session uint64) {
	g.busy++
	g.running[session]++
}

// Release frees a slot that a request of the session held for the time spent. It
// returns the tickets of the queued requests that now have slots.
func (g *Gate) Release(now time.Duration, session uint64, spent time.Duration) []Ticket {
	g.busy--
	if g.running[session]--; g.running[session] <= 0 {
		delete(g.running, session)
	}
	g.avgServiceTime += (spent - g.avgServiceTime) / 8
	return g.startQueued(now)
}

func (g *Gate) startQueued(now time.Duration) (started []Ticket) {
	for g.busy < g.limits.Slots {
		i := g.nextQueued(now)
		if i < 0 {
			return started
		}
		w := g.queue[i]
		g.queue = slices.Delete(g.queue, i, i+1)
		g.occupySlot(w.Session)
		started = append(started, w.Ticket)
	}
	return started
}

// nextQueued returns the index of the queued request to start next, -1 if there is
// none. It skips requests past their deadline, which Expire removes.
func (g *Gate) nextQueued(now time.Duration) int {
	best := -1
	for i := range g.queue {
		if g.queue[i].Deadline <= now {
			continue
		}
		if best < 0 || g.less(&g.queue[i], &g.queue[best]) {
			best = i
		}
	}
	return best
}

// less reports whether a starts before b: by priority, then by the number of
// requests that their sessions have in progress, then by arrival.
func (g *Gate) less(a, b *queuedRequest) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if x, y := g.running[a.Session], g.running[b.Session]; x != y {
		return x < y
	}
	return a.seq < b.seq
}

// Cancel removes a request from the queue and reports whether it was queued.
func (g *Gate) Cancel(t Ticket) bool {
	n := len(g.queue)
	g.queue = slices.DeleteFunc(g.queue, func(w queuedRequest) bool { return w.Ticket == t })
	return len(g.queue) < n
}

// Expire removes the requests past their deadline from the queue and returns their
// tickets.
func (g *Gate) Expire(now time.Duration) (late []Ticket) {
	g.queue = slices.DeleteFunc(g.queue, func(w queuedRequest) bool {
		if w.Deadline > now {
			return false
		}
		late = append(late, w.Ticket)
		return true
	})
	return late
}
