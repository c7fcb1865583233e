package epoch

import "time"

// Position is a revision of the store and the epoch that it belongs to. The zero
// value precedes all revisions.
type Position struct {
	Epoch    uint64
	Revision uint64
}

// Verdict is the judgement on an answer of the store.
type Verdict uint8

// Verdicts on an answer.
const (
	Current  Verdict = iota + 1 // of the newest known epoch
	Advanced                    // of a newer epoch than was known
	Outdated                    // of an older epoch; its content may be lost by now
)

// Tracker holds the newest known epoch of the store. The zero value knows none. It
// is not safe for concurrent use.
type Tracker struct{ newest uint64 }

// Newest returns the newest known epoch, or 0 if none is known.
func (t *Tracker) Newest() uint64 { return t.newest }

// Observe records the epoch of an answer and judges the answer by it. Epoch 0, for
// an answer that names none, is always current.
func (t *Tracker) Observe(e uint64) Verdict {
	switch {
	case e == 0 || e == t.newest:
		return Current
	case e < t.newest:
		return Outdated
	case t.newest == 0:
		t.newest = e // the first answer is no sign of a restored store
		return Current
	}
	t.newest = e
	return Advanced
}

const (
	minRewritePeriod      = time.Second // for small fleets
	maxRewritersPerSecond = 100         // daemons; with two records each, half of the writes that the store accepts
)

// RewriteDelay returns the time after which a daemon writes its records again once
// it has learned of a newer epoch. Daemons of a fleet of the given size spread
// their writes by place, a number in [0, 1) that differs between them.
func RewriteDelay(fleet int, place float64) time.Duration {
	period := max(minRewritePeriod, time.Duration(fleet)*time.Second/maxRewritersPerSecond)
	return time.Duration(place * float64(period))
}
