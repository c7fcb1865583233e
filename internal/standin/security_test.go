package standin_test

import (
	"context"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/caller"
	"skylarkturn/internal/flow"
	"skylarkturn/internal/standin"
)

// metric returns the value of a daemon's metric as text, empty if it has none.
func metric(t *testing.T, m *standin.Daemon, name string) string {
	t.Helper()
	resp, err := http.Get("http://" + m.OpsAddr + "/metrics")
	qt.Assert(t, qt.IsNil(err))
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	qt.Assert(t, qt.IsNil(err))
	for line := range strings.Lines(string(b)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// TestReusedAddressGetsNothingOfOldFlows checks that datagrams of old flows do not
// reach a host of another service. An agent of that service starts at the address of a
// killed agent.
func TestReusedAddressGetsNothingOfOldFlows(t *testing.T) {
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
	books := bookdesk
	books.Hosts = 2
	docs := standin.ServiceOptions{Tenant: "lensbridge", Name: "kitdocs", Number: 18, Hosts: 1, Slots: 4, RequestTime: time.Millisecond}
	d := deploy(t, standin.Options{Balancers: 2, Services: []standin.ServiceOptions{books, docs}})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	o, err := d.Operator()
	qt.Assert(t, qt.IsNil(err))
	qt.Assert(t, qt.IsNil(d.DeclareAll(ctx, o)))
	l := standin.NewLoadGenerator(d, standin.LoadOptions{
		Service: books, Sessions: 12, Path: "/holds", RequestInterval: 20 * time.Millisecond, Timeout: 10 * time.Second,
		Caller: []caller.Option{caller.WithHeartbeatInterval(500 * time.Millisecond), caller.WithHeartbeatTimeout(2 * time.Second), caller.WithRetryBudget(1000)},
	})
	run, end := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- l.Run(run) }()
	for l.OpenSessions() < 12 {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)

	old := d.Agent("bookdesk-1")
	qt.Assert(t, qt.IsNil(old.Kill()))
	newAgent, err := d.StartAgentAt(old.InnerAddr, docs, "kitdocs-1", "az1")
	qt.Assert(t, qt.IsNil(err))
	time.Sleep(4 * time.Second)
	end()
	qt.Assert(t, qt.IsNil(<-ended))
	r := l.Report(map[string]bool{"bookdesk-1": true}, func(string) bool { return true })
	t.Logf("%+v; datagrams refused by the new agent: %s", r, metric(t, newAgent, "skylark_foreign_datagrams_total"))
	qt.Check(t, qt.HasLen(r.BrokenPromises(), 0))
	qt.Check(t, qt.Equals(d.Host("kitdocs-1").Completed(), int64(0)))
}

// TestCredentialsAreReplacedUnderLoad checks that flow keys can be added and
// activated, and certificates replaced, without a restart and without breaking a flow.
func TestCredentialsAreReplacedUnderLoad(t *testing.T) {
	s := startLoadTest(t, 2, 2)
	s.noError(s.Authority.WriteSecrets(1, 2))
	s.wait(3 * time.Second)
	s.noError(s.Authority.WriteSecrets(2, 2))
	s.noError(s.Authority.Issue("caller", pkix.Name{CommonName: standin.ServerName}, []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}))
	s.wait(3 * time.Second)
	session, err := s.Dial(s.ctx, "bookdesk", fastTimeouts...)
	s.noError(err)
	_, err = session.Do(s.ctx, caller.Request{Path: "/sheets/lens"})
	s.noError(err)
	s.noError(session.Close())
	for _, b := range s.Balancers() {
		qt.Check(t, qt.Equals(metric(t, b, `skylark_datagrams_inward_total{verdict="drop_foreign"}`), "0"))
		qt.Check(t, qt.Equals(metric(t, b, "skylark_credential_reload_errors_total"), "0"))
	}
	r := s.stopAndCheck()
	qt.Check(t, qt.Equals(r.BrokenFlows, 0))
}

// TestForgedFramesAreDropped checks that frames and control messages of a sender
// without the secret are dropped and counted.
func TestForgedFramesAreDropped(t *testing.T) {
	s := startLoadTest(t, 1, 1)
	sealer, err := flow.NewSealer([]byte("not the secret of this system"))
	s.noError(err)
	var balancer *standin.Daemon
	for _, b := range s.Balancers() {
		balancer = b
	}
	agent := s.Agent("bookdesk-1")
	random := rand.New(rand.NewPCG(1, 1))
	const each = 50
	for _, m := range []*standin.Daemon{balancer, agent} {
		conn, err := net.Dial("udp", m.InnerAddr)
		s.noError(err)
		for range each {
			b := make([]byte, flow.FrameLen+100)
			for i := range b {
				b[i] = byte(random.Uint32())
			}
			b[0] = 0xc1 // the first byte of a control message
			_, err = conn.Write(b)
			s.noError(err)
			sealer.Seal(b, flow.Frame{Direction: flow.Outward, Service: 17, Caller: netip.MustParseAddrPort("127.0.0.1:9"), Via: netip.MustParseAddrPort(m.InnerAddr)})
			_, err = conn.Write(b)
			s.noError(err)
		}
		s.noError(conn.Close())
		s.waitFor("all forged datagrams are counted", func() bool {
			return metric(t, m, "skylark_forged_total") == fmt.Sprint(2*each)
		})
	}
	s.stopAndCheck()
}

// TestMetricsNameTenantAndClass checks that request metrics carry the labels of tenant
// and class.
func TestMetricsNameTenantAndClass(t *testing.T) {
	s := startLoadTest(t, 1, 1)
	a := s.Agent("bookdesk-1")
	for _, class := range []string{"holds", "sheets"} {
		name := fmt.Sprintf(`skylark_request_seconds_count{tenant="lensbridge",service="bookdesk",class=%q,result="answered"}`, class)
		s.waitFor("requests of class "+class+" are counted", func() bool { return metric(t, a, name) != "" })
	}
	s.stopAndCheck()
}
