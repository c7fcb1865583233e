package steering

import (
	"net/netip"
	"time"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/parcel"
)

// Verb tells what an Action does.
type Verb uint8

// Verbs of actions.
const (
	Send  Verb = iota + 1 // send the packet to the agent
	Reset                 // reset the client's flow
	Drop                  // do nothing with the packet
)

// Cause tells why an action was chosen.
type Cause uint8

// Causes of actions.
const (
	Known       Cause = iota + 1 // the owner is remembered
	Placed                       // a new flow, on its first target
	PlacedAgain                  // a new flow, on a later target
	LookedUp                     // an agent is asked for the owner
	Found                        // the owner was found
	NoRoute                      // no route listens on the address
	NoTarget                     // no target takes the new flow
	AllRefused                   // every target has refused the new flow
	Lost                         // no agent holds the flow
	OwnerGone                    // the flow's owner has ended
	Unsettled                    // too little is known of the members to decide
	Waiting                      // the owner is being looked up
)

var causeNames = [...]string{"unknown", "known", "placed", "placed_again", "looked_up", "found", "no_route", "no_target", "all_refused", "lost", "owner_gone", "unsettled", "waiting"}

// Causes is the number of causes, for tables indexed by them.
const Causes = len(causeNames)

// String returns the cause in snake case.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return causeNames[0]
}

// Action is one thing to do.
type Action struct {
	Verb      Verb
	Cause     Cause
	Flow      packet.Key
	Agent     netip.AddrPort // of Send
	Kind      parcel.Kind    // of Send
	Service   string         // of Send, when the flow is new
	Packet    []byte         // of Send
	ClientAck uint32         // of Reset, and of questions
	Waited    time.Duration  // of Send, from the flow's first packet to its target, or from the question to the answer
}
