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
	Recovery time.Duration // from the end of a VM's disruption until the guarantees hold for it again
	Misroute time.Duration // within which a packet of a flow must reach its host
}

// DefaultBounds are the limits for the users' first sites.
var DefaultBounds = Bounds{Config: 3 * time.Second, Drain: 3 * time.Second, Recovery: 4 * time.Second, Misroute: 2 * time.Second}

// minMisrouted is the number of packets of a flow that must reach other hosts, with
// none reaching its own, to violate FLOW.
const minMisrouted = 3

// Checker collects the observations of clients and hosts and checks the daemons'
// guarantees against them:
//
//   - ROUTE: a flow opens only at hosts of a service that its route has led to.
//   - CONFIG: new flows follow a new configuration from Bounds.Config after the store
//     acknowledged it.
//   - DRAIN: a host gets no new flows from Bounds.Drain after its drain was
//     acknowledged.
//   - FLOW: some packets of an established flow reach its host within
//     Bounds.Misroute, and no daemon resets a flow that its host holds.
//   - UNASKED: hosts execute only requests that a client has sent.
//   - TWICE: a request that is not idempotent is executed at most once.
//   - MIXED: packets arrive intact, and a client gets the response to its own
//     request, which a host has executed.
//
// A violation of CONFIG, DRAIN or FLOW counts only if the VMs involved have not been
// disrupted for Bounds.Recovery.
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

// NewChecker returns a Checker without observations.
func NewChecker(b Bounds) *Checker {
	return &Checker{
		bounds: b, disrupted: make(map[netip.Addr]time.Time), flows: make(map[packet.Key]*flowState),
		executed: make(map[string]int), started: make(map[string]time.Time), failures: make(map[string]int),
	}
}

// Violations returns the violations found so far, one line each.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// addViolation adds a violation with the time; called with mu held.
func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// MarkDisrupted records that a VM is disrupted until the given time.
func (c *Checker) MarkDisrupted(vm netip.Addr, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.disrupted[vm]) {
		c.disrupted[vm] = until
	}
}

// undisturbed reports whether the last disruption of a VM is at least
// bounds.Recovery ago; called with mu held.
func (c *Checker) undisturbed(vm netip.Addr) bool {
	return time.Since(c.disrupted[vm]) >= c.bounds.Recovery
}

// AddConfig records that the store has acknowledged a configuration that lets each
// route lead to the given services.
func (c *Checker) AddConfig(services map[packet.Endpoint][]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configs = append(c.configs, configVersion{time.Now(), services})
}

// flowOpened records that a flow was established at a host, and checks ROUTE, CONFIG
// and DRAIN. sent is when its client sent the SYN, balancer the one that it was sent
// to.
func (c *Checker) flowOpened(k packet.Key, h *Host, sent time.Time, balancer netip.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flows[k] = &flowState{host: h, balancer: balancer}
	everAllowed, nowAllowed := false, false
	for i, v := range c.configs {
		allowed := slices.Contains(v.services[k.Route], h.Service)
		everAllowed = everAllowed || allowed
		replaced := i+1 < len(c.configs) && sent.Sub(c.configs[i+1].acked) > c.bounds.Config
		nowAllowed = nowAllowed || allowed && !replaced
	}
	switch {
	case !everAllowed:
		c.addViolation("ROUTE: flow %v opened at a host of %s, which its route never led to", k, h.Service)
	case !nowAllowed && c.undisturbed(balancer):
		c.addViolation("CONFIG: flow %v opened at a host of %s by an outdated configuration", k, h.Service)
	}
	if drained := h.sinceDrainAck(); drained > c.bounds.Drain && c.undisturbed(balancer) && c.undisturbed(h.vm) {
		c.addViolation("DRAIN: flow %v opened %v after the host's drain was acknowledged", k, drained)
	}
}

// packetArrived records that a packet of an established flow reached a host, and
// checks FLOW.
func (c *Checker) packetArrived(k packet.Key, h *Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[k]
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
	tooLong := time.Since(f.misroutedSince) >= c.bounds.Misroute
	if f.misrouted >= minMisrouted && tooLong && !f.reported && f.host.hasFlow(k) && c.undisturbed(f.host.vm) && c.undisturbed(f.balancer) && c.undisturbed(h.vm) {
		f.reported = true
		c.addViolation("FLOW: %d packets of %v reached other hosts and none its own", f.misrouted, k)
	}
}

// flowReset records that a client received a reset of an established flow from a
// daemon, and checks FLOW. The client's last packet went through balancer.
func (c *Checker) flowReset(k packet.Key, by netip.Addr, balancer netip.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[k]
	if f == nil || !f.host.hasFlow(k) {
		return
	}
	if c.undisturbed(f.host.vm) && c.undisturbed(by) && c.undisturbed(balancer) {
		c.addViolation("FLOW: %v was reset by %v while its host at %v holds it", k, by, f.host.vm)
	}
}

// requestExecuted records that a host executes a request, and checks UNASKED and
// TWICE.
func (c *Checker) requestExecuted(id string, h *Host, idempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executed[id]++
	c.executions = append(c.executions, execution{time.Now(), h.vm})
	if _, ok := c.started[id]; !ok {
		c.addViolation("UNASKED: %s was executed at %v but never sent", id, h.vm)
	}
	if c.executed[id] > 1 && !idempotent {
		c.addViolation("TWICE: %s was executed %d times", id, c.executed[id])
	}
}

// requestStarted records that a client starts to send a request.
func (c *Checker) requestStarted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started[id] = time.Now()
}

// requestEnded records the outcome of a request, and checks that one with a response
// was executed.
func (c *Checker) requestEnded(id string, ok bool, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, requestResult{c.started[id], time.Now(), ok})
	if ok {
		if c.executed[id] == 0 {
			c.addViolation("MIXED: %s was answered without being executed", id)
		}
		return
	}
	c.failures[reason]++
}

// addMixed adds a violation of MIXED: a corrupt packet or another request's response.
func (c *Checker) addMixed(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("MIXED: "+format, args...)
}

// ServedShare returns the share of the requests ended since a time that were
// served, and the number of those that ended.
func (c *Checker) ServedShare(since time.Time) (share float64, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := 0
	for _, e := range c.results {
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
func (c *Checker) Failures() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.failures)
}
