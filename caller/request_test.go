package caller

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/session"
)

func TestCheckResponse(t *testing.T) {
	for _, c := range []struct {
		name   string
		length int64
		body   string
		key    string // in the response
		want   string
	}{
		{"complete", 5, "whole", "k", ""},
		{"of unknown length", -1, "whole", "k", ""},
		{"truncated", 9, "whole", "k", "response body has 5 bytes, want 9"},
		{"too long", 3, "whole", "k", "response body has 5 bytes, want 3"},
		{"to another request", 5, "whole", "other", `response is for request key "other", want "k"`},
		{"to no request", 5, "whole", "", `response is for request key "", want "k"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp := &http.Response{ContentLength: c.length, Header: http.Header{}, Request: &http.Request{Method: http.MethodPost}}
			resp.Header.Set(session.HeaderKey, c.key)
			err := checkResponse(resp, []byte(c.body), "k")
			if c.want == "" {
				qt.Check(t, qt.IsNil(err))
			} else {
				qt.Check(t, qt.ErrorMatches(err, c.want))
			}
		})
	}
}

func TestAttemptResultReadHeaders(t *testing.T) {
	h := http.Header{}
	h.Set(session.HeaderOutcome, "not_run")
	h.Set("Retry-After", "3")
	var r attemptResult
	r.readHeaders(h)
	qt.Check(t, qt.Equals(r.outcome, NotRun))
	qt.Check(t, qt.Equals(r.retryAfter, 3*time.Second))
	qt.Check(t, qt.IsFalse(r.final))

	h.Set(session.HeaderOutcome, "unknown")
	h.Set(session.HeaderFinal, "1")
	r = attemptResult{}
	r.readHeaders(h)
	qt.Check(t, qt.Equals(r.outcome, Unknown))
	qt.Check(t, qt.IsTrue(r.final))

	// Retry-After in a host's own response is not taken for the agent's.
	r = attemptResult{}
	r.readHeaders(http.Header{"Retry-After": {"9"}})
	qt.Check(t, qt.Equals(r.outcome, Kind("")))
	qt.Check(t, qt.Equals(r.retryAfter, time.Duration(0)))
}
