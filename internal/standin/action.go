package standin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	rollOverlap        = 300 * time.Millisecond // between the start of a balancer and the stop of the one that it replaces
	propagationTimeout = 20 * time.Second
)

func makeDir(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return &Error{"make directory", KindFiles, err}
	}
	return nil
}

// appliesTo reports whether an event applies to this site: it names no target, or one
// of a service of the site.
func (s *siteRun) appliesTo(ev *Event) bool {
	_, _, err := s.serviceOf(ev.Target)
	return ev.Target == "" || err == nil
}

func (s *siteRun) apply(ctx context.Context, ev *Event) error {
	switch ev.Action {
	case ActionPlatformDown:
		s.Platform.SetDown(true)
	case ActionPlatformUp:
		s.Platform.SetDown(false)
	case ActionPlatformSlow:
		s.Platform.SetDelay(time.Duration(ev.Delay))
	case ActionLoseAnswers:
		s.Platform.DropWriteReplies(ev.Count)
	case ActionFaults:
		s.Fabric.SetFaults(Faults{Loss: ev.Loss, Delay: time.Duration(ev.Delay), Jitter: time.Duration(ev.Jitter)})
	case ActionSilence:
		s.Fabric.BlackholeFlows()
	case ActionDrain, ActionUndrain:
		return s.drain(ctx, ev.Target, ev.Action == ActionDrain)
	case ActionKillZone:
		return s.killZone(ev.Zone)
	case ActionSlowHost:
		s.Host(ev.Target).SetSpeed(ev.Count)
	case ActionLyingHost:
		s.Host(ev.Target).SetReportUnhealthy(true)
	case ActionRollBalancers, ActionKillBalancer, ActionAddBalancer, ActionFreezeBalancer:
		return s.applyToBalancers(ctx, ev)
	default:
		return s.applyToTarget(ctx, ev)
	}
	return nil
}

func (s *siteRun) applyToBalancers(ctx context.Context, ev *Event) error {
	running := s.Balancers()
	names := slices.Sorted(maps.Keys(running))
	switch ev.Action {
	case ActionAddBalancer:
		_, err := s.AddBalancer()
		return err
	case ActionKillBalancer:
		return running[names[0]].Kill()
	case ActionFreezeBalancer:
		return s.freeze(ctx, running[names[0]], time.Duration(ev.Delay))
	}
	for _, name := range names {
		if _, err := s.AddBalancer(); err != nil {
			return err
		}
		if err := waitUntil(ctx, time.Now().Add(rollOverlap)); err != nil {
			return err
		}
		s.Fabric.Remove(name)
		if err := running[name].Stop(); err != nil {
			return err
		}
	}
	return nil
}

// freeze freezes a daemon for d without blocking the schedule.
func (s *siteRun) freeze(ctx context.Context, m *Daemon, d time.Duration) error {
	if err := m.Freeze(); err != nil {
		return err
	}
	s.group.Go(func() error {
		_ = waitUntil(ctx, time.Now().Add(d)) // resumed early when the experiment ends
		return m.Resume()
	})
	return nil
}

// measureSessionImbalance records, for each service, the maximum over the mean of open
// sessions per ready agent. Agents that do not respond are left out.
func (s *siteRun) measureSessionImbalance(ctx context.Context) {
	for _, svc := range s.opt.Services {
		var highest, sum, n float64
		for name, m := range s.runningAgents(svc.Name) {
			health, err := m.agentHealth(ctx)
			if err != nil || s.failedTargets[name] || health.State != "ready" {
				continue
			}
			highest, sum, n = max(highest, health.Sessions), sum+health.Sessions, n+1
		}
		if sum > 0 {
			s.sessionImbalance[svc.Name] = highest * n / sum
		}
	}
}

// runningAgents returns the running agents of a service, by target.
func (d *Deployment) runningAgents(service string) map[string]*Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	running := make(map[string]*Daemon)
	for name, m := range d.agents {
		if strings.HasPrefix(name, service+"-") && m.Running() {
			running[name] = m
		}
	}
	return running
}

func (s *siteRun) applyToTarget(ctx context.Context, ev *Event) error {
	if ev.Action == ActionAddTarget {
		svc, i, err := s.serviceOf(ev.Target)
		if err != nil {
			return err
		}
		s.changedHosts[ev.Target] = true
		_, err = s.AddTarget(svc, i)
		return err
	}
	m := s.Agent(ev.Target)
	if m == nil {
		return &Error{ev.Action, KindProcess, fmt.Errorf("no target is named %q", ev.Target)}
	}
	s.changedHosts[ev.Target] = true
	switch ev.Action {
	case ActionKillTarget:
		s.failedTargets[ev.Target] = true
		return m.Kill()
	case ActionFreezeTarget:
		s.failedTargets[ev.Target] = true
		return s.freeze(ctx, m, time.Duration(ev.Delay))
	case ActionStopTarget:
		return m.Stop()
	}
	svc, i, err := s.serviceOf(ev.Target)
	if err != nil {
		return err
	}
	_, err = s.StartAgent(svc, ev.Target, s.zone(i))
	return err
}

// serviceOf returns the service of a target and the target's number, from its name.
func (s *siteRun) serviceOf(target string) (svc ServiceOptions, number int, err error) {
	for _, svc := range s.opt.Services {
		rest, ok := strings.CutPrefix(target, svc.Name+"-")
		if !ok {
			continue
		}
		if _, err := fmt.Sscanf(rest, "%d", &number); err == nil {
			return svc, number, nil
		}
	}
	return svc, 0, &Error{"find service", KindProcess, fmt.Errorf("no service has a target %q", target)}
}

// drain drains or activates a target by a confirmed plan and records the time until
// the change is in force on every running balancer.
func (s *siteRun) drain(ctx context.Context, target string, drain bool) error {
	svc, _, err := s.serviceOf(target)
	if err != nil {
		return err
	}
	s.changedHosts[target] = true
	if err := s.Drain(ctx, s.operator, svc.Name, target, drain); err != nil {
		return err
	}
	confirmed := time.Now()
	current, err := s.newestGeneration(ctx, svc.Name)
	if err != nil {
		return err
	}
	waitCtx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	for {
		if s.inForceEverywhere(waitCtx, svc.Name, current) {
			s.propagationTimes = append(s.propagationTimes, time.Since(confirmed))
			return nil
		}
		if waitCtx.Err() != nil {
			return &Error{"drain", KindProcess, fmt.Errorf("generation %d of service %q is not in force on every balancer after %v", current, svc.Name, propagationTimeout)}
		}
	}
}

// newestGeneration returns the highest generation of a service that any balancer has
// in force.
func (s *siteRun) newestGeneration(ctx context.Context, name string) (generation uint32, err error) {
	for _, b := range s.Balancers() {
		current, err := s.operator.ForServer(b.AdminAddr).Service(ctx, name)
		if err != nil {
			return 0, err
		}
		generation = max(generation, current.Generation)
	}
	return generation, nil
}

func (s *siteRun) inForceEverywhere(ctx context.Context, name string, generation uint32) bool {
	for _, b := range s.Balancers() {
		current, err := s.operator.ForServer(b.AdminAddr).Service(ctx, name)
		if err != nil || current.Generation < generation {
			return false
		}
	}
	return true
}

func (s *siteRun) killZone(zone string) error {
	var errs []error
	for _, m := range s.daemons() {
		if m.Zone != zone || !m.Running() {
			continue
		}
		s.failedTargets[m.Name], s.changedHosts[m.Name] = true, true
		errs = append(errs, m.Kill())
	}
	return errors.Join(errs...)
}
