package target

import "time"

const (
	moveOver   = 0.05            // part over the fair share from which sessions are asked to move
	moveAfter  = 2 * time.Second // for which a surplus must have lasted, so that loads are no news
	moveRate   = 0.02            // part of the sessions asked to move in a second
	moveAtOnce = 1.0             // sessions that may be asked at once after a pause
)

// Mover decides which sessions of a target that holds more than its fair share
// are asked to move, few at a time. The zero value is ready. It is not safe for
// concurrent use.
type Mover struct {
	since  time.Time // since when there has been a surplus
	filled time.Time
	tokens float64
}

// Move reports whether the session that asks now is to move.
func (m *Mover) Move(now time.Time, self Rival, others []Rival) bool {
	if surplus(self, others) < 1 {
		m.since = time.Time{}
		return false
	}
	if m.since.IsZero() {
		m.since, m.filled, m.tokens = now, now, 0
	}
	if now.Sub(m.since) < moveAfter {
		return false
	}
	rate := max(1, moveRate*float64(self.Sessions))
	m.tokens = min(max(moveAtOnce, rate), m.tokens+rate*now.Sub(m.filled).Seconds())
	m.filled = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

// Returns the number of sessions over the fair share and the part that a target
// may stand over it.
func surplus(self Rival, others []Rival) float64 {
	total, weight := float64(self.Sessions), self.Weight
	for _, r := range others {
		total += float64(r.Sessions)
		weight += r.Weight
	}
	if len(others) == 0 || weight <= 0 {
		return 0
	}
	fair := total * self.Weight / weight
	return float64(self.Sessions) - fair*(1+moveOver) - slack
}
