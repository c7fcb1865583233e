package flow

import (
	"crypto/aes"
	"net/netip"
)

// Verdict is the routing decision for a datagram.
type Verdict uint8

// Verdicts returned by Router.Route.
const (
	Forward       Verdict = iota + 1 // existing flow, to the agent in the connection ID
	Placed                           // new flow, to the agent chosen by rendezvous hashing
	Reset                            // the incarnation that owned the flow has ended; to another agent of the service, which resets the flow
	DropMalformed                    // not a QUIC datagram
	DropForeign                      // connection ID of another service, or forged
	DropNoTarget                     // no target accepts the flow
)

// String returns the verdict in snake case, the form used as a metric label.
func (v Verdict) String() string {
	return [...]string{"none", "forward", "placed", "reset", "drop_malformed", "drop_foreign", "drop_no_target"}[v]
}

// Table is an immutable snapshot of the routing state of a Router.
type Table struct {
	keys              *Keyring
	services          map[uint16][]Candidate
	incarnationHashes map[netip.AddrPort]uint32
}

// NewTable returns a table with the keys that decrypt connection IDs, the
// candidates of each service by service number, and the hash of the current
// incarnation of each known agent. A hash of zero marks an agent that has left
// permanently.
func NewTable(keys *Keyring, services map[uint16][]Candidate, incarnationHashes map[netip.AddrPort]uint32) *Table {
	return &Table{keys: keys, services: services, incarnationHashes: incarnationHashes}
}

// Router routes datagrams. It holds a scratch buffer and is not safe for
// concurrent use; each worker has its own. The zero value is ready for use.
type Router struct {
	scratch [aes.BlockSize]byte
}

// Route returns the verdict on a datagram that was received on an address of the
// service, and the agent to send it to unless the verdict is to drop it.
func (r *Router) Route(t *Table, service uint16, datagram []byte) (Verdict, netip.AddrPort) {
	h, err := ParseHeader(datagram)
	if err != nil {
		return DropMalformed, netip.AddrPort{}
	}
	id, ok := t.keys.Decode(h.DCID, &r.scratch)
	if ok && id.Service == service {
		return r.routeExisting(t, service, id, h)
	}
	if !h.Long {
		return DropForeign, netip.AddrPort{}
	}
	agent, ok := Place(PlacementKey(h.DCID), t.services[service])
	if !ok {
		return DropNoTarget, netip.AddrPort{}
	}
	return Placed, agent
}

// routeExisting routes a datagram of an existing flow. A datagram is redirected
// only if the incarnation that owns the flow is known to have ended, because a
// wrong reset would break a live flow.
func (r *Router) routeExisting(t *Table, service uint16, id ID, h Header) (Verdict, netip.AddrPort) {
	hash, known := t.incarnationHashes[id.Agent]
	if !known || hash == id.IncarnationHash {
		return Forward, id.Agent
	}
	agent, ok := Place(PlacementKey(h.DCID), t.services[service])
	if !ok {
		return DropNoTarget, netip.AddrPort{}
	}
	return Reset, agent
}
