package platformstand

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-quicktest/qt"
)

// TestProxyHarms checks, for each fault, whether a request on a connection opened
// before the fault and one on a new connection are answered, and whether they
// reach the server.
func TestProxyHarms(t *testing.T) {
	for _, c := range []struct {
		fault                     Fault
		openAnswered, newAnswered bool // the client gets a response
		openServed, newServed     bool // the request reaches the server
	}{
		{NoFault, true, true, true, true},
		{Delay, true, true, true, true},
		{ResetConns, false, false, false, false},
		{DropResponses, false, false, true, true},
		{Blackhole, false, false, false, false},
		{BlackholeOpen, false, true, false, true},
	} {
		t.Run(c.fault.String(), func(t *testing.T) {
			var served atomic.Int32
			srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
			defer srv.Close()
			p, err := newProxy(srv.Listener.Addr().String(), rand.New(rand.NewPCG(1, 1)))
			qt.Assert(t, qt.IsNil(err))
			defer p.close()
			open, fresh := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
			defer open.CloseIdleConnections()
			defer fresh.CloseIdleConnections()
			qt.Assert(t, qt.IsTrue(answered(t, open, p)))
			p.setFault(c.fault, 1)
			before := served.Load()
			qt.Check(t, qt.Equals(answered(t, open, p), c.openAnswered))
			qt.Check(t, qt.Equals(served.Load() > before, c.openServed))
			before = served.Load()
			qt.Check(t, qt.Equals(answered(t, fresh, p), c.newAnswered))
			qt.Check(t, qt.Equals(served.Load() > before, c.newServed))
			p.setFault(NoFault, 0)
			afterwards := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			qt.Check(t, qt.IsTrue(answered(t, afterwards, p)))
		})
	}
}

// answerTimeout is longer than a delayed response takes, and bounds the wait for one
// that is dropped.
const answerTimeout = 1500 * time.Millisecond

// answered sends a request and reports whether it is answered. It uses POST because
// http.Client retries a GET on a new connection.
func answered(t *testing.T, c *http.Client, p *proxy) bool {
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.addr()+"/", nil)
	qt.Assert(t, qt.IsNil(err))
	resp, err := c.Do(req)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	qt.Check(t, qt.IsNil(err))
	_ = resp.Body.Close() // the body has been read
	return true
}
