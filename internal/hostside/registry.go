package hostside

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	seedsAfter    = 2 * time.Second // without an answer, after which the registry is asked
	seedsRetry    = 2 * time.Second
	registerRetry = 500 * time.Millisecond
	maxRegister   = 4 * time.Second
	forgetTimeout = 300 * time.Millisecond
)

// Registers the agent once it has a host; before, it holds no flow that balancers
// would have to wait for.
func (a *Agent) register(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-a.hosted:
	}
	for retry := registerRetry; ctx.Err() == nil; retry = min(2*retry, maxRegister) {
		err := a.platform.Agents.Register(ctx, a.cfg.Name, a.inner.Addr())
		if err == nil {
			return nil
		}
		a.storeFailed(ctx, "register", err)
		sleep(ctx, retry/2+rand.N(retry))
	}
	return nil
}

// Looks in the registry for balancers while none answers.
func (a *Agent) seekBalancers(ctx context.Context) error {
	sleep(ctx, seedsAfter)
	for ctx.Err() == nil {
		a.mu.Lock()
		lone := a.members.Lone(time.Now())
		a.mu.Unlock()
		if lone {
			a.findBalancers(ctx)
		}
		sleep(ctx, seedsRetry+rand.N(seedsRetry))
	}
	return nil
}

func (a *Agent) findBalancers(ctx context.Context) {
	found, err := a.platform.Balancers.List(ctx, true)
	if err != nil {
		a.storeFailed(ctx, "list balancers", err)
	}
	seeds := make([]netip.AddrPort, 0, len(found))
	for _, s := range found {
		seeds = append(seeds, s)
	}
	a.AddSeeds(seeds)
}

// Removes the agent from the registry.
func (a *Agent) forget(ctx context.Context) {
	within, cancel := context.WithTimeout(ctx, forgetTimeout)
	defer cancel()
	if err := a.platform.Agents.Forget(within, a.cfg.Name); err != nil {
		a.storeFailed(ctx, "forget", err)
	}
}

func (a *Agent) storeFailed(ctx context.Context, op string, err error) {
	if ctx.Err() != nil {
		return // the agent stops
	}
	a.counters.storeErrors.Inc()
	a.log.Warn().Str("event", "store_call").Str("op", op).Err(err).Msg("")
}
