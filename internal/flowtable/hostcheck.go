package flowtable

import (
	"time"

	"skylarkturn/internal/parcel"
)

// unansweredPackets counts what has been given to the host since it last sent anything.
type unansweredPackets struct {
	since   time.Time // first packet without an answer
	count int
}

// unansweredTimeout is the time without any packet from the host, while it is given
// some, after which the agent checks whether it still runs.
const unansweredTimeout = 400 * time.Millisecond

// Given counts a packet that was given to the host.
func (t *Table) Given(now time.Time) {
	if t.unanswered.count == 0 {
		t.unanswered.since = now
	}
	t.unanswered.count++
}

// defaultSlots is the number of slots that a host counts with until it has
// told its own.
const defaultSlots = 4

// Suspicious reports whether the host may have ended: it has been silent for some
// time while packets for it arrived, or it has never been heard of while
// balancers ask for its flows.
func (t *Table) Suspicious(now time.Time) bool {
	if t.host.ID == "" && !t.registered && len(t.questions) > 0 {
		return true
	}
	return t.unanswered.count >= minUnanswered && now.Sub(t.unanswered.since) >= unansweredTimeout
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
	t.unanswered = unansweredPackets{}
	if r == HostListening && t.host.ID == "" && service != "" {
		t.host, t.registered = Report{Service: service, State: HostReady, Slots: defaultSlots}, true
	}
	if r != HostAbsent {
		return out
	}
	t.registered = false
	t.complete = true
	t.previousHostEnded = true
	out = t.resetPreviousFlows(HostEnded, out)
	for k, q := range t.questions {
		out = append(out, refusedReply(k, q.balancer, parcel.Ask, parcel.NotHeld, nil))
	}
	clear(t.questions)
	return t.endFlowsBefore(began, HostEnded, out)
}
