package standin_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/caller"
	"skylarkturn/internal/admin"
	"skylarkturn/internal/standin"
)

var quick = []caller.Option{
	caller.WithHeartbeatInterval(500 * time.Millisecond),
	caller.WithHeartbeatTimeout(4 * time.Second),
	caller.WithRetryBudget(1000),
}

// stages bounds the scenes that play at a time, so that a busy machine is not
// taken for a silent path.
var stages = make(chan struct{}, 3)

// scene is a deployment under load.
type scene struct {
	*standin.Deployment
	t        *testing.T
	ctx      context.Context
	operator *admin.Client
	load     *standin.Load
	end      context.CancelFunc
	ended    chan error
	service  standin.ServiceOptions
	lost     map[string]bool
}

const sessions = 24

// Starts balancers and the targets of one service, and declares it. The scenes
// that play at a time are bounded; the context ends after the given time.
func stage(t *testing.T, balancers, hosts int, within time.Duration) (*standin.Deployment, context.Context, *admin.Client, standin.ServiceOptions) {
	t.Helper()
	t.Parallel()
	stages <- struct{}{}
	t.Cleanup(func() { <-stages })
	svc := bookdesk
	svc.Hosts = hosts
	d := deploy(t, standin.Options{Balancers: balancers, Services: []standin.ServiceOptions{svc}})
	ctx, cancel := context.WithTimeout(t.Context(), within)
	t.Cleanup(cancel)
	operator, err := d.Operator()
	qt.Assert(t, qt.IsNil(err))
	qt.Assert(t, qt.IsNil(d.DeclareAll(ctx, operator)))
	return d, ctx, operator, svc
}

// Plays a stage under a load with feeds, holds and sheets.
func play(t *testing.T, balancers, hosts int) *scene {
	t.Helper()
	d, ctx, operator, svc := stage(t, balancers, hosts, 2*time.Minute)
	s := &scene{
		Deployment: d, t: t, ctx: ctx, operator: operator, service: svc,
		ended: make(chan error, 1), lost: make(map[string]bool),
	}
	s.load = standin.NewLoad(s.Deployment, standin.LoadOptions{
		Service: svc, Sessions: sessions, Feed: true, Path: "/holds", Sheets: true,
		Every: 50 * time.Millisecond, Timeout: 20 * time.Second, Caller: quick,
	})
	run, end := context.WithCancel(s.ctx)
	s.end = end
	go func() { s.ended <- s.load.Run(run) }()
	go s.tellNews(run)
	s.until("all sessions are open", func() bool { return s.load.Open() == sessions })
	s.pass(500 * time.Millisecond)
	return s
}

func (s *scene) tellNews(ctx context.Context) {
	for ctx.Err() == nil {
		s.Feeds[s.service.Name].Append()
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *scene) pass(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
		s.t.Fatal("out of time")
	}
}

func (s *scene) until(what string, ok func() bool) {
	s.t.Helper()
	for !ok() {
		if s.ctx.Err() != nil {
			s.t.Fatalf("out of time waiting until %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Ends the load and checks the promises.
func (s *scene) finish() standin.Report {
	s.t.Helper()
	s.end()
	qt.Assert(s.t, qt.IsNil(<-s.ended))
	r := s.load.Report(s.lost, func(string) bool { return true })
	s.t.Logf("%+v", r)
	qt.Check(s.t, qt.HasLen(r.Promises(), 0))
	qt.Check(s.t, qt.Equals(r.Sessions, sessions))
	return r
}

func (s *scene) check(err error) {
	s.t.Helper()
	qt.Assert(s.t, qt.IsNil(err))
}

func TestFlowsSurviveKilledBalancers(t *testing.T) {
	s := play(t, 3, 2)
	for _, b := range s.Balancers() {
		_, err := s.AddBalancer()
		s.check(err)
		s.pass(time.Second)
		s.check(b.Kill())
		s.pass(1500 * time.Millisecond)
	}
	r := s.finish()
	qt.Check(t, qt.Equals(r.Broken, 0))
}

func TestFlowsSurviveFrozenBalancer(t *testing.T) {
	s := play(t, 3, 2)
	for _, b := range s.Balancers() {
		s.check(b.Freeze())
		s.pass(4 * time.Second)
		s.check(b.Resume())
		break
	}
	s.check(s.Settle(s.ctx, 3, 2, 1))
	s.pass(time.Second)
	r := s.finish()
	qt.Check(t, qt.Equals(r.Broken, 0))
}

func TestAllBalancersRestartDuringOutage(t *testing.T) {
	s := play(t, 2, 2)
	s.Platform.SetDown(true)
	old := s.Balancers()
	for range old {
		_, err := s.AddBalancer()
		s.check(err)
	}
	for _, b := range old {
		s.check(b.Kill())
	}
	s.check(s.Settle(s.ctx, 2, 2, 1))
	s.pass(time.Second)
	r := s.finish()
	qt.Check(t, qt.Equals(r.Broken, 0))
}

func TestDrainedTargetLosesNothing(t *testing.T) {
	s := play(t, 2, 3)
	s.check(s.Drain(s.ctx, s.operator, "bookdesk", "bookdesk-1", true))
	s.pass(3 * time.Second)
	before := s.Host("bookdesk-1").Worked()
	s.pass(2 * time.Second)
	qt.Check(t, qt.Equals(s.Host("bookdesk-1").Worked(), before))
	r := s.finish()
	qt.Check(t, qt.Equals(r.Broken, 0))
}

func TestPlannedStopOfAgentCutsNothing(t *testing.T) {
	s := play(t, 2, 3)
	a := s.Agent("bookdesk-2")
	s.check(a.Stop())
	s.check(a.Wait(s.ctx))
	s.pass(time.Second)
	r := s.finish()
	qt.Check(t, qt.Equals(r.Broken, 0))
}

func TestKilledAgentDuplicatesNothing(t *testing.T) {
	s := play(t, 2, 3)
	s.lost["bookdesk-3"] = true
	s.check(s.Agent("bookdesk-3").Kill())
	s.pass(5 * time.Second)
	s.finish()
}

func TestFrozenAgentIsFenced(t *testing.T) {
	s := play(t, 2, 3)
	s.lost["bookdesk-1"] = true
	a := s.Agent("bookdesk-1")
	s.check(a.Freeze())
	s.check(s.Settle(s.ctx, 2, 2, 1)) // out of placement
	s.pass(3 * time.Second)
	s.check(a.Resume())
	s.check(s.Settle(s.ctx, 2, 3, 1)) // the suspicion is taken back
	s.pass(time.Second)
	s.finish()
}

func TestSilentPathsAreResumed(t *testing.T) {
	s := play(t, 2, 2)
	qt.Assert(t, qt.Not(qt.Equals(s.Fabric.SilenceFlows(), 0)))
	s.pass(8 * time.Second)
	s.finish()
}

func TestLossAndReorder(t *testing.T) {
	s := play(t, 3, 2)
	s.Fabric.SetFaults(standin.Faults{Loss: 0.03, Duplicate: 0.05, Delay: time.Millisecond, Jitter: 5 * time.Millisecond})
	s.pass(4 * time.Second)
	s.Fabric.SetFaults(standin.Faults{})
	s.pass(time.Second)
	s.finish()
}
