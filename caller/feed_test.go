package caller

import (
	"strconv"
	"testing"

	"github.com/go-quicktest/qt"
)

// A feed that moved twice in a row passed events twice: what was remembered of the
// first move was dropped at the second, before its repeats had come.
func TestFeedRepeatsNothingOverMoves(t *testing.T) {
	out := make(chan Event, 100)
	p := &pump{out: out}
	stream := func(from, to int) {
		for i := from; i <= to; i++ {
			qt.Assert(t, qt.IsNil(p.pass(t.Context(), Event{ID: strconv.Itoa(i)})))
		}
	}
	stream(1, 5)
	first := opened{after: p.lastID}
	stream(6, 8) // of the old stream, while the first successor opens
	p.adopt(first)
	stream(6, 7) // repeats
	second := opened{after: p.lastID}
	stream(8, 9) // a repeat and news, while the second successor opens
	p.adopt(second)
	stream(9, 12)
	p.adopt(opened{after: p.lastID}) // nothing came meanwhile
	stream(13, 14)
	close(out)
	want := 1
	for e := range out {
		qt.Check(t, qt.Equals(e.ID, strconv.Itoa(want)))
		want++
	}
	qt.Check(t, qt.Equals(want, 15))
}
