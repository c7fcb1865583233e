package report

// Run is what was measured in one run.
type Run struct {
	Name    string   `json:"name"`
	Figures []Figure `json:"figures"` // of the whole run
	Windows []Window `json:"windows"` // ordered by time
	Events  []Event  `json:"events"`  // what was done to the system
	Counts  []Figure `json:"counts"`  // how requests ended, what daemons decided
}

// Figure is a number with its name.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Window is what happened to the requests that began within some time.
type Window struct {
	From     float64 `json:"from_seconds"` // since the start of the run
	Asked    int     `json:"asked"`
	Served   int     `json:"served"` // answered in time
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	BusiestX float64 `json:"busiest_over_mean,omitempty"` // requests of the busiest host over the mean; 0 is unknown
}

// Event is a disturbance, a fault or planned.
type Event struct {
	From    float64 `json:"from_seconds"` // since the start of the run
	To      float64 `json:"to_seconds"`
	What    string  `json:"what"`
	Planned bool    `json:"planned"`
}

// share returns a part of the window's requests, 1 when there were none.
func (w *Window) share(n int) float64 {
	if w.Asked == 0 {
		return 1
	}
	return float64(n) / float64(w.Asked)
}
