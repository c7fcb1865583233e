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

// away is a store that is away for some calls.
type away struct {
	failures int
	calls    int
	err      error
}

func (s *away) call() error {
	s.calls++
	if s.calls <= s.failures {
		return s.err
	}
	return nil
}

func (s *away) Register(context.Context, string, netip.AddrPort) error { return s.call() }
func (s *away) Forget(context.Context, string) error                   { return s.call() }
func (s *away) List(context.Context, bool) (map[string]netip.AddrPort, error) {
	return map[string]netip.AddrPort{"edge-1": netip.MustParseAddrPort("10.0.0.1:7400")}, s.call()
}

func newRegistry(s Store) (*Registry, *metrics.Counter) {
	c := &metrics.Counter{}
	return New("agents", s, &log.Logger{Level: log.PanicLevel}, c), c
}

func TestRegisterOutlastsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &away{failures: 4, err: errors.New("store is down")}
		r, failed := newRegistry(s)
		r.Register(t.Context(), "side-1", netip.MustParseAddrPort("10.0.0.1:7400"))
		qt.Check(t, qt.Equals(s.calls, 5))
		qt.Check(t, qt.Equals(failed.Get(), 4))
	})
}

func TestAllEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &away{failures: 1 << 30, err: errors.New("store is down")}
		r, _ := newRegistry(s)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		r.All(ctx)
		qt.Check(t, qt.IsTrue(s.calls < 40))
	})
}

func TestForgetTakesAMissingNoteForDone(t *testing.T) {
	r, failed := newRegistry(&away{failures: 1, err: &platform.Error{Op: "delete", Kind: platform.KindNotFound}})
	qt.Check(t, qt.IsNil(r.Forget(t.Context(), "side-1")))
	qt.Check(t, qt.Equals(failed.Get(), 0))
	r, failed = newRegistry(&away{failures: 1, err: &platform.Error{Op: "delete", Kind: platform.KindUnavailable}})
	qt.Check(t, qt.IsNotNil(r.Forget(t.Context(), "side-1")))
	qt.Check(t, qt.Equals(failed.Get(), 1))
}
