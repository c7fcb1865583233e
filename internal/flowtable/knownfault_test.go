package flowtable

import (
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/packet"
)

// TestLateReportOfYoungHostWithoutStartTime guards against resets of a living host's flows:
// after the agent's restart, the first report is a late one of a host that crashed young. It
// is in KNOWN-RED.txt.
func TestLateReportOfYoungHostWithoutStartTime(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := New(now, scriptVM, reportInterval, false)
	k := packet.Key{Client: clientEndpoint(t, "c1"), Route: listen}
	out := table.SetPreviousSnapshot(now, Snapshot{HostID: "h5", Flows: map[packet.Key]uint32{k: 500}}, nil)
	qt.Check(t, qt.HasLen(out, 0))
	late := Report{ID: "h1", Seq: 2, Service: "bookdesk", Zone: scriptVM.Zone, Addr: scriptVM.Addr, State: HostReady, Slots: 4}
	_, out = table.HandleReport(now, late, nil)
	qt.Check(t, qt.HasLen(out, 0))
}
