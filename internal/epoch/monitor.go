package epoch

import (
	"context"
	"sync"
)

// Monitor is a Tracker that the goroutines of a daemon share. It wakes those that
// wait for a newer epoch.
type Monitor struct {
	mu       sync.Mutex // guards the fields below
	tracker  Tracker
	advanced chan struct{} // closed and replaced when the epoch advances
}

// NewMonitor returns a monitor that knows no epoch.
func NewMonitor() *Monitor { return &Monitor{advanced: make(chan struct{})} }

// Observe records the epoch of an answer, as Tracker.Observe does.
func (m *Monitor) Observe(e uint64) Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.tracker.Observe(e)
	if v == Advanced {
		close(m.advanced)
		m.advanced = make(chan struct{})
	}
	return v
}

// Newest returns the newest known epoch, or 0 if none is known, and a channel that
// is closed when a newer one becomes known.
func (m *Monitor) Newest() (e uint64, advanced <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Newest(), m.advanced
}

// Bind returns a context that is cancelled when a newer epoch becomes known. The
// caller calls cancel to release its resources.
func (m *Monitor) Bind(ctx context.Context) (_ context.Context, cancel context.CancelFunc) {
	_, advanced := m.Newest()
	ctx, cancel = context.WithCancel(ctx)
	go func() {
		select {
		case <-advanced:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Follow calls handle each time that a newer epoch has become known, until ctx is
// done.
func (m *Monitor) Follow(ctx context.Context, handle func(newest uint64)) {
	_, advanced := m.Newest()
	for {
		select {
		case <-ctx.Done():
			return
		case <-advanced:
		}
		var newest uint64
		newest, advanced = m.Newest()
		handle(newest)
	}
}
