package steering

import (
	"math"
	"time"

	"skylarkturn/internal/packet"
)

const (
	// maxCrowdedWait is the longest wait of a new flow of unknown class for a crowded
	// service.
	maxCrowdedWait = 600 * time.Millisecond

	// crowdedWaitShare is the share of the timeout of a flow's requests for which the
	// flow waits for a crowded service at most, and maxClassWait bounds that wait.
	crowdedWaitShare = 0.4
	maxClassWait     = time.Second

	// lateShare is the share of the objective of a flow's requests after which a waiting
	// flow is late. The remainder is for the execution of its first request.
	lateShare = 0.75

	// acceptanceWindow is the time over which the rate of accepted flows is averaged.
	acceptanceWindow = 500 * time.Millisecond

	// minAcceptanceRate is the rate that is assumed for a service without recent
	// acceptances, per second.
	minAcceptanceRate = 2
)

// longestWait returns the longest time that a new flow waits for a crowded service.
func (f *flow) longestWait() time.Duration {
	if !f.class.Known() {
		return maxCrowdedWait
	}
	return min(time.Duration(crowdedWaitShare*float64(f.class.Timeout)), maxClassWait)
}

// isLate reports whether a flow has waited for so long that its first request will
// probably miss its objective.
func (f *flow) isLate(now time.Time) bool {
	return f.class.Known() && float64(now.Sub(f.firstSeen)) > lateShare*float64(f.class.Objective)
}

// waitingFlows describes the new flows of a route that wait for a service.
type waitingFlows struct {
	queued   int       // flows queued for a crowded target since the start of the last tick
	accepted float64   // recently accepted flows, older ones count for less
	at       time.Time // when accepted was updated
}

// recordAcceptance counts a flow that a target has accepted.
func (w *waitingFlows) recordAcceptance(now time.Time) {
	w.decay(now)
	w.accepted++
}

func (w *waitingFlows) decay(now time.Time) {
	w.accepted *= math.Exp(-now.Sub(w.at).Seconds() / acceptanceWindow.Seconds())
	w.at = now
}

// waitingOf returns the state of a route's flows that wait for the service, and creates
// it.
func (g *targetGroup) waitingOf(r packet.Endpoint) *waitingFlows {
	w := g.waiting[r]
	if w == nil {
		w = &waitingFlows{}
		g.waiting[r] = w
	}
	return w
}

// startTick forgets the flows that were queued before, which are placed anew, and
// routes without recent flows.
func (g *targetGroup) startTick(now time.Time) {
	for r, w := range g.waiting {
		w.queued = 0
		if now.Sub(w.at) > maxClassWait {
			delete(g.waiting, r)
		}
	}
}

// mayWait reports whether a flow of a route that no target accepts now can expect to be
// accepted in time, behind the flows that are queued already.
func (g *targetGroup) mayWait(now time.Time, r packet.Endpoint, f *flow) bool {
	waited := now.Sub(f.firstSeen)
	if !f.class.Known() {
		return waited < maxCrowdedWait
	}
	w := g.waitingOf(r)
	w.decay(now)
	rate := max(w.accepted/acceptanceWindow.Seconds(), minAcceptanceRate)
	expected := time.Duration(float64(w.queued+1) / rate * float64(time.Second))
	return waited+expected <= f.longestWait()
}

// recordAcceptance records that a target has accepted a new flow.
func (t *Table) recordAcceptance(now time.Time, n *target, r packet.Endpoint) {
	n.crowding[r].recordAcceptance()
	t.services[n.Service].waitingOf(r).recordAcceptance(now)
}
