package balancer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"skylarkturn/internal/backoff"
	"skylarkturn/internal/control"
	"skylarkturn/internal/platform"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/service"
)

// ServiceKind is the platform's kind of objects that hold confirmed services.
const ServiceKind = "service"

const (
	fetchTimeout    = 2 * time.Second
	watchWait       = 20 * time.Second
	firstCallDelay  = 1500 * time.Millisecond // time to find other balancers first
	watcherNumber   = 0                       // the service number whose observers hold the watches
	minRetry        = 300 * time.Millisecond
	maxRetry        = 15 * time.Second
	watcherCheck    = time.Second
	maxCheckedAgo   = 24 * time.Hour
	currentFor      = 60 * time.Second // age of the last check up to which the configuration counts as current
	spreadTransmits = 12
)

// pull is a fetch from another daemon that waits to be made.
type pull struct {
	from    netip.AddrPort
	numbers []uint16 // services to fetch
	all     bool     // all newer services
	members bool     // all members
}

// Queues a fetch. A full queue drops it: digests will show the difference again.
func (b *Balancer) want(p pull) {
	select {
	case b.pulls <- p:
	default:
	}
}

// Makes the fetches, one at a time.
func (b *Balancer) fetch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-b.pulls:
			b.makeFetch(ctx, p)
		}
	}
}

func (b *Balancer) makeFetch(ctx context.Context, p pull) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if p.members {
		members, err := b.peers.Members(ctx, p.from)
		if err != nil {
			b.counters.fetchErrors.Inc()
			return
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, m := range members {
			b.learn(time.Now(), m, false)
		}
		return
	}
	have := b.have(p)
	if len(have) == 0 && !p.all {
		return
	}
	services, err := b.peers.Services(ctx, p.from, have, p.all)
	if err != nil {
		b.counters.fetchErrors.Inc()
		return
	}
	for _, s := range services {
		b.accept(s)
	}
}

func (b *Balancer) have(p pull) (have []control.Generation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.all {
		for _, s := range b.catalog.All() {
			have = append(have, control.Generation{Service: s.Number, Number: s.Generation})
		}
		return have
	}
	for _, n := range p.numbers {
		have = append(have, control.Generation{Service: n, Number: b.catalog.Generation(n)})
	}
	return have
}

// Puts a confirmed service in force here, unless one as new already is, and
// has it spread at once.
func (b *Balancer) accept(s service.Service) {
	b.mu.Lock()
	changed := b.catalog.Apply(s)
	var out []outgoing
	if changed {
		b.stale = true
		b.spread[s.Number] = spreadTransmits
		b.rebuild()
		generations := []control.Generation{{Service: s.Number, Number: s.Generation}}
		for _, p := range b.members.Peers(b.self, roster.Fanout) {
			out = append(out, outgoing{p.Addr, b.gossipMessage(time.Now(), nil, generations)})
		}
	}
	b.mu.Unlock()
	for _, o := range out {
		b.send(o.to, o.message)
	}
	if changed {
		b.log.Info().Str("service", s.Name).Uint32("generation", s.Generation).Msg("configuration in force")
	}
}

// Services returns the services that are newer here than at the asker.
func (b *Balancer) Services(have []control.Generation, all bool) []service.Service {
	b.mu.Lock()
	defer b.mu.Unlock()
	var newer []service.Service
	for _, s := range b.catalog.All() {
		i := slices.IndexFunc(have, func(g control.Generation) bool { return g.Service == s.Number })
		if i >= 0 && have[i].Number < s.Generation || i < 0 && all {
			newer = append(newer, *s)
		}
	}
	return newer
}

// Members returns all members known.
func (b *Balancer) Members() []roster.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.members.Members(func(*roster.Member) bool { return true })
}

// Follows the platform's services while this balancer is one of the few that
// hold a watch.
func (b *Balancer) followPlatform(ctx context.Context) error {
	if b.platform == nil {
		<-ctx.Done()
		return nil
	}
	backoff.Sleep(ctx, firstCallDelay+rand.N(firstCallDelay))
	retry := minRetry
	for ctx.Err() == nil {
		if !b.watcher() {
			b.revision = 0
			backoff.Sleep(ctx, watcherCheck)
			continue
		}
		if err := b.followOnce(ctx); err != nil {
			retry = b.backOff(ctx, retry, err)
			continue
		}
		retry = minRetry
	}
	return nil
}

// Reports whether this balancer is one of those that hold a watch.
func (b *Balancer) watcher() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.members.Observers(watcherNumber, roster.DefaultObservers), func(m roster.Member) bool {
		return m.Addr == b.self
	})
}

func (b *Balancer) followOnce(ctx context.Context) (err error) {
	var l platform.List
	started := time.Now()
	if b.revision == 0 {
		l, err = b.platform.List(ctx, ServiceKind)
	} else {
		l, err = b.platform.Watch(ctx, ServiceKind, b.revision, watchWait)
	}
	if err != nil {
		b.revision = 0 // a list shows what a lost watch may have missed
		return err
	}
	for _, o := range l.Items {
		b.acceptObject(o)
	}
	b.revision = max(l.Revision, 1)
	b.mu.Lock()
	b.checked = started
	b.mu.Unlock()
	return nil
}

func (b *Balancer) acceptObject(o platform.Object) {
	var s service.Service
	err := json.Unmarshal(o.Value, &s)
	if err == nil {
		err = s.Check()
	}
	if err != nil {
		b.counters.badObjects.Inc()
		b.log.Error().Err(err).Str("object", o.Name).Msg("service object ignored")
		return
	}
	b.accept(s)
}

// Waits before the next call, longer after each failure, with jitter.
func (b *Balancer) backOff(ctx context.Context, retry time.Duration, err error) time.Duration {
	b.counters.platformErrors.Inc()
	b.log.Debug().Err(err).Msg("platform not followed")
	backoff.Sleep(ctx, retry/2+rand.N(retry))
	return min(2*retry, maxRetry)
}

// Returns the milliseconds since the catalog was known to be the platform's;
// called with mu held.
func (b *Balancer) checkedAgo(now time.Time) uint32 {
	ago := now.Sub(b.checked)
	if b.checked.IsZero() || ago > maxCheckedAgo {
		return 0
	}
	return uint32(max(ago.Milliseconds(), 1))
}

// A peer whose catalog is equal and was checked later vouches for this one's.
func (b *Balancer) learnChecked(now time.Time, m *control.Message) {
	if m.CheckAgeMillis == 0 || m.ConfigDigest != b.catalog.Digest() {
		return
	}
	checked := now.Add(-time.Duration(m.CheckAgeMillis) * time.Millisecond)
	if checked.After(b.checked) {
		b.checked = checked
	}
}
