package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"skylarkturn/internal/platform"
)

const (
	seedsAfter    = 2 * time.Second // without a peer, after which the registry is asked
	seedsRetry    = 2 * time.Second
	registerRetry = 500 * time.Millisecond
	maxRegister   = 4 * time.Second
	forgetTimeout = 300 * time.Millisecond
	departedEvery = 500 * time.Millisecond // between looks for agents to take out of the registry
)

// Registers this balancer, and looks in the registry for others while none is
// known.
func (b *Balancer) keepRegistered(ctx context.Context) error {
	b.persist(ctx, "register", func() error {
		return b.platform.Balancers.Register(ctx, b.cfg.Name, b.inner.Addr())
	})
	sleep(ctx, seedsAfter)
	for ctx.Err() == nil {
		b.mu.Lock()
		alone := b.members.Alone()
		b.mu.Unlock()
		if alone {
			b.findPeers(ctx)
		}
		sleep(ctx, seedsRetry+rand.N(seedsRetry))
	}
	return nil
}

func (b *Balancer) findPeers(ctx context.Context) {
	found, err := b.platform.Balancers.List(ctx, true)
	if err != nil {
		b.storeFailed(ctx, "list balancers", err)
	}
	b.AddSeeds(addressesOf(found))
}

// Learns from the registry which agents there are, so that a flow is not taken
// for lost before all of them have been heard.
func (b *Balancer) learnAgents(ctx context.Context) error {
	b.persist(ctx, "list agents", func() error {
		found, err := b.platform.Agents.List(ctx, false)
		if err != nil {
			return err
		}
		b.mu.Lock()
		b.members.Expect(addressesOf(found))
		b.mu.Unlock()
		return nil
	})
	return nil
}

// Takes agents that have left for good out of the registry.
func (b *Balancer) forgetDeparted(ctx context.Context) error {
	for ctx.Err() == nil {
		b.mu.Lock()
		names := b.members.Departed()
		b.mu.Unlock()
		for _, name := range names {
			err := b.platform.Agents.Forget(ctx, name)
			if err != nil && !platform.IsKind(err, platform.KindNotFound) {
				b.storeFailed(ctx, "forget agent", err)
				break // the store is away; later again
			}
			b.mu.Lock()
			b.members.Forgotten(name)
			b.mu.Unlock()
		}
		sleep(ctx, departedEvery)
	}
	return nil
}

// Calls the store until it succeeds, at growing intervals.
func (b *Balancer) persist(ctx context.Context, op string, call func() error) {
	for retry := registerRetry; ctx.Err() == nil; retry = min(2*retry, maxRegister) {
		err := call()
		if err == nil {
			return
		}
		b.storeFailed(ctx, op, err)
		sleep(ctx, retry/2+rand.N(retry))
	}
}

func (b *Balancer) storeFailed(ctx context.Context, op string, err error) {
	if ctx.Err() != nil {
		return // the balancer stops
	}
	b.counters.storeErrors.Inc()
	b.log.Warn().Str("event", "store_call").Str("op", op).Err(err).Msg("")
}

// Removes this balancer from the registry.
func (b *Balancer) forget(ctx context.Context) {
	within, cancel := context.WithTimeout(ctx, forgetTimeout)
	defer cancel()
	if err := b.platform.Balancers.Forget(within, b.cfg.Name); err != nil {
		b.storeFailed(ctx, "forget", err)
	}
}

func addressesOf(found map[string]netip.AddrPort) []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(found))
	for _, a := range found {
		addrs = append(addrs, a)
	}
	return addrs
}
