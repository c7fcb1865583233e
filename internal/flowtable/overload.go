package flowtable

import "time"

const (
	// maxRequestsPerSlot is the number of requests in progress or waiting, for each slot
	// of the host, from which it gets no new flows. Hosts queue a few requests for
	// each slot, and reject those beyond, which costs a client one of its few retries.
	maxRequestsPerSlot = 3

	// firstRequestTimeout is the time within which an accepted flow brings its first request,
	// a few round trips to the client.
	firstRequestTimeout = 50 * time.Millisecond
)

// Reports whether the host has so many requests waiting that a new flow is better
// off elsewhere, or a little later.
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

// Notes that a flow has recordOpened; its requests are counted from now on.
func (t *Table) recordOpened() {
	if len(t.pendingOpens) > 0 {
		t.pendingOpens = t.pendingOpens[1:]
	}
}
