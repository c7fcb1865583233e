package standin_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/admin"
	"skylarkturn/internal/credential"
	"skylarkturn/internal/peer"
	"skylarkturn/internal/plan"
	"skylarkturn/internal/service"
	"skylarkturn/internal/standin"
)

// operatorTest is a deployment with a declared service, and a client of its
// administration API.
type operatorTest struct {
	*standin.Deployment
	t         *testing.T
	ctx       context.Context
	operator  *admin.Client
	balancers []*standin.Daemon
}

func newOperatorTest(t *testing.T, balancers, hosts int) *operatorTest {
	t.Helper()
	deployment, ctx, operator, _ := deployService(t, balancers, hosts, time.Minute)
	d := &operatorTest{Deployment: deployment, t: t, ctx: ctx, operator: operator}
	for _, b := range d.Balancers() {
		d.balancers = append(d.balancers, b)
	}
	return d
}

func (d *operatorTest) client(i int) *admin.Client {
	return d.operator.ForServer(d.balancers[i].AdminAddr)
}

func (d *operatorTest) drainDraft(target string) service.Service {
	s, err := d.client(0).Service(d.ctx, "bookdesk")
	qt.Assert(d.t, qt.IsNil(err))
	s.Intent.Rules = []service.Rule{{Target: target, Drain: true}}
	return s
}

// waitInForce waits until every balancer reports the generation as in force.
func (d *operatorTest) waitInForce(generation uint32) {
	d.t.Helper()
	for _, b := range d.balancers {
		for {
			s, err := d.operator.ForServer(b.AdminAddr).Service(d.ctx, "bookdesk")
			if err == nil && s.Generation == generation {
				break
			}
			if d.ctx.Err() != nil {
				d.t.Fatalf("generation %d is not in force on %s: generation %d, error %v", generation, b.Name, s.Generation, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func problemOf(t *testing.T, err error) *admin.Problem {
	t.Helper()
	var p *admin.Problem
	qt.Assert(t, qt.IsTrue(errors.As(err, &p)), qt.Commentf("%v", err))
	return p
}

// TestRacingOperators checks that of two plans based on the same generation only one
// can be confirmed, and that the other is refused with the name of the operator who
// confirmed first.
func TestRacingOperators(t *testing.T) {
	d := newOperatorTest(t, 2, 2)
	for round := range 5 {
		drafts := []service.Service{d.drainDraft("bookdesk-1"), d.drainDraft("bookdesk-2")}
		drafts[0].Intent.Rules[0].Share = new(float64)
		plans := make([]*plan.Plan, len(drafts))
		for i, draft := range drafts {
			var err error
			plans[i], err = d.client(i).Plan(d.ctx, draft)
			qt.Assert(t, qt.IsNil(err))
		}
		errs := make(chan error, len(plans))
		for i, p := range plans {
			go func() {
				_, err := d.client(i).Confirm(d.ctx, p)
				errs <- err
			}()
		}
		first, second := <-errs, <-errs
		if first == nil {
			first, second = second, first
		}
		qt.Assert(t, qt.IsNil(second))
		p := problemOf(t, first)
		qt.Check(t, qt.Equals(p.Status, http.StatusConflict))
		qt.Check(t, qt.StringContains(p.Detail, "by operator"))
		d.waitInForce(uint32(round + 2))
	}
}

// TestConfirmWhoseAnswerIsLost checks that a confirmation succeeds although the
// platform's reply to the write was lost, and that repeating it changes nothing.
func TestConfirmWhoseAnswerIsLost(t *testing.T) {
	d := newOperatorTest(t, 2, 2)
	p, err := d.client(0).Plan(d.ctx, d.drainDraft("bookdesk-1"))
	qt.Assert(t, qt.IsNil(err))
	d.Platform.DropWriteReplies(1)
	c, err := d.client(0).Confirm(d.ctx, p)
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.Equals(c.Generation, uint32(2)))
	c, err = d.client(1).Confirm(d.ctx, p)
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.Equals(c.Generation, uint32(2)))
	qt.Check(t, qt.IsTrue(c.Repeated))
	d.waitInForce(2)
}

// TestPlatformOutage checks that during an outage plans can be made but not
// confirmed, and that the same plan can be confirmed afterwards.
func TestPlatformOutage(t *testing.T) {
	d := newOperatorTest(t, 2, 2)
	d.Platform.SetDown(true)
	p, err := d.client(0).Plan(d.ctx, d.drainDraft("bookdesk-1"))
	qt.Assert(t, qt.IsNil(err))
	_, err = d.client(0).Confirm(d.ctx, p)
	refused := problemOf(t, err)
	qt.Check(t, qt.Equals(refused.Status, http.StatusServiceUnavailable))
	qt.Check(t, qt.StringContains(refused.Detail, "nothing was changed"))
	d.Platform.SetDown(false)
	_, err = d.client(1).Confirm(d.ctx, p)
	qt.Assert(t, qt.IsNil(err))
	d.waitInForce(2)
}

// TestFrozenBalancerDoesNotRevert checks that a balancer which was frozen during two
// changes doesn't bring back the old configuration, but applies the newest.
func TestFrozenBalancerDoesNotRevert(t *testing.T) {
	d := newOperatorTest(t, 3, 2)
	frozen := d.balancers[2]
	qt.Assert(t, qt.IsNil(frozen.Freeze()))
	for generation, target := range []string{"bookdesk-1", "bookdesk-2"} {
		p, err := d.client(0).Plan(d.ctx, d.drainDraft(target))
		qt.Assert(t, qt.IsNil(err))
		c, err := d.client(generation).Confirm(d.ctx, p)
		qt.Assert(t, qt.IsNil(err))
		qt.Assert(t, qt.Equals(c.Generation, uint32(generation+2)))
	}
	s, err := d.client(0).Status(d.ctx, "bookdesk")
	qt.Assert(t, qt.IsNil(err))
	for _, b := range s.Balancers {
		qt.Check(t, qt.Equals(b.InForce, b.Balancer != frozen.Name), qt.Commentf("%+v", b))
	}
	qt.Assert(t, qt.IsNil(frozen.Resume()))
	d.waitInForce(3)
}

// TestTenantsAreIsolated checks that operators of another tenant can neither read nor
// change a service, and that viewers can only read it.
func TestTenantsAreIsolated(t *testing.T) {
	d := newOperatorTest(t, 1, 1)
	qt.Assert(t, qt.IsNil(d.Authority.IssueOperator("foreign", "refill-collective")))
	qt.Assert(t, qt.IsNil(d.Authority.IssueOperator("viewer", "lensbridge", "viewer")))
	draft := d.drainDraft("bookdesk-1")

	foreign, err := d.Authority.OperatorClient("foreign")
	qt.Assert(t, qt.IsNil(err))
	foreign = foreign.ForServer(d.balancers[0].AdminAddr)
	_, err = foreign.Service(d.ctx, "bookdesk")
	qt.Check(t, qt.Equals(problemOf(t, err).Status, http.StatusNotFound))
	_, err = foreign.Plan(d.ctx, draft)
	qt.Check(t, qt.Equals(problemOf(t, err).Status, http.StatusForbidden))

	viewer, err := d.Authority.OperatorClient("viewer")
	qt.Assert(t, qt.IsNil(err))
	viewer = viewer.ForServer(d.balancers[0].AdminAddr)
	_, err = viewer.Service(d.ctx, "bookdesk")
	qt.Check(t, qt.IsNil(err))
	_, err = viewer.Plan(d.ctx, draft)
	qt.Check(t, qt.Equals(problemOf(t, err).Status, http.StatusForbidden))
}

// TestOperatorsCannotCallPeerAPI checks that operators cannot use the API between
// daemons. Their certificates are signed by the same authority, so the signature alone
// does not exclude them.
func TestOperatorsCannotCallPeerAPI(t *testing.T) {
	d := newOperatorTest(t, 1, 1)
	inner, err := netip.ParseAddrPort(d.balancers[0].InnerAddr)
	qt.Assert(t, qt.IsNil(err))
	files := d.Authority.Files()
	for _, c := range []struct {
		cert    string
		allowed bool
	}{{"daemon", true}, {"operator", false}} {
		files.Cert = strings.Replace(files.Cert, filepath.Base(files.Cert), c.cert+".pem", 1)
		files.Key = strings.Replace(files.Key, filepath.Base(files.Key), c.cert+".key", 1)
		store, err := credential.Open(files)
		qt.Assert(t, qt.IsNil(err))
		client := peer.NewClient(store)
		_, err = client.Members(d.ctx, inner)
		qt.Check(t, qt.Equals(err == nil, c.allowed), qt.Commentf("%v", err))
		client.Close()
	}
}

func TestAlteredPlanIsRefused(t *testing.T) {
	d := newOperatorTest(t, 1, 2)
	p, err := d.client(0).Plan(d.ctx, d.drainDraft("bookdesk-1"))
	qt.Assert(t, qt.IsNil(err))
	p.Draft.Intent.Rules[0].Target = "bookdesk-2"
	_, err = d.client(0).Confirm(d.ctx, p)
	qt.Check(t, qt.Equals(problemOf(t, err).Title, "forged"))
}

func TestIntentWithoutTargetsIsRefused(t *testing.T) {
	d := newOperatorTest(t, 1, 1)
	_, err := d.client(0).Plan(d.ctx, d.drainDraft("bookdesk-1"))
	qt.Check(t, qt.Equals(problemOf(t, err).Title, "capacity"))
	_, err = d.client(0).Plan(d.ctx, d.drainDraft("nobody"))
	qt.Check(t, qt.StringContains(problemOf(t, err).Detail, "intent.rules[0]"))
}

// TestNewBalancerReportsUnavailableUntilConfigured checks that a balancer that has not
// loaded the configuration yet reports itself unavailable. Reporting a service as not
// declared made a drain in the demo fail.
func TestNewBalancerReportsUnavailableUntilConfigured(t *testing.T) {
	d := newOperatorTest(t, 2, 1)
	d.Platform.SetDown(true)
	for range 3 {
		b, err := d.AddBalancer()
		qt.Assert(t, qt.IsNil(err))
		for {
			_, err := d.operator.ForServer(b.AdminAddr).Service(d.ctx, "bookdesk")
			if err == nil {
				break
			}
			qt.Assert(t, qt.Equals(problemOf(t, err).Status, http.StatusServiceUnavailable))
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestNewBalancerDoesNotDenyTargets checks that a balancer which has just started plans
// only once it knows all targets: plans for each of them succeed.
func TestNewBalancerDoesNotDenyTargets(t *testing.T) {
	const targets = 8
	d := newOperatorTest(t, 2, targets)
	for range 2 {
		b, err := d.AddBalancer()
		qt.Assert(t, qt.IsNil(err))
		client := d.operator.ForServer(b.AdminAddr)
		for i := range targets {
			draft := d.drainDraft(fmt.Sprintf("bookdesk-%d", i+1))
			p, err := client.Plan(d.ctx, draft)
			qt.Assert(t, qt.IsNil(err))
			qt.Check(t, qt.HasLen(p.Shares, targets))
		}
	}
}

// TestSilentTargetCanBeDrained checks that a target whose heartbeats are overdue still
// exists for a plan, which warns of it: the target may be slow, or drained because it is.
func TestSilentTargetCanBeDrained(t *testing.T) {
	d := newOperatorTest(t, 2, 3)
	agent := d.Agent("bookdesk-1")
	qt.Assert(t, qt.IsNil(agent.Freeze()))
	defer func() { qt.Check(t, qt.IsNil(agent.Resume())) }()
	for isSuspect := false; !isSuspect; {
		members, err := d.client(0).Members(d.ctx)
		qt.Assert(t, qt.IsNil(err))
		isSuspect = slices.ContainsFunc(members, func(m admin.Member) bool { return m.Name == "bookdesk-1" && m.State == "suspect" })
		time.Sleep(20 * time.Millisecond)
	}
	p, err := d.client(0).Plan(d.ctx, d.drainDraft("bookdesk-1"))
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.HasLen(p.Shares, 3))
	qt.Check(t, qt.IsTrue(slices.ContainsFunc(p.Warnings, func(w string) bool { return strings.Contains(w, "bookdesk-1") })), qt.Commentf("%q", p.Warnings))
}
