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

// Bounds are the times within which the daemons keep their promises.
type Bounds struct {
	Config time.Duration // until a configuration is in force
	Drain  time.Duration // until a draining host gets no new flows
	Stable time.Duration // without disruption, after which a VM counts as undisturbed
	Stray  time.Duration // time in which some packets of a flow must reach its host
}

// DefaultBounds are the bounds of the users' first sites.
var DefaultBounds = Bounds{Config: 3 * time.Second, Drain: 3 * time.Second, Stable: 4 * time.Second, Stray: 2 * time.Second}

// minMisrouted is the number of packets of a flow at other hosts, with none at its own,
// that breaks a promise.
const minMisrouted = 3

// Record keeps what clients and hosts have seen, and which promises that breaks.
type Record struct {
	bounds Bounds

	mu         sync.Mutex
	violations []string
	disrupted  map[netip.Addr]time.Time // end of the last disruption of a VM
	configs    []configVersion
	flows      map[packet.Key]*flowState
	executed   map[string]int       // of requests, by id
	started    map[string]time.Time // requests that wait for their end, and those that have ended
	results    []requestResult
	executions []execution
	failures   map[string]int // failures of attempts
}

type configVersion struct {
	acked    time.Time
	services map[packet.Endpoint][]string // services by route
}

type flowState struct {
	host           *Host
	misrouted      int
	misroutedSince time.Time // first stray packet since the flow's own host got one
	balancer       netip.Addr
	reported       bool
}

// requestResult is the end of a request.
type requestResult struct {
	started, ended time.Time
	ok             bool
}

// execution is a request that a host has run.
type execution struct {
	at   time.Time
	host netip.Addr
}

// NewRecord returns an empty record.
func NewRecord(b Bounds) *Record {
	return &Record{
		bounds: b, disrupted: make(map[netip.Addr]time.Time), flows: make(map[packet.Key]*flowState),
		executed: make(map[string]int), started: make(map[string]time.Time), failures: make(map[string]int),
	}
}

// Broken returns the promises that were broken.
func (r *Record) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

func (r *Record) addViolation(format string, args ...any) {
	r.violations = append(r.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// Disrupted notes that a VM is being disrupted until some time.
func (r *Record) Disrupted(vm netip.Addr, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.disrupted[vm]) {
		r.disrupted[vm] = until
	}
}

// Reports whether no disruption of the VM is recent; called with mu held.
func (r *Record) undisturbed(vm netip.Addr) bool {
	return time.Since(r.disrupted[vm]) >= r.bounds.Stable
}

// Configured notes that the store has taken a configuration.
func (r *Record) Configured(allow map[packet.Endpoint][]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configs = append(r.configs, configVersion{time.Now(), allow})
}

// flowOpened notes that a host has accepted a flow whose client sent its first packet
// at the time sent, by way of the balancer took.
func (r *Record) flowOpened(k packet.Key, h *Host, sent time.Time, took netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flows[k] = &flowState{host: h, balancer: took}
	ever, now := false, false
	for i, v := range r.configs {
		allowed := slices.Contains(v.services[k.Route], h.Service)
		ever = ever || allowed
		replaced := i+1 < len(r.configs) && sent.Sub(r.configs[i+1].acked) > r.bounds.Config
		now = now || allowed && !replaced
	}
	switch {
	case !ever:
		r.addViolation("ROUTE: flow %v opened at a host of %s", k, h.Service)
	case !now && r.undisturbed(took):
		r.addViolation("CONFIG: flow %v opened at a host of %s by an old version", k, h.Service)
	}
	if drained := h.sinceDrainAck(); drained > r.bounds.Drain && r.undisturbed(took) && r.undisturbed(h.vm) {
		r.addViolation("DRAIN: flow %v opened %v after the host's drain was acknowledged", k, drained)
	}
}

// packetArrived notes that a packet of an open flow has reached a host.
func (r *Record) packetArrived(k packet.Key, h *Host) {
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
	late := time.Since(f.misroutedSince) >= r.bounds.Stray
	if f.misrouted >= minMisrouted && late && !f.reported && f.host.hasFlow(k) && r.undisturbed(f.host.vm) && r.undisturbed(f.balancer) && r.undisturbed(h.vm) {
		f.reported = true
		r.addViolation("FLOW: %d packets of %v reached other hosts and none its own", f.misrouted, k)
	}
}

// flowReset notes that a client's open flow was flowReset by a daemon.
func (r *Record) flowReset(k packet.Key, by netip.Addr, took netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[k]
	if f == nil || !f.host.hasFlow(k) {
		return
	}
	if r.undisturbed(f.host.vm) && r.undisturbed(by) && r.undisturbed(took) {
		r.addViolation("FLOW: %v was reset by %v while its host at %v serves", k, by, f.host.vm)
	}
}

// requestExecuted notes that a host has run a request.
func (r *Record) requestExecuted(id string, h *Host, repeatable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executed[id]++
	r.executions = append(r.executions, execution{time.Now(), h.vm})
	if _, ok := r.started[id]; !ok {
		r.addViolation("UNASKED: %s ran at %v", id, h.vm)
	}
	if r.executed[id] > 1 && !repeatable {
		r.addViolation("TWICE: %s ran %d times", id, r.executed[id])
	}
}

func (r *Record) requestStarted(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started[id] = time.Now()
}

func (r *Record) requestEnded(id string, ok bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, requestResult{r.started[id], time.Now(), ok})
	if ok {
		if r.executed[id] == 0 {
			r.addViolation("MIXED: %s was answered and did not run", id)
		}
		return
	}
	r.failures[reason]++
}

func (r *Record) addMixed(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolation("MIXED: "+format, args...)
}

// Share returns the share of requests that ended since a time that were served,
// and their number.
func (r *Record) Share(since time.Time) (share float64, n int) {
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
func (r *Record) Failures() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.failures)
}
