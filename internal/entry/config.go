package entry

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

	"skylarkturn/internal/fleet"
	"skylarkturn/internal/ops"
	"skylarkturn/internal/pace"
	"skylarkturn/internal/platform"
	"skylarkturn/internal/route"
)

const (
	watchTimeout   = 20 * time.Second // checks find out when a watch hears nothing
	checkTimeout   = time.Millisecond // of a watch that only checks
	minRetryDelay    = 100 * time.Millisecond
	maxRetryDelay    = time.Second
	peerTimeout = time.Second
	peerDialTimeout    = 300 * time.Millisecond
	peerRetryDelay   = 200 * time.Millisecond
	maxConfigSize   = 8 << 20 // bytes of a configuration between peers
)

// Puts a configuration in force, unless one as new already is, and tells peers.
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
	b.members.SetVersion(cfg.Version)
	out := b.members.Gossip(time.Now())
	b.mu.Unlock()
	b.sendMessages(out)
	b.log.Info().Str("event", "configuration").Uint64("version", cfg.Version).Uint64("before", old).
		Int("routes", len(cfg.Routes)).Str("source", source).Msg("in force")
	return nil
}

// Follows the configuration in the store by a watch.
func (b *Balancer) watchStore(ctx context.Context) error {
	var revision uint64
	retry := pace.Backoff{Min: minRetryDelay, Max: maxRetryDelay}
	for ctx.Err() == nil {
		watch, cancel := context.WithCancel(ctx)
		b.mu.Lock()
		b.cancelWatch = cancel
		b.mu.Unlock()
		next, err := b.readStore(watch, revision, watchTimeout)
		ended := watch.Err() != nil
		cancel()
		if err == nil {
			if b.storeUnavailable.Swap(false) {
				b.log.Info().Str("event", "store_regained").Msg("")
			}
			revision = next
			retry.Reset()
			continue
		}
		revision = 0 // a new list shows what a lost watch may have missed
		if platform.IsKind(err, platform.KindCompacted) || ended {
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

// Checks the configuration against the store when it is this balancer's turn,
// for the case that watches hear nothing.
func (b *Balancer) checkStore(ctx context.Context) error {
	var revision uint64
	lost := false
	retry := pace.Backoff{Min: minRetryDelay, Max: maxRetryDelay}
	for ctx.Err() == nil {
		b.mu.Lock()
		due := time.Until(b.members.CheckAt())
		b.mu.Unlock()
		if b.storeUnavailable.Load() {
			due = maxRetryDelay // followStore asks already
		}
		if due > 0 {
			pace.Sleep(ctx, due)
			continue
		}
		next, err := b.checkOnce(ctx, revision)
		revision = next
		switch {
		case err == nil:
			if lost {
				b.log.Info().Str("event", "store_regained").Str("op", "check").Msg("")
			}
			lost = false
			retry.Reset()
		case platform.IsKind(err, platform.KindCompacted) || ctx.Err() != nil:
		default:
			b.counters.storeErrors.Inc()
			if !lost {
				b.log.Warn().Str("event", "store_lost").Str("op", "check").Err(err).Msg("")
			}
			lost = true
			retry.Sleep(ctx)
		}
	}
	return nil
}

// Checks once; a version that the watch has missed ends the watch.
func (b *Balancer) checkOnce(ctx context.Context, since uint64) (uint64, error) {
	before := b.configVersion.Load()
	next, err := b.readStore(ctx, since, checkTimeout)
	if err == nil && b.configVersion.Load() > before {
		b.mu.Lock()
		b.cancelWatch()
		b.mu.Unlock()
	}
	return next, err
}

func (b *Balancer) readStore(ctx context.Context, since uint64, timeout time.Duration) (uint64, error) {
	var (
		cfg      route.Config
		revision uint64
		ok       bool
		err      error
	)
	if since == 0 {
		cfg, revision, ok, err = b.platform.Store.Config(ctx)
	} else {
		cfg, revision, ok, err = b.platform.Store.AwaitConfig(ctx, since, timeout)
	}
	if err != nil {
		return 0, err
	}
	if ok {
		err = b.applyConfig(cfg, "store")
	}
	if err == nil && (ok || since == 0 || timeout == checkTimeout) {
		b.mu.Lock()
		b.members.Confirm(time.Now(), timeout == checkTimeout) // a watch without events may have gone deaf
		b.mu.Unlock()
	}
	return revision, err
}

// Fetches configurations that peers have and the store has not given.
func (b *Balancer) fetchFromPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.peerConfigNewer:
		}
		b.mu.Lock()
		newest, current := b.members.Newest(), b.steering.Routes().Version()
		b.mu.Unlock()
		if newest.Number <= current {
			continue
		}
		if err := b.fetchFromPeer(ctx, newest.From); err != nil {
			b.counters.fetchErrors.Inc()
			b.log.Warn().Str("event", "peer_fetch").Stringer("peer", newest.From).Uint64("version", newest.Number).Err(err).Msg("")
			pace.Sleep(ctx, peerRetryDelay)
		}
	}
}

func (b *Balancer) fetchFromPeer(ctx context.Context, peer netip.AddrPort) error {
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
		DisableKeepAlives: true, // changes are rare, and idle connections may go silent
	}}
}

func (b *Balancer) newOpsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config", b.serveConfig)
	mux.Handle("GET "+fleet.FlowsPath, b.decisions)
	mux.Handle("GET "+fleet.StatusPath, fleet.Handler(b.status))
	mux.Handle("GET "+fleet.MembersPath, fleet.Handler(b.memberList))
	mux.Handle("GET /metrics", ops.Metrics(b.metrics.WritePrometheus, b.platform.Metrics))
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
	_, _ = w.Write(body) // a peer that has gone asks another
}
