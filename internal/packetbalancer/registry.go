package packetbalancer

import (
	"context"
	"time"

	"skylarkturn/internal/backoff"
)

const (
	registryQueryDelay = 150 * time.Millisecond // time after the start; running seeds answer sooner
	deregisterInterval = 500 * time.Millisecond // interval of searches for agents to deregister
)

// registerAndDiscover registers this balancer, then queries the registry for
// others while this balancer knows no other or is not settled.
func (b *Balancer) registerAndDiscover(ctx context.Context) error {
	b.balancers.Register(ctx, b.settings.Name, b.innerSocket.Addr())
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

// loadRegisteredAgents reads the list of agents from the registry. Until all of
// them are known as members, or a timeout has expired, no flow is declared lost.
func (b *Balancer) loadRegisteredAgents(ctx context.Context) error {
	agents := b.agents.List(ctx)
	if ctx.Err() != nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members.SetRegisteredAgents(agents)
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
