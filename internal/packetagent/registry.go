package packetagent

import (
	"context"
	"time"

	"skylarkturn/internal/backoff"
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
		a.agents.Register(ctx, a.settings.Name, a.innerSocket.Addr())
	}
	return nil
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
