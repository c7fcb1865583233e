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

// LoadOptions describe the load on one service.
type LoadOptions struct {
	Service  ServiceOptions
	Sessions int
	Feed     bool          // each session keeps a feed open
	Path     string        // of requests that are not idempotent; empty for none
	Sheets   bool          // sessions fetch sheets
	Every    time.Duration // mean time between requests of a session
	Timeout  time.Duration // of a request
	Caller   []caller.Option
}

// Report is what callers of one service saw.
type Report struct {
	Tenant     string  `json:"tenant"`
	Service    string  `json:"service"`
	Sessions   int     `json:"sessions"`
	Requests   int     `json:"requests"`
	Answered   int     `json:"answered"`
	NotRun     int     `json:"not_run"`            // given up, and not run
	Unknown    int     `json:"unknown"`            // outcome not known, whatever the cause
	Broken     int     `json:"broken_flows"`       // connections lost without notice
	Moves      int     `json:"moves"`              // connections left on request
	Lost       int     `json:"lost"`               // said to have run, and not run; or an event missing from a feed
	Duplicated int     `json:"duplicated"`         // run more than once; or an event repeated in a feed
	Lied       int     `json:"not_run_but_run"`    // said not to have run, and run
	Misrouted  int     `json:"misrouted"`          // answered by another service
	Cut        int     `json:"cut"`                // failed without a failure of their target
	Incomplete int     `json:"incomplete_answers"` // taken for whole, and not whole
	Imbalance  float64 `json:"imbalance"`          // max over mean of work per host that served throughout
	// Connections is max over mean of open sessions per ready agent at the end.
	Connections float64 `json:"connection_imbalance"`
	P50ms       float64 `json:"p50_ms"`
	P99ms       float64 `json:"p99_ms"`
}

// Promises returns what broke a promise, one line each.
func (r *Report) Promises() (broken []string) {
	for _, c := range []struct {
		n    int
		text string
	}{
		{r.Lost, "lost"}, {r.Duplicated, "run or delivered twice"}, {r.Lied, "run though said not to have run"},
		{r.Misrouted, "answered by another service"}, {r.Cut, "cut"}, {r.Incomplete, "incomplete"},
	} {
		if c.n > 0 {
			broken = append(broken, fmt.Sprintf("%s/%s: %d %s", r.Tenant, r.Service, c.n, c.text))
		}
	}
	return broken
}

type outcome struct {
	body   string
	kind   caller.Kind // empty when answered
	target string      // of the session when the request began
}

// Load is the load on one service.
type Load struct {
	d   *Deployment
	opt LoadOptions

	mu        sync.Mutex // guards what follows
	report    Report
	outcomes  []outcome
	durations []time.Duration
	open      int
}

// NewLoad returns a load that is not started.
func NewLoad(d *Deployment, opt LoadOptions) *Load {
	return &Load{d: d, opt: opt, report: Report{Tenant: opt.Service.Tenant, Service: opt.Service.Name}}
}

// Open returns the number of sessions that are open.
func (l *Load) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

const (
	dialParallel    = 64
	dialWithin      = 20 * time.Second
	feedCatchUp     = 5 * time.Second
	warnFeedQuietly = 100 * time.Millisecond
)

// Run keeps the load up until ctx is done, then lets requests finish and feeds
// catch up.
func (l *Load) Run(ctx context.Context) error {
	run := context.WithoutCancel(ctx)
	gate := make(chan struct{}, dialParallel)
	var g errgroup.Group
	for i := range l.opt.Sessions {
		g.Go(func() error { return l.session(ctx, run, gate, i) })
	}
	return g.Wait()
}

func (l *Load) session(ctx, run context.Context, gate chan struct{}, i int) error {
	gate <- struct{}{}
	dialing, cancel := context.WithTimeout(run, dialWithin)
	s, err := l.d.Dial(dialing, l.opt.Service.Name, l.opt.Caller...)
	cancel()
	<-gate
	if err != nil {
		l.count(func(r *Report) { r.Cut++ })
		return nil
	}
	l.mu.Lock()
	l.open++
	l.mu.Unlock()
	var g errgroup.Group
	if l.opt.Feed {
		g.Go(func() error { return l.follow(ctx, run, s) })
	}
	if l.opt.Every > 0 {
		g.Go(func() error { return l.requests(ctx, run, s, i) })
	}
	_ = g.Wait() // both report in counts
	<-ctx.Done()
	st := s.Stats()
	l.count(func(r *Report) {
		r.Sessions++
		r.Broken += st.Lost
		r.Moves += st.Moves
	})
	return s.Close()
}

func (l *Load) count(f func(*Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.report)
}

// Follows a feed and checks that its events come without gap or repeat, up to
// the last one that was appended while the load ran.
func (l *Load) follow(ctx, run context.Context, s *caller.Session) error {
	log := l.d.Feeds[l.opt.Service.Name]
	begin := log.Len()
	f, err := s.Feed(run, "/feed", strconv.Itoa(begin))
	if err != nil {
		l.count(func(r *Report) { r.Cut++ })
		return nil
	}
	defer f.Close()
	want := begin + 1
	for {
		if ctx.Err() != nil {
			l.catchUp(run, f, want, log.Len())
			return nil
		}
		wait, cancel := context.WithTimeout(run, warnFeedQuietly)
		e, err := f.Next(wait)
		cancel()
		if errors.Is(err, context.DeadlineExceeded) {
			continue
		}
		if err != nil {
			l.count(func(r *Report) { r.Cut++ })
			return nil
		}
		want = l.check(e, want)
	}
}

func (l *Load) catchUp(run context.Context, f *caller.Feed, want, end int) {
	late, cancel := context.WithTimeout(run, feedCatchUp)
	defer cancel()
	for want <= end {
		e, err := f.Next(late)
		if err != nil {
			l.count(func(r *Report) { r.Lost += end - want + 1 })
			return
		}
		want = l.check(e, want)
	}
}

// Checks an event and returns the number that is due next.
func (l *Load) check(e caller.Event, want int) int {
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

func (l *Load) requests(ctx, run context.Context, s *caller.Session, i int) error {
	random := rand.New(rand.NewPCG(l.d.opt.Seed, uint64(i)<<16|uint64(l.opt.Service.Number)))
	for n := 0; ; n++ {
		t := time.NewTimer(time.Duration(random.ExpFloat64() * float64(l.opt.Every)))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
		if l.opt.Path != "" && (!l.opt.Sheets || n%2 == 0) {
			l.once(run, s, fmt.Sprintf("%s %d.%d", l.opt.Service.Name, i, n))
		} else if l.opt.Sheets {
			l.sheet(run, s, fmt.Sprintf("%d", random.IntN(1000)))
		}
	}
}

func (l *Load) once(run context.Context, s *caller.Session, body string) {
	ctx, cancel := context.WithTimeout(run, l.opt.Timeout)
	defer cancel()
	o := outcome{body: body, target: s.Target()}
	started := time.Now()
	a, err := s.Do(ctx, caller.Request{Method: "POST", Path: l.opt.Path, Body: []byte(body)})
	o.kind = kindOf(err)
	l.done(o, started)
	if err != nil {
		return
	}
	var got HostAnswer
	if err := json.Unmarshal(a.Body, &got); err != nil || got.Body != body {
		l.count(func(r *Report) { r.Incomplete++ })
	} else if got.Service != l.opt.Service.Name {
		l.count(func(r *Report) { r.Misrouted++ })
	}
}

func (l *Load) sheet(run context.Context, s *caller.Session, name string) {
	ctx, cancel := context.WithTimeout(run, l.opt.Timeout)
	defer cancel()
	o := outcome{target: s.Target()}
	started := time.Now()
	a, err := s.Do(ctx, caller.Request{Path: "/sheets/" + name})
	o.kind = kindOf(err)
	l.done(o, started)
	if err == nil && string(a.Body) != string(Sheet(l.opt.Service.Name, name)) {
		l.count(func(r *Report) { r.Incomplete++ })
	}
}

func kindOf(err error) caller.Kind {
	var e *caller.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	if err != nil {
		return caller.Unknown
	}
	return ""
}

func (l *Load) done(o outcome, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Requests++
	l.outcomes = append(l.outcomes, o)
	if o.kind == "" {
		l.durations = append(l.durations, time.Since(started))
	}
}

// Report compares what callers were told with what hosts ran. Requests of
// sessions with a target that was lost may fail without being called cut; hosts
// for which throughout is false are left out of the imbalance.
func (l *Load) Report(lostTargets map[string]bool, throughout func(host string) bool) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.report
	runs := l.d.Journal.ByBody()
	for _, o := range l.outcomes {
		l.judge(&r, o, runs[o.body], lostTargets[o.target])
	}
	r.Imbalance = l.d.imbalance(l.opt.Service, throughout)
	r.P50ms, r.P99ms = quantile(l.durations, 0.5), quantile(l.durations, 0.99)
	return r
}

func (l *Load) judge(r *Report, o outcome, runs int, targetLost bool) {
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
			r.Lied++
		}
	case caller.Unknown:
		r.Unknown++
	}
	if !targetLost && o.kind != caller.NotRun {
		r.Cut++
	}
}

// Returns max over mean of the requests run by the hosts of a service.
func (d *Deployment) imbalance(s ServiceOptions, throughout func(string) bool) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var highest, sum, n float64
	for name, h := range d.hosts {
		if h.opt.Service != s.Name || !throughout(name) {
			continue
		}
		w := float64(h.Worked())
		highest, sum, n = max(highest, w), sum+w, n+1
	}
	if sum == 0 {
		return 0
	}
	return highest * n / sum
}
