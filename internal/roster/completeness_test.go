package roster

import (
	"fmt"
	"testing"
	"time"

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
			case "gossip": // gossip [complete] [same]
				c.RecordGossip(cmd.HasArg("complete"), cmd.HasArg("same"))
				return nil
			case "complete":
				return []string{fmt.Sprint(c.Complete(now))}
			}
			return script.UnknownCommand(t, cmd)
		}
	})
}
