package steering

import (
	"net/netip"
	"time"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/route"
	"skylarkturn/internal/tunnel"
)

// Op is the operation of an Action.
type Op uint8

// Operations.
const (
	Send  Op = iota + 1 // send a tunnel datagram to the agent
	Reset               // send a reset of the flow to the client
	Drop                // send nothing
)

// Cause is the reason for an Action.
type Cause uint8

// Causes of actions.
const (
	Known       Cause = iota + 1 // the owner is cached
	Placed                       // new flow placed on its first target
	PlacedAgain                  // new flow placed on another target after a refusal or retransmission
	LookedUp                     // query for the owner
	Found                        // a lookup has found the owner
	NoRoute                      // no route listens on the address
	NoTarget                     // no target accepts the new flow
	AllRefused                   // every target has refused the new flow
	Lost                         // no agent holds the flow
	OwnerGone                    // the flow's owner has ended
	Unsettled                    // the packet waits for a route or target, or the pending flows are at their limit
	Waiting                      // a lookup or a queued opening packet of the flow is pending
	NotChosen                    // the client has taken another host's acceptance of the flow
)

var causeNames = [...]string{"unknown", "known", "placed", "placed_again", "looked_up", "found", "no_route", "no_target", "all_refused", "lost", "owner_gone", "unsettled", "waiting", "not_chosen"}

// NumCauses is the length of an array indexed by Cause.
const NumCauses = len(causeNames)

// String returns the cause in snake case.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return causeNames[0]
}

// Action is a decision for the balancer to carry out.
type Action struct {
	Op        Op
	Cause     Cause
	Flow      packet.Key
	Agent     netip.AddrPort // of Send
	Kind      tunnel.Kind    // of Send
	Service   string         // of Send, when the flow is new
	Class     route.Class    // of Send, if it is known and the agent accepts it
	Final     bool           // of Send, when the flow is new: no less busy target is known
	Packet    []byte         // of Send; nil for most queries
	ClientAck uint32         // of Reset and of queries
	Waited    time.Duration  // of Send, from the flow's first packet to its placement, or from the start of a lookup to its result
}
