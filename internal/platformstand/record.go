package platformstand

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"skylarkturn/internal/packet"
)

// Bounds are the time limits of the daemons' guarantees.
type Bounds struct {
	Config   time.Duration // until a stored configuration is in force
	Drain    time.Duration // until a draining host gets no new flows
	Recovery time.Duration // without disruption until the guarantees hold for a VM again
	Misroute time.Duration // within which some packets of a flow must reach its host
}

// DefaultBounds are the limits for the users' first sites.
var DefaultBounds = Bounds{Config: 3 * time.Second, Drain: 3 * time.Second, Recovery: 4 * time.Second, Misroute: 2 * time.Second}

// minMisrouted is the number of packets of a flow that must reach other hosts, with
// none reaching its own, to violate FLOW.
const minMisrouted = 3

// Checker collects the observations of clients and hosts and checks the daemons'
// guarantees against them.
type Checker struct {
	bounds Bounds

	mu         sync.Mutex
	violations []string
	disrupted  map[netip.Addr]time.Time // end of the last disruption by VM
	configs    []configVersion
	flows      map[packet.Key]*flowState
	executed   map[string]int       // executions by request id
	started    map[string]time.Time // time of sending by request id
	results    []requestResult
	executions []execution
	failures   map[string]int // failed requests by reason
}

// configVersion is a configuration that the store has acknowledged.
type configVersion struct {
	acked    time.Time
	services map[packet.Endpoint][]string // that a route may lead to
}

// flowState is what is known of an established flow.
type flowState struct {
	host           *Host
	misrouted      int        // packets at other hosts since the last at its own
	misroutedSince time.Time  // time of the first of them
	balancer       netip.Addr // that the client sent the SYN to
	reported       bool       // as a violation
}

// requestResult is the outcome of a request as its client saw it.
type requestResult struct {
	started, ended time.Time
	ok             bool
}

// execution is one execution of a request by a host.
type execution struct {
	at   time.Time
	host netip.Addr
}

// NewChecker returns an empty record.
func NewChecker(b Bounds) *Checker {
	return &Checker{
		bounds: b, disrupted: make(map[netip.Addr]time.Time), flows: make(map[packet.Key]*flowState),
		executed: make(map[string]int), started: make(map[string]time.Time), failures: make(map[string]int),
	}
}

// Violations returns the violations found so far, one line each.
func (r *Checker) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// addViolation adds a violation with the time; called with mu held.
func (r *Checker) addViolation(format string, args ...any) {
	r.violations = append(r.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// MarkDisrupted records that a VM is disrupted until the given time.
func (r *Checker) MarkDisrupted(vm netip.Addr, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.disrupted[vm]) {
		r.disrupted[vm] = until
	}
}

// undisturbed reports whether the last disruption of a VM is at least bounds.Stable
// ago; called with mu held.
func (r *Checker) undisturbed(vm netip.Addr) bool {
	return time.Since(r.disrupted[vm]) >= r.bounds.Recovery
}

// AddConfig records that the store has acknowledged a configuration; allow holds the
// services that each route may lead to.
func (r *Checker) AddConfig(allow map[packet.Endpoint][]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configs = append(r.configs, configVersion{time.Now(), allow})
}

// flowOpened records that a flow was established at a host, and checks ROUTE, CONFIG
// and DRAIN. sent is when its client sent the SYN, balancer the one that it was sent
// to.
func (r *Checker) flowOpened(k packet.Key, h *Host, sent time.Time, balancer netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flows[k] = &flowState{host: h, balancer: balancer}
	everAllowed, nowAllowed := false, false
	for i, v := range r.configs {
		allowed := slices.Contains(v.services[k.Route], h.Service)
		everAllowed = everAllowed || allowed
		replaced := i+1 < len(r.configs) && sent.Sub(r.configs[i+1].acked) > r.bounds.Config
		nowAllowed = nowAllowed || allowed && !replaced
	}
	switch {
	case !everAllowed:
		r.addViolation("ROUTE: flow %v opened at a host of %s, which its route never led to", k, h.Service)
	case !nowAllowed && r.undisturbed(balancer):
		r.addViolation("CONFIG: flow %v opened at a host of %s by an outdated configuration", k, h.Service)
	}
	if drained := h.sinceDrainAck(); drained > r.bounds.Drain && r.undisturbed(balancer) && r.undisturbed(h.vm) {
		r.addViolation("DRAIN: flow %v opened %v after the host's drain was acknowledged", k, drained)
	}
}

// packetArrived records that a packet of an established flow reached a host, and
// checks FLOW.
func (r *Checker) packetArrived(k packet.Key, h *Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[k]
	if f == nil || f.host == h {
		if f != nil {
			f.misrouted = 0
		}
		return
	}
	if f.misrouted == 0 {
		f.misroutedSince = time.Now()
	}
	f.misrouted++
	tooLong := time.Since(f.misroutedSince) >= r.bounds.Misroute
	if f.misrouted >= minMisrouted && tooLong && !f.reported && f.host.hasFlow(k) && r.undisturbed(f.host.vm) && r.undisturbed(f.balancer) && r.undisturbed(h.vm) {
		f.reported = true
		r.addViolation("FLOW: %d packets of %v reached other hosts and none its own", f.misrouted, k)
	}
}

// flowReset records that a client received a reset of an established flow from a
// daemon, and checks FLOW. The client's last packet went through balancer.
func (r *Checker) flowReset(k packet.Key, by netip.Addr, balancer netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[k]
	if f == nil || !f.host.hasFlow(k) {
		return
	}
	if r.undisturbed(f.host.vm) && r.undisturbed(by) && r.undisturbed(balancer) {
		r.addViolation("FLOW: %v was reset by %v while its host at %v holds it", k, by, f.host.vm)
	}
}

// requestExecuted records that a host executes a request, and checks UNASKED and
// TWICE.
func (r *Checker) requestExecuted(id string, h *Host, idempotent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executed[id]++
	r.executions = append(r.executions, execution{time.Now(), h.vm})
	if _, ok := r.started[id]; !ok {
		r.addViolation("UNASKED: %s was executed at %v but never sent", id, h.vm)
	}
	if r.executed[id] > 1 && !idempotent {
		r.addViolation("TWICE: %s was executed %d times", id, r.executed[id])
	}
}

// requestStarted records that a client starts to send a request.
func (r *Checker) requestStarted(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started[id] = time.Now()
}

// requestEnded records the outcome of a request, and checks that one with a response
// was executed.
func (r *Checker) requestEnded(id string, ok bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, requestResult{r.started[id], time.Now(), ok})
	if ok {
		if r.executed[id] == 0 {
			r.addViolation("MIXED: %s was answered without being executed", id)
		}
		return
	}
	r.failures[reason]++
}

// addMixed adds a violation of MIXED: a corrupt packet or another request's response.
func (r *Checker) addMixed(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolation("MIXED: "+format, args...)
}

// ServedShare returns the share of the requests ended since a time that were served, and
// the number of those that ended.
func (r *Checker) ServedShare(since time.Time) (share float64, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	served := 0
	for _, e := range r.results {
		if e.ended.After(since) {
			n++
			if e.ok {
				served++
			}
		}
	}
	if n == 0 {
		return 0, 0
	}
	return float64(served) / float64(n), n
}

// Failures returns the number of failed requests by reason.
func (r *Checker) Failures() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.failures)
}
