package target

import "time"

const (
	rebalanceTolerance = 0.05            // excess over the fair share, as a part of it, that is not rebalanced
	rebalanceDelay     = 2 * time.Second // minimum duration of a surplus, so that a load report which has just arrived is not acted on
	rebalanceRate      = 0.02            // part of the sessions asked to move per second
	minRebalanceBurst  = 1.0             // smallest capacity of the token bucket, in sessions
)

// Rebalancer selects the sessions that are asked to move away from a target that
// holds more than its fair share, at a rate limited by a token bucket. The zero
// value is ready for use. It is not safe for concurrent use.
type Rebalancer struct {
	surplusSince time.Time // start of the current surplus, zero if there is none
	refilledAt   time.Time // time of the last update of tokens
	tokens       float64   // sessions that may be asked to move now
}

// ShouldMove reports whether the session that is being answered now should move.
func (r *Rebalancer) ShouldMove(now time.Time, self Load, others []Load) bool {
	if surplus(self, others) < 1 {
		r.surplusSince = time.Time{}
		return false
	}
	if r.surplusSince.IsZero() {
		r.surplusSince, r.refilledAt, r.tokens = now, now, 0
	}
	if now.Sub(r.surplusSince) < rebalanceDelay {
		return false
	}
	rate := max(1, rebalanceRate*float64(self.Sessions))
	r.tokens = min(max(minRebalanceBurst, rate), r.tokens+rate*now.Sub(r.refilledAt).Seconds())
	r.refilledAt = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// surplus returns the number of sessions above the fair share plus the tolerance;
// it is negative if there is no surplus.
func surplus(self Load, others []Load) float64 {
	total, weight := float64(self.Sessions), self.Weight
	for _, l := range others {
		total += float64(l.Sessions)
		weight += l.Weight
	}
	if len(others) == 0 || weight <= 0 {
		return 0
	}
	fair := total * self.Weight / weight
	return float64(self.Sessions) - fair*(1+rebalanceTolerance) - overloadSlack
}
