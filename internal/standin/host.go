package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"skylarkturn/internal/ops"
)

// Execution records one run of a non-idempotent request.
type Execution struct {
	Key  string
	Host string
	Body string
}

// Journal records which non-idempotent requests the hosts of a deployment ran.
type Journal struct {
	mu   sync.Mutex
	runs map[string][]Execution // by key
}

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{runs: make(map[string][]Execution)} }

func (j *Journal) add(r Execution) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[r.Key] = append(j.runs[r.Key], r)
}

// CountByBody returns the number of executions by request body.
func (j *Journal) CountByBody() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := make(map[string]int)
	for _, runs := range j.runs {
		for _, r := range runs {
			counts[r.Body]++
		}
	}
	return counts
}

// FeedLog is the sequence of feed events of a service, which all its hosts stream.
type FeedLog struct {
	mu      sync.Mutex
	n       int           // number of the last event
	changed chan struct{} // closed at the next event and then replaced
}

// NewFeedLog returns an empty log.
func NewFeedLog() *FeedLog { return &FeedLog{changed: make(chan struct{})} }

// Append adds the next event and returns its number, from 1.
func (l *FeedLog) Append() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.n++
	close(l.changed)
	l.changed = make(chan struct{})
	return l.n
}

// Len returns the number of events.
func (l *FeedLog) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.n
}

func (l *FeedLog) state() (int, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.n, l.changed
}

// HostOptions describes a host.
type HostOptions struct {
	Name        string
	Service     string        // named in every HostResponse
	Slots       int           // requests served at a time; further ones get status 503
	RequestTime time.Duration // time that a request takes in a slot
	Journal     *Journal      // records the non-idempotent requests that the host runs
	Feed        *FeedLog      // events that the host streams
	ColdPeriod  time.Duration // period after the start during which requests take twice as long
}

// Host simulates the server program beside an agent.
type Host struct {
	opt             HostOptions
	ln              net.Listener
	slots           chan struct{}
	slowdownPercent atomic.Int64 // duration of a request, in percent of the normal one
	completed       atomic.Int64
	reportUnhealthy atomic.Bool // the health endpoint fails although requests are served
	startedAt       time.Time
}

// NewHost returns a host that listens on loopback.
func NewHost(opt HostOptions) (*Host, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, &Error{"start host", KindStart, err}
	}
	h := &Host{opt: opt, ln: ln, slots: make(chan struct{}, opt.Slots), startedAt: time.Now()}
	h.slowdownPercent.Store(100)
	return h, nil
}

// URL returns the base URL of the host.
func (h *Host) URL() string { return "http://" + h.ln.Addr().String() }

// Name returns the name of the host.
func (h *Host) Name() string { return h.opt.Name }

// Completed returns the number of requests that the host has completed.
func (h *Host) Completed() int64 { return h.completed.Load() }

// SetSpeed sets the host's speed in percent of its normal speed.
func (h *Host) SetSpeed(percent int) { h.slowdownPercent.Store(100 * 100 / int64(max(1, percent))) }

// SetReportUnhealthy sets whether the health endpoint reports the host unhealthy
// although it serves requests.
func (h *Host) SetReportUnhealthy(on bool) { h.reportUnhealthy.Store(on) }

// requestTime returns the time that a request takes in a slot.
func (h *Host) requestTime() time.Duration {
	d := h.opt.RequestTime * time.Duration(h.slowdownPercent.Load()) / 100
	if time.Since(h.startedAt) < h.opt.ColdPeriod {
		d *= 2
	}
	return d
}

// Run serves requests until ctx is done.
func (h *Host) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if h.reportUnhealthy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /feed", h.handleFeed)
	mux.HandleFunc("GET /sheets/{name}", h.handleSheet)
	mux.HandleFunc("POST /{what}", h.handleOnce)
	return ops.Serve(ctx, h.ln, mux)
}

// runInSlot occupies a slot for the time of one request and calls begun as soon as it
// has one. It returns false if no slot was free or the caller disconnected before the
// end.
func (h *Host) runInSlot(w http.ResponseWriter, r *http.Request, begun func()) bool {
	select {
	case h.slots <- struct{}{}:
	default:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "all slots are occupied", http.StatusServiceUnavailable)
		return false
	}
	defer func() { <-h.slots }()
	begun()
	t := time.NewTimer(h.requestTime())
	defer t.Stop()
	select {
	case <-t.C:
		h.completed.Add(1)
		return true
	case <-r.Context().Done():
		return false
	}
}

// HostResponse is the response body of a non-idempotent request.
type HostResponse struct {
	Service string `json:"service"`
	Host    string `json:"host"`
	Key     string `json:"key"`
	Body    string `json:"body"`
}

// handleOnce serves a non-idempotent request and records its run in the journal.
func (h *Host) handleOnce(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "incomplete request body", http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Skylark-Key")
	if !h.runInSlot(w, r, func() { h.opt.Journal.add(Execution{key, h.opt.Name, string(body)}) }) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(HostResponse{h.opt.Service, h.opt.Name, key, string(body)}) // fails only if the caller disconnected
}

// SheetSize is the size of a sheet in bytes.
const SheetSize = 20_000

// Sheet returns the content of a sheet, which depends only on service and name.
func Sheet(service, name string) []byte {
	sum := sha256.Sum256([]byte(service + "/" + name))
	line := hex.EncodeToString(sum[:]) + "\n"
	b := make([]byte, 0, SheetSize+len(line))
	for len(b) < SheetSize {
		b = append(b, line...)
	}
	return b[:SheetSize]
}

func (h *Host) handleSheet(w http.ResponseWriter, r *http.Request) {
	if !h.runInSlot(w, r, func() {}) {
		return
	}
	b := Sheet(h.opt.Service, r.PathValue("name"))
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b) // fails only if the caller disconnected
}

// handleFeed streams the events after the one named by Last-Event-ID, or only new
// events without that header.
func (h *Host) handleFeed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	n, changed := h.opt.Feed.state()
	last, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		last = n
	}
	flusher.Flush()
	for {
		for ; last < n; last++ {
			if _, err := fmt.Fprintf(w, "id: %d\nevent: change\ndata: %s event %d\n\n", last+1, h.opt.Service, last+1); err != nil {
				return
			}
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		n, changed = h.opt.Feed.state()
	}
}
