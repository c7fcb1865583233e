package registry

import (
	"context"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"skylarkturn/internal/backoff"
	"skylarkturn/internal/epoch"
	"skylarkturn/internal/platform"
)

// Store holds the addresses of the daemons of one role.
type Store interface {
	// Register records the inner address of a daemon.
	Register(ctx context.Context, name string, inner netip.AddrPort) error
	// Forget removes the record of a daemon. The error for a missing record is of
	// kind platform.KindNotFound.
	Forget(ctx context.Context, name string) error
	// List returns the records by name. If stale is set they may be some seconds old.
	List(ctx context.Context, stale bool) (map[string]Entry, error)
}

// Entry is the record of a daemon.
type Entry struct {
	Addr     netip.AddrPort // inner address
	Outdated bool           // written in an earlier epoch of the store than the one that it was read in
}

const (
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	forgetTimeout = 300 * time.Millisecond // a stopping daemon does not wait for an unavailable store
)

// Registry reads and updates the records of one role, and logs and counts the calls
// that fail.
type Registry struct {
	role   string // of the daemons, for log lines
	store  Store
	log    *log.Logger
	errors *metrics.Counter // failed calls
}

// New returns a registry of the daemons of a role. It counts failed calls in errors.
func New(role string, store Store, l *log.Logger, errors *metrics.Counter) *Registry {
	return &Registry{role, store, l, errors}
}

// KeepRegistered records the address of a daemon, and records it again in each new
// epoch of the store after the time that delay returns. It runs until ctx is done.
func (r *Registry) KeepRegistered(ctx context.Context, name string, inner netip.AddrPort, epochs *epoch.Monitor, delay func() time.Duration) {
	for ctx.Err() == nil {
		_, advanced := epochs.Newest()
		r.retry(ctx, "register", func() error { return r.store.Register(ctx, name, inner) })
		select {
		case <-ctx.Done():
		case <-advanced:
			backoff.Sleep(ctx, delay())
		}
	}
}

// List returns the addresses of the daemons. It retries until it succeeds or ctx is
// done; the result is valid only if ctx is not done. complete is false if records may
// be missing, because the store was restored from a copy and not all daemons have
// written theirs again.
func (r *Registry) List(ctx context.Context) (addrs []netip.AddrPort, complete bool) {
	var found map[string]Entry
	r.retry(ctx, "list", func() (err error) {
		found, err = r.store.List(ctx, false)
		return err
	})
	complete = true
	for _, e := range found {
		complete = complete && !e.Outdated
	}
	return addresses(found), complete
}

// ListStale returns the addresses of the daemons, which may be some seconds old. It
// returns none if the store is unavailable.
func (r *Registry) ListStale(ctx context.Context) []netip.AddrPort {
	found, err := r.store.List(ctx, true)
	r.recordError(ctx, "list", err)
	return addresses(found)
}

const (
	minPollInterval = 300 * time.Millisecond
	maxPollInterval = 3 * time.Second
)

// Poll runs until ctx is done. While needed returns true, it passes the result of
// ListStale to found, at growing intervals.
func (r *Registry) Poll(ctx context.Context, needed func() bool, found func([]netip.AddrPort)) {
	interval := backoff.Exponential{Min: minPollInterval, Max: maxPollInterval}
	for ctx.Err() == nil {
		if needed() {
			found(r.ListStale(ctx))
		} else {
			interval.Reset()
		}
		interval.Sleep(ctx)
	}
}

// Forget removes the record of a daemon. It tries once, with a short timeout, and
// succeeds if there is no record.
func (r *Registry) Forget(ctx context.Context, name string) error {
	callCtx, cancel := context.WithTimeout(ctx, forgetTimeout)
	defer cancel()
	err := r.store.Forget(callCtx, name)
	if platform.IsKind(err, platform.KindNotFound) {
		return nil
	}
	r.recordError(ctx, "forget", err)
	return err
}

// retry repeats call with exponential backoff until it succeeds or ctx is done.
func (r *Registry) retry(ctx context.Context, op string, call func() error) {
	retry := backoff.Exponential{Min: minRetryDelay, Max: maxRetryDelay}
	for ctx.Err() == nil {
		err := call()
		if err == nil {
			return
		}
		r.recordError(ctx, op, err)
		retry.Sleep(ctx)
	}
}

// recordError logs and counts an error, unless ctx is done because the daemon is
// stopping.
func (r *Registry) recordError(ctx context.Context, op string, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	r.errors.Inc()
	r.log.Warn().Str("event", "store_call").Str("op", op).Str("role", r.role).Err(err).Msg("")
}

func addresses(found map[string]Entry) []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(found))
	for _, e := range found {
		addrs = append(addrs, e.Addr)
	}
	return addrs
}
