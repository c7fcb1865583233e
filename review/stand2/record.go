package main

import (
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Bounds of the rules, as in the settings.
const (
	drainBound   = 3 * time.Second // drain-ms
	stableWindow = 4 * time.Second // stable-window-ms
)

// recorder writes down what was sent, answered and run, and checks the rules FLOW, DRAIN,
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

// opened records that a host has the end of the handshake of a flow. It breaks DRAIN if
// that is later than the bound after the acknowledgement of the host's drain, and the
// host's machine and the balancers are in touch.
func (r *recorder) opened(k flowKey, h *host) {
	drained := h.sinceDrainAck() // takes the host's lock, which goes before the recorder's
	inTouch := h.vm.site.inTouch(h.vm)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders[k] = h
	r.line("flow of %v is open at host %s on %s", k.client, h.id, h.vm.name)
	if drained > drainBound && inTouch {
		r.violate("DRAIN: flow of %v opens at host %s on %s, %.1f s after the acknowledgement of its drain", k.client, h.id, h.vm.name, drained.Seconds())
	}
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
