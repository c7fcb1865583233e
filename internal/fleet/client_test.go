package fleet

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/go-quicktest/qt"
)

// startDaemon starts an HTTP server that serves the body of each path. It returns
// the server's address as the metrics address, and the inner address that belongs
// to it, whose port is one lower.
func startDaemon(t *testing.T, paths map[string]string) (ops, inner string) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, ok := paths[r.URL.Path]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(srv.Close)
	a := srv.Listener.Addr().(*net.TCPAddr).AddrPort()
	return a.String(), netip.AddrPortFrom(a.Addr(), a.Port()-1).String()
}

func TestFlowCollectsDecisionsOfAllDaemons(t *testing.T) {
	_, agent := startDaemon(t, map[string]string{FlowsPath: `{"time":"2026-12-03T10:00:01Z","outcome":"own"}` + "\n"})
	_, broken := startDaemon(t, map[string]string{FlowsPath: "what?"})
	paths := map[string]string{FlowsPath: `{"time":"2026-12-03T10:00:00Z","outcome":"send"}` + "\n" + `{"time":"2026-12-03T10:00:02Z","outcome":"reset"}`}
	at, inner := startDaemon(t, paths)
	paths[MembersPath] = `[{"name":"b1","role":"balancer","inner":"` + inner + `","state":"ready"},
		{"name":"a1","role":"agent","inner":"` + agent + `","state":"ready"},
		{"name":"a2","role":"agent","inner":"` + broken + `","state":"suspect"},
		{"name":"a3","role":"agent","inner":"127.0.0.1:1","state":"gone"}]`
	decisions, missing, err := NewClient("127.0.0.1:1", at).FlowDecisions(t.Context(), "c>r")
	qt.Assert(t, qt.IsNil(err))
	var seen []string
	for _, d := range decisions {
		seen = append(seen, d.Daemon+" "+d.Outcome)
	}
	qt.Check(t, qt.DeepEquals(seen, []string{"b1 send", "a1 own", "b1 reset"}))
	qt.Assert(t, qt.HasLen(missing, 1))
	qt.Check(t, qt.Equals(missing[0].Member.Name, "a2"))
}

func TestMembersReportsThatNoBalancerResponds(t *testing.T) {
	for _, at := range [][]string{nil, {"127.0.0.1:1"}} {
		_, err := NewClient(at...).Members(t.Context())
		var e *Error
		qt.Assert(t, qt.IsTrue(errors.As(err, &e)))
		qt.Check(t, qt.Equals(e.Kind, KindUnavailable))
	}
}
