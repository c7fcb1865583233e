package platformstand

import (
	"net/netip"
	"time"

	"skylarkturn/internal/report"
)

const (
	windowLength  = time.Second
	lateThreshold = 500 * time.Millisecond // several times the latency without faults
)

// Windows returns the outcomes and latencies of the requests sent since a time, one
// window per second.
func (c *Checker) Windows(start time.Time) []report.Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	var windows []report.Window
	latencies := make(map[int][]float64) // in ms, of the requests answered, by window
	windowAt := func(t time.Time) int {
		i := int(t.Sub(start) / windowLength)
		for len(windows) <= i {
			windows = append(windows, report.Window{From: (time.Duration(len(windows)) * windowLength).Seconds()})
		}
		return i
	}
	for _, e := range c.results {
		if e.started.Before(start) {
			continue
		}
		i := windowAt(e.started)
		w := &windows[i]
		w.Requests++
		switch {
		case !e.ok:
			w.Failed++
		case e.ended.Sub(e.started) > lateThreshold:
			w.Late++
		default:
			w.Served++
		}
		if e.ok {
			latencies[i] = append(latencies[i], float64(e.ended.Sub(e.started))/float64(time.Millisecond))
		}
	}
	for i := range windows {
		windows[i].P50, windows[i].P99 = report.Quantile(latencies[i], 0.5), report.Quantile(latencies[i], 0.99)
		windows[i].BusiestOverMean = c.busiestOverMean(start.Add(time.Duration(i) * windowLength))
	}
	return windows
}

// busiestOverMean returns the executions at the busiest host over the mean of the
// hosts with any, in the window that begins at a time; called with mu held.
func (c *Checker) busiestOverMean(from time.Time) float64 {
	counts := make(map[netip.Addr]int)
	total, most := 0, 0
	for _, e := range c.executions {
		if e.at.Before(from) || !e.at.Before(from.Add(windowLength)) {
			continue
		}
		total++
		counts[e.host]++
		most = max(most, counts[e.host])
	}
	if total == 0 {
		return 0
	}
	return float64(most) * float64(len(counts)) / float64(total)
}
