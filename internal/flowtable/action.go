package flowtable

import (
	"net/netip"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/parcel"
)

// Verb tells what an Action does.
type Verb uint8

// Verbs of actions.
const (
	ToHost   Verb = iota + 1 // give the packet to the host
	ToClient                 // send the packet to the client
	Reply                    // send the parcel to the balancer
	Reset                    // reset the client's flow
	Drop                     // do nothing with the packet
)

// Cause tells why an action was chosen.
type Cause uint8

// Causes of actions.
const (
	Usual         Cause = iota + 1
	Asked               // the host is asked whether it holds the flow
	Refused             // the host is not to get the packet
	Bounced             // the host does not hold the flow that the table had as open
	HostLeft            // the host has left
	HostRestarted       // a new incarnation of the host has registered
	HostEnded           // nothing listens at the host's address
	Forged              // nobody may send such a packet
)

var causeNames = [...]string{"unknown", "usual", "asked", "refused", "bounced", "host_left", "host_restarted", "host_ended", "forged"}

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
	Balancer  netip.AddrPort // of Reply
	Parcel    parcel.Header  // of Reply
	Packet    []byte
	ClientAck uint32 // of Reset
}

func ownedReply(k packet.Key, to netip.AddrPort) Action {
	return Action{Verb: Reply, Cause: Usual, Flow: k, Balancer: to, Parcel: parcel.Header{Kind: parcel.Owned, Flow: k}}
}

// Returns the answer that a packet was refused. The packet goes back unless it
// came with a question, whose sender has kept it.
func refusedReply(k packet.Key, to netip.AddrPort, kind parcel.Kind, reason parcel.Reason, raw []byte) Action {
	if kind == parcel.Ask {
		raw = nil
	}
	return Action{Verb: Reply, Cause: Refused, Flow: k, Balancer: to, Parcel: parcel.Header{Kind: parcel.Refused, Reason: reason, Flow: k}, Packet: raw}
}
