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

// strays is the number of packets of a flow at other hosts, with none at its own,
// that breaks a promise.
const strays = 3

// Record keeps what clients and hosts have seen, and which promises that breaks.
type Record struct {
	bounds Bounds

	mu        sync.Mutex
	broken    []string
	disrupted map[netip.Addr]time.Time // end of the last disruption of a VM
	versions  []version
	flows     map[packet.Key]*seenFlow
	runs      map[string]int       // of requests, by id
	asked     map[string]time.Time // requests that wait for their end, and those that have ended
	ends      []ending
	work      []work
	reasons   map[string]int // failures of attempts
}

type version struct {
	acked time.Time
	allow map[packet.Endpoint][]string // services by route
}

type seenFlow struct {
	host     *Host
	strays   int
	since    time.Time // first stray packet since the flow's own host got one
	took     netip.Addr
	reported bool
}

// ending is the end of a request.
type ending struct {
	asked, at time.Time
	ok        bool
}

// work is a request that a host has run.
type work struct {
	at   time.Time
	host netip.Addr
}

// NewRecord returns an empty record.
func NewRecord(b Bounds) *Record {
	return &Record{
		bounds: b, disrupted: make(map[netip.Addr]time.Time), flows: make(map[packet.Key]*seenFlow),
		runs: make(map[string]int), asked: make(map[string]time.Time), reasons: make(map[string]int),
	}
}

// Broken returns the promises that were broken.
func (r *Record) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.broken)
}

func (r *Record) breaks(format string, args ...any) {
	r.broken = append(r.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
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
	r.versions = append(r.versions, version{time.Now(), allow})
}

// opened notes that a host has accepted a flow whose client sent its first packet
// at the time sent, by way of the balancer took.
func (r *Record) opened(k packet.Key, h *Host, sent time.Time, took netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flows[k] = &seenFlow{host: h, took: took}
	ever, now := false, false
	for i, v := range r.versions {
		allowed := slices.Contains(v.allow[k.Route], h.Service)
		ever = ever || allowed
		replaced := i+1 < len(r.versions) && sent.Sub(r.versions[i+1].acked) > r.bounds.Config
		now = now || allowed && !replaced
	}
	switch {
	case !ever:
		r.breaks("ROUTE: flow %v opened at a host of %s", k, h.Service)
	case !now && r.undisturbed(took):
		r.breaks("CONFIG: flow %v opened at a host of %s by an old version", k, h.Service)
	}
	if drained := h.drainingFor(); drained > r.bounds.Drain && r.undisturbed(took) && r.undisturbed(h.vm) {
		r.breaks("DRAIN: flow %v opened %v after the host's drain was acknowledged", k, drained)
	}
}

// arrived notes that a packet of an open flow has reached a host.
func (r *Record) arrived(k packet.Key, h *Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[k]
	if f == nil || f.host == h {
		if f != nil {
			f.strays = 0
		}
		return
	}
	if f.strays == 0 {
		f.since = time.Now()
	}
	f.strays++
	late := time.Since(f.since) >= r.bounds.Stray
	if f.strays >= strays && late && !f.reported && f.host.holds(k) && r.undisturbed(f.host.vm) && r.undisturbed(f.took) && r.undisturbed(h.vm) {
		f.reported = true
		r.breaks("FLOW: %d packets of %v reached other hosts and none its own", f.strays, k)
	}
}

// reset notes that a client's open flow was reset by a daemon.
func (r *Record) reset(k packet.Key, by netip.Addr, took netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[k]
	if f == nil || !f.host.holds(k) {
		return
	}
	if r.undisturbed(f.host.vm) && r.undisturbed(by) && r.undisturbed(took) {
		r.breaks("FLOW: %v was reset by %v while its host at %v serves", k, by, f.host.vm)
	}
}

// ran notes that a host has run a request.
func (r *Record) ran(id string, h *Host, repeatable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.work = append(r.work, work{time.Now(), h.vm})
	if _, ok := r.asked[id]; !ok {
		r.breaks("UNASKED: %s ran at %v", id, h.vm)
	}
	if r.runs[id] > 1 && !repeatable {
		r.breaks("TWICE: %s ran %d times", id, r.runs[id])
	}
}

func (r *Record) asks(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked[id] = time.Now()
}

func (r *Record) ended(id string, ok bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, ending{r.asked[id], time.Now(), ok})
	if ok {
		if r.runs[id] == 0 {
			r.breaks("MIXED: %s was answered and did not run", id)
		}
		return
	}
	r.reasons[reason]++
}

func (r *Record) mixed(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks("MIXED: "+format, args...)
}

// Share returns the share of requests that ended since a time that were served,
// and their number.
func (r *Record) Share(since time.Time) (share float64, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	served := 0
	for _, e := range r.ends {
		if e.at.After(since) {
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
	return maps.Clone(r.reasons)
}
