package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"skylarkturn/caller"
	"skylarkturn/internal/admin"
	"skylarkturn/internal/settings"
)

// Experiment is a load on some sites with a schedule of events.
type Experiment struct {
	Name     string            `toml:"name"`
	Seed     uint64            `toml:"seed"`
	Duration settings.Duration `toml:"duration"` // of the load
	Platform bool              `toml:"platform"` // on stand-ins of the users' platform
	Sites    []Site            `toml:"site"`
	Events   []Event           `toml:"event"`
}

// Site is one deployment of the system.
type Site struct {
	Name      string            `toml:"name"`
	Zones     []string          `toml:"zones"`
	Balancers int               `toml:"balancers"`
	Services  []SiteService     `toml:"service"`
	Warmup    settings.Duration `toml:"warmup"`
}

// SiteService is a service of a site and the load on it.
type SiteService struct {
	Tenant   string            `toml:"tenant"`
	Name     string            `toml:"name"`
	Number   uint16            `toml:"number"`
	Hosts    int               `toml:"hosts"`
	Slots    int               `toml:"slots"`
	Work     settings.Duration `toml:"work"` // time of a request in a slot
	Cold     settings.Duration `toml:"cold"` // after a host's start, in which it works at half its speed
	Sessions int               `toml:"sessions"`
	Feed     bool              `toml:"feed"`
	Path     string            `toml:"path"` // of requests that are not idempotent
	Sheets   bool              `toml:"sheets"`
	Every    settings.Duration `toml:"every"` // mean time between requests of a session
}

// Event is something that happens to a site while the load runs.
type Event struct {
	At     settings.Duration `toml:"at"`
	Action string            `toml:"action"`
	Site   string            `toml:"site"` // all sites when empty
	Target string            `toml:"target"`
	Zone   string            `toml:"zone"`
	Count  int               `toml:"count"`
	Delay  settings.Duration `toml:"delay"`
	Jitter settings.Duration `toml:"jitter"`
	Loss   float64           `toml:"loss"`
}

// Actions of events.
const (
	ActionRollBalancers  = "roll_balancers"  // replaces each balancer by a new one, in turn
	ActionKillBalancer   = "kill_balancer"   // kills one
	ActionAddBalancer    = "add_balancer"    // starts one
	ActionFreezeBalancer = "freeze_balancer" // stops one for delay
	ActionKillTarget     = "kill_target"
	ActionStopTarget     = "stop_target"   // a planned stop
	ActionStartTarget    = "start_target"  // a new agent for a host that is there
	ActionAddTarget      = "add_target"    // a new host and its agent
	ActionFreezeTarget   = "freeze_target" // for delay
	ActionDrain          = "drain"
	ActionUndrain        = "undrain"
	ActionKillZone       = "kill_zone" // all agents and balancers of a zone
	ActionPlatformDown   = "platform_down"
	ActionPlatformUp     = "platform_up"
	ActionPlatformSlow   = "platform_slow" // by delay
	ActionLoseAnswers    = "lose_answers"  // of the next count writes
	ActionFaults         = "faults"        // loss, delay and jitter of datagrams
	ActionSilence        = "silence"       // all flows open now go silent for good
	ActionSlowHost       = "slow_host"     // to count percent of its speed
	ActionLyingHost      = "lying_host"    // its health endpoint says unhealthy while it works
	ActionCrashHost      = "crash_host"    // on the users' platform, a host ends and starts after delay
	ActionKillAll        = "kill_all"      // there, all daemons are killed and start after delay
	ActionPowerLoss      = "power_loss"    // there, the hosts as well
	ActionCompact        = "compact"       // there, the store forgets its history
)

var actions = []string{
	ActionRollBalancers, ActionKillBalancer, ActionAddBalancer, ActionFreezeBalancer, ActionKillTarget, ActionStopTarget,
	ActionStartTarget, ActionAddTarget, ActionFreezeTarget, ActionDrain, ActionUndrain, ActionKillZone, ActionPlatformDown, ActionPlatformUp,
	ActionPlatformSlow, ActionLoseAnswers, ActionFaults, ActionSilence, ActionSlowHost, ActionLyingHost,
}

// Actions of the users' platform alone.
var platformActions = []string{ActionCrashHost, ActionKillAll, ActionPowerLoss, ActionCompact}

const (
	maxProcesses = 200
	maxSessions  = 20_000
	maxDuration  = 10 * time.Minute
)

// Check reports the first invalid value.
func (e *Experiment) Check() error {
	if err := e.Duration.CheckRange("duration", time.Second, maxDuration); err != nil || e.Duration == 0 {
		return errors.Join(err, settings.Invalid("duration", "a duration from 1s to %v is required", maxDuration))
	}
	processes, sessions := 0, 0
	for i := range e.Sites {
		s := &e.Sites[i]
		if err := s.check(); err != nil {
			return err
		}
		processes += s.Balancers
		for _, svc := range s.Services {
			processes += svc.Hosts
			sessions += svc.Sessions
		}
	}
	if len(e.Sites) == 0 || processes > maxProcesses {
		return settings.Invalid("site", "%d processes in %d sites; want at least a site and at most %d processes", processes, len(e.Sites), maxProcesses)
	}
	if sessions > maxSessions {
		return settings.Invalid("site.service.sessions", "%d in all is above %d", sessions, maxSessions)
	}
	for _, ev := range e.Events {
		if err := e.checkEvent(&ev); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) check() error {
	if s.Name == "" || len(s.Zones) == 0 || s.Balancers < 1 || len(s.Services) == 0 {
		return settings.Invalid("site.name", "site %q: name, zones, balancers and a service are required", s.Name)
	}
	for _, svc := range s.Services {
		if svc.Name == "" || svc.Tenant == "" || svc.Number == 0 || svc.Hosts < 1 || svc.Slots < 1 {
			return settings.Invalid("site.service.name", "service %q: tenant, name, number, hosts and slots are required", svc.Name)
		}
	}
	return nil
}

func (e *Experiment) checkEvent(ev *Event) error {
	if !slices.Contains(actions, ev.Action) && !(e.Platform && slices.Contains(platformActions, ev.Action)) {
		return settings.Invalid("event.action", "%q is not one of %s", ev.Action, strings.Join(actions, ", "))
	}
	if ev.At > e.Duration {
		return settings.Invalid("event.at", "%v is after the end at %v", time.Duration(ev.At), time.Duration(e.Duration))
	}
	if ev.Site != "" && !slices.ContainsFunc(e.Sites, func(s Site) bool { return s.Name == ev.Site }) {
		return settings.Invalid("event.site", "no site is named %q", ev.Site)
	}
	if ev.Loss < 0 || ev.Loss > 1 {
		return settings.Invalid("event.loss", "%g is not within 0 to 1", ev.Loss)
	}
	return nil
}

// Result is what an experiment showed.
type Result struct {
	Name            string   `json:"name"`
	Requests        int      `json:"requests"`
	BrokenFlows     int      `json:"broken_flows"`
	Lost            int      `json:"lost"`
	Duplicated      int      `json:"duplicated"`
	Misrouted       int      `json:"misrouted"`
	Cut             int      `json:"cut"`
	Incomplete      int      `json:"incomplete_answers"`
	Imbalance       float64  `json:"imbalance"`
	Connections     float64  `json:"connection_imbalance"`
	ConfigInForceMS float64  `json:"config_in_force_ms"` // the longest
	Services        []Report `json:"services"`
	Promises        []string `json:"broken_promises"`
}

// RunOptions say how an experiment is run.
type RunOptions struct {
	Dir      string // for certificates and settings
	Bin      string // directory of the built programs; empty runs daemons in this process
	Progress func(format string, args ...any)
}

// siteRun is a site that plays.
type siteRun struct {
	*Deployment
	site        Site
	operator    *admin.Client
	loads       []*Load
	lost        map[string]bool // targets that were killed or frozen
	changed     map[string]bool // hosts that did not serve throughout
	inForce     []time.Duration
	connections map[string]float64 // max over mean of open sessions per ready agent, by service
	progress    func(format string, args ...any)
}

// Run runs the experiment.
func (e *Experiment) Run(ctx context.Context, opt RunOptions) (result Result, err error) {
	var stages []*siteRun
	defer func() {
		for _, s := range stages {
			err = errors.Join(err, s.Close())
		}
	}()
	for _, site := range e.Sites {
		s, err := e.open(ctx, site, opt)
		if s != nil {
			stages = append(stages, s)
		}
		if err != nil {
			return Result{}, err
		}
	}
	if err := e.play(ctx, stages); err != nil {
		return Result{}, err
	}
	return e.result(stages), nil
}

const settleWithin = 30 * time.Second

func (e *Experiment) open(ctx context.Context, site Site, opt RunOptions) (*siteRun, error) {
	o := Options{
		Dir: opt.Dir + "/" + site.Name, Bin: opt.Bin, Seed: e.Seed, Zones: site.Zones, Balancers: site.Balancers,
		Warmup: time.Duration(site.Warmup), Linger: time.Second,
	}
	if err := makeDir(o.Dir); err != nil {
		return nil, err
	}
	for _, svc := range site.Services {
		o.Services = append(o.Services, ServiceOptions{svc.Tenant, svc.Name, svc.Number, svc.Hosts, svc.Slots, time.Duration(svc.Work), time.Duration(svc.Cold)})
	}
	d, err := NewDeployment(ctx, o)
	if err != nil {
		return nil, err
	}
	s := &siteRun{Deployment: d, site: site, lost: make(map[string]bool), changed: make(map[string]bool), connections: make(map[string]float64), progress: opt.Progress}
	if s.operator, err = d.Operator(); err != nil {
		return s, err
	}
	settle, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	s.progress("%s: %d balancers, declaring %d services", site.Name, site.Balancers, len(site.Services))
	return s, d.DeclareAll(settle, s.operator)
}

func (e *Experiment) play(ctx context.Context, stages []*siteRun) error {
	var loads errgroup.Group
	run, end := context.WithCancel(ctx)
	defer end()
	for _, s := range stages {
		for i, svc := range s.site.Services {
			l := NewLoad(s.Deployment, LoadOptions{
				Service: s.opt.Services[i], Sessions: svc.Sessions, Feed: svc.Feed, Path: svc.Path, Sheets: svc.Sheets,
				Every: time.Duration(svc.Every), Timeout: requestTimeout,
				Caller: []caller.Option{caller.WithHeartbeat(heartbeat), caller.WithSilence(silence), caller.WithRetryBudget(retryBudget)},
			})
			s.loads = append(s.loads, l)
			loads.Go(func() error { return l.Run(run) })
		}
		loads.Go(func() error { return s.tellNews(run) })
	}
	err := e.schedule(run, stages)
	for _, s := range stages {
		s.countConnections(ctx)
	}
	end()
	return errors.Join(err, loads.Wait())
}

const (
	requestTimeout = 10 * time.Second
	heartbeat      = time.Second
	silence        = 3 * time.Second
	retryBudget    = 100
	newsEvery      = 100 * time.Millisecond
)

// Appends events to the feeds until ctx is done.
func (s *siteRun) tellNews(ctx context.Context) error {
	t := time.NewTicker(newsEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			for _, f := range s.Feeds {
				f.Append()
			}
		}
	}
}

func (e *Experiment) schedule(ctx context.Context, stages []*siteRun) error {
	started := time.Now()
	events := slices.Clone(e.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	for _, ev := range events {
		if err := waitUntil(ctx, started.Add(time.Duration(ev.At))); err != nil {
			return err
		}
		for _, s := range stages {
			if ev.Site != "" && ev.Site != s.site.Name || !s.concerns(&ev) {
				continue
			}
			s.progress("%5.1fs %s: %s %s%s", time.Since(started).Seconds(), s.site.Name, ev.Action, ev.Target, ev.Zone)
			if err := s.act(ctx, &ev); err != nil {
				return fmt.Errorf("event %s at %v: %w", ev.Action, time.Duration(ev.At), err)
			}
		}
	}
	return waitUntil(ctx, started.Add(time.Duration(e.Duration)))
}

func waitUntil(ctx context.Context, t time.Time) error {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (e *Experiment) result(stages []*siteRun) Result {
	r := Result{Name: e.Name, Services: []Report{}, Promises: []string{}}
	for _, s := range stages {
		for _, l := range s.loads {
			report := l.Report(s.lost, func(host string) bool { return !s.changed[host] })
			report.Connections = s.connections[report.Service]
			r.add(&report)
		}
		for _, d := range s.inForce {
			r.ConfigInForceMS = max(r.ConfigInForceMS, float64(d.Microseconds())/1000)
		}
	}
	return r
}

func (r *Result) add(s *Report) {
	r.Requests += s.Requests
	r.BrokenFlows += s.Broken
	r.Lost += s.Lost
	r.Duplicated += s.Duplicated
	r.Misrouted += s.Misrouted
	r.Cut += s.Cut
	r.Incomplete += s.Incomplete
	r.Imbalance = max(r.Imbalance, s.Imbalance)
	r.Connections = max(r.Connections, s.Connections)
	r.Services = append(r.Services, *s)
	r.Promises = append(r.Promises, s.Promises()...)
}
