package standin_test

import (
	"strconv"
	"testing"
	"time"

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

// The feed of a session that was asked to move moves, too: left behind on a
// connection without heartbeats, it stalled when its old target was lost.
func TestFeedsFollowMovedSessions(t *testing.T) {
	s := play(t, 2, 2)
	_, err := s.AddTarget(s.service, 3)
	s.check(err)
	const fewest = 3
	s.until("the new target has sessions", func() bool {
		n, err := strconv.Atoi(metric(t, s.Agent("bookdesk-3"), "skylark_sessions"))
		return err == nil && n >= fewest
	})
	for _, name := range []string{"bookdesk-1", "bookdesk-2"} {
		s.lost[name] = true
		s.check(s.Agent(name).Kill())
	}
	s.pass(8 * time.Second)
	s.finish()
}
