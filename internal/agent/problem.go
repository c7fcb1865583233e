package agent

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"skylarkturn/internal/request"
	"skylarkturn/internal/session"
)

// problem is an error response of the agent itself, a problem detail of RFC 9457.
type problem struct {
	status     int
	title      string
	detail     string
	outcome    request.Outcome
	retryAfter time.Duration
	final      bool // a retry can't change the outcome
	move       bool // the caller should open a new session
}

// problemBody is the JSON encoding of a problem.
type problemBody struct {
	Type    string          `json:"type"`
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail"`
	Outcome request.Outcome `json:"outcome"`
}

// writeProblem writes p as the response, together with a new binding.
func (a *Agent) writeProblem(x *exchange, p problem) {
	h := x.w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(session.HeaderOutcome, string(p.outcome))
	h.Set(session.HeaderBinding, a.newBinding())
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	if p.final {
		h.Set(session.HeaderFinal, "1")
	}
	if p.move {
		h.Set(session.HeaderMove, "1")
	}
	a.counters.observeRequest(x.class.Name, p.title, time.Since(x.started))
	x.w.WriteHeader(p.status)
	_ = json.NewEncoder(x.w).Encode(problemBody{"urn:skylarkturn:problem:" + p.title, p.title, p.status, p.detail, p.outcome}) // the caller disconnected
}
