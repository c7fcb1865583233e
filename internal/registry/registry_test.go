package registry

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-quicktest/qt"
	"github.com/phuslu/log"

	"skylarkturn/internal/epoch"
	"skylarkturn/internal/platform"
)

// failingStore is a store whose first calls fail.
type failingStore struct {
	failures int64
	calls    atomic.Int64 // read by tests while the registry runs
	err      error
	outdated bool // the list has an entry of an earlier epoch
}

func (s *failingStore) call() error {
	if s.calls.Add(1) <= s.failures {
		return s.err
	}
	return nil
}

func (s *failingStore) Register(context.Context, string, netip.AddrPort) error { return s.call() }
func (s *failingStore) Forget(context.Context, string) error                   { return s.call() }
func (s *failingStore) List(context.Context, bool) (map[string]Entry, error) {
	return map[string]Entry{"agent-1": {Addr: netip.MustParseAddrPort("10.0.0.1:7400"), Outdated: s.outdated}}, s.call()
}

func newRegistry(s Store) (*Registry, *metrics.Counter) {
	c := &metrics.Counter{}
	return New("agents", s, &log.Logger{Level: log.PanicLevel}, c), c
}

func TestRegisterRetriesUntilStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &failingStore{failures: 4, err: errors.New("store is down")}
		r, errorCount := newRegistry(s)
		keepRegistered(t, r, epoch.NewMonitor())
		time.Sleep(time.Minute)
		qt.Check(t, qt.Equals(s.calls.Load(), 5))
		qt.Check(t, qt.Equals(errorCount.Get(), 4))
	})
}

const rewriteDelay = 700 * time.Millisecond

// keepRegistered starts KeepRegistered until the end of the test.
func keepRegistered(t *testing.T, r *Registry, epochs *epoch.Monitor) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.KeepRegistered(ctx, "agent-1", netip.MustParseAddrPort("10.0.0.1:7400"), epochs, func() time.Duration { return rewriteDelay })
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func TestRestoredStoreGetsRegistrationAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &failingStore{}
		r, _ := newRegistry(s)
		epochs := epoch.NewMonitor()
		epochs.Observe(4)
		keepRegistered(t, r, epochs)
		time.Sleep(time.Minute)
		qt.Check(t, qt.Equals(s.calls.Load(), 1))
		epochs.Observe(5)
		time.Sleep(rewriteDelay - time.Millisecond)
		qt.Check(t, qt.Equals(s.calls.Load(), 1))
		time.Sleep(time.Minute)
		qt.Check(t, qt.Equals(s.calls.Load(), 2))
	})
}

func TestRestoredRegistryIsIncomplete(t *testing.T) {
	s := &failingStore{}
	r, _ := newRegistry(s)
	_, complete := r.List(t.Context())
	qt.Check(t, qt.IsTrue(complete))
	s.outdated = true
	_, complete = r.List(t.Context())
	qt.Check(t, qt.IsFalse(complete))
}

func TestListReturnsWhenContextIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &failingStore{failures: 1 << 30, err: errors.New("store is down")}
		r, _ := newRegistry(s)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		r.List(ctx)
		qt.Check(t, qt.IsTrue(s.calls.Load() < 40))
	})
}

func TestForgetSucceedsWithoutRecord(t *testing.T) {
	r, errorCount := newRegistry(&failingStore{failures: 1, err: &platform.Error{Op: "delete", Kind: platform.KindNotFound}})
	qt.Check(t, qt.IsNil(r.Forget(t.Context(), "agent-1")))
	qt.Check(t, qt.Equals(errorCount.Get(), 0))
	r, errorCount = newRegistry(&failingStore{failures: 1, err: &platform.Error{Op: "delete", Kind: platform.KindUnavailable}})
	qt.Check(t, qt.IsNotNil(r.Forget(t.Context(), "agent-1")))
	qt.Check(t, qt.Equals(errorCount.Get(), 1))
}
