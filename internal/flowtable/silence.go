package flowtable

import (
	"time"

	"skylarkturn/internal/parcel"
)

// silence counts what has been given to the host since it last sent anything.
type silence struct {
	since   time.Time // first packet without an answer
	packets int
}

// silentAfter is the time without any packet from the host, while it is given
// some, after which the agent checks whether it still runs.
const silentAfter = 400 * time.Millisecond

// Given counts a packet that was given to the host.
func (t *Table) Given(now time.Time) {
	if t.silence.packets == 0 {
		t.silence.since = now
	}
	t.silence.packets++
}

// provisionalSlots is the number of slots that a host counts with until it has
// told its own.
const provisionalSlots = 4

// Suspicious reports whether the host may have ended: it has been silent for some
// time while packets for it arrived, or it has never been heard of while
// balancers ask for its flows.
func (t *Table) Suspicious(now time.Time) bool {
	if t.host.ID == "" && !t.registered && len(t.questions) > 0 {
		return true
	}
	return t.silence.packets >= silenceBounds && now.Sub(t.silence.since) >= silentAfter
}

// CheckResult is the result of a connection attempt to the host.
type CheckResult uint8

// Results of checks.
const (
	HostUnclear   CheckResult = iota // no answer
	HostListening                    // the host takes connections
	HostAbsent                       // nothing listens at its address
)

// String returns the result in lower case.
func (r CheckResult) String() string { return [...]string{"unclear", "listening", "absent"}[r%3] }

// Checked takes the result of a connection attempt to the host that began at the
// given time. An absent host has no flows of before any more. A host that takes
// connections but has never been heard of by this process, which has started
// again beside it, counts as ready for the service until its next heartbeat.
func (t *Table) Checked(began time.Time, r CheckResult, service string, out []Action) []Action {
	t.silence = silence{}
	if r == HostListening && t.host.ID == "" && service != "" {
		t.host, t.registered = Report{Service: service, State: HostReady, Slots: provisionalSlots}, true
	}
	if r != HostAbsent {
		return out
	}
	t.registered = false
	t.complete = true
	t.absent = true
	out = t.endEarlier(HostEnded, out)
	for k, q := range t.questions {
		out = append(out, refusal(k, q.from, parcel.Ask, parcel.NotHeld, nil))
	}
	clear(t.questions)
	return t.endBefore(began, HostEnded, out)
}
