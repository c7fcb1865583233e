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

// ExperimentOptions say how an experiment is played.
type ExperimentOptions struct {
	Bin string    // directory of the built programs
	Dir string    // for settings files
	Log io.Writer // for what daemons print
}

const (
	rollPause = 1200 * time.Millisecond // between balancers that are stopped in turn
	restart   = 300 * time.Millisecond  // from a planned stop to the start
	maxUsers  = 200
)

// experiment is an experiment that plays.
type experiment struct {
	*standin.Experiment

	site    *Site
	began   time.Time
	targets map[string]*VM // by names such as bookdesk-1
	done    sync.WaitGroup

	mu     sync.Mutex
	events []report.Event
	errs   []error
}

// act does what an event says; it returns when that is over.
type act func(x *experiment, ev *standin.Event) error

// acts are the actions that the stand-ins of the platform know.
var acts = map[string]act{
	standin.ActionRollBalancers:  (*experiment).rollBalancers,
	standin.ActionAddBalancer:    func(x *experiment, _ *standin.Event) error { _, err := x.site.AddBalancer(); return err },
	standin.ActionKillBalancer:   (*experiment).killBalancer,
	standin.ActionFreezeBalancer: (*experiment).freezeBalancer,
	standin.ActionKillTarget:     onTarget(func(v *VM, _ time.Duration) error { v.Kill(); return nil }),
	standin.ActionStopTarget:     onTarget(func(v *VM, _ time.Duration) error { v.Stop(); return nil }),
	standin.ActionStartTarget:    onTarget(func(v *VM, _ time.Duration) error { return v.Restart(0) }),
	standin.ActionFreezeTarget:   onTarget(func(v *VM, d time.Duration) error { v.Freeze(d); return nil }),
	standin.ActionCrashHost:      onTarget(crashHost),
	standin.ActionDrain:          onTarget(func(v *VM, _ time.Duration) error { v.Retire(drainTime); return nil }),
	standin.ActionAddTarget:      (*experiment).addTarget,
	standin.ActionKillAll:        func(x *experiment, ev *standin.Event) error { return x.killAll(ev, false) },
	standin.ActionPowerLoss:      func(x *experiment, ev *standin.Event) error { return x.killAll(ev, true) },
	standin.ActionPlatformDown:   func(x *experiment, _ *standin.Event) error { x.site.Store.Fail(Busy); return nil },
	standin.ActionPlatformUp:     func(x *experiment, _ *standin.Event) error { x.site.Store.Fail(Healthy); return nil },
	standin.ActionPlatformSlow:   func(x *experiment, _ *standin.Event) error { x.site.Store.Fail(Slow); return nil },
	standin.ActionLoseAnswers:    func(x *experiment, _ *standin.Event) error { x.site.Store.Fail(Losing); return nil },
	standin.ActionCompact:        func(x *experiment, _ *standin.Event) error { x.site.Store.Compact(); return nil },
	standin.ActionFaults:         func(x *experiment, ev *standin.Event) error { x.site.Lose(ev.Loss); return nil },
}

// CheckExperiment reports the first value that the stand-ins of the platform can't
// play.
func CheckExperiment(e *standin.Experiment) error {
	if len(e.Sites) != 1 {
		return settings.Invalidf("site", "%d sites; the platform's stand-ins have one", len(e.Sites))
	}
	services := e.Sites[0].Services
	if len(services) > 9 {
		return settings.Invalidf("site.service", "%d services; the platform's stand-ins have at most 9", len(services))
	}
	users := 0
	for _, s := range services {
		users += s.Sessions
	}
	if users < 1 || users > maxUsers {
		return settings.Invalidf("site.service.sessions", "%d in all; want 1 to %d on the platform's stand-ins", users, maxUsers)
	}
	for i := range e.Events {
		if ev := &e.Events[i]; acts[ev.Action] == nil {
			return settings.Invalidf("event.action", "%q is not one of the platform's stand-ins: %s", ev.Action, strings.Join(slices.Sorted(maps.Keys(acts)), ", "))
		}
	}
	return nil
}

// Play plays an experiment on stand-ins of the platform. Users share the routes of
// the services evenly.
func Play(ctx context.Context, e *standin.Experiment, o ExperimentOptions) (Result, error) {
	if err := CheckExperiment(e); err != nil {
		return Result{}, err
	}
	site, err := NewSite(Options{Bin: o.Bin, Dir: o.Dir, Log: o.Log, Seed: e.Seed})
	if err != nil {
		return Result{}, err
	}
	defer site.Close()
	x := &experiment{Experiment: e, site: site, targets: make(map[string]*VM)}
	if err := x.start(); err != nil {
		return Result{}, err
	}
	x.began = time.Now()
	x.play(ctx)
	x.done.Wait()
	return x.result(ctx)
}

func (x *experiment) start() error {
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
	if err := x.site.WaitReady(x.Sites[0].Balancers, startWithin); err != nil {
		return err
	}
	x.site.Started()
	return x.site.Clients(users)
}

func (x *experiment) addHost(service, name string) error {
	v, err := x.site.AddHost(service)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.targets[name] = v
	return err
}

// Plays the events; those that last overlap with later ones.
func (x *experiment) play(ctx context.Context) {
	events := slices.Clone(x.Events)
	slices.SortStableFunc(events, func(a, b standin.Event) int { return cmp.Compare(a.At, b.At) })
	for i := range events {
		ev := &events[i]
		wait(ctx, time.Until(x.began.Add(time.Duration(ev.At))))
		if ctx.Err() != nil {
			return
		}
		x.done.Go(func() {
			from := time.Since(x.began).Seconds()
			err := acts[ev.Action](x, ev)
			x.note(ev, from, err)
		})
	}
	wait(ctx, time.Until(x.began.Add(time.Duration(x.Duration))))
}

func (x *experiment) note(ev *standin.Event, from float64, err error) {
	what := strings.TrimSpace(ev.Action + " " + ev.Target)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.events = append(x.events, report.Event{From: from, To: time.Since(x.began).Seconds(), What: what})
	if err != nil {
		x.errs = append(x.errs, fmt.Errorf("%s at %v: %w", what, time.Duration(ev.At), err))
	}
}

func (x *experiment) result(ctx context.Context) (Result, error) {
	r := x.site.result(x.began)
	x.mu.Lock()
	defer x.mu.Unlock()
	r.Run = runOf(x.Name, &r, x.site, x.began, x.events)
	if len(x.errs) > 0 {
		return r, x.errs[0]
	}
	return r, ctx.Err()
}

func onTarget(do func(v *VM, d time.Duration) error) act {
	return func(x *experiment, ev *standin.Event) error {
		x.mu.Lock()
		v := x.targets[ev.Target]
		x.mu.Unlock()
		if v == nil {
			return settings.Invalidf("event.target", "no target is named %q", ev.Target)
		}
		return do(v, time.Duration(ev.Delay))
	}
}

func crashHost(v *VM, pause time.Duration) error {
	v.Host.Crash()
	time.Sleep(pause)
	return v.StartHost()
}

func (x *experiment) addTarget(ev *standin.Event) error {
	i := strings.LastIndexByte(ev.Target, '-')
	if i < 0 {
		return settings.Invalidf("event.target", "%q is no service with a number", ev.Target)
	}
	return x.addHost(ev.Target[:i], ev.Target)
}

func (x *experiment) rollBalancers(*standin.Event) error {
	for _, v := range x.site.VMs(true) {
		v.Stop()
		if err := v.Restart(restart); err != nil {
			return err
		}
		time.Sleep(rollPause)
	}
	return nil
}

func (x *experiment) killBalancer(*standin.Event) error {
	x.site.VMs(true)[0].Remove()
	return nil
}

func (x *experiment) freezeBalancer(ev *standin.Event) error {
	x.site.VMs(true)[0].Freeze(time.Duration(ev.Delay))
	return nil
}

// Kills all daemons, and with power all hosts, and starts them after a delay.
func (x *experiment) killAll(ev *standin.Event, power bool) error {
	var all sync.WaitGroup
	errs := make(chan error, len(x.site.VMs(true))+len(x.site.VMs(false)))
	for _, v := range append(x.site.VMs(true), x.site.VMs(false)...) {
		all.Go(func() { errs <- v.cycle(time.Duration(ev.Delay), power) })
	}
	all.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Kills the daemon, and with power the host, and starts both after a pause.
func (v *VM) cycle(pause time.Duration, power bool) error {
	power = power && v.Host != nil
	if power {
		v.Host.Crash()
	}
	v.Kill()
	err := v.Restart(pause)
	if err == nil && power {
		err = v.StartHost()
	}
	return err
}
