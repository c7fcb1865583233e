package caller

import (
	"strconv"
	"testing"

	"github.com/go-quicktest/qt"
)

// TestFeedDeliversOnceAcrossMoves guards against events that are delivered twice
// when a second move follows before the first successor has repeated all events
// that were already delivered: the second switch once discarded the ID up to
// which to skip.
func TestFeedDeliversOnceAcrossMoves(t *testing.T) {
	out := make(chan Event, 100)
	fw := &forwarder{out: out}
	stream := func(from, to int) {
		for i := from; i <= to; i++ {
			qt.Assert(t, qt.IsNil(fw.deliver(t.Context(), Event{ID: strconv.Itoa(i)})))
		}
	}
	stream(1, 5)
	first := openResult{after: fw.lastID}
	stream(6, 8) // from the old stream, while the first successor opens
	fw.switchTo(first)
	stream(6, 7) // duplicates
	second := openResult{after: fw.lastID}
	stream(8, 9) // a duplicate and a new event, while the second successor opens
	fw.switchTo(second)
	stream(9, 12)
	fw.switchTo(openResult{after: fw.lastID}) // no event arrived while the successor opened
	stream(13, 14)
	close(out)
	want := 1
	for e := range out {
		qt.Check(t, qt.Equals(e.ID, strconv.Itoa(want)))
		want++
	}
	qt.Check(t, qt.Equals(want, 15))
}
