package epoch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/script"
)

// TestScripts runs the scripts in testdata on a tracker.
func TestScripts(t *testing.T) {
	names := map[Verdict]string{Current: "current", Advanced: "advanced", Outdated: "outdated"}
	script.Run(t, "testdata/*.txt", func(t *testing.T) func(script.Command) []string {
		var tracker Tracker
		return func(c script.Command) []string {
			switch c.Name {
			case "answer": // answer epoch=N
				v := tracker.Observe(uint64(c.Int(t, "epoch")))
				return []string{fmt.Sprintf("%s, newest %d", names[v], tracker.Newest())}
			case "rewrites": // rewrites FLEET: prints how many of a fleet's writes fall into the busiest second
				return []string{busiestSecond(c.Int(t, "fleet"))}
			}
			return script.UnknownCommand(t, c)
		}
	})
}

// busiestSecond returns the writes in the busiest second after a new epoch of a fleet
// whose places are spread evenly, and the time of the last one.
func busiestSecond(fleet int) string {
	perSecond := make(map[time.Duration]int)
	var last time.Duration
	most := 0
	for i := range fleet {
		d := RewriteDelay(fleet, float64(i)/float64(fleet))
		perSecond[d.Truncate(time.Second)]++
		most, last = max(most, perSecond[d.Truncate(time.Second)]), max(last, d)
	}
	return fmt.Sprintf("at most %d a second, done within %v", most, last.Truncate(time.Second)+time.Second)
}

func TestBoundContextEndsWithItsEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMonitor()
		m.Observe(1)
		ctx, cancel := m.Bind(t.Context())
		defer cancel()
		m.Observe(1)
		synctest.Wait()
		qt.Check(t, qt.IsNil(ctx.Err()))
		m.Observe(2)
		synctest.Wait()
		qt.Check(t, qt.IsNotNil(ctx.Err()))
		next, cancelNext := m.Bind(t.Context())
		defer cancelNext()
		qt.Check(t, qt.Equals(m.Observe(1), Outdated))
		synctest.Wait()
		qt.Check(t, qt.IsNil(next.Err()))
	})
}
