package packetagent

import (
	"context"
	"time"

	"skylarkturn/internal/backoff"
	"skylarkturn/internal/epoch"
	"skylarkturn/internal/packet"
)

// registryQueryDelay is the time after the first start of the system during which
// only the seeds are contacted; running seeds answer sooner.
const registryQueryDelay = 150 * time.Millisecond

// registerAgent registers the agent once it has a host. Before that it owns no
// flow, so balancers need not wait for its heartbeats.
func (a *Agent) registerAgent(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-a.hostSeen:
		a.agents.KeepRegistered(ctx, a.settings.Name, a.innerSocket.Addr(), a.platform.Epochs, a.rewriteDelay)
	}
	return nil
}

// rewriteDelay returns the time after which this agent writes its records in the
// store again in a new epoch.
func (a *Agent) rewriteDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return epoch.RewriteDelay(a.members.FleetSize(), packet.EndpointOf(a.innerSocket.Addr()).Place())
}

// followEpochs announces each new epoch of the store to balancers, until ctx is done.
func (a *Agent) followEpochs(ctx context.Context) error {
	a.platform.Epochs.Follow(ctx, func(newest uint64) {
		a.mu.Lock()
		a.members.SetStoreEpoch(newest)
		a.mu.Unlock()
		a.counters.storeRestores.Inc()
		a.log.Warn().Str("event", "store_restored").Uint64("epoch", newest).Msg("registration and snapshot are renewed")
	})
	return nil
}

// storeEpoch returns the newest known epoch of the store, or 0 if none is known.
func (a *Agent) storeEpoch() uint64 {
	e, _ := a.platform.Epochs.Newest()
	return e
}

// discoverBalancers queries the registry for balancers while none answers, since
// all seeds may be down.
func (a *Agent) discoverBalancers(ctx context.Context) error {
	if a.settings.FirstStart {
		backoff.Sleep(ctx, registryQueryDelay) // the registry is still empty
	}
	a.balancers.Poll(ctx, a.needsDiscovery, a.AddSeeds)
	return nil
}

// needsDiscovery reports whether the agent has to look up balancers in the
// registry.
func (a *Agent) needsDiscovery() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members.Disconnected(time.Now())
}
