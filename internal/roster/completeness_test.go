package roster

import (
	"fmt"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/script"
)

// TestCompleteness runs the scripts in testdata/completeness on a balancer that has just
// started.
func TestCompleteness(t *testing.T) {
	script.Run(t, "testdata/completeness/*.txt", func(t *testing.T) func(script.Command) []string {
		now := time.Unix(1_800_000_000, 0)
		c := NewCompleteness(now)
		return func(cmd script.Command) []string {
			switch cmd.Name {
			case "wait":
				now = now.Add(cmd.Duration(t, 0))
				return nil
			case "gossip": // gossip [complete] [same] [lacking]
				c.RecordGossip(netip.MustParseAddrPort("10.0.0.2:7000"), cmd.HasArg("complete"), cmd.HasArg("same"), cmd.HasArg("lacking"))
				return nil
			case "agent": // agent SERVICE agrees|differs: a heartbeat
				number, err := strconv.ParseUint(cmd.Arg(0), 10, 16)
				qt.Assert(t, qt.IsNil(err))
				c.RecordHeartbeat(uint16(number), cmd.HasArg("agrees"))
				return nil
			case "certain":
				return []string{fmt.Sprint(c.Certain(now))}
			case "complete":
				return []string{fmt.Sprint(c.Complete(now))}
			}
			return script.UnknownCommand(t, cmd)
		}
	})
}
