package agent

import (
	"context"
	"sync"
	"time"
)

// condition is a condition that waiters can select on.
type condition struct {
	mu    sync.Mutex
	holds bool
	ch    chan struct{} // closed while on
}

func newCondition() *condition { return &condition{ch: make(chan struct{})} }

func (n *condition) set(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if on == n.holds {
		return
	}
	n.holds = on
	if on {
		close(n.ch)
	} else {
		n.ch = make(chan struct{})
	}
}

func (n *condition) get() (on bool, ch <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holds, n.ch
}

const (
	idleCheckInterval = 50 * time.Millisecond
	drainLogInterval  = 10 * time.Second
	moveQuietPeriod   = 3 * time.Second // in which callers of the library hear that they are to move
)

// Carries out a planned stop: new work is refused, callers are told to move,
// requests in progress finish, and the agent lingers to answer for answers that
// were lost on the way.
func (a *Agent) drain(ctx context.Context) {
	a.mu.Lock()
	a.target.Stop()
	a.mu.Unlock()
	a.announce(time.Now())
	limit, cancel := context.WithTimeout(ctx, a.cfg.DrainLimit.Or(defaultDrainLimit))
	defer cancel()
	if !a.waitIdle(limit, moveQuietPeriod) {
		a.log.Warn().Int64("sessions", a.sessions.Load()).Msg("drain limit reached, sessions still open are ended")
		return
	}
	if err := a.server.Shutdown(limit); err != nil {
		a.log.Warn().Err(err).Int64("sessions", a.sessions.Load()).Msg("drain limit reached, sessions still open are ended")
	}
	select {
	case <-ctx.Done():
	case <-time.After(a.cfg.Linger.Or(defaultLinger)):
	}
}

// Waits until no session is open, or none has had a request or feed in progress
// for the given time; it logs from time to time what it waits for.
func (a *Agent) waitIdle(ctx context.Context, quiet time.Duration) bool {
	t := time.NewTicker(idleCheckInterval)
	defer t.Stop()
	busy, reported := time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return false
		case now := <-t.C:
			if a.sessions.Load() == 0 {
				return true
			}
			if a.requests.activeCount() > 0 {
				busy = now
			}
			if now.Sub(busy) > quiet {
				return true
			}
			if now.Sub(reported) > drainLogInterval {
				reported = now
				a.log.Info().Int64("sessions", a.sessions.Load()).Int("requests", a.requests.activeCount()).Msg("waiting for sessions to move")
			}
		}
	}
}
