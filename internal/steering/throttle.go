package steering

import (
	"time"

	"skylarkturn/internal/packet"
)

const (
	minThrottleInterval = 50 * time.Millisecond  // long enough for a crowded target to complete some requests
	maxThrottleInterval = 400 * time.Millisecond // the agent's next heartbeat reports its load by then
	throttleExpiry      = 500 * time.Millisecond // since the last refusal, or two intervals if that is longer
	busyExpiry          = 50 * time.Millisecond  // requests that waited for the target have started by then
)

// crowding is what a balancer knows of the load of a target, from its refusals of the
// flows of one route. Routes differ in urgency, so a target may accept the flows of one
// while it refuses those of another.
type crowding struct {
	throttle  throttle
	busyUntil time.Time // the target has refused a flow with tunnel.Busy
}

// crowdingOf returns the target's crowding for a route, and creates it.
func (t *target) crowdingOf(r packet.Endpoint) *crowding {
	c := t.crowding[r]
	if c == nil {
		c = &crowding{}
		t.crowding[r] = c
	}
	return c
}

// forgetCrowding removes crowding that has no effect any more.
func (t *target) forgetCrowding(now time.Time) {
	for r, c := range t.crowding {
		if c.throttle.expired(now) && !c.busy(now) {
			delete(t.crowding, r)
		}
	}
}

// crowded reports whether the target is busy, and whether it is throttled, for flows of
// a route.
func (t *target) crowded(now time.Time, r packet.Endpoint) (busy, throttled bool) {
	if len(t.crowding) == 0 {
		return false, false
	}
	c := t.crowding[r]
	return c.busy(now), c.throttled(now, t.Weight)
}

// busy reports whether flows are to be placed on other targets, if possible. A nil
// pointer is not busy.
func (c *crowding) busy(now time.Time) bool { return c != nil && now.Before(c.busyUntil) }

// recordBusyRefusal records that the target has refused a flow with tunnel.Busy.
func (c *crowding) recordBusyRefusal(now time.Time) { c.busyUntil = now.Add(busyExpiry) }

// throttle limits the new flows of a target that has refused one with
// tunnel.Crowded. The target gets none for one interval, then at most its weight
// in flows per interval until the throttle expires. The interval doubles with
// further refusals and halves with each flow accepted. Without the limit, a large
// number of balancers would keep the agents busy refusing flows.
type throttle struct {
	lastRefusal   time.Time     // last refusal with tunnel.Crowded; zero if none
	interval      time.Duration // current length of an interval
	intervalStart time.Time     // start of the interval that admitted counts in
	admitted      float64       // flows placed since intervalStart
}

// expired reports whether the last refusal is too long ago to matter.
func (th *throttle) expired(now time.Time) bool {
	return th.lastRefusal.IsZero() || now.Sub(th.lastRefusal) >= max(throttleExpiry, 2*th.interval)
}

// throttled reports whether a target of the given weight gets no new flow before the
// current interval ends. A nil pointer is not throttled.
func (c *crowding) throttled(now time.Time, weight float64) bool {
	if c == nil || c.throttle.expired(now) {
		return false
	}
	th := &c.throttle
	return now.Sub(th.lastRefusal) < th.interval || now.Sub(th.intervalStart) < th.interval && th.admitted >= weight
}

// recordPlacement counts a new flow placed on the target. A nil pointer counts nothing.
func (c *crowding) recordPlacement(now time.Time) {
	if c == nil || c.throttle.lastRefusal.IsZero() {
		return
	}
	th := &c.throttle
	if now.Sub(th.intervalStart) >= th.interval {
		th.intervalStart, th.admitted = now, 0
	}
	th.admitted++
}

// recordCrowdedRefusal starts or extends the throttle after the target has
// refused a flow with tunnel.Crowded.
func (c *crowding) recordCrowdedRefusal(now time.Time) {
	th := &c.throttle
	switch {
	case th.expired(now):
		th.interval = minThrottleInterval
	case now.Sub(th.lastRefusal) >= th.interval:
		th.interval = min(2*th.interval, maxThrottleInterval)
	}
	th.lastRefusal = now
}

// recordAcceptance halves the throttle interval after the target has accepted a
// flow. A nil pointer records nothing.
func (c *crowding) recordAcceptance() {
	if c != nil {
		c.throttle.interval = max(c.throttle.interval/2, minThrottleInterval)
	}
}
