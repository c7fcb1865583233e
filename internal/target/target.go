package target

import (
	"net/netip"
	"time"

	"skylarkturn/internal/flow"
	"skylarkturn/internal/roster"
)

const (
	warmthSteps  = 4
	fullWarmth   = 100
	failuresDown = 3               // failures to reach the host in a row that take the target out
	alonePeriod  = 4 * time.Second // without any balancer's answer, after which the target counts as cut off
)

// Target is the state of one target, as its agent sees it. It is not safe for
// concurrent use.
type Target struct {
	started  time.Time
	warmup   time.Duration
	stopping bool
	drained  bool // by intent
	declared bool // whether the service's configuration is known
	failures int
	answered time.Time // last answer of a balancer
	known    bool      // whether a balancer has ever answered
}

// New returns a target that starts now and takes its full share after warmup.
func New(now time.Time, warmup time.Duration) *Target {
	return &Target{started: now, warmup: warmup}
}

// Stop begins a planned stop.
func (t *Target) Stop() { t.stopping = true }

// Follow follows the intent of the service's configuration, which is known from
// then on.
func (t *Target) Follow(drained bool) { t.declared, t.drained = true, drained }

// HostFailed counts a failure to reach the host.
func (t *Target) HostFailed() { t.failures++ }

// HostAnswered ends a row of failures.
func (t *Target) HostAnswered() { t.failures = 0 }

// HostDown reports whether the host has failed too often in a row.
func (t *Target) HostDown() bool { return t.failures >= failuresDown }

// Answered notes an answer of a balancer.
func (t *Target) Answered(now time.Time) { t.answered, t.known = now, true }

// CutOff reports whether balancers have fallen silent, so that the target's own
// answers may reach no caller.
func (t *Target) CutOff(now time.Time) bool { return t.known && now.Sub(t.answered) > alonePeriod }

// Leaving reports whether the target takes no new work for good or for now.
func (t *Target) Leaving() bool { return t.stopping || t.drained }

// State returns the state to announce. Without the service's configuration the
// target can't tell a feed from a request, nor whether it is to drain.
func (t *Target) State(now time.Time) roster.State {
	switch {
	case t.Leaving():
		return roster.Draining
	case !t.declared || t.HostDown() || t.CutOff(now):
		return roster.Starting
	}
	return roster.Ready
}

// Warmth returns the percent of its share that the target takes, in few steps.
func (t *Target) Warmth(now time.Time) uint8 {
	age := now.Sub(t.started)
	if t.warmup <= 0 || age >= t.warmup {
		return fullWarmth
	}
	step := 1 + int(age*warmthSteps/t.warmup)
	return uint8(step * fullWarmth / (warmthSteps + 1))
}

// Rival is another target of the service, or the target itself, as placement
// sees it.
type Rival struct {
	Agent    netip.AddrPort
	Weight   float64
	Sessions uint32
}

// slack is the number of sessions over the fair share that never count as
// overload; it keeps small services from handing flows around.
const slack = 1

// Overloaded reports whether self would stand more than the part e over its
// fair share of all sessions if it took one more.
func Overloaded(self Rival, others []Rival, e float64) bool {
	total, weight := float64(self.Sessions)+1, self.Weight
	for _, r := range others {
		total += float64(r.Sessions)
		weight += r.Weight
	}
	if self.Weight <= 0 {
		return true
	}
	if len(others) == 0 {
		return false
	}
	fair := total * self.Weight / weight
	return float64(self.Sessions)+1 > fair*(1+e)+slack
}

// MaxHops is the number of times that a first datagram is handed on.
const MaxHops = 3

// Decision is what a target does with a first datagram: take it, hand it on to
// Next, or, with neither, drop it.
type Decision struct {
	Take bool
	Next netip.AddrPort
}

// Decide decides on a first datagram that was handed on hops times. Only the
// first target hands on for its load: the views of two overloaded targets may
// each name the other. A target that is not ready hands on whatever comes.
func Decide(self Rival, others []Rival, ready bool, key uint64, hops uint8, e float64) Decision {
	if ready && (hops > 0 || !Overloaded(self, others, e)) {
		return Decision{Take: true}
	}
	if hops >= MaxHops {
		return Decision{}
	}
	next, ok := next(key, others)
	if !ok {
		return Decision{Take: ready}
	}
	return Decision{Next: next}
}

// Chooses the target that a first datagram is handed to: the less loaded,
// by its share, of the two that rank highest for the key.
func next(key uint64, others []Rival) (netip.AddrPort, bool) {
	candidates := make([]flow.Candidate, 0, len(others))
	loads := make(map[netip.AddrPort]float64, len(others))
	for _, r := range others {
		if r.Weight <= 0 {
			continue
		}
		candidates = append(candidates, flow.Candidate{Agent: r.Agent, Weight: r.Weight})
		loads[r.Agent] = float64(r.Sessions) / r.Weight
	}
	ranked := flow.Rank(key, candidates)
	switch {
	case len(ranked) == 0:
		return netip.AddrPort{}, false
	case len(ranked) > 1 && loads[ranked[1]] < loads[ranked[0]]:
		return ranked[1], true
	}
	return ranked[0], true
}
