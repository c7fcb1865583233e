package entry

import (
	"context"
	"time"

	"skylarkturn/internal/pace"
)

const (
	registryQueryDelay    = 150 * time.Millisecond // from the start; peers that run answer in less
	departedCheckInterval = 500 * time.Millisecond // between looks for agents to take out of the registry
)

// Registers this balancer, and looks in the registry for others while none is
// known that knows all members.
func (b *Balancer) registerAndDiscover(ctx context.Context) error {
	b.balancers.Register(ctx, b.settings.Name, b.innerSocket.Addr())
	pace.Sleep(ctx, registryQueryDelay)
	b.balancers.Seek(ctx, b.needsDiscovery, b.AddSeeds)
	return nil
}

func (b *Balancer) needsDiscovery() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.members.Seeking(time.Now())
}

// Learns from the registry which agents there are, so that a flow is not taken
// for lost before all of them have been heard.
func (b *Balancer) loadExpectedAgents(ctx context.Context) error {
	agents := b.agents.All(ctx)
	if ctx.Err() != nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members.Expect(agents)
	return nil
}

// Takes agents that have left for good out of the registry.
func (b *Balancer) unregisterDeparted(ctx context.Context) error {
	for ctx.Err() == nil {
		b.mu.Lock()
		names := b.members.Departed()
		b.mu.Unlock()
		for _, name := range names {
			if b.agents.Forget(ctx, name) != nil {
				break // the store is away; later again
			}
			b.mu.Lock()
			b.members.Forgotten(name)
			b.mu.Unlock()
		}
		pace.Sleep(ctx, departedCheckInterval)
	}
	return nil
}
