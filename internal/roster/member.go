package roster

import (
	"encoding/binary"
	"net/netip"

	"github.com/zeebo/xxh3"
)

// Role tells what a member does.
type Role uint8

// Roles of members.
const (
	Balancer Role = iota + 1
	Agent
)

// String returns the role in lower case.
func (r Role) String() string { return [...]string{"unknown", "balancer", "agent"}[r%3] }

// State is the state of a member's incarnation.
type State uint8

// States of members; Suspect and Gone are said by observers, the others by the
// member itself.
const (
	Starting State = iota + 1
	Ready
	Draining
	Suspect // not heard of by an observer
	Gone    // not heard of for long
	Left    // said farewell
)

var stateNames = [...]string{"unknown", "starting", "ready", "draining", "suspect", "gone", "left"}

// String returns the state in lower case.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return stateNames[0]
}

// Certain reports whether the incarnation in this state has ended beyond doubt.
func (s State) Certain() bool { return s == Left }

// Member is what is known of one balancer or agent.
type Member struct {
	Role        Role           `cbor:"1,keyasint"`
	State       State          `cbor:"2,keyasint"`
	Name        string         `cbor:"3,keyasint,omitempty"`
	Zone        string         `cbor:"4,keyasint,omitempty"`
	Addr        netip.AddrPort `cbor:"5,keyasint"` // inner address, UDP and TCP
	Service     uint16         `cbor:"6,keyasint,omitempty"`
	Incarnation uint64         `cbor:"7,keyasint"`
	Seq         uint32         `cbor:"8,keyasint"`
	Warmth      uint8          `cbor:"9,keyasint,omitempty"`  // percent of its share that the target may take
	Sessions    uint32         `cbor:"10,keyasint,omitempty"` // open sessions; in heartbeats only
	Generation  uint32         `cbor:"11,keyasint,omitempty"` // configuration generation of its service; in heartbeats only
	Host        string         `cbor:"12,keyasint,omitempty"` // VM that the target runs on
	Serves      string         `cbor:"13,keyasint,omitempty"` // name of the service, where services have no numbers
	Slots       uint32         `cbor:"14,keyasint,omitempty"` // requests that the target runs at a time
	Back        bool           `cbor:"16,keyasint,omitempty"` // stopped as planned, to start again
	Busy        uint32         `cbor:"15,keyasint,omitempty"` // requests in progress; in heartbeats only
}

// Supersedes reports whether m is newer than old, a record of the same address.
func (m *Member) Supersedes(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Seq != old.Seq {
		return m.Seq > old.Seq
	}
	return m.State > old.State && m.State >= Suspect
}

// Hashes what deltas and digests carry; sessions and generation are left out.
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
