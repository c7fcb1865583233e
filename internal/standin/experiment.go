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

// Experiment describes sites, the load on their services and a schedule of events.
type Experiment struct {
	Name     string            `toml:"name"`
	Seed     uint64            `toml:"seed"`
	Duration settings.Duration `toml:"duration"` // of the load
	Platform bool              `toml:"platform"` // run against the simulated users' platform
	Sites    []Site            `toml:"site"`
	Events   []Event           `toml:"event"`
}

// Site describes one deployment of the system.
type Site struct {
	Name      string            `toml:"name"`
	Zones     []string          `toml:"zones"`
	Balancers int               `toml:"balancers"`
	Services  []SiteService     `toml:"service"`
	Warmup    settings.Duration `toml:"warmup"` // of agents
}

// SiteService describes a service of a site and the load on it.
type SiteService struct {
	Tenant          string            `toml:"tenant"`
	Name            string            `toml:"name"`
	Number          uint16            `toml:"number"`
	Hosts           int               `toml:"hosts"`
	Slots           int               `toml:"slots"` // requests that a host serves at a time
	RequestTime     settings.Duration `toml:"work"`  // time that a request takes in a slot
	ColdPeriod      settings.Duration `toml:"cold"`  // period after a host's start during which requests take twice as long
	Sessions        int               `toml:"sessions"`
	Feed            bool              `toml:"feed"`   // each session keeps a feed open
	Path            string            `toml:"path"`   // of non-idempotent requests; none are sent when empty
	Sheets          bool              `toml:"sheets"` // sessions fetch sheets
	RequestInterval settings.Duration `toml:"every"`  // mean time between requests of a session
}

// Event is a change or fault applied to sites while the load runs.
type Event struct {
	At     settings.Duration `toml:"at"`
	Action string            `toml:"action"`
	Site   string            `toml:"site"` // empty applies it to all sites
	Target string            `toml:"target"`
	Zone   string            `toml:"zone"`
	Count  int               `toml:"count"` // percent of the speed for slow_host, number of writes for lose_answers
	Delay  settings.Duration `toml:"delay"`
	Jitter settings.Duration `toml:"jitter"`
	Loss   float64           `toml:"loss"` // fraction of datagrams dropped, 0 to 1
}

// Actions of events.
const (
	ActionRollBalancers  = "roll_balancers"  // starts a new balancer for each running one and stops the old one, in turn
	ActionKillBalancer   = "kill_balancer"   // kills one without warning
	ActionAddBalancer    = "add_balancer"    // starts one
	ActionFreezeBalancer = "freeze_balancer" // suspends one for Delay
	ActionKillTarget     = "kill_target"
	ActionStopTarget     = "stop_target"   // planned stop of an agent
	ActionStartTarget    = "start_target"  // starts a new agent for an existing host
	ActionAddTarget      = "add_target"    // starts a new host and its agent
	ActionFreezeTarget   = "freeze_target" // suspends an agent for Delay
	ActionDrain          = "drain"
	ActionUndrain        = "undrain"
	ActionKillZone       = "kill_zone" // kills all agents and balancers of a zone
	ActionPlatformDown   = "platform_down"
	ActionPlatformUp     = "platform_up"
	ActionPlatformSlow   = "platform_slow" // delays every platform call by Delay
	ActionLoseAnswers    = "lose_answers"  // drops the replies to the next Count writes
	ActionFaults         = "faults"        // sets loss, delay and jitter of datagrams
	ActionSilence        = "silence"       // drops all later datagrams of the flows that are open now
	ActionSlowHost       = "slow_host"     // reduces a host to Count percent of its speed
	ActionLyingHost      = "lying_host"    // a host's health endpoint reports unhealthy although it serves requests
	ActionCrashHost      = "crash_host"    // users' platform only: a host exits and restarts after Delay
	ActionKillAll        = "kill_all"      // users' platform only: kills all daemons and restarts them after Delay
	ActionPowerLoss      = "power_loss"    // users' platform only: as kill_all, hosts included
	ActionCompact        = "compact"       // users' platform only: the store discards its history
	ActionRestoreStore   = "restore_store" // users' platform only: the store comes back from a copy of the age Delay
)

var siteActions = []string{
	ActionRollBalancers, ActionKillBalancer, ActionAddBalancer, ActionFreezeBalancer, ActionKillTarget, ActionStopTarget,
	ActionStartTarget, ActionAddTarget, ActionFreezeTarget, ActionDrain, ActionUndrain, ActionKillZone, ActionPlatformDown, ActionPlatformUp,
	ActionPlatformSlow, ActionLoseAnswers, ActionFaults, ActionSilence, ActionSlowHost, ActionLyingHost,
}

// Actions that only experiments on the users' platform have.
var platformActions = []string{ActionCrashHost, ActionKillAll, ActionPowerLoss, ActionCompact, ActionRestoreStore}

const (
	maxProcesses = 200
	maxSessions  = 20_000
	maxDuration  = 10 * time.Minute
)

// Check returns an error for the first invalid value.
func (e *Experiment) Check() error {
	if err := e.Duration.CheckRange("duration", time.Second, maxDuration); err != nil || e.Duration == 0 {
		return errors.Join(err, settings.Invalidf("duration", "a duration from 1s to %v is required", maxDuration))
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
		return settings.Invalidf("site", "%d processes in %d sites; want at least one site and at most %d processes", processes, len(e.Sites), maxProcesses)
	}
	if sessions > maxSessions {
		return settings.Invalidf("site.service.sessions", "%d sessions in total exceed the limit of %d", sessions, maxSessions)
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
		return settings.Invalidf("site.name", "site %q: name, zones, balancers and a service are required", s.Name)
	}
	for _, svc := range s.Services {
		if svc.Name == "" || svc.Tenant == "" || svc.Number == 0 || svc.Hosts < 1 || svc.Slots < 1 {
			return settings.Invalidf("site.service.name", "service %q: tenant, name, number, hosts and slots are required", svc.Name)
		}
	}
	return nil
}

func (e *Experiment) checkEvent(ev *Event) error {
	if !slices.Contains(siteActions, ev.Action) && !(e.Platform && slices.Contains(platformActions, ev.Action)) {
		return settings.Invalidf("event.action", "%q is not one of %s", ev.Action, strings.Join(siteActions, ", "))
	}
	if ev.At > e.Duration {
		return settings.Invalidf("event.at", "%v is after the end at %v", time.Duration(ev.At), time.Duration(e.Duration))
	}
	if ev.Site != "" && !slices.ContainsFunc(e.Sites, func(s Site) bool { return s.Name == ev.Site }) {
		return settings.Invalidf("event.site", "no site is named %q", ev.Site)
	}
	if ev.Loss < 0 || ev.Loss > 1 {
		return settings.Invalidf("event.loss", "%g is not within 0 to 1", ev.Loss)
	}
	return nil
}

// Result holds the figures of an experiment.
type Result struct {
	Name                string   `json:"name"`
	Requests            int      `json:"requests"`
	BrokenFlows         int      `json:"broken_flows"`
	Lost                int      `json:"lost"`
	Duplicated          int      `json:"duplicated"`
	Misrouted           int      `json:"misrouted"`
	UnexpectedFailures  int      `json:"cut"`
	IncompleteAnswers   int      `json:"incomplete_answers"`
	Imbalance           float64  `json:"imbalance"`
	ConnectionImbalance float64  `json:"connection_imbalance"`
	ConfigInForceMS     float64  `json:"config_in_force_ms"` // longest time until a change was in force on every balancer
	Services            []Report `json:"services"`
	BrokenPromises      []string `json:"broken_promises"`
}

// RunOptions are the options of Experiment.Run.
type RunOptions struct {
	Dir      string // receives certificates and settings
	Bin      string // directory of the built programs; empty runs the daemons in this process
	Progress func(format string, args ...any)
}

// siteRun is the state of a site while its experiment runs.
type siteRun struct {
	*Deployment
	site             Site
	operator         *admin.Client
	loads            []*LoadGenerator
	failedTargets    map[string]bool // daemons that were killed or frozen, by name
	changedHosts     map[string]bool // hosts that did not serve during the whole experiment
	propagationTimes []time.Duration
	sessionImbalance map[string]float64 // maximum over mean of open sessions per ready agent, by service
	progress         func(format string, args ...any)
}

// Run deploys the sites, runs the load and the events, and returns the figures.
func (e *Experiment) Run(ctx context.Context, opt RunOptions) (result Result, err error) {
	var sites []*siteRun
	defer func() {
		for _, s := range sites {
			err = errors.Join(err, s.Close())
		}
	}()
	for _, site := range e.Sites {
		s, err := e.deploySite(ctx, site, opt)
		if s != nil {
			sites = append(sites, s)
		}
		if err != nil {
			return Result{}, err
		}
	}
	if err := e.runLoads(ctx, sites); err != nil {
		return Result{}, err
	}
	return e.result(sites), nil
}

const convergenceTimeout = 30 * time.Second

func (e *Experiment) deploySite(ctx context.Context, site Site, opt RunOptions) (*siteRun, error) {
	o := Options{
		Dir: opt.Dir + "/" + site.Name, Bin: opt.Bin, Seed: e.Seed, Zones: site.Zones, Balancers: site.Balancers,
		Warmup: time.Duration(site.Warmup), Linger: time.Second,
	}
	if err := makeDir(o.Dir); err != nil {
		return nil, err
	}
	for _, svc := range site.Services {
		o.Services = append(o.Services, ServiceOptions{svc.Tenant, svc.Name, svc.Number, svc.Hosts, svc.Slots, time.Duration(svc.RequestTime), time.Duration(svc.ColdPeriod)})
	}
	d, err := NewDeployment(ctx, o)
	if err != nil {
		return nil, err
	}
	s := &siteRun{Deployment: d, site: site, failedTargets: make(map[string]bool), changedHosts: make(map[string]bool), sessionImbalance: make(map[string]float64), progress: opt.Progress}
	if s.operator, err = d.Operator(); err != nil {
		return s, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	s.progress("%s: %d balancers, declaring %d services", site.Name, site.Balancers, len(site.Services))
	return s, d.DeclareAll(waitCtx, s.operator)
}

func (e *Experiment) runLoads(ctx context.Context, sites []*siteRun) error {
	var loads errgroup.Group
	run, end := context.WithCancel(ctx)
	defer end()
	for _, s := range sites {
		for i, svc := range s.site.Services {
			l := NewLoadGenerator(s.Deployment, LoadOptions{
				Service: s.opt.Services[i], Sessions: svc.Sessions, Feed: svc.Feed, Path: svc.Path, Sheets: svc.Sheets,
				RequestInterval: time.Duration(svc.RequestInterval), Timeout: requestTimeout,
				Caller: []caller.Option{caller.WithHeartbeatInterval(heartbeatInterval), caller.WithHeartbeatTimeout(silenceTimeout), caller.WithRetryBudget(retryBudget)},
			})
			s.loads = append(s.loads, l)
			loads.Go(func() error { return l.Run(run) })
		}
		loads.Go(func() error { return s.appendFeedEvents(run) })
	}
	err := e.runEvents(run, sites)
	for _, s := range sites {
		s.measureSessionImbalance(ctx)
	}
	end()
	return errors.Join(err, loads.Wait())
}

const (
	requestTimeout    = 10 * time.Second
	heartbeatInterval = time.Second
	silenceTimeout    = 3 * time.Second
	retryBudget       = 100
	feedEventInterval = 100 * time.Millisecond
)

// appendFeedEvents appends events to the feed of every service until ctx is done.
func (s *siteRun) appendFeedEvents(ctx context.Context) error {
	t := time.NewTicker(feedEventInterval)
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

func (e *Experiment) runEvents(ctx context.Context, sites []*siteRun) error {
	started := time.Now()
	events := slices.Clone(e.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	for _, ev := range events {
		if err := waitUntil(ctx, started.Add(time.Duration(ev.At))); err != nil {
			return err
		}
		for _, s := range sites {
			if ev.Site != "" && ev.Site != s.site.Name || !s.appliesTo(&ev) {
				continue
			}
			s.progress("%5.1fs %s: %s %s%s", time.Since(started).Seconds(), s.site.Name, ev.Action, ev.Target, ev.Zone)
			if err := s.apply(ctx, &ev); err != nil {
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

func (e *Experiment) result(sites []*siteRun) Result {
	r := Result{Name: e.Name, Services: []Report{}, BrokenPromises: []string{}}
	for _, s := range sites {
		for _, l := range s.loads {
			report := l.Report(s.failedTargets, func(host string) bool { return !s.changedHosts[host] })
			report.ConnectionImbalance = s.sessionImbalance[report.Service]
			r.add(&report)
		}
		for _, d := range s.propagationTimes {
			r.ConfigInForceMS = max(r.ConfigInForceMS, float64(d.Microseconds())/1000)
		}
	}
	return r
}

func (r *Result) add(s *Report) {
	r.Requests += s.Requests
	r.BrokenFlows += s.BrokenFlows
	r.Lost += s.Lost
	r.Duplicated += s.Duplicated
	r.Misrouted += s.Misrouted
	r.UnexpectedFailures += s.UnexpectedFailures
	r.IncompleteAnswers += s.IncompleteAnswers
	r.Imbalance = max(r.Imbalance, s.Imbalance)
	r.ConnectionImbalance = max(r.ConnectionImbalance, s.ConnectionImbalance)
	r.Services = append(r.Services, *s)
	r.BrokenPromises = append(r.BrokenPromises, s.BrokenPromises()...)
}
