package flowtable

import "time"

const (
	// crowdedPerSlot is the number of requests in progress or waiting, for each slot
	// of the host, from which it gets no new flows. Hosts queue a few requests for
	// each slot, and reject those beyond, which costs a client one of its few retries.
	crowdedPerSlot = 3

	// firstRequestWithin is the time within which an accepted flow brings its first request,
	// a few round trips to the client.
	firstRequestWithin = 50 * time.Millisecond
)

// Reports whether the host has so many requests waiting that a new flow is better
// off elsewhere, or a little later.
func (t *Table) crowded(now time.Time) bool {
	for len(t.openings) > 0 && now.Sub(t.openings[0]) >= firstRequestWithin {
		t.openings = t.openings[1:]
	}
	slots := t.host.Slots
	if slots <= 0 {
		slots = provisionalSlots
	}
	return t.busy+len(t.openings) >= crowdedPerSlot*slots
}

// Notes that a flow has opened; its requests are counted from now on.
func (t *Table) opened() {
	if len(t.openings) > 0 {
		t.openings = t.openings[1:]
	}
}
