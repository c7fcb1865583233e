package request

import (
	"slices"
	"time"
)

// Ticket identifies a request in an AdmissionQueue; the caller of Admit chooses it.
type Ticket uint64

// AdmissionRequest describes a request that needs a slot.
type AdmissionRequest struct {
	Ticket   Ticket
	Session  uint64        // slots are shared fairly between sessions
	Priority int           // higher values start first
	Deadline time.Duration // on the agent's clock, since its start
}

// Decision is the result of AdmissionQueue.Admit.
type Decision uint8

// Decisions returned by AdmissionQueue.Admit.
const (
	Start  Decision = iota + 1 // a slot is occupied for the request
	Wait                       // queued; a later Release or Expire returns its ticket
	Refuse                     // the queue is full, or the deadline can't be met
)

// AdmissionLimits holds the limits of an AdmissionQueue.
type AdmissionLimits struct {
	Slots int // maximum number of requests in progress at the host
	Queue int // maximum number of requests waiting for a slot
}

type queuedRequest struct {
	AdmissionRequest
	arrivedAt time.Duration
	seq       uint64
}

// AdmissionQueue limits the requests in progress at a host to its slots. Further
// requests wait in a bounded queue, which refuses those that can't meet their
// deadline. It is not safe for concurrent use.
type AdmissionQueue struct {
	limits         AdmissionLimits
	queue          []queuedRequest
	running        map[uint64]int // requests in progress per session
	busy           int
	lastSeq        uint64
	avgServiceTime time.Duration // exponential moving average of the time that requests hold a slot
}

const (
	initialServiceTime = 20 * time.Millisecond // average before the first request has finished
	serviceTimeSamples = 8                     // a new sample has the weight 1/8 in the moving average
)

// NewAdmissionQueue returns an empty queue with all slots free.
func NewAdmissionQueue(limits AdmissionLimits) *AdmissionQueue {
	return &AdmissionQueue{limits: limits, running: make(map[uint64]int), avgServiceTime: initialServiceTime}
}

// Busy returns the number of occupied slots.
func (q *AdmissionQueue) Busy() int { return q.busy }

// Queued returns the number of requests in the queue.
func (q *AdmissionQueue) Queued() int { return len(q.queue) }

// Admit requests a slot. If the request is refused, retryAfter estimates the time
// until a slot becomes free.
func (q *AdmissionQueue) Admit(now time.Duration, r AdmissionRequest) (d Decision, retryAfter time.Duration) {
	if r.Deadline <= now {
		return Refuse, q.estimateWait(len(q.queue))
	}
	if q.busy < q.limits.Slots {
		q.occupySlot(r.Session)
		return Start, 0
	}
	estimate := q.estimateWait(q.countAhead(r.Priority))
	if len(q.queue) >= q.limits.Queue || now+estimate+q.avgServiceTime > r.Deadline {
		return Refuse, q.estimateWait(len(q.queue))
	}
	q.lastSeq++
	q.queue = append(q.queue, queuedRequest{r, now, q.lastSeq})
	return Wait, 0
}

// countAhead returns the number of queued requests that start before a new one of
// the given priority.
func (q *AdmissionQueue) countAhead(priority int) int {
	n := 0
	for i := range q.queue {
		if q.queue[i].Priority >= priority {
			n++
		}
	}
	return n
}

// estimateWait estimates the time until a slot is free for a request with n
// requests ahead of it.
func (q *AdmissionQueue) estimateWait(n int) time.Duration {
	return q.avgServiceTime * time.Duration(n+1) / time.Duration(q.limits.Slots)
}

func (q *AdmissionQueue) occupySlot(session uint64) {
	q.busy++
	q.running[session]++
}

// Release frees a slot that a request of the session held for the time spent. It
// returns the tickets of the queued requests that now have slots.
func (q *AdmissionQueue) Release(now time.Duration, session uint64, spent time.Duration) []Ticket {
	q.busy--
	if q.running[session]--; q.running[session] <= 0 {
		delete(q.running, session)
	}
	q.avgServiceTime += (spent - q.avgServiceTime) / serviceTimeSamples
	return q.startQueued(now)
}

func (q *AdmissionQueue) startQueued(now time.Duration) (started []Ticket) {
	for q.busy < q.limits.Slots {
		i := q.nextQueued(now)
		if i < 0 {
			return started
		}
		w := q.queue[i]
		q.queue = slices.Delete(q.queue, i, i+1)
		q.occupySlot(w.Session)
		started = append(started, w.Ticket)
	}
	return started
}

// nextQueued returns the index of the queued request to start next, -1 if there is
// none. It skips requests past their deadline, which Expire removes.
func (q *AdmissionQueue) nextQueued(now time.Duration) int {
	best := -1
	for i := range q.queue {
		if q.queue[i].Deadline <= now {
			continue
		}
		if best < 0 || q.less(&q.queue[i], &q.queue[best]) {
			best = i
		}
	}
	return best
}

// less reports whether a starts before b: by priority, then by the number of
// requests that their sessions have in progress, then by arrival.
func (q *AdmissionQueue) less(a, b *queuedRequest) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if x, y := q.running[a.Session], q.running[b.Session]; x != y {
		return x < y
	}
	return a.seq < b.seq
}

// Cancel removes a request from the queue and reports whether it was queued.
func (q *AdmissionQueue) Cancel(t Ticket) bool {
	n := len(q.queue)
	q.queue = slices.DeleteFunc(q.queue, func(w queuedRequest) bool { return w.Ticket == t })
	return len(q.queue) < n
}

// Expire removes the requests past their deadline from the queue and returns their
// tickets.
func (q *AdmissionQueue) Expire(now time.Duration) (late []Ticket) {
	q.queue = slices.DeleteFunc(q.queue, func(w queuedRequest) bool {
		if w.Deadline > now {
			return false
		}
		late = append(late, w.Ticket)
		return true
	})
	return late
}
