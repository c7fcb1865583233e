package flowtable

import (
	"net/netip"
	"time"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/tunnel"
)

// Op is the operation of an Action.
type Op uint8

// Operations of an Action.
const (
	ToHost   Op = iota + 1 // forward the packet to the host
	ToClient               // send the packet to the client
	Reply                  // send a tunnel datagram to the balancer
	Reset                  // reset the client's flow
	Drop                   // discard the packet
)

// Cause is the reason for an Action. It is a label of metrics and a value in logs.
type Cause uint8

// Causes of an Action.
const (
	Usual         Cause = iota + 1 // normal forwarding
	Asked                          // the flow is unknown; the host bounces the packet if it does not hold the flow
	Refused                        // the host must not receive the packet, or returned it
	Bounced                        // the host returned a packet of a flow that the table has
	HostLeft                       // the host has shut down
	HostRestarted                  // a new incarnation of the host has registered
	HostEnded                      // nothing listens at the host's address
	Forged                         // the packet has no legitimate sender
	Held                           // the packet's request waits until the host can run it
	Released                       // the packet's request has waited
	HostUnknown                    // no host of the flow's service is known to run
)

var causeNames = [...]string{"unknown", "usual", "asked", "refused", "bounced", "host_left", "host_restarted", "host_ended", "forged", "held", "released", "host_unknown"}

// NumCauses is the number of causes, for arrays indexed by Cause.
const NumCauses = len(causeNames)

// String returns the cause in snake case.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return causeNames[0]
}

// Action is one step that the agent has to carry out.
type Action struct {
	Op        Op
	Cause     Cause
	Flow      packet.Key
	Balancer  netip.AddrPort // recipient of a Reply
	Header    tunnel.Header  // header of a Reply
	Packet    []byte         // packet to forward, or to return with a Reply
	ClientAck uint32         // client's last acknowledgement number, for Reset
	Waited    time.Duration  // time for which the packet was held, if Cause is Released
	Load      *Load          // that the decision rests on; nil if it does not rest on the load
}

// Load is the load of a host when a request or a new flow was held or refused.
type Load struct {
	InProgress int           // requests forwarded to the host and not answered
	Held       int           // requests held back
	Wait       time.Duration // expected wait of a request of the flow
	Objective  time.Duration // latency objective of the flow's requests
}

// acceptedReply returns the reply to a balancer that the host has accepted a new flow. It
// contains the acceptance, raw on the wire, which shows whether the client's packets
// acknowledge it.
func acceptedReply(k packet.Key, to netip.AddrPort, raw []byte) Action {
	a := ownedReply(k, to)
	a.Packet = raw
	return a
}

// ownedReply returns the reply to a balancer that the host holds the flow.
func ownedReply(k packet.Key, to netip.AddrPort) Action {
	return Action{Op: Reply, Cause: Usual, Flow: k, Balancer: to, Header: tunnel.Header{Kind: tunnel.Owned, Flow: k}}
}

// refusedReply returns the reply to a balancer that a packet was refused. It
// contains the packet unless that arrived in an Ask datagram, because the sender
// of an Ask keeps a copy.
func refusedReply(k packet.Key, to netip.AddrPort, kind tunnel.Kind, reason tunnel.Reason, raw []byte) Action {
	if kind == tunnel.Ask {
		raw = nil
	}
	return Action{Op: Reply, Cause: Refused, Flow: k, Balancer: to, Header: tunnel.Header{Kind: tunnel.Refused, Reason: reason, Flow: k}, Packet: raw}
}
