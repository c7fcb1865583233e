package packetagent

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime returns the time since the VM's start, including the time that it was suspended,
// which the clock of package time leaves out.
func uptime() time.Duration {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) // fails only for an unknown clock
	return time.Duration(ts.Nano())
}
