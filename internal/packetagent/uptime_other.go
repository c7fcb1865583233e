//go:build !linux

package packetagent

import "time"

var programStart = time.Now()

// uptime returns the time since the program's start. Suspended time may be missing.
func uptime() time.Duration { return time.Since(programStart) }
