package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-quicktest/qt"
	"github.com/phuslu/log"

	"skylarkturn/internal/plan"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/service"
)

// startingBackend is a balancer that has just replaced another one. It knows the service,
// but of its two targets only the first.
type startingBackend struct{ complete, uncertain bool }

var bookdesk = service.Service{Name: "bookdesk", Tenant: "lensbridge", Number: 17, Addresses: []string{"127.0.0.1:443"}, Generation: 1}

func (b *startingBackend) Name() string                                             { return "balancer-2" }
func (b *startingBackend) CatalogService(string) (service.Service, bool)            { return bookdesk, true }
func (b *startingBackend) CatalogServices() []service.Service                       { return nil }
func (b *startingBackend) ApplyService(service.Service)                             {}
func (b *startingBackend) MembersComplete() bool                                    { return b.complete }
func (b *startingBackend) MembersCertain() bool                                     { return b.complete && !b.uncertain }
func (b *startingBackend) CheckedAt() time.Time                                     { return time.Time{} }
func (b *startingBackend) ExplainID([]byte) (Explanation, error)                    { return Explanation{}, nil }
func (b *startingBackend) InForce(context.Context, uint16, uint32) []BalancerStatus { return nil }
func (b *startingBackend) Members() []roster.Member {
	members := []roster.Member{{Role: roster.Agent, State: roster.Ready, Name: "bookdesk-1", Service: 17}}
	if b.complete {
		members = append(members, roster.Member{Role: roster.Agent, State: roster.Ready, Name: "bookdesk-2", Service: 17})
	}
	return members
}

// requestPlan requests a plan that drains a target and returns the response.
func requestPlan(t *testing.T, b *startingBackend, target string) *http.Response {
	t.Helper()
	draft := bookdesk
	draft.Intent.Rules = []service.Rule{{Target: target, Drain: true}}
	body, err := json.Marshal(draft)
	qt.Assert(t, qt.IsNil(err))
	r := httptest.NewRequest(http.MethodPost, "/v1/plans", bytes.NewReader(body))
	subject := pkix.Name{CommonName: "operator", Organization: []string{systemOrganization}}
	r.TLS = &tls.ConnectionState{PeerCertificates: []*x509.Certificate{{Subject: subject}}}
	w := httptest.NewRecorder()
	New(b, nil, []byte("key"), &log.Logger{Level: log.PanicLevel}).ServeHTTP(w, r)
	return w.Result()
}

// TestStartingBalancerMakesNoPlan checks that a balancer which may not have heard of all
// members says so, in place of reporting that a target does not exist.
func TestStartingBalancerMakesNoPlan(t *testing.T) {
	for _, target := range []string{"bookdesk-1", "bookdesk-2"} {
		resp := requestPlan(t, &startingBackend{}, target)
		var p Problem
		qt.Assert(t, qt.IsNil(json.NewDecoder(resp.Body).Decode(&p)))
		qt.Check(t, qt.Equals(p.Status, http.StatusServiceUnavailable))
		qt.Check(t, qt.Equals(p.Title, KindNotReady))
		qt.Check(t, qt.Equals(resp.Header.Get("Retry-After"), "1"))
	}
}

// TestUncertainBalancerDoesNotDenyTargets guards against a balancer that counts as complete
// by its age alone and reports that a target does not exist.
func TestUncertainBalancerDoesNotDenyTargets(t *testing.T) {
	for target, want := range map[string]int{"bookdesk-2": http.StatusOK, "bookdesk-3": http.StatusServiceUnavailable} {
		resp := requestPlan(t, &startingBackend{complete: true, uncertain: true}, target)
		qt.Check(t, qt.Equals(resp.StatusCode, want), qt.Commentf("target %s", target))
	}
	resp := requestPlan(t, &startingBackend{complete: true}, "bookdesk-3")
	qt.Check(t, qt.Equals(resp.StatusCode, http.StatusUnprocessableEntity))
}

// TestPlanNamesItsView checks that a plan says which members it rests on.
func TestPlanNamesItsView(t *testing.T) {
	resp := requestPlan(t, &startingBackend{complete: true}, "bookdesk-2")
	var p plan.Plan
	qt.Assert(t, qt.IsNil(json.NewDecoder(resp.Body).Decode(&p)))
	qt.Check(t, qt.Equals(p.View, plan.View{Balancer: "balancer-2", Targets: 2, Complete: true}))
	qt.Check(t, qt.IsNil(p.Verify([]byte("key"))))
}

// TestClientWaitsForStartingBalancer checks that the client repeats a call while the only
// balancer is not ready, and gives up with its context.
func TestClientWaitsForStartingBalancer(t *testing.T) {
	ready := make(chan bool, 1)
	ready <- false
	srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		isReady := <-ready
		if !isReady {
			writeProblem(w, &Error{"make plan", KindNotReady, http.ErrNotSupported})
			ready <- true
			return
		}
		ready <- true
		_ = json.NewEncoder(w).Encode(plan.Plan{ID: "p1"})
	}))
	defer srv.Close()
	c := &Client{[]string{strings.TrimPrefix(srv.URL, "https://")}, srv.Client()}
	p, err := c.Plan(t.Context(), bookdesk)
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.Equals(p.ID, "p1"))

	<-ready
	ready <- false
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond) // shorter than the delay that the balancer asks for
	defer cancel()
	_, err = c.Plan(ctx, bookdesk)
	problem, ok := err.(*Problem)
	qt.Assert(t, qt.IsTrue(ok), qt.Commentf("%v", err))
	qt.Check(t, qt.Equals(problem.Title, KindNotReady))
}
