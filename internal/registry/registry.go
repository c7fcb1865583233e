package registry

import (
	"context"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"skylarkturn/internal/pace"
	"skylarkturn/internal/platform"
)

// Store holds the notes about the daemons of one role.
type Store interface {
	Register(ctx context.Context, name string, inner netip.AddrPort) error
	Forget(ctx context.Context, name string) error
	List(ctx context.Context, stale bool) (map[string]netip.AddrPort, error)
}

const (
	minRetry      = 500 * time.Millisecond
	maxRetry      = 4 * time.Second
	forgetTimeout = 300 * time.Millisecond // a daemon that stops does not wait for a store that is away
)

// Registry makes calls about the daemons of one role, and logs and counts those
// that fail.
type Registry struct {
	role   string
	store  Store
	log    *log.Logger
	errors *metrics.Counter
}

// New returns the registry of a role.
func New(role string, store Store, l *log.Logger, errors *metrics.Counter) *Registry {
	return &Registry{role, store, l, errors}
}

// Register notes where a daemon is; it tries until that succeeds.
func (r *Registry) Register(ctx context.Context, name string, inner netip.AddrPort) {
	r.persist(ctx, "register", func() error { return r.store.Register(ctx, name, inner) })
}

// All returns where the daemons are; it tries until that succeeds, and returns
// nil when ctx is done before.
func (r *Registry) All(ctx context.Context) (addrs []netip.AddrPort) {
	r.persist(ctx, "list", func() error {
		found, err := r.store.List(ctx, false)
		addrs = addresses(found)
		return err
	})
	return addrs
}

// Recent returns where daemons were some seconds ago, none when the store is
// away.
func (r *Registry) Recent(ctx context.Context) []netip.AddrPort {
	found, err := r.store.List(ctx, true)
	r.failed(ctx, "list", err)
	return addresses(found)
}

const (
	minSeekRetry = 300 * time.Millisecond
	maxSeekRetry = 3 * time.Second
)

// Seek hands over where daemons are, as long as and whenever seeking is true,
// until ctx is done.
func (r *Registry) Seek(ctx context.Context, seeking func() bool, found func([]netip.AddrPort)) {
	retry := pace.Backoff{Min: minSeekRetry, Max: maxSeekRetry}
	for ctx.Err() == nil {
		if seeking() {
			found(r.Recent(ctx))
		} else {
			retry.Reset()
		}
		retry.Sleep(ctx)
	}
}

// Forget removes the note about a daemon; it tries once, for a short time.
func (r *Registry) Forget(ctx context.Context, name string) error {
	within, cancel := context.WithTimeout(ctx, forgetTimeout)
	defer cancel()
	err := r.store.Forget(within, name)
	if platform.IsKind(err, platform.KindNotFound) {
		return nil
	}
	r.failed(ctx, "forget", err)
	return err
}

func (r *Registry) persist(ctx context.Context, op string, call func() error) {
	retry := pace.Backoff{Min: minRetry, Max: maxRetry}
	for ctx.Err() == nil {
		err := call()
		if err == nil {
			return
		}
		r.failed(ctx, op, err)
		retry.Sleep(ctx)
	}
}

// Logs and counts a failure, unless the daemon stops.
func (r *Registry) failed(ctx context.Context, op string, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	r.errors.Inc()
	r.log.Warn().Str("event", "store_call").Str("op", op).Str("role", r.role).Err(err).Msg("")
}

func addresses(found map[string]netip.AddrPort) []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(found))
	for _, a := range found {
		addrs = append(addrs, a)
	}
	return addrs
}
