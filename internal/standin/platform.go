package standin

import (
	"context"
	"encoding/json"
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
	maxObject    = 1 << 20 // bytes
	maxWatchWait = time.Minute
)

type object struct {
	Name    string          `json:"name"`
	Version string          `json:"version"`
	Value   json.RawMessage `json:"value"`
	rev     uint64
}

type objectList struct {
	Revision uint64   `json:"revision"`
	Items    []object `json:"items"`
}

// Platform stands in for the platform's object API.
type Platform struct {
	ln net.Listener

	mu       sync.Mutex // guards what follows
	objects  map[string]map[string]object
	revision uint64
	changed  chan struct{} // closed at the next change
	down     bool
	delay    time.Duration
	lose     int // answers to writes that are lost after the effect
	calls    int
	rate     float64 // calls a second; 0 is without limit
	tokens   float64
	filled   time.Time
}

// NewPlatform opens a platform on loopback.
func NewPlatform() (*Platform, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, &Error{"platform", KindStart, err}
	}
	return &Platform{
		ln:      ln,
		objects: make(map[string]map[string]object),
		changed: make(chan struct{}),
		filled:  time.Now(),
	}, nil
}

// URL returns the base URL of the API.
func (p *Platform) URL() string { return "http://" + p.ln.Addr().String() }

// Run serves until ctx is done.
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

// SetDown starts or ends an outage.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wakeLocked()
}

// SetDelay makes every call take longer.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// LoseAnswers has the next n writes take effect while their answers are lost.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose = n
}

// SetRate limits the calls a second; more are answered with status 429.
func (p *Platform) SetRate(perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate, p.tokens, p.filled = perSecond, perSecond, time.Now()
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) wakeLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) admit(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	p.calls++
	down, delay, limited := p.down, p.delay, p.limitedLocked()
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

func (p *Platform) limitedLocked() bool {
	if p.rate == 0 {
		return false
	}
	now := time.Now()
	p.tokens = min(p.rate, p.tokens+now.Sub(p.filled).Seconds()*p.rate)
	p.filled = now
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
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", o.Version)
	_, _ = w.Write(o.Value) // the client is gone
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxObject+1))
	if err != nil || len(value) > maxObject || !json.Valid(value) {
		http.Error(w, "want a JSON value of at most 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	o, ok, lost := p.update(r.PathValue("kind"), r.PathValue("name"), r.Header, value)
	switch {
	case !ok:
		http.Error(w, "condition does not hold", http.StatusPreconditionFailed)
	case lost:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("ETag", o.Version)
		w.WriteHeader(http.StatusOK)
	}
}

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
	p.wakeLocked()
	if p.lose > 0 {
		p.lose--
		lost = true
	}
	return o, true, lost
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	l := p.sinceLocked(r.PathValue("kind"), 0)
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l) // the client is gone
}

func (p *Platform) sinceLocked(kind string, since uint64) objectList {
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
		http.Error(w, "want since and wait", http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		p.mu.Lock()
		l, changed, down := p.sinceLocked(r.PathValue("kind"), since), p.changed, p.down
		p.mu.Unlock()
		if down {
			http.Error(w, "platform outage", http.StatusServiceUnavailable)
			return
		}
		if len(l.Items) > 0 {
			_ = json.NewEncoder(w).Encode(l) // the client is gone
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
