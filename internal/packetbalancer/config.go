package packetbalancer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"skylarkturn/internal/backoff"
	"skylarkturn/internal/epoch"
	"skylarkturn/internal/fleet"
	"skylarkturn/internal/ops"
	"skylarkturn/internal/platform"
	"skylarkturn/internal/route"
)

const (
	watchTimeout    = 20 * time.Second // checkStore detects a watch that misses changes
	checkTimeout    = time.Millisecond // wait time of a watch that only reads the current state
	minRetryDelay   = 100 * time.Millisecond
	maxRetryDelay   = time.Second
	peerTimeout     = time.Second
	peerDialTimeout = 300 * time.Millisecond
	peerRetryDelay  = 200 * time.Millisecond
	maxConfigSize   = 8 << 20 // bytes of a peer's response
)

// applyConfig applies a configuration and gossips its version to peers. It
// ignores one that is no newer than the current one.
func (b *Balancer) applyConfig(cfg route.Config, source string) error {
	table, err := route.NewTable(cfg)
	if err != nil {
		return err
	}
	b.mu.Lock()
	old := b.steering.Routes().Version()
	if cfg.Version <= old {
		b.mu.Unlock()
		return nil
	}
	b.steering.SetRoutes(table)
	b.configVersion.Store(cfg.Version)
	b.configAppliedAt = time.Now()
	b.members.SetConfigVersion(cfg.Version)
	out := b.members.Gossip(time.Now())
	b.mu.Unlock()
	b.sendMessages(out)
	b.log.Info().Str("event", "configuration").Uint64("version", cfg.Version).Uint64("before", old).
		Int("routes", len(cfg.Routes)).Str("source", source).Msg("configuration applied")
	return nil
}

// watchStore watches the configuration in the store and applies each new version.
func (b *Balancer) watchStore(ctx context.Context) error {
	var at epoch.Position
	retry := backoff.Exponential{Min: minRetryDelay, Max: maxRetryDelay}
	for ctx.Err() == nil {
		watch, cancel := b.platform.Epochs.Bind(ctx)
		b.mu.Lock()
		b.cancelWatch = cancel
		b.mu.Unlock()
		next, err := b.syncFromStore(watch, at, watchTimeout)
		ended := watch.Err() != nil
		cancel()
		if err == nil {
			if b.storeUnavailable.Swap(false) {
				b.log.Info().Str("event", "store_regained").Msg("")
			}
			at = next
			retry.Reset()
			continue
		}
		at = epoch.Position{} // reads the current state anew: a broken watch may have missed changes
		if isPositionLost(err) || ended {
			continue
		}
		b.counters.storeErrors.Inc()
		if !b.storeUnavailable.Swap(true) {
			b.log.Warn().Str("event", "store_lost").Err(err).Msg("")
		}
		retry.Sleep(ctx)
	}
	return nil
}

// isPositionLost reports whether a watch failed because its position is not in the
// store's history.
func isPositionLost(err error) bool {
	return platform.IsKind(err, platform.KindCompacted) || platform.IsKind(err, platform.KindRestored)
}

// checkStore compares the configuration with the store whenever a check by this
// balancer is due, since a watch can stop delivering changes without an error.
func (b *Balancer) checkStore(ctx context.Context) error {
	var at epoch.Position
	unavailable := false
	retry := backoff.Exponential{Min: minRetryDelay, Max: maxRetryDelay}
	for ctx.Err() == nil {
		b.mu.Lock()
		due := time.Until(b.members.NextCheck())
		b.mu.Unlock()
		if b.storeUnavailable.Load() {
			due = maxRetryDelay // watchStore retries already
		}
		if due > 0 {
			backoff.Sleep(ctx, due)
			continue
		}
		next, err := b.checkOnce(ctx, at)
		at = next
		switch {
		case err == nil:
			if unavailable {
				b.log.Info().Str("event", "store_regained").Str("op", "check").Msg("")
			}
			unavailable = false
			retry.Reset()
		case isPositionLost(err) || ctx.Err() != nil:
		default:
			b.counters.storeErrors.Inc()
			if !unavailable {
				b.log.Warn().Str("event", "store_lost").Str("op", "check").Err(err).Msg("")
			}
			unavailable = true
			retry.Sleep(ctx)
		}
	}
	return nil
}

// checkOnce compares the configuration with the store once, over a new connection: those
// that are open may have gone silent together with the watch. If the store has a
// version that the watch has missed, checkOnce cancels the watch, so that
// watchStore starts a new one.
func (b *Balancer) checkOnce(ctx context.Context, since epoch.Position) (epoch.Position, error) {
	before := b.configVersion.Load()
	b.platform.Store.Reconnect()
	next, err := b.syncFromStore(ctx, since, checkTimeout)
	if err == nil && b.configVersion.Load() > before {
		b.mu.Lock()
		b.cancelWatch()
		b.mu.Unlock()
	}
	return next, err
}

// syncFromStore reads the current configuration if since is zero, otherwise waits
// up to timeout for a revision after since, and applies the configuration
// received. It returns the position to continue from.
func (b *Balancer) syncFromStore(ctx context.Context, since epoch.Position, timeout time.Duration) (epoch.Position, error) {
	var (
		cfg route.Config
		at  epoch.Position
		ok  bool
		err error
	)
	if since.Revision == 0 {
		cfg, at, ok, err = b.platform.Store.Config(ctx)
	} else {
		cfg, at, ok, err = b.platform.Store.AwaitConfig(ctx, since, timeout)
	}
	if err != nil {
		return epoch.Position{}, err
	}
	if ok {
		err = b.applyConfig(cfg, "store")
	}
	b.mu.Lock()
	b.members.SetStoreEpoch(at.Epoch)
	b.mu.Unlock()
	if err == nil && (ok || since.Revision == 0 || timeout == checkTimeout) {
		b.mu.Lock()
		b.members.RecordConfirmation(time.Now(), timeout == checkTimeout) // a long watch without events confirms nothing, because it may be broken
		b.mu.Unlock()
	}
	return at, err
}

// syncWithPeers fetches configurations from peers that report a newer version
// than the current one.
func (b *Balancer) syncWithPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.peerConfigNewer:
		}
		b.mu.Lock()
		newest, current := b.members.NewestVersion(), b.steering.Routes().Version()
		b.mu.Unlock()
		if newest.Number <= current {
			continue
		}
		if err := b.fetchConfig(ctx, newest.From); err != nil {
			b.counters.fetchErrors.Inc()
			b.log.Warn().Str("event", "peer_fetch").Stringer("peer", newest.From).Uint64("version", newest.Number).Err(err).Msg("")
			b.mu.Lock()
			b.members.ForgetVersion(newest)
			b.mu.Unlock()
			backoff.Sleep(ctx, peerRetryDelay)
		}
	}
}

// fetchConfig fetches the configuration of a peer and applies it.
func (b *Balancer) fetchConfig(ctx context.Context, peer netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ops.AddrOf(peer).String()+"/config", nil)
	if err != nil {
		return &Error{"fetch configuration", KindNetwork, err}
	}
	resp, err := b.peerClient.Do(req)
	if err != nil {
		return &Error{"fetch configuration", KindNetwork, err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxConfigSize))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %s", resp.Status)
	}
	if err != nil {
		return &Error{"fetch configuration", KindNetwork, err}
	}
	var cfg route.Config
	if err := cbor.Unmarshal(body, &cfg); err != nil {
		return &Error{"fetch configuration", KindNetwork, err}
	}
	return b.applyConfig(cfg, "peer "+peer.String())
}

func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:       (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
		DisableKeepAlives: true, // changes are rare, and an idle connection may break unnoticed
	}}
}

func (b *Balancer) newOpsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config", b.serveConfig)
	mux.Handle("GET "+fleet.FlowsPath, b.decisions)
	mux.Handle("GET "+fleet.StatusPath, fleet.JSONHandler(b.status))
	mux.Handle("GET "+fleet.MembersPath, fleet.JSONHandler(b.memberList))
	mux.Handle("GET /metrics", ops.MetricsHandler(b.metrics.WritePrometheus, b.platform.WriteMetrics))
	return mux
}

func (b *Balancer) serveConfig(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	table := b.steering.Routes()
	b.mu.Unlock()
	if table == nil {
		http.Error(w, "no configuration yet", http.StatusNotFound)
		return
	}
	body, err := cbor.Marshal(table.Config())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the peer retries a failed transfer
}
