package flowtable

import (
	"time"

	"skylarkturn/internal/tunnel"
)

// unansweredPackets counts the packets forwarded to the host since it last sent one.
type unansweredPackets struct {
	since time.Time // when the first of them was forwarded
	count int       // packets forwarded since then, the first included
}

// unansweredTimeout is how long the host may send nothing while packets are
// forwarded to it before the agent checks whether it is still running.
const unansweredTimeout = 400 * time.Millisecond

// CountForwarded counts a packet that was forwarded to the host.
func (t *Table) CountForwarded(now time.Time) {
	if t.unanswered.count == 0 {
		t.unanswered.since = now
	}
	t.unanswered.count++
}

// defaultSlots is the assumed number of slots of a host that has not reported it.
const defaultSlots = 4

// HostSuspected reports whether the host may be down: it has not answered packets
// for unansweredTimeout, it has deregistered without a drain, or no host has ever
// reported and balancers have sent packets of unknown flows.
func (t *Table) HostSuspected(now time.Time) bool {
	if t.presence == unheard && len(t.questions) > 0 || t.presence == deregistered {
		return true
	}
	return t.unanswered.count >= minUnanswered && now.Sub(t.unanswered.since) >= unansweredTimeout
}

// CheckResult is the outcome of a connection attempt to the host.
type CheckResult uint8

// Outcomes of a check.
const (
	HostUnclear   CheckResult = iota // no answer: the host may or may not be running
	HostListening                    // the host accepts connections
	HostAbsent                       // nothing listens at the host's address
)

// String returns the result in lower case.
func (r CheckResult) String() string { return [...]string{"unclear", "listening", "absent"}[r%3] }

// HandleCheck handles the result of a connection attempt to the host that began at
// the given time. If the host is absent, all flows created before that time have
// ended. A connection that succeeds shows that a process runs at the address, but not
// which service it is of, nor whether it is draining.
func (t *Table) HandleCheck(began time.Time, r CheckResult, out []Action) []Action {
	t.unanswered = unansweredPackets{}
	if r != HostAbsent {
		return out
	}
	t.recordHostEvent(ended)
	t.recordVacant()
	t.previousHostEnded = true
	out = t.resetPreviousFlows(HostEnded, out)
	for k, q := range t.questions {
		out = append(out, refusedReply(k, q.balancer, tunnel.Ask, tunnel.NotHeld, nil))
	}
	clear(t.questions)
	return t.forwardStarted(began, t.endFlowsBefore(began, began, HostEnded, out))
}
