package packetbalancer

import (
	"context"
	"time"

	"skylarkturn/internal/backoff"
	"skylarkturn/internal/epoch"
	"skylarkturn/internal/packet"
)

const (
	registryQueryDelay  = 150 * time.Millisecond // time after the start; running seeds answer sooner
	deregisterInterval  = 500 * time.Millisecond // interval of searches for agents to deregister
	incompleteListDelay = 500 * time.Millisecond // before an incomplete list of agents is read again
)

// register keeps this balancer registered, in each epoch of the store.
func (b *Balancer) register(ctx context.Context) error {
	b.balancers.KeepRegistered(ctx, b.settings.Name, b.innerSocket.Addr(), b.platform.Epochs, b.rewriteDelay)
	return nil
}

// rewriteDelay returns the time after which this balancer writes its registration
// again in a new epoch of the store.
func (b *Balancer) rewriteDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return epoch.RewriteDelay(b.members.Members().Len(), packet.EndpointOf(b.innerSocket.Addr()).Place())
}

// discover queries the registry for other balancers while this one knows no other or
// is not settled.
func (b *Balancer) discover(ctx context.Context) error {
	backoff.Sleep(ctx, registryQueryDelay)
	b.balancers.Poll(ctx, b.needsDiscovery, b.AddSeeds)
	return nil
}

// needsDiscovery reports whether this balancer has to look up others in the
// registry.
func (b *Balancer) needsDiscovery() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.members.NeedsDiscovery(time.Now())
}

// loadRegisteredAgents reads the list of agents from the registry, again while it may
// be incomplete. Until all of them are known as members, or a timeout has expired, no
// flow is declared lost.
func (b *Balancer) loadRegisteredAgents(ctx context.Context) error {
	for {
		agents, complete := b.agents.List(ctx)
		if ctx.Err() != nil {
			return nil
		}
		b.mu.Lock()
		b.members.SetRegisteredAgents(agents, complete)
		settled := b.members.Settled(time.Now())
		b.mu.Unlock()
		if complete || settled {
			return nil
		}
		backoff.Sleep(ctx, incompleteListDelay)
	}
}

// storeEpoch returns the newest known epoch of the store, or 0 if none is known.
func (b *Balancer) storeEpoch() uint64 {
	e, _ := b.platform.Epochs.Newest()
	return e
}

// followEpochs announces each new epoch of the store to other daemons, until ctx is
// done. Daemons whose calls are rare learn of it that way.
func (b *Balancer) followEpochs(ctx context.Context) error {
	b.platform.Epochs.Follow(ctx, func(newest uint64) {
		b.mu.Lock()
		b.members.SetStoreEpoch(newest)
		b.mu.Unlock()
		b.counters.storeRestores.Inc()
		b.log.Warn().Str("event", "store_restored").Uint64("epoch", newest).Msg("watches end, registration is renewed")
	})
	return nil
}

// deregisterAgents removes agents that have left permanently from the registry.
func (b *Balancer) deregisterAgents(ctx context.Context) error {
	for ctx.Err() == nil {
		b.mu.Lock()
		names := b.members.AgentsToDeregister()
		b.mu.Unlock()
		for _, name := range names {
			if b.agents.Forget(ctx, name) != nil {
				break // the store is unavailable; retried after the interval
			}
			b.mu.Lock()
			b.members.MarkDeregistered(name)
			b.mu.Unlock()
		}
		backoff.Sleep(ctx, deregisterInterval)
	}
	return nil
}
