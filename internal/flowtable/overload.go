package flowtable

import "time"

const (
	// maxRequestsPerSlot is the number of running and queued requests per slot of
	// the host at which it gets no new flows. Hosts queue a few requests per slot
	// and reject the rest, and each rejection costs a client one of its few retries.
	maxRequestsPerSlot = 3

	// firstRequestTimeout is how long a new flow counts as a request before its
	// first request arrives: a few round trips to the client. After that the client
	// may have disappeared.
	firstRequestTimeout = 50 * time.Millisecond
)

// overloaded reports whether the host has so many requests that a new flow should
// go to another host or wait. Flows that are about to open count as one request
// each.
func (t *Table) overloaded(now time.Time) bool {
	for len(t.pendingOpens) > 0 && now.Sub(t.pendingOpens[0]) >= firstRequestTimeout {
		t.pendingOpens = t.pendingOpens[1:]
	}
	slots := t.host.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return t.busyFlows+len(t.pendingOpens) >= maxRequestsPerSlot*slots
}

// recordOpened removes one pending open, because the requests of an open flow are
// counted in busyFlows.
func (t *Table) recordOpened() {
	if len(t.pendingOpens) > 0 {
		t.pendingOpens = t.pendingOpens[1:]
	}
}
