package flowtable

import "time"

// PauseDetector detects that the agent was paused, alone or with its VM. The zero value is
// ready to use.
type PauseDetector struct {
	lastSeen time.Duration
	started  bool
}

// Observe takes the time since the VM's start, suspended time included. It reports
// whether the agent was paused since the call before. A running agent calls it at intervals
// shorter than maxReportLateness.
func (d *PauseDetector) Observe(uptime time.Duration) (paused bool) {
	paused = d.started && uptime-d.lastSeen > maxReportLateness
	d.started, d.lastSeen = true, uptime
	return paused
}

// HandlePause handles that the agent was paused until now.
func (t *Table) HandlePause(now time.Time) { t.pausedUntil = now }

// mayHaveWaited reports whether a report that is received now may have waited for an agent
// that was paused. Its host may have ended meanwhile.
func (t *Table) mayHaveWaited(now time.Time) bool { return now.Sub(t.pausedUntil) <= maxReportLateness }
