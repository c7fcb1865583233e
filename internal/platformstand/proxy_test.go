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

// What a client sees of each harm, on a connection that was open before and on a
// new one, and whether its request arrives.
func TestProxyHarms(t *testing.T) {
	for _, c := range []struct {
		harm              Harm
		open, fresh       bool // answered
		openCame, newCame bool // the request arrives
	}{
		{NoHarm, true, true, true, true},
		{Late, true, true, true, true},
		{ResetConns, false, false, false, false},
		{NoAnswers, false, false, true, true},
		{SilenceAll, false, false, false, false},
		{SilenceOpen, false, true, false, true},
	} {
		t.Run(c.harm.String(), func(t *testing.T) {
			var came atomic.Int32
			srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { came.Add(1) }))
			defer srv.Close()
			p, err := newProxy(srv.Listener.Addr().String(), rand.New(rand.NewPCG(1, 1)))
			qt.Assert(t, qt.IsNil(err))
			defer p.close()
			open, fresh := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
			defer open.CloseIdleConnections()
			defer fresh.CloseIdleConnections()
			qt.Assert(t, qt.IsTrue(answered(t, open, p)))
			p.setFault(c.harm, 1)
			before := came.Load()
			qt.Check(t, qt.Equals(answered(t, open, p), c.open))
			qt.Check(t, qt.Equals(came.Load() > before, c.openCame))
			before = came.Load()
			qt.Check(t, qt.Equals(answered(t, fresh, p), c.fresh))
			qt.Check(t, qt.Equals(came.Load() > before, c.newCame))
			p.setFault(NoHarm, 0)
			again := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			qt.Check(t, qt.IsTrue(answered(t, again, p)))
		})
	}
}

// answerTimeout is longer than a harmed answer takes, and bounds those that never
// come.
const answerTimeout = 1500 * time.Millisecond

// answered sends one request by POST, which the client does not send again.
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
	_ = resp.Body.Close() // read whole
	return true
}
