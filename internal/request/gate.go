package request

import (
	"slices"
	"time"
)

// Ticket identifies a request at a Gate.
type Ticket uint64

// Offer describes a request that asks for a slot.
type Offer struct {
	Ticket   Ticket
	Session  uint64 // requests of one session wait in turn with those of others
	Priority int    // higher goes first
	Deadline time.Duration
}

// Decision is what a Gate does with an offer.
type Decision uint8

// Decisions of Offer.
const (
	Start  Decision = iota + 1 // a slot is free
	Wait                       // queued; a later Release or Tick names it
	Refuse                     // the queue is full or too slow for the deadline
)

// GateLimits bounds a Gate.
type GateLimits struct {
	Slots int // requests at the host at a time
	Queue int // requests that wait
}

type waiting struct {
	Offer
	arrived time.Duration
	order   uint64
}

// Gate bounds the requests in progress at a host to its slots, with a short
// queue that refuses what can't meet its deadline. It is not safe for
// concurrent use.
type Gate struct {
	limits  GateLimits
	queue   []waiting
	running map[uint64]int // requests in progress by session
	busy    int
	order   uint64
	service time.Duration // moving average of the time in a slot
}

const firstServiceTime = 20 * time.Millisecond

// NewGate returns a gate with all slots free.
func NewGate(limits GateLimits) *Gate {
	return &Gate{limits: limits, running: make(map[uint64]int), service: firstServiceTime}
}

// Busy returns the number of requests in slots.
func (g *Gate) Busy() int { return g.busy }

// Queued returns the number of requests that wait.
func (g *Gate) Queued() int { return len(g.queue) }

// Offer asks for a slot. When refused, retryAfter says when a slot is likely.
func (g *Gate) Offer(now time.Duration, o Offer) (d Decision, retryAfter time.Duration) {
	if o.Deadline <= now {
		return Refuse, g.estimate(len(g.queue))
	}
	if g.busy < g.limits.Slots {
		g.start(o.Session)
		return Start, 0
	}
	estimate := g.estimate(g.ahead(o.Priority))
	if len(g.queue) >= g.limits.Queue || now+estimate+g.service > o.Deadline {
		return Refuse, g.estimate(len(g.queue))
	}
	g.order++
	g.queue = append(g.queue, waiting{o, now, g.order})
	return Wait, 0
}

// Counts the queued requests that go before a new one.
func (g *Gate) ahead(priority int) int {
	n := 0
	for i := range g.queue {
		if g.queue[i].Priority >= priority {
			n++
		}
	}
	return n
}

// Time until a slot is free for a request with n others before it.
func (g *Gate) estimate(n int) time.Duration {
	return g.service * time.Duration(n+1) / time.Duration(g.limits.Slots)
}

func (g *Gate) start(session uint64) {
	g.busy++
	g.running[session]++
}

// Release frees the slot of a request of the session that took it for the time
// spent, and returns the tickets of waiting requests that now have slots.
func (g *Gate) Release(now time.Duration, session uint64, spent time.Duration) []Ticket {
	g.busy--
	if g.running[session]--; g.running[session] <= 0 {
		delete(g.running, session)
	}
	g.service += (spent - g.service) / 8
	return g.fill(now)
}

func (g *Gate) fill(now time.Duration) (started []Ticket) {
	for g.busy < g.limits.Slots {
		i := g.next(now)
		if i < 0 {
			return started
		}
		w := g.queue[i]
		g.queue = slices.Delete(g.queue, i, i+1)
		g.start(w.Session)
		started = append(started, w.Ticket)
	}
	return started
}

// Picks by priority, then the session with the fewest requests in progress,
// then arrival; requests past their deadline are left to Expire.
func (g *Gate) next(now time.Duration) int {
	best := -1
	for i := range g.queue {
		if g.queue[i].Deadline <= now {
			continue
		}
		if best < 0 || g.before(&g.queue[i], &g.queue[best]) {
			best = i
		}
	}
	return best
}

func (g *Gate) before(a, b *waiting) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if x, y := g.running[a.Session], g.running[b.Session]; x != y {
		return x < y
	}
	return a.order < b.order
}

// Cancel takes a waiting request out of the queue and reports whether it was
// there.
func (g *Gate) Cancel(t Ticket) bool {
	n := len(g.queue)
	g.queue = slices.DeleteFunc(g.queue, func(w waiting) bool { return w.Ticket == t })
	return len(g.queue) < n
}

// Expire takes the requests past their deadline out of the queue and returns
// their tickets.
func (g *Gate) Expire(now time.Duration) (late []Ticket) {
	g.queue = slices.DeleteFunc(g.queue, func(w waiting) bool {
		if w.Deadline > now {
			return false
		}
		late = append(late, w.Ticket)
		return true
	})
	return late
}
