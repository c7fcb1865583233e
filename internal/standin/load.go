package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"skylarkturn/caller"
)

// LoadOptions describes the load on one service.
type LoadOptions struct {
	Service         ServiceOptions
	Sessions        int
	Feed            bool          // each session keeps a feed open
	Path            string        // of non-idempotent requests; none are sent when empty
	Sheets          bool          // sessions fetch sheets
	RequestInterval time.Duration // mean time between requests of a session
	Timeout         time.Duration // of a request
	Caller          []caller.Option
}

// Report holds the results that callers of one service observed.
type Report struct {
	Tenant             string  `json:"tenant"`
	Service            string  `json:"service"`
	Sessions           int     `json:"sessions"`
	Requests           int     `json:"requests"`
	Answered           int     `json:"answered"`
	NotRun             int     `json:"not_run"`            // failed and reported as not run
	Unknown            int     `json:"unknown"`            // outcome unknown, for any cause
	BrokenFlows        int     `json:"broken_flows"`       // connections lost without a request to move
	Moves              int     `json:"moves"`              // connections changed on request
	Lost               int     `json:"lost"`               // reported as run but not run, and events missing from feeds
	Duplicated         int     `json:"duplicated"`         // run more than once, and events repeated in feeds
	NotRunButRun       int     `json:"not_run_but_run"`    // reported as not run, but run
	Misrouted          int     `json:"misrouted"`          // answered by a host of another service
	UnexpectedFailures int     `json:"cut"`                // failed although their target did not
	IncompleteAnswers  int     `json:"incomplete_answers"` // accepted as complete, but incomplete
	Imbalance          float64 `json:"imbalance"`          // maximum over mean of completed requests per host that served throughout
	// ConnectionImbalance is the maximum over the mean of open sessions per ready
	// agent at the end.
	ConnectionImbalance float64 `json:"connection_imbalance"`
	P50ms               float64 `json:"p50_ms"`
	P99ms               float64 `json:"p99_ms"`
}

// BrokenPromises returns the broken promises, one line for each kind of violation.
func (r *Report) BrokenPromises() (broken []string) {
	for _, c := range []struct {
		n    int
		text string
	}{
		{r.Lost, "lost"}, {r.Duplicated, "run or delivered twice"}, {r.NotRunButRun, "run though said not to have run"},
		{r.Misrouted, "answered by another service"}, {r.UnexpectedFailures, "cut"}, {r.IncompleteAnswers, "incomplete"},
	} {
		if c.n > 0 {
			broken = append(broken, fmt.Sprintf("%s/%s: %d %s", r.Tenant, r.Service, c.n, c.text))
		}
	}
	return broken
}

type outcome struct {
	body   string      // of a non-idempotent request, unique; empty for others
	kind   caller.Kind // empty if answered
	target string      // of the session when the request was sent
}

// LoadGenerator generates requests to one service and records their outcomes.
type LoadGenerator struct {
	d   *Deployment
	opt LoadOptions

	mu           sync.Mutex // guards the fields below
	report       Report
	outcomes     []outcome
	durations    []time.Duration
	openSessions int
}

// NewLoadGenerator returns a load generator that Run starts.
func NewLoadGenerator(d *Deployment, opt LoadOptions) *LoadGenerator {
	return &LoadGenerator{d: d, opt: opt, report: Report{Tenant: opt.Service.Tenant, Service: opt.Service.Name}}
}

// OpenSessions returns the number of open sessions.
func (l *LoadGenerator) OpenSessions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openSessions
}

const (
	maxParallelDials   = 64
	dialTimeout        = 20 * time.Second
	feedCatchUpTimeout = 5 * time.Second
	feedPollTimeout    = 100 * time.Millisecond
)

// Run generates load until ctx is done, then waits for pending requests to finish and
// for feeds to catch up.
func (l *LoadGenerator) Run(ctx context.Context) error {
	run := context.WithoutCancel(ctx)
	dialSlots := make(chan struct{}, maxParallelDials)
	var g errgroup.Group
	for i := range l.opt.Sessions {
		g.Go(func() error { return l.runSession(ctx, run, dialSlots, i) })
	}
	return g.Wait()
}

// runSession opens a session and sends its load until ctx is done. Calls use run, a
// context without that end, so that pending requests can finish. dialSlots limits the
// handshakes in progress.
func (l *LoadGenerator) runSession(ctx, run context.Context, dialSlots chan struct{}, i int) error {
	dialSlots <- struct{}{}
	dialing, cancel := context.WithTimeout(run, dialTimeout)
	s, err := l.d.Dial(dialing, l.opt.Service.Name, l.opt.Caller...)
	cancel()
	<-dialSlots
	if err != nil {
		l.count(func(r *Report) { r.UnexpectedFailures++ })
		return nil
	}
	l.mu.Lock()
	l.openSessions++
	l.mu.Unlock()
	var g errgroup.Group
	if l.opt.Feed {
		g.Go(func() error { return l.followFeed(ctx, run, s) })
	}
	if l.opt.RequestInterval > 0 {
		g.Go(func() error { return l.sendRequests(ctx, run, s, i) })
	}
	_ = g.Wait() // both record failures in the report
	<-ctx.Done()
	st := s.Stats()
	l.count(func(r *Report) {
		r.Sessions++
		r.BrokenFlows += st.Lost
		r.Moves += st.Moves
	})
	return s.Close()
}

func (l *LoadGenerator) count(f func(*Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.report)
}

// followFeed reads a feed and checks that its events arrive without gap or repetition,
// up to the last one appended while the load ran.
func (l *LoadGenerator) followFeed(ctx, run context.Context, s *caller.Session) error {
	log := l.d.Feeds[l.opt.Service.Name]
	begin := log.Len()
	f, err := s.Feed(run, "/feed", strconv.Itoa(begin))
	if err != nil {
		l.count(func(r *Report) { r.UnexpectedFailures++ })
		return nil
	}
	defer f.Close()
	want := begin + 1
	for {
		if ctx.Err() != nil {
			l.catchUp(run, f, want, log.Len())
			return nil
		}
		wait, cancel := context.WithTimeout(run, feedPollTimeout)
		e, err := f.Next(wait)
		cancel()
		if errors.Is(err, context.DeadlineExceeded) {
			continue
		}
		if err != nil {
			l.count(func(r *Report) { r.UnexpectedFailures++ })
			return nil
		}
		want = l.checkEvent(e, want)
	}
}

// catchUp reads the events from want to end, which the feed has not delivered yet. It
// counts the missing ones as lost if the feed fails or feedCatchUpTimeout passes.
func (l *LoadGenerator) catchUp(run context.Context, f *caller.Feed, want, end int) {
	ctx, cancel := context.WithTimeout(run, feedCatchUpTimeout)
	defer cancel()
	for want <= end {
		e, err := f.Next(ctx)
		if err != nil {
			l.count(func(r *Report) { r.Lost += end - want + 1 })
			return
		}
		want = l.checkEvent(e, want)
	}
}

// checkEvent checks an event against the expected number and returns the next expected
// number.
func (l *LoadGenerator) checkEvent(e caller.Event, want int) int {
	id, err := strconv.Atoi(e.ID)
	l.count(func(r *Report) {
		switch {
		case err != nil || e.Data != fmt.Sprintf("%s event %d", l.opt.Service.Name, id):
			r.Misrouted++
		case id < want:
			r.Duplicated++
		case id > want:
			r.Lost += id - want
		}
	})
	return max(want, id+1)
}

func (l *LoadGenerator) sendRequests(ctx, run context.Context, s *caller.Session, i int) error {
	random := rand.New(rand.NewPCG(l.d.opt.Seed, uint64(i)<<16|uint64(l.opt.Service.Number)))
	for n := 0; ; n++ {
		t := time.NewTimer(time.Duration(random.ExpFloat64() * float64(l.opt.RequestInterval)))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
		if l.opt.Path != "" && (!l.opt.Sheets || n%2 == 0) {
			l.postOnce(run, s, fmt.Sprintf("%s %d.%d", l.opt.Service.Name, i, n))
		} else if l.opt.Sheets {
			l.fetchSheet(run, s, fmt.Sprintf("%d", random.IntN(1000)))
		}
	}
}

func (l *LoadGenerator) postOnce(run context.Context, s *caller.Session, body string) {
	ctx, cancel := context.WithTimeout(run, l.opt.Timeout)
	defer cancel()
	o := outcome{body: body, target: s.Target()}
	started := time.Now()
	a, err := s.Do(ctx, caller.Request{Method: "POST", Path: l.opt.Path, Body: []byte(body)})
	o.kind = errorKind(err)
	l.recordOutcome(o, started)
	if err != nil {
		return
	}
	var got HostResponse
	if err := json.Unmarshal(a.Body, &got); err != nil || got.Body != body {
		l.count(func(r *Report) { r.IncompleteAnswers++ })
	} else if got.Service != l.opt.Service.Name {
		l.count(func(r *Report) { r.Misrouted++ })
	}
}

func (l *LoadGenerator) fetchSheet(run context.Context, s *caller.Session, name string) {
	ctx, cancel := context.WithTimeout(run, l.opt.Timeout)
	defer cancel()
	o := outcome{target: s.Target()}
	started := time.Now()
	a, err := s.Do(ctx, caller.Request{Path: "/sheets/" + name})
	o.kind = errorKind(err)
	l.recordOutcome(o, started)
	if err == nil && string(a.Body) != string(Sheet(l.opt.Service.Name, name)) {
		l.count(func(r *Report) { r.IncompleteAnswers++ })
	}
}

func errorKind(err error) caller.Kind {
	var e *caller.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	if err != nil {
		return caller.Unknown
	}
	return ""
}

func (l *LoadGenerator) recordOutcome(o outcome, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Requests++
	l.outcomes = append(l.outcomes, o)
	if o.kind == "" {
		l.durations = append(l.durations, time.Since(started))
	}
}

// Report compares the outcomes that callers observed with what hosts ran. Failed
// requests of sessions with a lost target do not count as unexpected. The imbalance
// covers only the hosts for which throughout returns true.
func (l *LoadGenerator) Report(lostTargets map[string]bool, throughout func(host string) bool) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.report
	runs := l.d.Journal.CountByBody()
	for _, o := range l.outcomes {
		l.countOutcome(&r, o, runs[o.body], lostTargets[o.target])
	}
	r.Imbalance = l.d.imbalance(l.opt.Service, throughout)
	r.P50ms, r.P99ms = quantileMillis(l.durations, 0.5), quantileMillis(l.durations, 0.99)
	return r
}

func (l *LoadGenerator) countOutcome(r *Report, o outcome, runs int, targetLost bool) {
	if o.body != "" && runs > 1 {
		r.Duplicated++
	}
	switch o.kind {
	case "":
		r.Answered++
		if o.body != "" && runs == 0 {
			r.Lost++
		}
		return
	case caller.NotRun:
		r.NotRun++
		if runs > 0 {
			r.NotRunButRun++
		}
	case caller.Unknown:
		r.Unknown++
	}
	if !targetLost && o.kind != caller.NotRun {
		r.UnexpectedFailures++
	}
}

// imbalance returns the maximum over the mean of requests completed per host of a
// service.
func (d *Deployment) imbalance(s ServiceOptions, throughout func(string) bool) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var highest, sum, n float64
	for name, h := range d.hosts {
		if h.opt.Service != s.Name || !throughout(name) {
			continue
		}
		w := float64(h.Completed())
		highest, sum, n = max(highest, w), sum+w, n+1
	}
	if sum == 0 {
		return 0
	}
	return highest * n / sum
}
