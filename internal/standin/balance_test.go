package standin_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/go-quicktest/qt"
)

// TestSessionsMoveToNewTarget checks that sessions move to a target that joins, and
// that no flow breaks. The rebalancer moves few sessions at a time.
func TestSessionsMoveToNewTarget(t *testing.T) {
	s := startLoadTest(t, 2, 2)
	_, err := s.AddTarget(s.service, 3)
	s.noError(err)
	const minSessions = 4 // an even share of 24 sessions over three targets is 8
	s.waitFor("the new target has sessions", func() bool {
		n, err := strconv.Atoi(metric(t, s.Agent("bookdesk-3"), "skylark_sessions"))
		return err == nil && n >= minSessions
	})
	r := s.stopAndCheck()
	qt.Check(t, qt.Equals(r.BrokenFlows, 0))
	qt.Check(t, qt.Not(qt.Equals(r.Moves, 0)))
}

// TestFeedsFollowMovedSessions checks that the feed of a session moves with the
// session. A feed that stayed on the old connection, which no longer has heartbeats,
// stalled when the old target was lost.
func TestFeedsFollowMovedSessions(t *testing.T) {
	s := startLoadTest(t, 2, 2)
	_, err := s.AddTarget(s.service, 3)
	s.noError(err)
	const minSessions = 3
	s.waitFor("the new target has sessions", func() bool {
		n, err := strconv.Atoi(metric(t, s.Agent("bookdesk-3"), "skylark_sessions"))
		return err == nil && n >= minSessions
	})
	for _, name := range []string{"bookdesk-1", "bookdesk-2"} {
		s.failedTargets[name] = true
		s.noError(s.Agent(name).Kill())
	}
	s.wait(8 * time.Second)
	s.stopAndCheck()
}
