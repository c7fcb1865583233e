package standin_test

import (
	"strconv"
	"testing"

	"github.com/go-quicktest/qt"
)

// Sessions move to a target that joins, few at a time, and none breaks.
func TestSessionsMoveToNewTarget(t *testing.T) {
	s := play(t, 2, 2)
	_, err := s.AddTarget(s.service, 3)
	s.check(err)
	const fewest = 4 // of 24 over three targets
	s.until("the new target has sessions", func() bool {
		n, err := strconv.Atoi(metric(t, s.Agent("bookdesk-3"), "skylark_sessions"))
		return err == nil && n >= fewest
	})
	r := s.finish()
	qt.Check(t, qt.Equals(r.Broken, 0))
	qt.Check(t, qt.Not(qt.Equals(r.Moves, 0)))
}
