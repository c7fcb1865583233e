package trace

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"skylarkturn/internal/fleet"
	"skylarkturn/internal/packet"
)

// Decision is a daemon's decision about a flow, such as forwarding or resetting it.
type Decision struct {
	At      time.Time
	Flow    packet.Key
	Outcome string      // action taken
	Cause   string      // reason for the action
	Peer    string      // address of the other daemon involved, if any
	Version uint64      // configuration version in force; 0 if it does not apply
	Load    *fleet.Load // that the decision rests on; nil if it does not rest on the load
}

// Ring is a ring buffer of the most recent decisions. It is safe for concurrent use.
type Ring struct {
	mu   sync.Mutex
	buf  []Decision
	next int  // index that the next decision is written to
	full bool // every element of buf has been written
}

// NewRing returns a ring with a capacity of n decisions.
func NewRing(n int) *Ring { return &Ring{buf: make([]Decision, n)} }

// Add adds a decision, which replaces the oldest one if the ring is full.
func (r *Ring) Add(d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buf[r.next] = d
	r.next++
	if r.next == len(r.buf) {
		r.next, r.full = 0, true
	}
}

// Find returns the decisions about the flow with the given ID, oldest first.
func (r *Ring) Find(flow string) (found []Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.next
	if r.full {
		n = len(r.buf)
	}
	for i := range n {
		pos := i
		if r.full {
			pos = (r.next + i) % len(r.buf)
		}
		if r.buf[pos].Flow.String() == flow {
			found = append(found, r.buf[pos])
		}
	}
	return found
}

// ServeHTTP responds with the decisions about the flow given by the query parameter
// flow, as one JSON object per line.
func (r *Ring) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	flow := req.URL.Query().Get("flow")
	if flow == "" {
		http.Error(w, "query parameter flow is required: flow=CLIENT>ROUTE, each an address with a port", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	for _, d := range r.Find(flow) {
		line := fleet.Decision{At: d.At, Flow: flow, Outcome: d.Outcome, Cause: d.Cause, Peer: d.Peer, Version: d.Version, Load: d.Load}
		if enc.Encode(line) != nil {
			return // the client closed the connection
		}
	}
}

// RateLimiter limits the number of log lines per second. It is safe for concurrent
// use.
type RateLimiter struct {
	perSecond int // lines allowed per second

	mu      sync.Mutex
	second  int64  // Unix time of the current one-second window
	written int    // lines in the current window
	dropped uint64 // lines not allowed since the start
}

// NewRateLimiter returns a limiter that allows n lines per second.
func NewRateLimiter(n int) *RateLimiter { return &RateLimiter{perSecond: n} }

// Allow reports whether a line may be written at the given time, and counts the
// lines that may not.
func (l *RateLimiter) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.written = s, 0
	}
	if l.written >= l.perSecond {
		l.dropped++
		return false
	}
	l.written++
	return true
}

// Dropped returns the number of lines that were not allowed.
func (l *RateLimiter) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}
