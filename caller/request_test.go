package caller

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/session"
)

func TestOnlyTheWholeAnswerToTheRequestCounts(t *testing.T) {
	for _, c := range []struct {
		name   string
		length int64
		body   string
		key    string // that the answer repeats
		want   string
	}{
		{"whole", 5, "whole", "k", ""},
		{"of unknown length", -1, "whole", "k", ""},
		{"truncated", 9, "whole", "k", "answer has 5 bytes of 9"},
		{"too long", 3, "whole", "k", "answer has 5 bytes of 3"},
		{"to another request", 5, "whole", "other", `answer is to request "other", not "k"`},
		{"to no request", 5, "whole", "", `answer is to request "", not "k"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp := &http.Response{ContentLength: c.length, Header: http.Header{}, Request: &http.Request{Method: http.MethodPost}}
			resp.Header.Set(session.HeaderKey, c.key)
			err := whole(resp, []byte(c.body), "k")
			if c.want == "" {
				qt.Check(t, qt.IsNil(err))
			} else {
				qt.Check(t, qt.ErrorMatches(err, c.want))
			}
		})
	}
}

func TestResultOfAgent(t *testing.T) {
	h := http.Header{}
	h.Set(session.HeaderOutcome, "not_run")
	h.Set("Retry-After", "3")
	var r result
	r.read(h)
	qt.Check(t, qt.Equals(r.outcome, NotRun))
	qt.Check(t, qt.Equals(r.retryAfter, 3*time.Second))
	qt.Check(t, qt.IsFalse(r.final))

	h.Set(session.HeaderOutcome, "unknown")
	h.Set(session.HeaderFinal, "1")
	r = result{}
	r.read(h)
	qt.Check(t, qt.Equals(r.outcome, Unknown))
	qt.Check(t, qt.IsTrue(r.final))

	// The headers of a host's own answer are not taken for the agent's.
	r = result{}
	r.read(http.Header{"Retry-After": {"9"}})
	qt.Check(t, qt.Equals(r.outcome, Kind("")))
	qt.Check(t, qt.Equals(r.retryAfter, time.Duration(0)))
}
