package report

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/go-quicktest/qt"
)

func sample(name string) Run {
	return Run{
		Name:    name,
		Metrics: []Metric{{"share served", 0.95}},
		Windows: []Window{{From: 0, Requests: 100, Served: 100, P50: 30, P99: 90}, {From: 2, Requests: 100, Served: 40, Late: 20, Refused: 5, Failed: 35, P50: 60, P99: 900, BusiestOverMean: 1.2}, {From: 4}},
		Events:  []Event{{From: 1, To: 2, Description: "power <off>"}, {From: 3, To: 3, Description: "release", Planned: true}, {From: 90, To: 91, Description: "after the end"}},
		Counts:  []Metric{{"reset: lost", 12}},
	}
}

func TestWriteRendersRunsSideBySide(t *testing.T) {
	var b bytes.Buffer
	empty := Run{Name: "no windows"}
	qt.Assert(t, qt.IsNil(Write(&b, []Run{sample("before"), sample("after"), empty})))
	page := b.String()
	for text, times := range map[string]int{
		"<svg": 4 + 4 + 3, "</svg>": 11, "<h2>before</h2>": 1, "<h2>after</h2>": 1, "power &lt;off&gt;": 2, "reset: lost": 2, "<?xml": 0, "http-equiv": 0, "src=": 0,
	} {
		qt.Check(t, qt.Equals(strings.Count(page, text), times), qt.Commentf("%s", text))
	}
	for _, svg := range strings.SplitAfter(page, "</svg>") {
		_, svg, ok := strings.Cut(svg, "<svg")
		if !ok {
			continue
		}
		d := xml.NewDecoder(strings.NewReader("<svg" + svg))
		var err error
		for err == nil {
			_, err = d.Token()
		}
		qt.Check(t, qt.Equals(err, io.EOF))
	}
}

func TestWriteServedRendersADocument(t *testing.T) {
	var b bytes.Buffer
	r := sample("before")
	qt.Assert(t, qt.IsNil(WriteServed(&b, &r)))
	qt.Check(t, qt.IsTrue(strings.HasPrefix(b.String(), "<?xml")))
	qt.Check(t, qt.StringContains(b.String(), "before: share of requests served"))
	var e *Error
	qt.Check(t, qt.ErrorAs(WriteServed(brokenWriter{}, &r), &e))
}

type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("disk is full") }

func TestWriteReportsWriteError(t *testing.T) {
	err := Write(brokenWriter{}, []Run{sample("before")})
	var e *Error
	qt.Assert(t, qt.IsTrue(errors.As(err, &e)))
	qt.Check(t, qt.Equals(e.Kind, KindWrite))
}
