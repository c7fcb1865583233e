package report

import "slices"

// Run holds the measurements of one run.
type Run struct {
	Name    string   `json:"name"`
	Metrics []Metric `json:"figures"` // of the whole run
	Windows []Window `json:"windows"` // ordered by time
	Events  []Event  `json:"events"`  // disturbances of the system
	Counts  []Metric `json:"counts"`  // requests by outcome, decisions of daemons by cause
}

// Metric is a named value.
type Metric struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Window summarizes the requests that started in one interval of the run.
type Window struct {
	From            float64 `json:"from_seconds"` // since the start of the run
	Requests        int     `json:"asked"`
	Served          int     `json:"served"` // answered within the latency objective
	Late            int     `json:"late"`   // answered after it
	Refused         int     `json:"refused"`
	Failed          int     `json:"failed"`
	P50             float64 `json:"p50_ms"` // latency percentiles
	P99             float64 `json:"p99_ms"`
	BusiestOverMean float64 `json:"busiest_over_mean,omitempty"` // requests of the busiest host divided by the mean of all hosts; 0 if unknown
}

// Event is a fault or a planned operation.
type Event struct {
	From        float64 `json:"from_seconds"` // since the start of the run
	To          float64 `json:"to_seconds"`
	Description string  `json:"what"`
	Planned     bool    `json:"planned"`
}

// Quantile returns the q-quantile of values, or 0 if there are none. It sorts values.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

// share returns n as a fraction of the window's requests, or 1 if there were none.
func (w *Window) share(n int) float64 {
	if w.Requests == 0 {
		return 1
	}
	return float64(n) / float64(w.Requests)
}
