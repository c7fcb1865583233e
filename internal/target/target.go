package target

import (
	"net/netip"
	"time"

	"skylarkturn/internal/flow"
	"skylarkturn/internal/roster"
)

const (
	warmupSteps       = 4 // number of steps below the full share during warm-up
	fullWarmthPercent = 100
	maxHostFailures   = 3               // consecutive failures to reach the host after which it counts as down
	isolationTimeout  = 4 * time.Second // time without an answer from any balancer after which the target counts as isolated
)

// Target is the state of one target, as its agent sees it. It is not safe for
// concurrent use.
type Target struct {
	startedAt    time.Time
	warmup       time.Duration
	stopping     bool
	draining     bool // drained by the intent
	configured   bool // whether the configuration of the service is known
	hostFailures int
	lastAnswer   time.Time // time of the last answer from a balancer
	hasAnswer    bool      // whether a balancer has ever answered
}

// New returns a target that starts now and announces its full share once the
// duration warmup has passed.
func New(now time.Time, warmup time.Duration) *Target {
	return &Target{startedAt: now, warmup: warmup}
}

// Stop begins a planned shutdown, during which the target drains.
func (t *Target) Stop() { t.stopping = true }

// Configure applies the service configuration, whose intent either drains the target
// or does not. Until the first call the configuration counts as unknown.
func (t *Target) Configure(drained bool) { t.configured, t.draining = true, drained }

// RecordHostFailure records a failure to reach the host.
func (t *Target) RecordHostFailure() { t.hostFailures++ }

// RecordHostResponse records a response of the host and resets the failure count.
func (t *Target) RecordHostResponse() { t.hostFailures = 0 }

// HostDown reports whether the last maxHostFailures attempts to reach the host
// all failed.
func (t *Target) HostDown() bool { return t.hostFailures >= maxHostFailures }

// RecordBalancerAnswer records an answer from a balancer.
func (t *Target) RecordBalancerAnswer(now time.Time) { t.lastAnswer, t.hasAnswer = now, true }

// Isolated reports whether no balancer has answered for longer than
// isolationTimeout, in which case responses may not reach the callers either. It
// is false until a balancer has answered once.
func (t *Target) Isolated(now time.Time) bool {
	return t.hasAnswer && now.Sub(t.lastAnswer) > isolationTimeout
}

// Draining reports whether the target accepts no new work, either because it shuts
// down or because the intent drains it.
func (t *Target) Draining() bool { return t.stopping || t.draining }

// State returns the state to announce. Without the service configuration the
// target can't tell feeds from requests and doesn't know whether it should drain,
// so it announces Starting.
func (t *Target) State(now time.Time) roster.State {
	switch {
	case t.Draining():
		return roster.Draining
	case !t.configured || t.HostDown() || t.Isolated(now):
		return roster.Starting
	}
	return roster.Ready
}

// Warmth returns the percentage of its share that the target takes. It rises in
// steps during warm-up, so that the announced value changes rarely.
func (t *Target) Warmth(now time.Time) uint8 {
	age := now.Sub(t.startedAt)
	if t.warmup <= 0 || age >= t.warmup {
		return fullWarmthPercent
	}
	step := 1 + int(age*warmupSteps/t.warmup)
	return uint8(step * fullWarmthPercent / (warmupSteps + 1))
}

// Load holds the weight and the open sessions of a target of the service.
type Load struct {
	Agent    netip.AddrPort
	Weight   float64 // relative share, as in flow.Candidate
	Sessions uint32
}

// overloadSlack is the number of sessions above the fair share that never count
// as overload. It keeps services with few sessions from forwarding flows between
// targets.
const overloadSlack = 1

// Overloaded reports whether one more session would put self above its fair share
// of all sessions by more than overloadSlack plus tolerance, a fraction of that share.
func Overloaded(self Load, others []Load, tolerance float64) bool {
	total, weight := float64(self.Sessions)+1, self.Weight
	for _, l := range others {
		total += float64(l.Sessions)
		weight += l.Weight
	}
	if self.Weight <= 0 {
		return true
	}
	if len(others) == 0 {
		return false
	}
	fair := total * self.Weight / weight
	return float64(self.Sessions)+1 > fair*(1+tolerance)+overloadSlack
}

// MaxHops is the maximum number of times that the first datagram of a flow is
// forwarded between targets.
const MaxHops = 3

// Decision is what a target does with the first datagram of a flow: accept it,
// forward it to Next or, if Accept is false and Next is invalid, drop it.
type Decision struct {
	Accept bool
	Next   netip.AddrPort
}

// Decide returns the decision on the first datagram of a flow that has been
// forwarded hops times. Only the first target forwards because of overload, since
// two overloaded targets with different views of the load could forward to each
// other. A target that is not ready forwards every flow.
func Decide(self Load, others []Load, ready bool, key uint64, hops uint8, tolerance float64) Decision {
	if ready && (hops > 0 || !Overloaded(self, others, tolerance)) {
		return Decision{Accept: true}
	}
	if hops >= MaxHops {
		return Decision{}
	}
	next, ok := chooseNext(key, others)
	if !ok {
		return Decision{Accept: ready}
	}
	return Decision{Next: next}
}

// chooseNext returns the target to forward a flow to: of the two that rank highest
// for the key, the one with fewer sessions relative to its weight.
func chooseNext(key uint64, others []Load) (netip.AddrPort, bool) {
	candidates := make([]flow.Candidate, 0, len(others))
	loads := make(map[netip.AddrPort]float64, len(others))
	for _, l := range others {
		if l.Weight <= 0 {
			continue
		}
		candidates = append(candidates, flow.Candidate{Agent: l.Agent, Weight: l.Weight})
		loads[l.Agent] = float64(l.Sessions) / l.Weight
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
