package hostside

import (
	"context"
	"time"

	"skylarkturn/internal/pace"
)

const (
	seedsAfter    = 150 * time.Millisecond // from the first start; seeds that run answer in less
	minSeedsRetry = 300 * time.Millisecond
	maxSeedsRetry = 3 * time.Second
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

// Looks in the registry for balancers while none answers: seeds may name none
// that runs.
func (a *Agent) seekBalancers(ctx context.Context) error {
	if a.cfg.FirstStart {
		pace.Sleep(ctx, seedsAfter) // the registry is empty yet
	}
	retry := pace.Backoff{Min: minSeedsRetry, Max: maxSeedsRetry}
	for ctx.Err() == nil {
		a.mu.Lock()
		lone := a.members.Lone(time.Now())
		a.mu.Unlock()
		if lone {
			a.AddSeeds(a.balancers.Recent(ctx))
		} else {
			retry.Reset()
		}
		retry.Sleep(ctx)
	}
	return nil
}
