package platformstand

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"skylarkturn/internal/report"
	"skylarkturn/internal/settings"
	"skylarkturn/internal/standin"
)

// ExperimentOptions configures how an experiment is run.
type ExperimentOptions struct {
	Bin string    // directory of the built programs
	Dir string    // directory for the daemons' settings files
	Log io.Writer // receives the daemons' output
}

const (
	rollInterval = 1200 * time.Millisecond // between balancers in a rolling restart
	restartDelay = 300 * time.Millisecond  // from a planned stop to the next start
	maxUsers     = 200                     // client addresses differ only in their last byte
)

// experimentRun is the state of a running experiment.
type experimentRun struct {
	*standin.Experiment

	site      *Site
	startTime time.Time
	targets   map[string]*VM // by target name, such as bookdesk-1
	wg        sync.WaitGroup // event actions in progress

	mu     sync.Mutex
	events []report.Event
	errs   []error
}

// actionFunc performs the action of an event and returns when it is complete.
type actionFunc func(x *experimentRun, ev *standin.Event) error

// actions maps the names of the supported actions to their implementations.
var actions = map[string]actionFunc{
	standin.ActionRollBalancers:  (*experimentRun).rollBalancers,
	standin.ActionAddBalancer:    func(x *experimentRun, _ *standin.Event) error { _, err := x.site.AddBalancer(); return err },
	standin.ActionKillBalancer:   (*experimentRun).killBalancer,
	standin.ActionFreezeBalancer: (*experimentRun).freezeBalancer,
	standin.ActionKillTarget:     onTarget(func(v *VM, _ time.Duration) error { v.Kill(); return nil }),
	standin.ActionStopTarget:     onTarget(func(v *VM, _ time.Duration) error { v.Stop(); return nil }),
	standin.ActionStartTarget:    onTarget(func(v *VM, _ time.Duration) error { return v.Restart(0) }),
	standin.ActionFreezeTarget:   onTarget(func(v *VM, d time.Duration) error { v.Freeze(d); return nil }),
	standin.ActionCrashHost:      onTarget(crashHost),
	standin.ActionDrain:          onTarget(func(v *VM, _ time.Duration) error { v.DrainAndStop(drainDuration); return nil }),
	standin.ActionAddTarget:      (*experimentRun).addTarget,
	standin.ActionKillAll:        func(x *experimentRun, ev *standin.Event) error { return x.killAll(ev, false) },
	standin.ActionPowerLoss:      func(x *experimentRun, ev *standin.Event) error { return x.killAll(ev, true) },
	standin.ActionPlatformDown:   func(x *experimentRun, _ *standin.Event) error { x.site.Store.SetOutage(Unavailable); return nil },
	standin.ActionPlatformUp:     func(x *experimentRun, _ *standin.Event) error { x.site.Store.SetOutage(Healthy); return nil },
	standin.ActionPlatformSlow:   func(x *experimentRun, _ *standin.Event) error { x.site.Store.SetOutage(Slow); return nil },
	standin.ActionLoseAnswers:    func(x *experimentRun, _ *standin.Event) error { x.site.Store.SetOutage(LoseResponses); return nil },
	standin.ActionCompact:        func(x *experimentRun, _ *standin.Event) error { x.site.Store.Compact(); return nil },
	standin.ActionRestoreStore: func(x *experimentRun, ev *standin.Event) error {
		x.site.Store.Restore(time.Duration(ev.Delay))
		return nil
	},
	standin.ActionFaults: func(x *experimentRun, ev *standin.Event) error { x.site.SetLoss(ev.Loss); return nil },
}

// CheckExperiment returns an error for the first value that the simulated platform
// does not support.
func CheckExperiment(e *standin.Experiment) error {
	if len(e.Sites) != 1 {
		return settings.Invalidf("site", "%d sites; the simulated platform has exactly one", len(e.Sites))
	}
	services := e.Sites[0].Services
	if len(services) > 9 {
		return settings.Invalidf("site.service", "%d services; the simulated platform has at most 9", len(services))
	}
	users := 0
	for _, s := range services {
		users += s.Sessions
	}
	if users < 1 || users > maxUsers {
		return settings.Invalidf("site.service.sessions", "%d in all; want 1 to %d on the simulated platform", users, maxUsers)
	}
	for i := range e.Events {
		if ev := &e.Events[i]; actions[ev.Action] == nil {
			return settings.Invalidf("event.action", "%q is not supported on the simulated platform; supported are: %s", ev.Action, strings.Join(slices.Sorted(maps.Keys(actions)), ", "))
		}
	}
	return nil
}

// RunExperiment runs an experiment on the simulated platform. Each flow goes to a
// random route, so that users load all services evenly.
func RunExperiment(ctx context.Context, e *standin.Experiment, o ExperimentOptions) (Result, error) {
	if err := CheckExperiment(e); err != nil {
		return Result{}, err
	}
	site, err := NewSite(Options{Bin: o.Bin, Dir: o.Dir, Log: o.Log, Seed: e.Seed})
	if err != nil {
		return Result{}, err
	}
	defer site.Close()
	x := &experimentRun{Experiment: e, site: site, targets: make(map[string]*VM)}
	if err := x.start(); err != nil {
		return Result{}, err
	}
	x.startTime = time.Now()
	x.runEvents(ctx)
	x.wg.Wait()
	return x.result(ctx)
}

// start configures the routes and starts balancers, hosts and clients.
func (x *experimentRun) start() error {
	routes := make(map[string]string)
	users := 0
	for i, s := range x.Sites[0].Services {
		routes[fmt.Sprint("r", i)] = s.Name
		users += s.Sessions
	}
	if err := x.site.Configure(routes, slices.Sorted(maps.Keys(routes))...); err != nil {
		return err
	}
	for range x.Sites[0].Balancers {
		if _, err := x.site.AddBalancer(); err != nil {
			return err
		}
	}
	for _, s := range x.Sites[0].Services {
		for n := range s.Hosts {
			if err := x.addHost(s.Name, fmt.Sprintf("%s-%d", s.Name, n+1)); err != nil {
				return err
			}
		}
	}
	if err := x.site.WaitReady(x.Sites[0].Balancers, startTimeout); err != nil {
		return err
	}
	x.site.EndBootstrap()
	return x.site.StartClients(users)
}

// addHost adds a host of a service and registers it under a target name.
func (x *experimentRun) addHost(service, name string) error {
	v, err := x.site.AddHost(service)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.targets[name] = v
	return err
}

// runEvents starts each event at its time. An event that takes long overlaps with
// later ones.
func (x *experimentRun) runEvents(ctx context.Context) {
	events := slices.Clone(x.Events)
	slices.SortStableFunc(events, func(a, b standin.Event) int { return cmp.Compare(a.At, b.At) })
	for i := range events {
		ev := &events[i]
		sleep(ctx, time.Until(x.startTime.Add(time.Duration(ev.At))))
		if ctx.Err() != nil {
			return
		}
		x.wg.Go(func() {
			from := time.Since(x.startTime).Seconds()
			err := actions[ev.Action](x, ev)
			x.recordEvent(ev, from, err)
		})
	}
	sleep(ctx, time.Until(x.startTime.Add(time.Duration(x.Duration))))
}

// recordEvent records a completed event for the report, and its error.
func (x *experimentRun) recordEvent(ev *standin.Event, from float64, err error) {
	what := strings.TrimSpace(ev.Action + " " + ev.Target)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.events = append(x.events, report.Event{From: from, To: time.Since(x.startTime).Seconds(), Description: what})
	if err != nil {
		x.errs = append(x.errs, fmt.Errorf("%s at %v: %w", what, time.Duration(ev.At), err))
	}
}

// result returns the result, and the first error of an event.
func (x *experimentRun) result(ctx context.Context) (Result, error) {
	r := x.site.result(x.startTime)
	x.mu.Lock()
	defer x.mu.Unlock()
	r.Run = reportRun(x.Name, &r, x.site, x.startTime, x.events)
	if len(x.errs) > 0 {
		return r, x.errs[0]
	}
	return r, ctx.Err()
}

// onTarget returns an action that calls do with the event's target and delay.
func onTarget(do func(v *VM, d time.Duration) error) actionFunc {
	return func(x *experimentRun, ev *standin.Event) error {
		x.mu.Lock()
		v := x.targets[ev.Target]
		x.mu.Unlock()
		if v == nil {
			return settings.Invalidf("event.target", "no target is named %q", ev.Target)
		}
		return do(v, time.Duration(ev.Delay))
	}
}

// crashHost crashes the host of a VM and starts a new one after a pause.
func crashHost(v *VM, pause time.Duration) error {
	v.Host.Crash()
	time.Sleep(pause)
	return v.StartHost()
}

// addTarget adds the host that the event names by its service and number.
func (x *experimentRun) addTarget(ev *standin.Event) error {
	i := strings.LastIndexByte(ev.Target, '-')
	if i < 0 {
		return settings.Invalidf("event.target", "%q is not of the form SERVICE-NUMBER", ev.Target)
	}
	return x.addHost(ev.Target[:i], ev.Target)
}

// rollBalancers stops and restarts the balancers one after the other.
func (x *experimentRun) rollBalancers(*standin.Event) error {
	for _, v := range x.site.VMs(true) {
		v.Stop()
		if err := v.Restart(restartDelay); err != nil {
			return err
		}
		time.Sleep(rollInterval)
	}
	return nil
}

// killBalancer removes the oldest balancer for good.
func (x *experimentRun) killBalancer(*standin.Event) error {
	x.site.VMs(true)[0].Remove()
	return nil
}

// freezeBalancer freezes the oldest balancer for the event's delay.
func (x *experimentRun) freezeBalancer(ev *standin.Event) error {
	x.site.VMs(true)[0].Freeze(time.Duration(ev.Delay))
	return nil
}

// killAll kills all daemons, and on a loss of power all hosts, and restarts them
// after the event's delay.
func (x *experimentRun) killAll(ev *standin.Event, powerLoss bool) error {
	var wg sync.WaitGroup
	errs := make(chan error, len(x.site.VMs(true))+len(x.site.VMs(false)))
	for _, v := range append(x.site.VMs(true), x.site.VMs(false)...) {
		wg.Go(func() { errs <- v.crashAndRestart(time.Duration(ev.Delay), powerLoss) })
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// crashAndRestart kills the daemon, and on a loss of power the host, and restarts
// them after a pause.
func (v *VM) crashAndRestart(pause time.Duration, powerLoss bool) error {
	withHost := powerLoss && v.Host != nil
	if withHost {
		v.Host.Crash()
	}
	v.Kill()
	err := v.Restart(pause)
	if err == nil && withHost {
		err = v.StartHost()
	}
	return err
}
