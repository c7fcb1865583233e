package agent

import (
	"context"
	"sync"
	"time"
)

// condition is a boolean whose becoming true can be waited for in a select statement.
type condition struct {
	mu    sync.Mutex
	holds bool
	ch    chan struct{} // closed while holds is true
}

func newCondition() *condition { return &condition{ch: make(chan struct{})} }

func (c *condition) set(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if on == c.holds {
		return
	}
	c.holds = on
	if on {
		close(c.ch)
	} else {
		c.ch = make(chan struct{})
	}
}

// get returns the value and a channel that is closed once it is true.
func (c *condition) get() (on bool, ch <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holds, c.ch
}

const (
	idleCheckInterval = 50 * time.Millisecond
	drainLogInterval  = 10 * time.Second
	moveQuietPeriod   = 3 * time.Second // time within which the caller library learns that its sessions should move
)

// drain shuts the agent down gracefully: it refuses new work, asks callers to move and
// waits for requests in progress to finish. Afterwards it lingers, so that other agents
// can resolve requests whose responses were lost in transit.
func (a *Agent) drain(ctx context.Context) {
	a.mu.Lock()
	a.target.Stop()
	a.mu.Unlock()
	a.announce(time.Now())
	drainCtx, cancel := context.WithTimeout(ctx, a.cfg.DrainLimit.Or(defaultDrainLimit))
	defer cancel()
	if !a.waitIdle(drainCtx, moveQuietPeriod) {
		a.log.Warn().Int64("sessions", a.sessions.Load()).Msg("drain limit reached, closing the sessions that are still open")
		return
	}
	if err := a.server.Shutdown(drainCtx); err != nil {
		a.log.Warn().Err(err).Int64("sessions", a.sessions.Load()).Msg("drain limit reached, closing the sessions that are still open")
	}
	select {
	case <-ctx.Done():
	case <-time.After(a.cfg.Linger.Or(defaultLinger)):
	}
}

// waitIdle waits until no session is open, or none has had a request or feed in
// progress for the time quiet, and logs its progress. It returns false if ctx is done
// first.
func (a *Agent) waitIdle(ctx context.Context, quiet time.Duration) bool {
	t := time.NewTicker(idleCheckInterval)
	defer t.Stop()
	lastBusy, lastLog := time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return false
		case now := <-t.C:
			if a.sessions.Load() == 0 {
				return true
			}
			if a.requests.activeCount() > 0 {
				lastBusy = now
			}
			if now.Sub(lastBusy) > quiet {
				return true
			}
			if now.Sub(lastLog) > drainLogInterval {
				lastLog = now
				a.log.Info().Int64("sessions", a.sessions.Load()).Int("requests", a.requests.activeCount()).Msg("waiting for sessions to move")
			}
		}
	}
}
