package target

import "time"

const (
	rebalanceTolerance = 0.05            // excess over the fair share, as a part of it, that is not rebalanced
	rebalanceDelay     = 2 * time.Second // time that a surplus must last, so that load reports which have just arrived are not acted on
	rebalanceRate      = 0.02            // part of the sessions asked to move per second
	minRebalanceBurst  = 1.0             // smallest capacity of the token bucket, in sessions
)

// Mover selects the sessions that are asked to move away from a target that
// holds more than its fair share, at a rate limited by a token bucket. The zero
// value is ready for use. It is not safe for concurrent use.
type Mover struct {
	surplusSince time.Time // start of the current surplus, zero if there is none
	refilledAt   time.Time
	tokens       float64
}

// Move reports whether the session that is being answered now should move.
func (m *Mover) Move(now time.Time, self Rival, others []Rival) bool {
	if surplus(self, others) < 1 {
		m.surplusSince = time.Time{}
		return false
	}
	if m.surplusSince.IsZero() {
		m.surplusSince, m.refilledAt, m.tokens = now, now, 0
	}
	if now.Sub(m.surplusSince) < rebalanceDelay {
		return false
	}
	rate := max(1, rebalanceRate*float64(self.Sessions))
	m.tokens = min(max(minRebalanceBurst, rate), m.tokens+rate*now.Sub(m.refilledAt).Seconds())
	m.refilledAt = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

// surplus returns the number of sessions above the fair share plus the tolerance;
// it is negative if there is no surplus.
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
	return float64(self.Sessions) - fair*(1+rebalanceTolerance) - overloadSlack
}
