package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"skylarkturn/internal/request"
)

// requests holds the gate and the ledger and wakes those who wait for them.
type requests struct {
	mu         sync.Mutex
	admission  *request.AdmissionQueue
	ledger     *request.Ledger
	lastTicket request.Ticket
	waiters    map[request.Ticket]chan bool // true starts, false is past its deadline
	inProgress map[string]chan struct{}     // closed when the request in progress ends
	active     int                          // requests and feeds that the agent is serving
}

func newRequests(cfg Settings) *requests {
	return &requests{
		admission:  request.NewAdmissionQueue(request.AdmissionLimits{Slots: cfg.Slots, Queue: cfg.Queue}),
		ledger:     request.NewLedger(request.DefaultLimits),
		waiters:    make(map[request.Ticket]chan bool),
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

// addActive counts a request that the agent serves; leave ends it.
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

// refusedError says when a refused request may come back.
type refusedError struct{ retryAfter time.Duration }

func (r *refusedError) Error() string { return "no slot in time" }

var errDeadlinePassed = errors.New("deadline passed while waiting for a slot")

// acquire waits for a slot until the deadline; now and deadline are on the
// agent's clock.
func (q *requests) acquire(ctx context.Context, now, deadline time.Duration, session uint64, priority int) error {
	q.mu.Lock()
	q.lastTicket++
	t := q.lastTicket
	d, retryAfter := q.admission.Admit(now, request.AdmissionRequest{Ticket: t, Session: session, Priority: priority, Deadline: deadline})
	switch d {
	case request.Start:
		q.mu.Unlock()
		return nil
	case request.Refuse:
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
		return q.cancelWait(ctx, t, now, session, ch)
	}
}

// Leaves the queue; a slot that came at the same moment is given back.
func (q *requests) cancelWait(ctx context.Context, t request.Ticket, now time.Duration, session uint64, ch chan bool) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.admission.Cancel(t) {
		delete(q.waiters, t)
		return ctx.Err()
	}
	if started := <-ch; started {
		q.startWaiters(q.admission.Release(now, session, 0))
	}
	return ctx.Err()
}

// release frees a slot that was held for the time spent.
func (q *requests) release(now time.Duration, session uint64, spent time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.startWaiters(q.admission.Release(now, session, spent))
}

func (q *requests) startWaiters(started []request.Ticket) {
	for _, t := range started {
		q.waiters[t] <- true
		delete(q.waiters, t)
	}
}

// expire refuses requests whose deadline has passed in the queue.
func (q *requests) expire(now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range q.admission.Expire(now) {
		q.waiters[t] <- false
		delete(q.waiters, t)
	}
}

// begin takes a copy of a bound request. When one is in progress, done is
// closed at its end.
func (q *requests) begin(now time.Duration, key string, issued time.Duration) (v request.Verdict, a request.Answer, done <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	v, a = q.ledger.Begin(now, key, issued)
	if v == request.Run {
		q.inProgress[key] = make(chan struct{})
	}
	return v, a, q.inProgress[key]
}

// end records with set what became of the request and wakes its copies.
func (q *requests) end(key string, set func(*request.Ledger)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	set(q.ledger)
	close(q.inProgress[key])
	delete(q.inProgress, key)
}

func (q *requests) resolve(now time.Duration, key string, issued time.Duration) (request.Verdict, request.Answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Resolve(now, key, issued)
}
