package agent

import (
	"context"
	"sync"
	"time"
)

// condition is a boolean, initially false. A select statement can wait until it
// becomes true.
type condition struct {
	mu    sync.Mutex
	value bool
	ch    chan struct{} // closed while value is true
}

func newCondition() *condition { return &condition{ch: make(chan struct{})} }

// set sets the value. Setting it to true unblocks those that wait for it.
func (c *condition) set(value bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if value == c.value {
		return
	}
	c.value = value
	if value {
		close(c.ch)
	} else {
		c.ch = make(chan struct{})
	}
}

// get returns the current value and a channel that is closed as soon as the value is
// true.
func (c *condition) get() (value bool, ch <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.value, c.ch
}

const (
	idleCheckInterval = 50 * time.Millisecond
	drainLogInterval  = 10 * time.Second
	moveQuietPeriod   = 3 * time.Second // idle time after which drain stops waiting; long enough for the caller library to learn that its sessions should move
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
