package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"skylarkturn/internal/ops"
)

const (
	maxObjectSize = 1 << 20 // bytes
	maxWatchWait  = time.Minute
)

type object struct {
	Name    string          `json:"name"`
	Version string          `json:"version"` // ETag of the object, a quoted revision
	Value   json.RawMessage `json:"value"`
	rev     uint64          // revision of the last write
}

type objectList struct {
	Revision uint64   `json:"revision"`
	Items    []object `json:"items"`
}

// Platform simulates the platform's object API in memory.
type Platform struct {
	ln net.Listener

	mu          sync.Mutex                   // guards the fields below
	objects     map[string]map[string]object // by kind and name
	revision    uint64
	changed     chan struct{} // closed at the next change and then replaced
	down        bool
	delay       time.Duration
	lostReplies int // number of further writes whose replies are dropped
	calls       int
	callRate    float64 // calls per second; 0 means unlimited
	tokens      float64 // calls admitted now under callRate
	lastRefill  time.Time
}

// NewPlatform returns a platform that listens on loopback.
func NewPlatform() (*Platform, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, &Error{"start platform", KindStart, err}
	}
	return &Platform{
		ln:         ln,
		objects:    make(map[string]map[string]object),
		changed:    make(chan struct{}),
		lastRefill: time.Now(),
	}, nil
}

// URL returns the base URL of the API.
func (p *Platform) URL() string { return "http://" + p.ln.Addr().String() }

// Run serves the API until ctx is done.
func (p *Platform) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", p.get)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.put)
	mux.HandleFunc("GET /v1/objects/{kind}", p.list)
	mux.HandleFunc("GET /v1/watch/{kind}", p.watch)
	return ops.Serve(ctx, p.ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.admit(w, r) {
			mux.ServeHTTP(w, r)
		}
	}))
}

// SetDown starts or ends an outage, during which every call fails with status 503.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyLocked()
}

// SetDelay delays every call by d.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// DropWriteReplies makes the next n writes take effect but drops their replies.
func (p *Platform) DropWriteReplies(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostReplies = n
}

// SetRate limits the calls per second. Calls beyond it fail with status 429.
func (p *Platform) SetRate(perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callRate, p.tokens, p.lastRefill = perSecond, perSecond, time.Now()
}

// Calls returns the number of calls received.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) notifyLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// admit counts a call, applies the delay, the outage and the rate limit, and reports
// whether to serve the call. If not, it has sent the error response, unless the client
// disconnected.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	p.calls++
	down, delay, limited := p.down, p.delay, p.overLimitLocked()
	p.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return false
	}
	switch {
	case down:
		http.Error(w, "platform outage", http.StatusServiceUnavailable)
		return false
	case limited:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (p *Platform) overLimitLocked() bool {
	if p.callRate == 0 {
		return false
	}
	now := time.Now()
	p.tokens = min(p.callRate, p.tokens+now.Sub(p.lastRefill).Seconds()*p.callRate)
	p.lastRefill = now
	if p.tokens < 1 {
		return true
	}
	p.tokens--
	return false
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	o, ok := p.objects[r.PathValue("kind")][r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "object does not exist", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", o.Version)
	_, _ = w.Write(o.Value) // fails only if the client disconnected
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxObjectSize+1))
	if err != nil || len(value) > maxObjectSize || !json.Valid(value) {
		http.Error(w, "body must be a JSON value of at most 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	o, ok, lost := p.update(r.PathValue("kind"), r.PathValue("name"), r.Header, value)
	switch {
	case !ok:
		http.Error(w, "precondition failed", http.StatusPreconditionFailed)
	case lost:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("ETag", o.Version)
		w.WriteHeader(http.StatusOK)
	}
}

// update writes an object if the preconditions in h hold, which ok reports. lost is
// true if the reply must be dropped.
func (p *Platform) update(kind, name string, h http.Header, value []byte) (o object, ok, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, exists := p.objects[kind][name]
	match := strings.Trim(h.Get("If-Match"), `"`)
	if h.Get("If-None-Match") == "*" && exists || match != "" && (!exists || match != strings.Trim(old.Version, `"`)) {
		return object{}, false, false
	}
	if p.objects[kind] == nil {
		p.objects[kind] = make(map[string]object)
	}
	p.revision++
	o = object{name, strconv.Quote(strconv.FormatUint(p.revision, 10)), value, p.revision}
	p.objects[kind][name] = o
	p.notifyLocked()
	if p.lostReplies > 0 {
		p.lostReplies--
		lost = true
	}
	return o, true, lost
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	l := p.changedSinceLocked(r.PathValue("kind"), 0)
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l) // fails only if the client disconnected
}

func (p *Platform) changedSinceLocked(kind string, since uint64) objectList {
	l := objectList{Revision: p.revision, Items: []object{}}
	for _, o := range p.objects[kind] {
		if o.rev > since {
			l.Items = append(l.Items, o)
		}
	}
	return l
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.FormValue("since"), 10, 64)
	wait, err2 := time.ParseDuration(r.FormValue("wait"))
	if err != nil || err2 != nil || wait > maxWatchWait {
		http.Error(w, fmt.Sprintf("since must be a revision, and wait a duration of at most %v", maxWatchWait), http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		p.mu.Lock()
		l, changed, down := p.changedSinceLocked(r.PathValue("kind"), since), p.changed, p.down
		p.mu.Unlock()
		if down {
			http.Error(w, "platform outage", http.StatusServiceUnavailable)
			return
		}
		if len(l.Items) > 0 {
			_ = json.NewEncoder(w).Encode(l) // fails only if the client disconnected
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			_ = json.NewEncoder(w).Encode(l)
			return
		case <-r.Context().Done():
			return
		}
	}
}
