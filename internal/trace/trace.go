package trace

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"skylarkturn/internal/fleet"
	"skylarkturn/internal/packet"
)

// Decision is one decision about a flow.
type Decision struct {
	At      time.Time
	Flow    packet.Key
	Outcome string // what was done
	Cause   string // why
	Peer    string // the daemon concerned, if any
	Version uint64 // of the configuration that was in force; 0 where none matters
}

// Ring keeps the newest decisions.
type Ring struct {
	mu   sync.Mutex
	buf  []Decision
	next int
	full bool
}

// NewRing returns a ring of n decisions.
func NewRing(n int) *Ring { return &Ring{buf: make([]Decision, n)} }

// Add adds a decision, in place of the oldest one when the ring is full.
func (r *Ring) Add(d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buf[r.next] = d
	r.next++
	if r.next == len(r.buf) {
		r.next, r.full = 0, true
	}
}

// Find returns the decisions about the flow with the id, the oldest first.
func (r *Ring) Find(flow string) (found []Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.next
	if r.full {
		n = len(r.buf)
	}
	for i := range n {
		at := i
		if r.full {
			at = (r.next + i) % len(r.buf)
		}
		if r.buf[at].Flow.String() == flow {
			found = append(found, r.buf[at])
		}
	}
	return found
}

// ServeHTTP answers with a JSON line for each decision about the flow that the
// query names.
func (r *Ring) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	flow := req.URL.Query().Get("flow")
	if flow == "" {
		http.Error(w, "the query needs flow=CLIENT>ROUTE, each an address with its port", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	for _, d := range r.Find(flow) {
		line := fleet.Decision{At: d.At, Flow: flow, Outcome: d.Outcome, Cause: d.Cause, Peer: d.Peer, Version: d.Version}
		if enc.Encode(line) != nil {
			return // the reader has gone
		}
	}
}

// Budget bounds the number of lines a second.
type Budget struct {
	perSecond int

	mu      sync.Mutex
	second  int64
	written int
	dropped uint64
}

// NewBudget returns a budget of n lines a second.
func NewBudget(n int) *Budget { return &Budget{perSecond: n} }

// Allow reports whether a line may be written now; it counts those that may not.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := now.Unix(); s != b.second {
		b.second, b.written = s, 0
	}
	if b.written >= b.perSecond {
		b.dropped++
		return false
	}
	b.written++
	return true
}

// Dropped returns how many lines were not written.
func (b *Budget) Dropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}
