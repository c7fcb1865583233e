package trace

import (
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/packet"
)

var epoch = time.Unix(1_800_000_000, 0)

func flow(n uint16) packet.Key {
	return packet.Key{Client: packet.Endpoint{IP: 0x64400001, Port: n}, Route: packet.Endpoint{IP: 0xc6120001, Port: 443}}
}

func TestRingKeepsTheNewest(t *testing.T) {
	r := NewRing(3)
	for i, n := range []uint16{1, 2, 1, 1, 2} {
		r.Add(Decision{At: epoch.Add(time.Duration(i) * time.Second), Flow: flow(n), Outcome: "send"})
	}
	found := r.Find(flow(1).String())
	qt.Assert(t, qt.HasLen(found, 2))
	qt.Check(t, qt.Equals(found[0].At, epoch.Add(2*time.Second)))
	qt.Check(t, qt.Equals(found[1].At, epoch.Add(3*time.Second)))
	qt.Check(t, qt.HasLen(r.Find(flow(9).String()), 0))
}

func TestRingServesOneFlow(t *testing.T) {
	r := NewRing(8)
	r.Add(Decision{At: epoch, Flow: flow(1), Outcome: "reset", Cause: "lost", Version: 7})
	r.Add(Decision{At: epoch, Flow: flow(2), Outcome: "send", Cause: "placed", Peer: "10.0.0.1:7400"})
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest("GET", "/debug/flows?flow="+url.QueryEscape(flow(1).String()), nil))
	qt.Check(t, qt.Equals(strings.Count(w.Body.String(), "\n"), 1))
	qt.Check(t, qt.StringContains(w.Body.String(), `"outcome":"reset","cause":"lost","version":7`))
	w = httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest("GET", "/debug/flows", nil))
	qt.Check(t, qt.Equals(w.Code, 400))
}

// TestRateLimiterHoldsUnderABurst checks that the log stays bounded when thousands of
// flows are reset within a second, as after a power loss.
func TestRateLimiterHoldsUnderABurst(t *testing.T) {
	l := NewRateLimiter(100)
	allowed := 0
	for i := range 5000 {
		if l.Allow(epoch.Add(time.Duration(i) * 200 * time.Microsecond)) {
			allowed++
		}
	}
	qt.Check(t, qt.Equals(allowed, 100))
	qt.Check(t, qt.Equals(l.Dropped(), 4900))
	qt.Check(t, qt.IsTrue(l.Allow(epoch.Add(time.Second))))
}
