package platformstand

import (
	"net/netip"
	"slices"
	"time"

	"skylarkturn/internal/report"
)

const (
	windowLength  = time.Second
	lateThreshold = 500 * time.Millisecond // some times the latency of a calm stand-in
)

// Windows returns what happened to the requests that began since a time, by
// second.
func (r *Record) Windows(began time.Time) []report.Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	var windows []report.Window
	took := make(map[int][]float64) // milliseconds of the requests served in a window
	at := func(t time.Time) int {
		i := int(t.Sub(began) / windowLength)
		for len(windows) <= i {
			windows = append(windows, report.Window{From: (time.Duration(len(windows)) * windowLength).Seconds()})
		}
		return i
	}
	for _, e := range r.results {
		if e.started.Before(began) {
			continue
		}
		i := at(e.started)
		w := &windows[i]
		w.Asked++
		switch {
		case !e.ok:
			w.Failed++
		case e.ended.Sub(e.started) > lateThreshold:
			w.Late++
		default:
			w.Served++
		}
		if e.ok {
			took[i] = append(took[i], float64(e.ended.Sub(e.started))/float64(time.Millisecond))
		}
	}
	for i := range windows {
		windows[i].P50, windows[i].P99 = quantile(took[i], 0.5), quantile(took[i], 0.99)
		windows[i].BusiestX = r.busiestOverMean(began.Add(time.Duration(i) * windowLength))
	}
	return windows
}

// Returns the requests of the busiestOverMean host over the mean of the hosts that ran
// any, in the window that begins at a time; called with mu held.
func (r *Record) busiestOverMean(from time.Time) float64 {
	counts := make(map[netip.Addr]int)
	total, most := 0, 0
	for _, w := range r.executions {
		if w.at.Before(from) || !w.at.Before(from.Add(windowLength)) {
			continue
		}
		total++
		counts[w.host]++
		most = max(most, counts[w.host])
	}
	if total == 0 {
		return 0
	}
	return float64(most) * float64(len(counts)) / float64(total)
}

// Returns the quantile of some values, 0 when there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
