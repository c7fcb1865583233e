package hostside

import (
	"context"
	"time"

	"skylarkturn/internal/pace"
)

// seedsAfter is the time from the first start for which seeds alone are asked;
// those that run answer in less.
const seedsAfter = 150 * time.Millisecond

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
	a.balancers.Seek(ctx, a.lone, a.AddSeeds)
	return nil
}

func (a *Agent) lone() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members.Lone(time.Now())
}
