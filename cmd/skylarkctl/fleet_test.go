package main

import (
	"errors"
	"testing"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/fleet"
)

func TestCompareViewsReportsDifferences(t *testing.T) {
	view := func(name string, members ...fleet.Member) fleet.Response[[]fleet.Member] {
		return fleet.Response[[]fleet.Member]{Member: fleet.Member{Name: name}, Value: members}
	}
	member := func(name, state string, incarnation uint64) fleet.Member {
		return fleet.Member{Name: name, Inner: name, State: state, Incarnation: incarnation}
	}
	failed := view("b4")
	failed.Err = errors.New("no response")
	rows := compareViews([]fleet.Response[[]fleet.Member]{
		view("b1", member("a1", "ready", 1), member("a2", "ready", 1)),
		view("b2", member("a1", "suspect", 1), member("a2", "ready", 1)),
		view("b3", member("a1", "ready", 2)),
		failed,
	})
	qt.Assert(t, qt.HasLen(rows, 2))
	qt.Check(t, qt.DeepEquals(rows[0].Differs, []string{"b2=suspect", "b3=ready"}))
	qt.Check(t, qt.DeepEquals(rows[1].Differs, []string{"b3=unknown"}))
}
