package main

import (
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// recorder writes down what was sent, answered and run, and checks the rules FLOW,
// MIXED and UNASKED.
type recorder struct {
	mu         sync.Mutex
	w          io.Writer
	began      time.Time
	holders    map[flowKey]*host
	requests   map[string]bool // by id
	runs       map[string]int
	violations []string
	resets     int // of open flows by the system
}

func newRecorder(w io.Writer) *recorder {
	return &recorder{w: w, began: time.Now(), holders: make(map[flowKey]*host), requests: make(map[string]bool), runs: make(map[string]int)}
}

func (r *recorder) line(format string, args ...any) {
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *recorder) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violate(format, args...)
}

func (r *recorder) violate(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
	r.line("BROKEN "+format, args...)
}

// opened records that a host has the end of the handshake of a flow.
func (r *recorder) opened(k flowKey, h *host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders[k] = h
	r.line("flow of %v is open at host %s on %s", k.client, h.id, h.vm.name)
}

// sent records that a client sends a request.
func (r *recorder) sent(id string, f *clientFlow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id] = true
	r.line("request %s is sent on %s", id, f)
}

// ran records that a host runs a request.
func (r *recorder) ran(id string, h *host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("request %s runs at host %s on %s", id, h.id, h.vm.name)
	r.runs[id]++
	if !r.requests[id] {
		r.violate("UNASKED: host %s runs %q, which no client sent", h.id, id)
	}
}

// resetSeen records that a client got a reset that it accepts. It breaks FLOW if the
// flow is open, its host lives and holds it, and did not send the reset.
func (r *recorder) resetSeen(f *clientFlow, own bool, from netip.Addr) {
	h := r.holderOf(f.key)
	held := h != nil && h.holds(f.key) // takes the host's lock, which goes before the recorder's
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("%s gets a reset from %v, of the system: %v, open: %v", f, from, own, f.open)
	if own && f.open && held {
		r.resets++
		r.violate("FLOW: %s is open at host %s on %s, which lives and holds it, and is reset by %v", f, h.id, h.vm.name, from)
	}
}

// holderOf returns the host that holds a flow, or nil.
func (r *recorder) holderOf(k flowKey) *host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holders[k]
}

// broken returns the violations of a rule.
func (r *recorder) broken(rule string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range r.violations {
		if strings.HasPrefix(v, rule+":") {
			n++
		}
	}
	return n
}
