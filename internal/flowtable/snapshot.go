package flowtable

import (
	"encoding/binary"
	"errors"
	"time"

	"skylarkturn/internal/packet"
)

const (
	minSnapshotAge = time.Second // age from which a flow is kept in snapshots; shorter ones end before they are written
	maxSnapshotFlows  = 1 << 13     // flows; 175 KB as JSON; the store takes 1 MiB

	// maxAckDrift is the number of bytes that a client may acknowledge before the flow
	// counts as changed. Clients ignore a reset that misses their position by more
	// than about twice as much.
	maxAckDrift = 32 << 10
)

// Snapshot lists the open flows of one incarnation of a host, for the process
// that runs beside its successor after both have lost power.
type Snapshot struct {
	HostID string
	Born   int64 // as in Report
	Flows  map[packet.Key]uint32
}

// Snapshot returns the flows that have been open for some time, each with the
// client's last acknowledgement.
func (t *Table) Snapshot(now time.Time) Snapshot {
	s := Snapshot{HostID: t.host.ID, Born: t.host.Born, Flows: make(map[packet.Key]uint32)}
	for k, f := range t.flows {
		if f.state == open && now.Sub(f.createdAt) >= minSnapshotAge && len(s.Flows) < maxSnapshotFlows {
			s.Flows[k] = f.clientAck
		}
	}
	return s
}

// Shares of a snapshot's flows that an older one has to lack before it is
// replaced, at its usual age and early.
const (
	replaceShare = 0.125
	earlyReplaceShare = 0.3
)

// earlyIntervalDivisor is the part of the usual age at which a snapshot is replaced
// early: after many flows have moved they would be missed most.
const earlyIntervalDivisor = 4

// Outdates reports whether s is to be written in place of an older snapshot of the
// given age, where interval is the usual one between two.
func (s Snapshot) Outdates(old Snapshot, age, interval time.Duration) bool {
	if s.HostID == "" || len(s.Flows) == 0 {
		return false
	}
	missing := 0
	for k, ack := range s.Flows {
		if was, ok := old.Flows[k]; !ok || ack-was > maxAckDrift {
			missing++
		}
	}
	share := float64(missing) / float64(len(s.Flows))
	return age >= interval && share >= replaceShare || age >= interval/earlyIntervalDivisor && share >= earlyReplaceShare
}

const flowLen = packet.KeyLen + 4 // bytes of an encoded flow

// EncodeFlows returns the flows of the snapshot in binary form.
func (s Snapshot) EncodeFlows() []byte {
	b := make([]byte, 0, len(s.Flows)*flowLen)
	for k, ack := range s.Flows {
		b = binary.BigEndian.AppendUint32(k.Append(b), ack)
	}
	return b
}

// DecodeFlows takes the flows of the snapshot from their binary form.
func (s *Snapshot) DecodeFlows(b []byte) error {
	if len(b)%flowLen != 0 || len(b) > maxSnapshotFlows*flowLen {
		return errors.New("flowtable: snapshot of a wrong length")
	}
	s.Flows = make(map[packet.Key]uint32, len(b)/flowLen)
	for ; len(b) > 0; b = b[flowLen:] {
		s.Flows[packet.DecodeKey(b)] = binary.BigEndian.Uint32(b[packet.KeyLen:])
	}
	return nil
}

// Recall takes the snapshot that an earlier process beside this host or one
// before it has written. Its flows are reset as soon as that host is known to
// have ended, so that clients open others before they send a request that would
// fail.
func (t *Table) Recall(s Snapshot, out []Action) []Action {
	t.previous = s
	if t.previousHostEnded {
		return t.resetPreviousFlows(HostEnded, out)
	}
	return t.resetPreviousIfReplaced(t.startedRecently(t.host), out)
}

// Ends the recalled flows when the registered host is a later incarnation than
// theirs. Where births do not tell, a single report may be a late one of a host
// before that of the snapshot, unless it is sure not to be.
func (t *Table) resetPreviousIfReplaced(sure bool, out []Action) []Action {
	r, s := t.host, &t.previous
	if r.ID == "" || s.HostID == "" || r.ID == s.HostID && r.Born == s.Born {
		return out
	}
	if r.Born != 0 && s.Born != 0 {
		sure = r.Born > s.Born
	}
	if !sure {
		return out
	}
	return t.resetPreviousFlows(HostRestarted, out)
}

func (t *Table) resetPreviousFlows(cause Cause, out []Action) []Action {
	for k, ack := range t.previous.Flows {
		if t.flows[k] == nil {
			out = append(out, Action{Verb: Reset, Cause: cause, Flow: k, ClientAck: ack})
		}
	}
	t.previous = Snapshot{}
	return out
}
