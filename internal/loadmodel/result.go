package loadmodel

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"skylarkturn/internal/report"
)

const windowLength = 2 * time.Second

// Result is what clients have seen of a run.
type Result struct {
	Worth        float64       `json:"worth"`         // earned share of the worth of all requests
	WorstWindows float64       `json:"worst_windows"` // the same in the two worst windows, on average
	Classes      []ClassResult `json:"classes"`
	Windows      []Window      `json:"windows"`
}

// ClassResult is the part of a Result that belongs to one class.
type ClassResult struct {
	Name     string  `json:"class"`
	Requests int     `json:"asked"`
	OnTime   int     `json:"on_time"`   // answered within the objective
	Late     int     `json:"late"`      // answered before the deadline
	Refused  int     `json:"refused"`   // ended sooner
	TimedOut int     `json:"timed_out"` // ended by their deadline
	InVain   int     `json:"in_vain"`   // waited for a quarter of the objective or longer and were not offered to a host within it, nor served
	Worth    float64 `json:"worth"`     // earned share of the worth
	P50      float64 `json:"p50_ms"`    // latency percentiles of the answered requests
	P99      float64 `json:"p99_ms"`
}

// Window is the part of a Result that belongs to the requests sent in an interval of
// windowLength.
type Window struct {
	report.Window
	Worth float64 `json:"worth"` // earned share of the worth
}

// Class returns the result of the class with the name.
func (r *Result) Class(name string) ClassResult {
	i := slices.IndexFunc(r.Classes, func(c ClassResult) bool { return c.Name == name })
	if i < 0 {
		return ClassResult{}
	}
	return r.Classes[i]
}

// outcome is how a request has ended.
type outcome uint8

const (
	onTime outcome = iota
	late
	timedOut
	refused
)

func (r *request) latency() time.Duration { return r.endedAt.Sub(r.sentAt) }

func (r *request) outcome() outcome {
	switch {
	case r.served && r.latency() <= time.Duration(r.class.Objective):
		return onTime
	case r.served:
		return late
	case r.timedOut:
		return timedOut
	}
	return refused
}

// waitedInVain reports whether a request that was not served had waited without an offer
// to a host.
func (r *request) waitedInVain() bool {
	objective := time.Duration(r.class.Objective)
	isOffered := !r.offeredAt.IsZero() && r.offeredAt.Sub(r.sentAt) <= objective
	return !r.served && !isOffered && r.latency() >= objective/4
}

// requestSet summarizes requests by their outcomes.
type requestSet struct {
	counts       [refused + 1]int
	earned, owed float64
	latencies    []float64 // of answered requests, in milliseconds
}

func (s *requestSet) add(r *request) {
	o := r.outcome()
	s.counts[o]++
	s.owed += r.class.Worth
	switch o {
	case onTime:
		s.earned += r.class.Worth
	case late:
		s.earned += r.class.LateWorth
	}
	if r.served {
		s.latencies = append(s.latencies, float64(r.latency())/float64(time.Millisecond))
	}
}

// worth returns the earned share of the worth.
func (s *requestSet) worth() float64 {
	if s.owed == 0 {
		return 1
	}
	return s.earned / s.owed
}

// result summarizes the requests of a run that has ended.
func (m *model) result() *Result {
	var all requestSet
	classes := make(map[*Class]*requestSet)
	windows := make([]requestSet, int((time.Duration(m.Length)+windowLength-1)/windowLength))
	inVain := make(map[*Class]int)
	for i := range m.Classes {
		classes[&m.Classes[i]] = new(requestSet)
	}
	for _, r := range m.requests {
		all.add(r)
		classes[r.class].add(r)
		windows[int(r.sentAt.Sub(m.started)/windowLength)].add(r)
		if r.waitedInVain() {
			inVain[r.class]++
		}
	}
	res := &Result{Worth: all.worth()}
	for i := range m.Classes {
		c := &m.Classes[i]
		res.Classes = append(res.Classes, classes[c].class(c.Name, inVain[c]))
	}
	for i := range windows {
		res.Windows = append(res.Windows, windows[i].window(time.Duration(i)*windowLength))
	}
	res.WorstWindows = worstWindows(res.Windows)
	return res
}

func (s *requestSet) class(name string, inVain int) ClassResult {
	n := &s.counts
	return ClassResult{
		Name: name, Requests: n[onTime] + n[late] + n[timedOut] + n[refused],
		OnTime: n[onTime], Late: n[late], Refused: n[refused], TimedOut: n[timedOut], InVain: inVain,
		Worth: s.worth(), P50: report.Quantile(s.latencies, 0.5), P99: report.Quantile(s.latencies, 0.99),
	}
}

func (s *requestSet) window(from time.Duration) Window {
	n := &s.counts
	w := report.Window{
		From: from.Seconds(), Requests: n[onTime] + n[late] + n[timedOut] + n[refused],
		Served: n[onTime], Late: n[late], Refused: n[refused], Failed: n[timedOut],
		P50: report.Quantile(s.latencies, 0.5), P99: report.Quantile(s.latencies, 0.99),
	}
	return Window{w, s.worth()}
}

// worstWindows returns the mean worth of the two worst windows.
func worstWindows(windows []Window) float64 {
	var worths []float64
	for _, w := range windows {
		worths = append(worths, w.Worth)
	}
	slices.Sort(worths)
	worths = worths[:min(2, len(worths))]
	sum := 0.0
	for _, w := range worths {
		sum += w
	}
	return sum / float64(len(worths))
}

// Run returns the result of a run of the scenario in the form of package report.
func (r *Result) Run(name string, s *Scenario) report.Run {
	run := report.Run{Name: name, Metrics: []report.Metric{{Name: "worth", Value: r.Worth}, {Name: "worst windows", Value: r.WorstWindows}}}
	for _, w := range r.Windows {
		run.Windows = append(run.Windows, w.Window)
	}
	for _, b := range s.Bursts {
		run.Events = append(run.Events, report.Event{From: seconds(b.At), To: seconds(b.At + b.Length), Description: b.String()})
	}
	for _, o := range s.Outages {
		run.Events = append(run.Events, report.Event{From: seconds(o.At), To: seconds(o.At + o.Length), Description: o.String()})
	}
	for _, c := range r.Classes {
		run.Metrics = append(run.Metrics, report.Metric{Name: "worth of " + c.Name, Value: c.Worth})
		run.Counts = append(run.Counts,
			report.Metric{Name: c.Name + ": on time", Value: float64(c.OnTime)}, report.Metric{Name: c.Name + ": late", Value: float64(c.Late)},
			report.Metric{Name: c.Name + ": refused", Value: float64(c.Refused)}, report.Metric{Name: c.Name + ": timed out", Value: float64(c.TimedOut)},
			report.Metric{Name: c.Name + ": waited in vain", Value: float64(c.InVain)})
	}
	return run
}

// WriteTable writes the means of the results of a scenario as a table, with the lowest and
// the highest worth.
func WriteTable(w io.Writer, results []*Result) error {
	worths := make([]float64, len(results))
	for i, r := range results {
		worths[i] = r.Worth
	}
	mean := func(value func(*Result) float64) float64 {
		sum := 0.0
		for _, r := range results {
			sum += value(r)
		}
		return sum / float64(len(results))
	}
	fmt.Fprintf(w, "worth %.3f (%.3f to %.3f), worst windows %.3f\n", mean(func(r *Result) float64 { return r.Worth }),
		slices.Min(worths), slices.Max(worths), mean(func(r *Result) float64 { return r.WorstWindows }))
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "CLASS\tREQUESTS\tON TIME\tLATE\tREFUSED\tTIMED OUT\tIN VAIN\tWORTH\tP50 MS\tP99 MS\t")
	for i, c := range results[0].Classes {
		column := func(value func(*ClassResult) float64) float64 {
			return mean(func(r *Result) float64 { return value(&r.Classes[i]) })
		}
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%.0f\t%.0f\t\n", c.Name,
			column(func(c *ClassResult) float64 { return float64(c.Requests) }), column(func(c *ClassResult) float64 { return float64(c.OnTime) }),
			column(func(c *ClassResult) float64 { return float64(c.Late) }), column(func(c *ClassResult) float64 { return float64(c.Refused) }),
			column(func(c *ClassResult) float64 { return float64(c.TimedOut) }), column(func(c *ClassResult) float64 { return float64(c.InVain) }),
			column(func(c *ClassResult) float64 { return c.Worth }),
			column(func(c *ClassResult) float64 { return c.P50 }), column(func(c *ClassResult) float64 { return c.P99 }))
	}
	return t.Flush()
}
