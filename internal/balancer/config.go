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

// ServiceKind is the kind of the platform objects that hold confirmed services.
const ServiceKind = "service"

const (
	fetchTimeout         = 2 * time.Second
	watchWait            = 20 * time.Second        // long-poll wait of a watch
	initialWatchDelay    = 1500 * time.Millisecond // lets the balancer discover others first; jitter adds up to as much again
	watchServiceNumber   = 0                       // pseudo-service whose observers watch the platform
	minRetryDelay        = 300 * time.Millisecond
	maxRetryDelay        = 15 * time.Second
	watcherCheckInterval = time.Second
	maxCheckedAge        = 24 * time.Hour   // an older check is gossiped as unknown
	currentConfigMaxAge  = 60 * time.Second // age of the last check up to which the configuration counts as current
	generationTransmits  = 12               // gossip rounds that carry a new generation
)

// fetchRequest is a queued fetch of services or members from another daemon.
type fetchRequest struct {
	from        netip.AddrPort
	services    []uint16 // numbers of the services to fetch
	allServices bool     // fetch every service that is newer at the other daemon
	allMembers  bool     // fetch all members instead of services
}

// queueFetch queues a fetch. It drops the request if the queue is full, since the
// next digests will reveal the difference again.
func (b *Balancer) queueFetch(r fetchRequest) {
	select {
	case b.fetchQueue <- r:
	default:
	}
}

// runFetches executes the queued fetches one at a time until ctx is done.
func (b *Balancer) runFetches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-b.fetchQueue:
			b.fetch(ctx, r)
		}
	}
}

func (b *Balancer) fetch(ctx context.Context, r fetchRequest) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if r.allMembers {
		members, err := b.peers.Members(ctx, r.from)
		if err != nil {
			b.counters.fetchErrors.Inc()
			return
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, m := range members {
			b.mergeMember(time.Now(), m, false)
		}
		return
	}
	have := b.knownGenerations(r)
	if len(have) == 0 && !r.allServices {
		return
	}
	services, err := b.peers.Services(ctx, r.from, have, r.allServices)
	if err != nil {
		b.counters.fetchErrors.Inc()
		return
	}
	for _, s := range services {
		b.applyService(s)
	}
}

// knownGenerations returns the generations in the catalog of the services that the
// fetch asks for.
func (b *Balancer) knownGenerations(r fetchRequest) (generations []control.Generation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.allServices {
		for _, s := range b.catalog.All() {
			generations = append(generations, control.Generation{Service: s.Number, Number: s.Generation})
		}
		return generations
	}
	for _, n := range r.services {
		generations = append(generations, control.Generation{Service: n, Number: b.catalog.Generation(n)})
	}
	return generations
}

// applyService applies a confirmed service unless the catalog holds the same or a
// newer generation, and gossips a new generation immediately.
func (b *Balancer) applyService(s service.Service) {
	b.mu.Lock()
	changed := b.catalog.Apply(s)
	var out []outgoing
	if changed {
		b.tableStale = true
		b.unsentGenerations[s.Number] = generationTransmits
		b.rebuildTable()
		generations := []control.Generation{{Service: s.Number, Number: s.Generation}}
		for _, p := range b.members.Peers(b.self, roster.Fanout) {
			out = append(out, outgoing{p.Addr, b.newGossip(time.Now(), nil, generations)})
		}
	}
	b.mu.Unlock()
	for _, o := range out {
		b.send(o.to, o.message)
	}
	if changed {
		b.log.Info().Str("service", s.Name).Uint32("generation", s.Generation).Msg("configuration applied")
	}
}

// Services returns the services whose generation is newer than the one in have
// and, if all is set, also the services that have does not list.
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

// Members returns all known members.
func (b *Balancer) Members() []roster.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.members.Members(func(*roster.Member) bool { return true })
}

// watchPlatform applies the services of the platform while this balancer is one
// of the few that hold a watch. The others learn of changes by gossip.
func (b *Balancer) watchPlatform(ctx context.Context) error {
	if b.platform == nil {
		<-ctx.Done()
		return nil
	}
	backoff.Sleep(ctx, initialWatchDelay+rand.N(initialWatchDelay))
	retry := minRetryDelay
	for ctx.Err() == nil {
		if !b.isWatcher() {
			b.platformRevision = 0
			backoff.Sleep(ctx, watcherCheckInterval)
			continue
		}
		if err := b.syncServices(ctx); err != nil {
			retry = b.backOff(ctx, retry, err)
			continue
		}
		retry = minRetryDelay
	}
	return nil
}

// isWatcher reports whether this balancer should hold a watch on the platform.
func (b *Balancer) isWatcher() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.members.Observers(watchServiceNumber, roster.DefaultObservers), func(m roster.Member) bool {
		return m.Addr == b.self
	})
}

// syncServices lists the services of the platform, or waits for changes after the
// last known revision, and applies the result.
func (b *Balancer) syncServices(ctx context.Context) (err error) {
	var l platform.List
	started := time.Now()
	if b.platformRevision == 0 {
		l, err = b.platform.List(ctx, ServiceKind)
	} else {
		l, err = b.platform.Watch(ctx, ServiceKind, b.platformRevision, watchWait)
	}
	if err != nil {
		b.platformRevision = 0 // list again, since a failed watch may have missed changes
		return err
	}
	for _, o := range l.Items {
		b.applyObject(o)
	}
	b.platformRevision = max(l.Revision, 1)
	b.mu.Lock()
	b.checkedAt = started
	b.mu.Unlock()
	return nil
}

// applyObject applies the service in a platform object, and ignores an invalid one.
func (b *Balancer) applyObject(o platform.Object) {
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
	b.applyService(s)
}

// backOff waits for retry with jitter and returns the delay for the next failure,
// which grows exponentially up to maxRetryDelay.
func (b *Balancer) backOff(ctx context.Context, retry time.Duration, err error) time.Duration {
	b.counters.platformErrors.Inc()
	b.log.Debug().Err(err).Msg("failed to fetch service objects")
	backoff.Sleep(ctx, retry/2+rand.N(retry))
	return min(2*retry, maxRetryDelay)
}

// checkedAgeMillis returns the milliseconds since the catalog was last known to
// match the platform, or 0 if that is unknown or too long ago. The caller must
// hold mu.
func (b *Balancer) checkedAgeMillis(now time.Time) uint32 {
	ago := now.Sub(b.checkedAt)
	if b.checkedAt.IsZero() || ago > maxCheckedAge {
		return 0
	}
	return uint32(max(ago.Milliseconds(), 1))
}

// updateCheckedAt adopts the check time of a peer if the peer's catalog is equal
// and was checked more recently. The caller must hold mu.
func (b *Balancer) updateCheckedAt(now time.Time, m *control.Message) {
	if m.CheckAgeMillis == 0 || m.ConfigDigest != b.catalog.Digest() {
		return
	}
	checked := now.Add(-time.Duration(m.CheckAgeMillis) * time.Millisecond)
	if checked.After(b.checkedAt) {
		b.checkedAt = checked
	}
}
