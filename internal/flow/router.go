package flow

import (
	"crypto/aes"
	"net/netip"
)

// Verdict is what a balancer does with a datagram.
type Verdict uint8

// Verdicts of Route.
const (
	Forward       Verdict = iota + 1 // to the agent that the connection ID names
	Placed                           // first datagram, to the agent chosen by hash
	Reset                            // its agent is gone for certain, to another agent of the service
	DropMalformed                    // no QUIC datagram
	DropForeign                      // ID of another service, or forged
	DropNoTarget                     // no target may take the flow
)

// String returns the verdict in snake case, as metrics name it.
func (v Verdict) String() string {
	return [...]string{"none", "forward", "placed", "reset", "drop_malformed", "drop_foreign", "drop_no_target"}[v]
}

// Table is an immutable view of the targets that a Router places flows on.
type Table struct {
	keys     *Keyring
	services map[uint16][]Candidate
	current  map[netip.AddrPort]uint32
}

// NewTable returns a table with the keys that connection IDs are read with, the
// candidates of each service and, for each agent whose present incarnation is
// known, the fence of it; a fence of zero says that the agent has left for good.
func NewTable(keys *Keyring, services map[uint16][]Candidate, current map[netip.AddrPort]uint32) *Table {
	return &Table{keys: keys, services: services, current: current}
}

// Router routes datagrams. It is not safe for concurrent use: each worker has
// its own, with its own scratch block. The zero value is ready.
type Router struct {
	scratch [aes.BlockSize]byte
}

// Route decides where a datagram that came to an address of the service goes.
func (r *Router) Route(t *Table, service uint16, datagram []byte) (Verdict, netip.AddrPort) {
	h, err := ParseHeader(datagram)
	if err != nil {
		return DropMalformed, netip.AddrPort{}
	}
	id, ok := t.keys.Decode(h.DCID, &r.scratch)
	if ok && id.Service == service {
		return r.existing(t, service, id, h)
	}
	if !h.Long {
		return DropForeign, netip.AddrPort{}
	}
	agent, ok := Place(KeyOf(h.DCID), t.services[service])
	if !ok {
		return DropNoTarget, netip.AddrPort{}
	}
	return Placed, agent
}

// Only certain news of the owner's end turns a datagram to another agent: a
// wrong reset would break a live flow.
func (r *Router) existing(t *Table, service uint16, id ID, h Header) (Verdict, netip.AddrPort) {
	fence, known := t.current[id.Agent]
	if !known || fence == id.Fence {
		return Forward, id.Agent
	}
	agent, ok := Place(KeyOf(h.DCID), t.services[service])
	if !ok {
		return DropNoTarget, netip.AddrPort{}
	}
	return Reset, agent
}
