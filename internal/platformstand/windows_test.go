package platformstand

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/report"
)

func TestWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewChecker(DefaultBounds)
		hosts := []*Host{{vm: netip.MustParseAddr("127.1.0.2")}, {vm: netip.MustParseAddr("127.1.0.3")}}
		c.requestStarted("before")
		time.Sleep(time.Second)
		start := time.Now()
		request := func(n int, latency time.Duration, ok bool) {
			id := fmt.Sprint(start, n, latency)
			c.requestStarted(id)
			if ok {
				c.requestExecuted(id, hosts[n%2], true)
			}
			time.Sleep(latency)
			c.requestEnded(id, ok, "reset")
		}
		c.requestEnded("before", false, "reset")
		request(0, 100*time.Millisecond, true)
		request(1, 200*time.Millisecond, true)
		request(2, 600*time.Millisecond, true)
		time.Sleep(200 * time.Millisecond)
		request(3, 50*time.Millisecond, false)
		qt.Check(t, qt.DeepEquals(c.Windows(start), []report.Window{
			{From: 0, Requests: 3, Served: 2, Late: 1, P50: 200, P99: 200, BusiestOverMean: 4.0 / 3},
			{From: 1, Requests: 1, Failed: 1},
		}))
	})
}
