package registry

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-quicktest/qt"
	"github.com/phuslu/log"

	"skylarkturn/internal/platform"
)

// failingStore is a store whose first calls fail.
type failingStore struct {
	failures int
	calls    int
	err      error
}

func (s *failingStore) call() error {
	s.calls++
	if s.calls <= s.failures {
		return s.err
	}
	return nil
}

func (s *failingStore) Register(context.Context, string, netip.AddrPort) error { return s.call() }
func (s *failingStore) Forget(context.Context, string) error                   { return s.call() }
func (s *failingStore) List(context.Context, bool) (map[string]netip.AddrPort, error) {
	return map[string]netip.AddrPort{"agent-1": netip.MustParseAddrPort("10.0.0.1:7400")}, s.call()
}

func newRegistry(s Store) (*Registry, *metrics.Counter) {
	c := &metrics.Counter{}
	return New("agents", s, &log.Logger{Level: log.PanicLevel}, c), c
}

func TestRegisterRetriesUntilStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &failingStore{failures: 4, err: errors.New("store is down")}
		r, errorCount := newRegistry(s)
		r.Register(t.Context(), "agent-1", netip.MustParseAddrPort("10.0.0.1:7400"))
		qt.Check(t, qt.Equals(s.calls, 5))
		qt.Check(t, qt.Equals(errorCount.Get(), 4))
	})
}

func TestListReturnsWhenContextIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &failingStore{failures: 1 << 30, err: errors.New("store is down")}
		r, _ := newRegistry(s)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		r.List(ctx)
		qt.Check(t, qt.IsTrue(s.calls < 40))
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
