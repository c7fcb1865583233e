package admission

import (
	"slices"
	"time"
)

// Ticket identifies a request in a Queue; the caller chooses it.
type Ticket uint64

// Request describes a request that needs a slot. Times are on the caller's clock.
type Request struct {
	Ticket    Ticket
	Session   uint64        // requests of one priority share the slots fairly between sessions
	Class     uint64        // requests of one class take similar time
	Priority  int           // higher values start first
	Objective time.Duration // response time aimed at; 0 for none
	Deadline  time.Duration // a later response is useless
	StartBy   time.Duration // when the request is overdue, see Queue.StartOverdue; 0 for never
}

// Decision is the result of Queue.Admit and Queue.Enqueue.
type Decision uint8

// Decisions on a request.
const (
	Start  Decision = iota + 1 // a slot is occupied for the request
	Wait                       // queued; a later call returns its ticket
	Refuse                     // the queue is full, or the deadline can't be met
)

// Limits holds the limits of a Queue.
type Limits struct {
	Slots int // maximum number of requests in progress at the host
	Queue int // maximum number of requests waiting for a slot
}

type queuedRequest struct {
	Request
	seq uint64
}

// Queue limits the requests in progress at a host to its slots. Further requests wait
// in a bounded queue. It is not safe for concurrent use.
//
// Requests start by priority, but every urgentStarts starts one of a lower priority
// that waits has its turn. Within a priority, requests that can still meet their
// objective go before those that can't, sessions with fewer requests in progress before
// others, and earlier requests before later ones.
type Queue struct {
	limits    Limits
	queue     []queuedRequest
	running   map[uint64]int // requests in progress per session
	busy      int
	lastSeq   uint64
	preferred int                      // starts in a row that went before a request of a lower priority
	work      map[uint64]time.Duration // moving average of the time that requests hold a slot, by class
	avgWork   time.Duration            // the same for all requests
	demand    map[uint64]*classDemand  // by class
}

const (
	initialWork  = 20 * time.Millisecond // average before the first request has finished
	workSamples  = 8                     // a new sample has the weight 1/8 in a moving average
	maxClasses   = 1024                  // classes with a moving average of their own
	urgentStarts = 3                     // starts that may go in a row before requests of lower priorities
)

// NewQueue returns an empty queue with all slots free.
func NewQueue(limits Limits) *Queue {
	return &Queue{
		limits: limits, running: make(map[uint64]int),
		work: make(map[uint64]time.Duration), avgWork: initialWork, demand: make(map[uint64]*classDemand),
	}
}

// SetSlots changes the number of slots. Requests in progress keep theirs.
func (q *Queue) SetSlots(n int) { q.limits.Slots = n }

// Busy returns the number of occupied slots.
func (q *Queue) Busy() int { return q.busy }

// Queued returns the number of requests in the queue.
func (q *Queue) Queued() int { return len(q.queue) }

// Work returns the time that a request of the class is expected to hold a slot.
func (q *Queue) Work(class uint64) time.Duration {
	if w, ok := q.work[class]; ok {
		return w
	}
	return q.avgWork
}

// AverageWork returns the time that requests hold a slot on average.
func (q *Queue) AverageWork() time.Duration { return q.avgWork }

// EstimateWait estimates the time until a slot is free for a request that arrives now,
// if expected further requests are about to arrive.
func (q *Queue) EstimateWait(r *Request, expected int) time.Duration {
	return q.wait(expected, func(queued *Request) bool {
		return queued.Priority > r.Priority || queued.Priority == r.Priority && q.running[queued.Session] <= q.running[r.Session]
	})
}

// TotalWait is like EstimateWait for a request that starts after all queued ones.
func (q *Queue) TotalWait(expected int) time.Duration {
	return q.wait(expected, func(*Request) bool { return true })
}

// wait returns the time until a slot is free after the queued requests that are ahead
// and the expected ones.
func (q *Queue) wait(expected int, isAhead func(*Request) bool) time.Duration {
	var ahead time.Duration
	for i := range q.queue {
		if isAhead(&q.queue[i].Request) {
			ahead += q.Work(q.queue[i].Class)
		}
	}
	if n := q.busy + expected + 1 - q.limits.Slots; n > 0 {
		ahead += time.Duration(n) * q.avgWork
	}
	return ahead / time.Duration(q.limits.Slots)
}

// Admit starts a request, queues it, or refuses it if the queue is full or its deadline
// can't be met. If it is refused, retryAfter estimates the time until a slot becomes
// free.
func (q *Queue) Admit(now time.Duration, r Request) (d Decision, retryAfter time.Duration) {
	if r.Deadline <= now {
		return Refuse, q.EstimateWait(&r, 0)
	}
	wait := q.EstimateWait(&r, 0)
	if q.busy >= q.limits.Slots && (len(q.queue) >= q.limits.Queue || now+wait+q.Work(r.Class) > r.Deadline) {
		return Refuse, wait
	}
	return q.Enqueue(now, r), 0
}

// Enqueue starts a request or queues it, whether or not it can meet its deadline. If the
// queue is full, the request starts without a free slot.
func (q *Queue) Enqueue(now time.Duration, r Request) Decision {
	q.recordDemand(now, &r)
	if q.busy < q.limits.Slots || len(q.queue) >= q.limits.Queue {
		q.ForceStart(r.Session)
		return Start
	}
	q.lastSeq++
	q.queue = append(q.queue, queuedRequest{r, q.lastSeq})
	return Wait
}

// ForceStart starts a request of a session whether or not a slot is free.
func (q *Queue) ForceStart(session uint64) {
	q.busy++
	q.running[session]++
}

// Release frees the slot of a request that has ended. It returns the tickets of the
// queued requests that start now.
func (q *Queue) Release(now time.Duration, session uint64) []Ticket {
	q.busy--
	if q.running[session]--; q.running[session] <= 0 {
		delete(q.running, session)
	}
	var started []Ticket
	for q.busy < q.limits.Slots && len(q.queue) > 0 {
		i := q.next(now)
		if q.queue[i].Deadline <= now {
			break // Expire removes it
		}
		started = append(started, q.startQueued(i))
	}
	return started
}

// RecordWork records the time for which a request of the class has held a slot.
func (q *Queue) RecordWork(class uint64, spent time.Duration) {
	if len(q.work) >= maxClasses {
		clear(q.work)
	}
	w := q.Work(class)
	q.work[class] = w + (spent-w)/workSamples
	q.avgWork += (spent - q.avgWork) / workSamples
}

// startQueued starts the queued request with the index i and returns its ticket.
func (q *Queue) startQueued(i int) Ticket {
	r := q.queue[i].Request
	q.queue = slices.Delete(q.queue, i, i+1)
	q.ForceStart(r.Session)
	return r.Ticket
}

// next returns the index of the queued request to start next. The queue must not be
// empty.
func (q *Queue) next(now time.Duration) int {
	best, lower := 0, -1
	for i := 1; i < len(q.queue); i++ {
		if q.before(now, &q.queue[i], &q.queue[best]) {
			best = i
		}
	}
	for i := range q.queue {
		if q.queue[i].Priority < q.queue[best].Priority && q.queue[i].Deadline > now && (lower < 0 || q.before(now, &q.queue[i], &q.queue[lower])) {
			lower = i
		}
	}
	switch {
	case lower < 0:
		q.preferred = 0
	case q.preferred >= urgentStarts:
		q.preferred = 0
		return lower
	default:
		q.preferred++
	}
	return best
}

// before reports whether a starts before b. Requests past their deadline come last.
func (q *Queue) before(now time.Duration, a, b *queuedRequest) bool {
	if x, y := a.Deadline <= now, b.Deadline <= now; x != y {
		return y
	}
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if x, y := q.isLate(now, a), q.isLate(now, b); x != y {
		return y
	}
	if x, y := q.running[a.Session], q.running[b.Session]; x != y {
		return x < y
	}
	return a.seq < b.seq
}

// isLate reports whether a request that starts now is expected to miss its objective.
func (q *Queue) isLate(now time.Duration, r *queuedRequest) bool {
	return r.Objective > 0 && now+q.Work(r.Class) > r.Objective
}

// StartOverdue starts all queued requests, in their order, if one of them is overdue,
// and returns their tickets. A host that is given more than it can queue rejects the
// rest, so that their clients need not wait for an answer that comes too late.
func (q *Queue) StartOverdue(now time.Duration) (started []Ticket) {
	if !slices.ContainsFunc(q.queue, func(r queuedRequest) bool { return r.StartBy > 0 && r.StartBy <= now }) {
		return nil
	}
	return q.StartAll(now)
}

// StartAll starts all queued requests, in their order, and returns their tickets.
func (q *Queue) StartAll(now time.Duration) (started []Ticket) {
	for len(q.queue) > 0 {
		started = append(started, q.startQueued(q.next(now)))
	}
	return started
}

// Cancel removes a request from the queue and reports whether it was queued.
func (q *Queue) Cancel(t Ticket) bool {
	n := len(q.queue)
	q.queue = slices.DeleteFunc(q.queue, func(r queuedRequest) bool { return r.Ticket == t })
	return len(q.queue) < n
}

// Expire removes the requests past their deadline from the queue and returns their
// tickets.
func (q *Queue) Expire(now time.Duration) (late []Ticket) {
	q.queue = slices.DeleteFunc(q.queue, func(r queuedRequest) bool {
		if r.Deadline > now {
			return false
		}
		late = append(late, r.Ticket)
		return true
	})
	return late
}
