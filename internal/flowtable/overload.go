package flowtable

import (
	"math"
	"time"

	"skylarkturn/internal/admission"
	"skylarkturn/internal/tunnel"
)

const (
	// extraInProgress is the number of requests that the host has in progress beyond its
	// slots, per slot, so that it need not wait for the agent between two requests.
	extraInProgress = 0.25

	// maxRequestsPerSlot is the number of running and queued requests per slot of
	// the host at which it gets no new flows of unknown class. Hosts queue a few
	// requests per slot and reject the rest, and each rejection costs a client one of
	// its few retries.
	maxRequestsPerSlot = 3

	// firstRequestTimeout is how long a new flow counts as a request before its
	// first request arrives: a few round trips to the client. After that the client
	// may have disappeared.
	firstRequestTimeout = 50 * time.Millisecond

	// busyWait is the share of the latency objective from which a request's wait is
	// reason to look for a less busy host.
	busyWait = 0.1

	// admissibleTime is the share of the latency objective within which a request must
	// be expected to be served for a new flow to be accepted. The remainder is for the
	// variation of execution times.
	admissibleTime = 0.75

	// sustainableLoad is the work, relative to the host's slots, that may have arrived in
	// the last second for a new flow to be accepted by a host without a free slot. A flow
	// brings requests for longer than a queue takes to show it. The value is above 1
	// because arrivals vary.
	sustainableLoad = 1.1

	// A host that sends nothing for stalledWork times the usual execution time of a
	// request, and at least minStalledTime, gets no new flows while requests are in
	// progress there.
	stalledWork    = 4
	minStalledTime = 200 * time.Millisecond
)

// maxInProgress returns the number of requests that a host with the given slots has in
// progress at most.
func maxInProgress(slots int) int {
	return slots + int(math.Ceil(extraInProgress*float64(slots)))
}

// slots returns the number of requests that the host runs concurrently.
func (t *Table) slots() int {
	if t.host.Slots <= 0 {
		return defaultSlots
	}
	return t.host.Slots
}

// overloadReason returns the reason for which the host's load rules out a new flow of a
// route, or 0. Flows that are about to open count as one request each.
func (t *Table) overloadReason(now time.Time, r *routeState, final bool) tunnel.Reason {
	for len(t.pendingOpens) > 0 && now.Sub(t.pendingOpens[0]) >= firstRequestTimeout {
		t.pendingOpens = t.pendingOpens[1:]
	}
	if !r.class.Known() {
		if t.Busy()+len(t.pendingOpens) >= maxRequestsPerSlot*t.slots() {
			return tunnel.Crowded
		}
		return 0
	}
	switch {
	case t.stalled(now):
		return tunnel.Crowded
	case t.hasFreeSlot():
		return 0
	case !final && t.admission.TotalWait(len(t.pendingOpens)) > fraction(busyWait, r.class.Objective):
		return tunnel.Busy
	case !t.canServeInTime(r) || !t.canSustain(now, r):
		return tunnel.Crowded
	}
	return 0
}

// canServeInTime reports whether a request of the route that arrives now is expected to
// meet its objective, or its timeout if its execution alone takes too long for that.
func (t *Table) canServeInTime(r *routeState) bool {
	work := t.admission.Work(r.id)
	limit := fraction(admissibleTime, r.class.Objective)
	if work > limit {
		limit = fraction(admissibleTime, r.class.Timeout)
	}
	return t.expectedWait(r)+work <= limit
}

// canSustain reports whether the host can do the work that arrives lately of the route's
// priority and higher ones.
func (t *Table) canSustain(now time.Time, r *routeState) bool {
	return t.admission.CanSustain(t.clock(now), r.id, r.priority(), sustainableLoad*float64(t.slots()))
}

// fraction returns a share of a duration.
func fraction(share float64, d time.Duration) time.Duration {
	return time.Duration(share * float64(d))
}

// hasFreeSlot reports whether the host can run another request at once, also after the
// first requests of the flows that are about to open.
func (t *Table) hasFreeSlot() bool {
	return t.Busy()+len(t.pendingOpens) < t.slots()
}

// load returns the load that decisions on flows of a route rest on.
func (t *Table) load(r *routeState) *Load {
	return &Load{
		InProgress: t.admission.Busy(), Held: t.admission.Queued(),
		Wait: t.expectedWait(r), Objective: r.class.Objective,
	}
}

// expectedWait returns the time until a request of a route can start that arrives now.
func (t *Table) expectedWait(r *routeState) time.Duration {
	return t.admission.EstimateWait(&admission.Request{Session: r.id, Priority: r.priority()}, len(t.pendingOpens))
}

// stalled reports whether the host has sent nothing for longer than its requests take.
func (t *Table) stalled(now time.Time) bool {
	timeout := max(stalledWork*t.admission.AverageWork(), minStalledTime)
	return t.admission.Busy() > 0 && t.unanswered.count >= minUnanswered && now.Sub(t.unanswered.since) > timeout
}

// recordOpened removes one pending open, because the requests of an open flow are
// counted by the admission queue.
func (t *Table) recordOpened() {
	if len(t.pendingOpens) > 0 {
		t.pendingOpens = t.pendingOpens[1:]
	}
}
