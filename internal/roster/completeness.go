package roster

import (
	"net/netip"
	"time"
)

const (
	// firstHeartbeats is the time after which a balancer that hears of no complete one
	// has received several heartbeats of each agent that it observes, and gossip about
	// the others.
	firstHeartbeats = 2 * time.Second

	// maxIncomplete is the time after which a balancer is considered complete in any
	// case. In a large fleet digests may rarely be equal, because members change all the
	// time; repairs have found what was missed by then.
	maxIncomplete = 10 * time.Second

	// maxUncertain is the time after which what a balancer does not know counts as
	// missing in any case. Agents report again within seconds, even on a busy machine.
	maxUncertain = time.Minute
)

// Completeness decides when a balancer that has started knows all members. Until then,
// that it does not know a member proves nothing.
type Completeness struct {
	startedAt    time.Time
	heard        bool            // a heartbeat or gossip has been received
	agrees       bool            // a complete balancer has sent gossip with the same members
	completePeer bool            // a complete balancer has sent gossip
	differing    map[uint16]bool // services of which the agent heard last knows other agents than this balancer
	lackingPeers map[netip.AddrPort]bool
}

// NewCompleteness returns the state of a balancer that starts now.
func NewCompleteness(now time.Time) *Completeness {
	return &Completeness{startedAt: now, differing: make(map[uint16]bool), lackingPeers: make(map[netip.AddrPort]bool)}
}

// RecordGossip records gossip of a peer: whether it is complete, whether it has the same
// members as this balancer, and whether it lacks some.
func (c *Completeness) RecordGossip(from netip.AddrPort, isComplete, sameMembers, lacksMembers bool) {
	c.heard = true
	if isComplete {
		c.completePeer = true
		c.agrees = c.agrees || sameMembers
	}
	if lacksMembers {
		c.lackingPeers[from] = true
	} else {
		delete(c.lackingPeers, from)
	}
}

// LacksMembers reports whether an agent knows other agents of its service than this
// balancer does.
func (c *Completeness) LacksMembers() bool { return len(c.differing) > 0 }

// RecordHeartbeat records whether an agent of the service knows the same agents of it as
// this balancer.
func (c *Completeness) RecordHeartbeat(service uint16, sameAgents bool) {
	c.heard = true
	if sameAgents {
		delete(c.differing, service)
	} else {
		c.differing[service] = true
	}
}

// Certain reports whether a member that the balancer does not know does not exist. A
// complete peer tells, or time where none is known and somebody was heard, unless agents
// show this balancer or a peer that members are missing. On a busy machine a balancer may
// have received little, and so may its peer.
func (c *Completeness) Certain(now time.Time) bool {
	age := now.Sub(c.startedAt)
	byTime := age >= firstHeartbeats && c.heard && !c.completePeer
	missing := c.LacksMembers() || len(c.lackingPeers) > 0
	return (c.agrees || byTime) && !missing || age >= maxUncertain
}

// Complete reports whether the balancer knows all members as far as can be expected.
func (c *Completeness) Complete(now time.Time) bool {
	return c.Certain(now) || now.Sub(c.startedAt) >= maxIncomplete
}
