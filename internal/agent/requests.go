package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"skylarkturn/internal/admission"
	"skylarkturn/internal/request"
)

// requests serializes access to the admission queue and the ledger and unblocks the
// goroutines that wait for them.
type requests struct {
	mu         sync.Mutex // guards the fields below
	admission  *admission.Queue
	ledger     *request.Ledger
	lastTicket admission.Ticket
	waiters    map[admission.Ticket]chan bool // receive true when the request gets a slot, false when its deadline passes
	inProgress map[string]chan struct{}       // by idempotency key; closed when the request ends
	active     int                            // requests and feeds being served
}

func newRequests(cfg Settings) *requests {
	return &requests{
		admission:  admission.NewQueue(admission.Limits{Slots: cfg.Slots, Queue: cfg.Queue}),
		ledger:     request.NewLedger(request.DefaultLimits),
		waiters:    make(map[admission.Ticket]chan bool),
		inProgress: make(map[string]chan struct{}),
	}
}

func (q *requests) busy() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.Busy()
}

func (q *requests) queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.Queued()
}

func (q *requests) ledgerLen() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Len()
}

func (q *requests) activeCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.active
}

// addActive counts a request or feed as being served, until removeActive.
func (q *requests) addActive() {
	q.mu.Lock()
	q.active++
	q.mu.Unlock()
}

func (q *requests) removeActive() {
	q.mu.Lock()
	q.active--
	q.mu.Unlock()
}

// refusedError reports that the admission queue refused a request, which may be
// retried after retryAfter.
type refusedError struct{ retryAfter time.Duration }

func (r *refusedError) Error() string { return "no slot in time" }

var errDeadlinePassed = errors.New("deadline passed while waiting for a slot")

// acquire waits for a slot for a request until its deadline, and sets its ticket. Times
// are on the agent's clock.
func (q *requests) acquire(ctx context.Context, now time.Duration, r admission.Request) error {
	q.mu.Lock()
	q.lastTicket++
	t := q.lastTicket
	r.Ticket = t
	d, retryAfter := q.admission.Admit(now, r)
	switch d {
	case admission.Start:
		q.mu.Unlock()
		return nil
	case admission.Refuse:
		q.mu.Unlock()
		return &refusedError{retryAfter}
	}
	ch := make(chan bool, 1)
	q.waiters[t] = ch
	q.mu.Unlock()
	select {
	case started := <-ch:
		if !started {
			return errDeadlinePassed
		}
		return nil
	case <-ctx.Done():
		return q.cancelWait(ctx, t, now, r.Session, ch)
	}
}

// cancelWait removes a waiting request from the queue. If it has been given a slot in
// the meantime, cancelWait releases the slot.
func (q *requests) cancelWait(ctx context.Context, t admission.Ticket, now time.Duration, session uint64, ch chan bool) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.admission.Cancel(t) {
		delete(q.waiters, t)
		return ctx.Err()
	}
	if started := <-ch; started {
		q.startWaiters(q.admission.Release(now, session))
	}
	return ctx.Err()
}

// release frees a slot that a request of the session and class occupied for the duration
// spent.
func (q *requests) release(now time.Duration, session, class uint64, spent time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admission.RecordWork(class, spent)
	q.startWaiters(q.admission.Release(now, session))
}

// startWaiters starts the queued requests that have been given slots.
func (q *requests) startWaiters(started []admission.Ticket) {
	for _, t := range started {
		q.waiters[t] <- true
		delete(q.waiters, t)
	}
}

// expire refuses the queued requests whose deadline has passed.
func (q *requests) expire(now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range q.admission.Expire(now) {
		q.waiters[t] <- false
		delete(q.waiters, t)
	}
}

// begin returns the ledger's verdict on a copy of a bound request. If a copy is in
// progress, done is closed when it ends.
func (q *requests) begin(now time.Duration, key string, issued time.Duration) (v request.Verdict, a request.Answer, done <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	v, a = q.ledger.Begin(now, key, issued)
	if v == request.Run {
		q.inProgress[key] = make(chan struct{})
	}
	return v, a, q.inProgress[key]
}

// end records the outcome of the request in the ledger by calling record, and
// unblocks the other copies of the request.
func (q *requests) end(key string, record func(*request.Ledger)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	record(q.ledger)
	close(q.inProgress[key])
	delete(q.inProgress, key)
}

// resolve returns the ledger's verdict on a request. A request that has not run is
// fenced.
func (q *requests) resolve(now time.Duration, key string, issued time.Duration) (request.Verdict, request.Answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Resolve(now, key, issued)
}
