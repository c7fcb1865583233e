package roster

import "time"

const (
	// firstHeartbeats is the time after which a balancer that hears of no complete one
	// has received several heartbeats of each agent that it observes, and gossip about
	// the others.
	firstHeartbeats = 2 * time.Second

	// maxIncomplete is the time after which a balancer is considered complete in any
	// case. In a large fleet digests may rarely be equal, because members change all the
	// time; repairs have found what was missed by then.
	maxIncomplete = 10 * time.Second
)

// Completeness decides when a balancer that has started knows all members. Until then,
// that it does not know a member proves nothing.
type Completeness struct {
	startedAt    time.Time
	complete     bool
	completePeer bool // a complete balancer has sent gossip
}

// NewCompleteness returns the state of a balancer that starts now.
func NewCompleteness(now time.Time) *Completeness { return &Completeness{startedAt: now} }

// RecordGossip records whether the sender of gossip is complete and has the same members
// as this balancer.
func (c *Completeness) RecordGossip(isComplete, sameMembers bool) {
	if isComplete {
		c.completePeer = true
		c.complete = c.complete || sameMembers
	}
}

// Complete reports whether the balancer knows all members.
func (c *Completeness) Complete(now time.Time) bool {
	age := now.Sub(c.startedAt)
	c.complete = c.complete || age >= maxIncomplete || !c.completePeer && age >= firstHeartbeats
	return c.complete
}
