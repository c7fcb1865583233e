package roster

import (
	"encoding/binary"
	"net/netip"

	"github.com/zeebo/xxh3"
)

// Role is the kind of daemon that a member runs.
type Role uint8

// Roles of members.
const (
	Balancer Role = iota + 1
	Agent
)

// String returns the lower-case name of the role.
func (r Role) String() string { return [...]string{"unknown", "balancer", "agent"}[r%3] }

// State is the state of a member's incarnation.
type State uint8

// States of members. Suspect and Gone are set by observers, the others by the
// member itself; Left is also set by an observer with proof that the process
// has ended.
const (
	Starting State = iota + 1
	Ready
	Draining
	Suspect // an observer has missed its heartbeats or replies
	Gone    // suspect for longer than the timeout
	Left    // shut down or known to have terminated
)

var stateNames = [...]string{"unknown", "starting", "ready", "draining", "suspect", "gone", "left"}

// String returns the lower-case name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return stateNames[0]
}

// Ended reports whether a member in this state is known to have ended. A Gone
// member may still run, for example behind a network partition.
func (s State) Ended() bool { return s == Left }

// Member is the record of one balancer or agent.
type Member struct {
	Role           Role           `cbor:"1,keyasint"`
	State          State          `cbor:"2,keyasint"`
	Name           string         `cbor:"3,keyasint,omitempty"`
	Zone           string         `cbor:"4,keyasint,omitempty"`
	Addr           netip.AddrPort `cbor:"5,keyasint"`            // address for traffic between daemons, UDP and TCP
	Service        uint16         `cbor:"6,keyasint,omitempty"`  // number of the target's service, or a hash of its name
	Incarnation    uint64         `cbor:"7,keyasint"`            // higher for each start of the process
	Seq            uint32         `cbor:"8,keyasint"`            // higher for each change of the record within an incarnation
	Warmth         uint8          `cbor:"9,keyasint,omitempty"`  // percent of its full weight that the target may receive during warm-up
	Sessions       uint32         `cbor:"10,keyasint,omitempty"` // open sessions; sent in heartbeats only
	Generation     uint32         `cbor:"11,keyasint,omitempty"` // configuration generation of its service; sent in heartbeats only
	Host           string         `cbor:"12,keyasint,omitempty"` // VM of the target
	ServiceName    string         `cbor:"13,keyasint,omitempty"` // service name, on platforms that do not number services
	Slots          uint32         `cbor:"14,keyasint,omitempty"` // maximum concurrent requests of the target
	PlannedRestart bool           `cbor:"16,keyasint,omitempty"` // stopped for a planned restart
	AcceptsClass   bool           `cbor:"17,keyasint,omitempty"` // the agent accepts the class of a flow with its packets
	Busy           uint32         `cbor:"15,keyasint,omitempty"` // requests in progress; sent in heartbeats only
}

// Supersedes reports whether m is newer than old, a record of the same address.
// With equal incarnation and sequence number, the later of the states Suspect,
// Gone and Left wins.
func (m *Member) Supersedes(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Seq != old.Seq {
		return m.Seq > old.Seq
	}
	return m.State > old.State && m.State >= Suspect
}

// hash covers the address and the fields that order records. Fields sent in
// heartbeats only, such as Sessions and Generation, are excluded because only
// observers know their current values.
func (m *Member) hash() uint64 {
	var b [6 + 8 + 4 + 1]byte
	a4 := m.Addr.Addr().As4()
	copy(b[:], a4[:])
	binary.BigEndian.PutUint16(b[4:], m.Addr.Port())
	binary.BigEndian.PutUint64(b[6:], m.Incarnation)
	binary.BigEndian.PutUint32(b[14:], m.Seq)
	b[18] = uint8(m.State)
	return xxh3.Hash(b[:])
}
