package packetbalancer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/epoch"
	"skylarkturn/internal/membership"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/route"
)

// recordingStore records the calls of a balancer.
type recordingStore struct{ calls []string }

func (s *recordingStore) Config(context.Context) (route.Config, epoch.Position, bool, error) {
	s.calls = append(s.calls, "config")
	return route.Config{}, epoch.Position{Revision: 7}, false, nil
}

func (s *recordingStore) AwaitConfig(_ context.Context, at epoch.Position, _ time.Duration) (route.Config, epoch.Position, bool, error) {
	s.calls = append(s.calls, "await")
	return route.Config{}, at, false, nil
}

func (s *recordingStore) Reconnect() { s.calls = append(s.calls, "reconnect") }

// TestCheckReconnects guards against a check that waits on a connection which went
// silent together with the watch that it is to guard.
func TestCheckReconnects(t *testing.T) {
	s := &recordingStore{}
	self := roster.Member{Addr: netip.MustParseAddrPort("10.0.0.1:7000")}
	b := &Balancer{
		platform: Platform{Store: s},
		members:  membership.NewBalancer(time.Unix(1_800_000_000, 0), self, nil, rand.New(rand.NewPCG(1, 1))),
	}
	at, err := b.checkOnce(t.Context(), epoch.Position{})
	qt.Assert(t, qt.IsNil(err))
	_, err = b.checkOnce(t.Context(), at)
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.DeepEquals(s.calls, []string{"reconnect", "config", "reconnect", "await"}))
}
