package route

import (
	"errors"
	"testing"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/packet"
)

func TestServiceFollowsWeights(t *testing.T) {
	for _, c := range []struct {
		name   string
		shares []Share
		hash   uint64
		want   string
		ok     bool
	}{
		{"no shares", nil, 1 << 63, "", false},
		{"zero weights", []Share{{"a", 0}}, 1 << 63, "", false},
		{"single", []Share{{"a", 1}}, 1 << 63, "a", true},
		{"lowest hash", []Share{{"a", 9}, {"b", 1}}, 0, "a", true},
		{"below the boundary", []Share{{"a", 9}, {"b", 1}}, 0xe6 << 56, "a", true},
		{"above the boundary", []Share{{"a", 9}, {"b", 1}}, 0xe7 << 56, "b", true},
		{"highest hash", []Share{{"a", 9}, {"b", 1}}, 1<<64 - 1, "b", true},
		{"zero weight before another share", []Share{{"a", 0}, {"b", 1}}, 0, "b", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Route{Shares: c.shares}
			got, ok := r.Service(c.hash)
			qt.Check(t, qt.Equals(got, c.want))
			qt.Check(t, qt.Equals(ok, c.ok))
		})
	}
}

func TestNewTableRejectsDuplicateAddress(t *testing.T) {
	listen := packet.Endpoint{IP: 1, Port: 2}
	_, err := NewTable(Config{Version: 1, Routes: []Route{{Name: "a", Listen: listen}, {Name: "b", Listen: listen}}})
	var e *Error
	qt.Assert(t, qt.IsTrue(errors.As(err, &e)))
	qt.Check(t, qt.Equals(e.Kind, KindInvalid))
}

func TestNilTableHasNoRoutes(t *testing.T) {
	var table *Table
	qt.Check(t, qt.Equals(table.Version(), 0))
	qt.Check(t, qt.IsNil(table.Lookup(packet.Endpoint{})))
}
