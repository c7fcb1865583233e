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

var fastTimeouts = []caller.Option{
	caller.WithHeartbeatInterval(500 * time.Millisecond),
	caller.WithHeartbeatTimeout(4 * time.Second),
	caller.WithRetryBudget(1000),
}

// deploymentSlots limits the deployments that run at a time. On an overloaded machine
// replies are late enough for a path to be treated as silent.
var deploymentSlots = make(chan struct{}, 3)

// loadTest is a deployment under load, with the outcome to check at the end.
type loadTest struct {
	*standin.Deployment
	t             *testing.T
	ctx           context.Context
	operator      *admin.Client
	load          *standin.LoadGenerator
	stopLoad      context.CancelFunc
	loadDone      chan error
	service       standin.ServiceOptions
	failedTargets map[string]bool
}

const sessionCount = 24

// deployService starts balancers and the targets of one service, and declares the
// service. It first waits for a free deployment slot; the context ends after the given
// time.
func deployService(t *testing.T, balancers, hosts int, within time.Duration) (*standin.Deployment, context.Context, *admin.Client, standin.ServiceOptions) {
	t.Helper()
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
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

// startLoadTest starts a deployment and a load of feeds, non-idempotent requests and
// sheets.
func startLoadTest(t *testing.T, balancers, hosts int) *loadTest {
	t.Helper()
	d, ctx, operator, svc := deployService(t, balancers, hosts, 2*time.Minute)
	s := &loadTest{
		Deployment: d, t: t, ctx: ctx, operator: operator, service: svc,
		loadDone: make(chan error, 1), failedTargets: make(map[string]bool),
	}
	s.load = standin.NewLoadGenerator(s.Deployment, standin.LoadOptions{
		Service: svc, Sessions: sessionCount, Feed: true, Path: "/holds", Sheets: true,
		RequestInterval: 50 * time.Millisecond, Timeout: 20 * time.Second, Caller: fastTimeouts,
	})
	run, end := context.WithCancel(s.ctx)
	s.stopLoad = end
	go func() { s.loadDone <- s.load.Run(run) }()
	go s.appendFeedEvents(run)
	s.waitFor("all sessions are open", func() bool { return s.load.OpenSessions() == sessionCount })
	s.wait(500 * time.Millisecond)
	return s
}

func (s *loadTest) appendFeedEvents(ctx context.Context) {
	for ctx.Err() == nil {
		s.Feeds[s.service.Name].Append()
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *loadTest) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
		s.t.Fatal("test timed out")
	}
}

func (s *loadTest) waitFor(what string, ok func() bool) {
	s.t.Helper()
	for !ok() {
		if s.ctx.Err() != nil {
			s.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// stopAndCheck stops the load, checks that no promise was broken and returns the
// report.
func (s *loadTest) stopAndCheck() standin.Report {
	s.t.Helper()
	s.stopLoad()
	qt.Assert(s.t, qt.IsNil(<-s.loadDone))
	r := s.load.Report(s.failedTargets, func(string) bool { return true })
	s.t.Logf("%+v", r)
	qt.Check(s.t, qt.HasLen(r.BrokenPromises(), 0))
	qt.Check(s.t, qt.Equals(r.Sessions, sessionCount))
	return r
}

func (s *loadTest) noError(err error) {
	s.t.Helper()
	qt.Assert(s.t, qt.IsNil(err))
}

func TestFlowsSurviveKilledBalancers(t *testing.T) {
	s := startLoadTest(t, 3, 2)
	for _, b := range s.Balancers() {
		_, err := s.AddBalancer()
		s.noError(err)
		s.wait(time.Second)
		s.noError(b.Kill())
		s.wait(1500 * time.Millisecond)
	}
	r := s.stopAndCheck()
	qt.Check(t, qt.Equals(r.BrokenFlows, 0))
}

func TestFlowsSurviveFrozenBalancer(t *testing.T) {
	s := startLoadTest(t, 3, 2)
	for _, b := range s.Balancers() {
		s.noError(b.Freeze())
		s.wait(4 * time.Second)
		s.noError(b.Resume())
		break
	}
	s.noError(s.WaitConverged(s.ctx, 3, 2, 1))
	s.wait(time.Second)
	r := s.stopAndCheck()
	qt.Check(t, qt.Equals(r.BrokenFlows, 0))
}

func TestAllBalancersRestartDuringOutage(t *testing.T) {
	s := startLoadTest(t, 2, 2)
	s.Platform.SetDown(true)
	old := s.Balancers()
	for range old {
		_, err := s.AddBalancer()
		s.noError(err)
	}
	for _, b := range old {
		s.noError(b.Kill())
	}
	s.noError(s.WaitConverged(s.ctx, 2, 2, 1))
	s.wait(time.Second)
	r := s.stopAndCheck()
	qt.Check(t, qt.Equals(r.BrokenFlows, 0))
}

func TestDrainedTargetLosesNothing(t *testing.T) {
	s := startLoadTest(t, 2, 3)
	s.noError(s.Drain(s.ctx, s.operator, "bookdesk", "bookdesk-1", true))
	s.wait(3 * time.Second)
	before := s.Host("bookdesk-1").Completed()
	s.wait(2 * time.Second)
	qt.Check(t, qt.Equals(s.Host("bookdesk-1").Completed(), before))
	r := s.stopAndCheck()
	qt.Check(t, qt.Equals(r.BrokenFlows, 0))
}

func TestPlannedStopOfAgentCutsNothing(t *testing.T) {
	s := startLoadTest(t, 2, 3)
	a := s.Agent("bookdesk-2")
	s.noError(a.Stop())
	s.noError(a.Wait(s.ctx))
	s.wait(time.Second)
	r := s.stopAndCheck()
	qt.Check(t, qt.Equals(r.BrokenFlows, 0))
}

func TestKilledAgentDuplicatesNothing(t *testing.T) {
	s := startLoadTest(t, 2, 3)
	s.failedTargets["bookdesk-3"] = true
	s.noError(s.Agent("bookdesk-3").Kill())
	s.wait(5 * time.Second)
	s.stopAndCheck()
}

func TestFrozenAgentIsFenced(t *testing.T) {
	s := startLoadTest(t, 2, 3)
	s.failedTargets["bookdesk-1"] = true
	a := s.Agent("bookdesk-1")
	s.noError(a.Freeze())
	s.noError(s.WaitConverged(s.ctx, 2, 2, 1)) // no new flows are placed on it
	s.wait(3 * time.Second)
	s.noError(a.Resume())
	s.noError(s.WaitConverged(s.ctx, 2, 3, 1)) // it is no longer suspected
	s.wait(time.Second)
	s.stopAndCheck()
}

func TestSilentPathsAreResumed(t *testing.T) {
	s := startLoadTest(t, 2, 2)
	qt.Assert(t, qt.Not(qt.Equals(s.Fabric.BlackholeFlows(), 0)))
	s.wait(8 * time.Second)
	s.stopAndCheck()
}

func TestLossAndReorder(t *testing.T) {
	s := startLoadTest(t, 3, 2)
	s.Fabric.SetFaults(standin.Faults{Loss: 0.03, Duplicate: 0.05, Delay: time.Millisecond, Jitter: 5 * time.Millisecond})
	s.wait(4 * time.Second)
	s.Fabric.SetFaults(standin.Faults{})
	s.wait(time.Second)
	s.stopAndCheck()
}
