package hostside

import (
	"context"
	"math/rand/v2"
	"time"

	"skylarkturn/internal/pace"
)

const (
	seedsAfter = 2 * time.Second // without an answer, after which the registry is asked
	seedsRetry = 2 * time.Second
)

// Registers the agent once it has a host; before, it holds no flow that balancers
// would have to wait for.
func (a *Agent) register(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-a.hosted:
		a.agents.Register(ctx, a.cfg.Name, a.inner.Addr())
	}
	return nil
}

// Looks in the registry for balancers while none answers.
func (a *Agent) seekBalancers(ctx context.Context) error {
	pace.Sleep(ctx, seedsAfter)
	for ctx.Err() == nil {
		a.mu.Lock()
		lone := a.members.Lone(time.Now())
		a.mu.Unlock()
		if lone {
			a.AddSeeds(a.balancers.Recent(ctx))
		}
		pace.Sleep(ctx, seedsRetry+rand.N(seedsRetry))
	}
	return nil
}
