package flowtable

import (
	"encoding/binary"
	"errors"
	"time"

	"skylarkturn/internal/packet"
)

const (
	minSnapshotAge   = time.Second // minimum age of a flow in a snapshot; shorter flows end before it is written
	maxSnapshotFlows = 1 << 13     // 175 KB as JSON; the store accepts 1 MiB

	// maxAckDrift is the number of bytes that a client may acknowledge before its
	// flow counts as changed. Clients ignore a reset whose acknowledgement number is
	// off by more than about twice this value.
	maxAckDrift = 32 << 10
)

// Snapshot lists the open flows of one incarnation of a host. After a power loss of
// agent and host, the next agent process uses it to reset those flows.
type Snapshot struct {
	HostID    string
	StartTime int64                 // as in Report
	Flows     map[packet.Key]uint32 // client's last acknowledgement number by flow
	Outdated  bool                  // read from a store that has since been restored from a copy, so that a later snapshot may be lost
}

// Snapshot returns the open flows that are at least minSnapshotAge old and older than the
// host's newest report, at most maxSnapshotFlows of them. A younger one may be of another
// incarnation that has not reported yet.
func (t *Table) Snapshot(now time.Time) Snapshot {
	s := Snapshot{HostID: t.host.ID, StartTime: t.host.StartTime, Flows: make(map[packet.Key]uint32)}
	for k, f := range t.flows {
		lasting := now.Sub(f.createdAt) >= minSnapshotAge && f.createdAt.Before(t.lastReport)
		if f.state == open && lasting && len(s.Flows) < maxSnapshotFlows {
			s.Flows[k] = f.clientAck
		}
	}
	return s
}

// The stored snapshot is replaced if this share of the current flows is missing or
// changed in it.
const (
	replaceShare      = 0.125 // after the usual interval
	earlyReplaceShare = 0.3   // after the early interval
)

// earlyIntervalDivisor is the ratio of the usual to the early interval. An outdated
// snapshot does the most harm right after many flows have moved, so it may then be
// replaced early.
const earlyIntervalDivisor = 4

// ShouldReplace reports whether s should replace an older snapshot of the given age.
// interval is the usual time between two snapshots.
func (s Snapshot) ShouldReplace(old Snapshot, age, interval time.Duration) bool {
	if s.HostID == "" || len(s.Flows) == 0 {
		return false
	}
	missing := 0
	for k, ack := range s.Flows {
		if oldAck, ok := old.Flows[k]; !ok || ack-oldAck > maxAckDrift {
			missing++
		}
	}
	share := float64(missing) / float64(len(s.Flows))
	return age >= interval && share >= replaceShare || age >= interval/earlyIntervalDivisor && share >= earlyReplaceShare
}

const flowLen = packet.KeyLen + 4 // bytes of an encoded flow

// EncodeFlows returns the binary encoding of the flows.
func (s Snapshot) EncodeFlows() []byte {
	b := make([]byte, 0, len(s.Flows)*flowLen)
	for k, ack := range s.Flows {
		b = binary.BigEndian.AppendUint32(k.Append(b), ack)
	}
	return b
}

// DecodeFlows replaces the flows by those encoded in b.
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

// SetPreviousSnapshot sets the snapshot that an earlier agent process wrote for this
// or an earlier host. Its flows are reset as soon as the host of the snapshot is
// known to have ended, so that clients reconnect before they send a request that
// would fail.
func (t *Table) SetPreviousSnapshot(now time.Time, s Snapshot, out []Action) []Action {
	t.previous = s
	if s.StartTime != 0 {
		t.requireStartTimes(now)
		if t.host.ID != "" && t.host.StartTime == 0 {
			t.host, t.presence, t.origin = Report{}, unheard, origin{} // of another writer
		}
	}
	if t.previousHostEnded {
		return t.resetPreviousFlows(HostEnded, out)
	}
	return t.resetPreviousIfReplaced(out)
}

// resetPreviousIfReplaced resets the flows of the previous snapshot if the registered
// host is a later incarnation than that of the snapshot. Start times decide if both are
// known. Otherwise a single report may be a late one of a host that ended before the
// snapshot; the next one rules that out. One of a young host without a start time counts at
// once: after a power loss hosts are often back before their agents, and clients need the
// resets before they send.
func (t *Table) resetPreviousIfReplaced(out []Action) []Action {
	r, s := t.host, &t.previous
	if r.ID == "" || s.HostID == "" || r.ID == s.HostID && r.StartTime == s.StartTime {
		return out
	}
	isNewer := t.origin.confirmed || t.origin.young
	switch {
	case r.StartTime != 0 && s.StartTime != 0:
		isNewer = r.StartTime > s.StartTime
	case r.StartTime != 0:
		isNewer = t.origin.confirmed
	}
	if !isNewer {
		return out
	}
	return t.resetPreviousFlows(HostRestarted, out)
}

// resetPreviousFlows resets the flows of the previous snapshot, except for those
// that are in the table, and discards the snapshot. An outdated snapshot may be of a
// host before the previous one, so that clients may have reused the addresses of its
// flows; only a table that is complete once the host is known to run tells.
func (t *Table) resetPreviousFlows(cause Cause, out []Action) []Action {
	if t.previous.Outdated && !t.complete {
		if t.origin.confirmed {
			t.previous = Snapshot{}
		}
		return out
	}
	for k, ack := range t.previous.Flows {
		if t.flows[k] == nil {
			out = append(out, Action{Op: Reset, Cause: cause, Flow: k, ClientAck: ack})
		}
	}
	t.previous = Snapshot{}
	return out
}
