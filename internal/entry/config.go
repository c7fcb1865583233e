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
	watchWait   = 20 * time.Second // checks find out when a watch hears nothing
	checkWait   = time.Millisecond // of a watch that only checks
	minRetry    = 100 * time.Millisecond
	maxRetry    = time.Second
	peerTimeout = time.Second
	peerDial    = 300 * time.Millisecond
	peerRetry   = 200 * time.Millisecond
	maxConfig   = 8 << 20 // bytes of a configuration between peers
)

// Puts a configuration in force, unless one as new already is, and tells peers.
func (b *Balancer) accept(cfg route.Config, source string) error {
	table, err := route.NewTable(cfg)
	if err != nil {
		return err
	}
	b.mu.Lock()
	old := b.steer.Routes().Version()
	if cfg.Version <= old {
		b.mu.Unlock()
		return nil
	}
	b.steer.SetRoutes(table)
	b.version.Store(cfg.Version)
	b.taken = time.Now()
	b.members.SetVersion(cfg.Version)
	out := b.members.Gossip(time.Now())
	b.mu.Unlock()
	b.sendMessages(out)
	b.log.Info().Str("event", "configuration").Uint64("version", cfg.Version).Uint64("before", old).
		Int("routes", len(cfg.Routes)).Str("source", source).Msg("in force")
	return nil
}

// Follows the configuration in the store by a watch.
func (b *Balancer) followStore(ctx context.Context) error {
	var revision uint64
	retry := pace.Backoff{Min: minRetry, Max: maxRetry}
	for ctx.Err() == nil {
		watch, cancel := context.WithCancel(ctx)
		b.mu.Lock()
		b.endWatch = cancel
		b.mu.Unlock()
		next, err := b.followOnce(watch, revision, watchWait)
		ended := watch.Err() != nil
		cancel()
		if err == nil {
			if b.storeLost.Swap(false) {
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
		if !b.storeLost.Swap(true) {
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
	retry := pace.Backoff{Min: minRetry, Max: maxRetry}
	for ctx.Err() == nil {
		b.mu.Lock()
		due := time.Until(b.members.CheckAt())
		b.mu.Unlock()
		if b.storeLost.Load() {
			due = maxRetry // followStore asks already
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
	before := b.version.Load()
	next, err := b.followOnce(ctx, since, checkWait)
	if err == nil && b.version.Load() > before {
		b.mu.Lock()
		b.endWatch()
		b.mu.Unlock()
	}
	return next, err
}

func (b *Balancer) followOnce(ctx context.Context, since uint64, wait time.Duration) (uint64, error) {
	var (
		cfg      route.Config
		revision uint64
		ok       bool
		err      error
	)
	if since == 0 {
		cfg, revision, ok, err = b.platform.Store.Config(ctx)
	} else {
		cfg, revision, ok, err = b.platform.Store.AwaitConfig(ctx, since, wait)
	}
	if err != nil {
		return 0, err
	}
	if ok {
		err = b.accept(cfg, "store")
	}
	if err == nil && (ok || since == 0 || wait == checkWait) {
		b.mu.Lock()
		b.members.Confirm(time.Now(), wait == checkWait) // a watch without events may have gone deaf
		b.mu.Unlock()
	}
	return revision, err
}

// Fetches configurations that peers have and the store has not given.
func (b *Balancer) followPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.newer:
		}
		b.mu.Lock()
		newest, have := b.members.Newest(), b.steer.Routes().Version()
		b.mu.Unlock()
		if newest.Number <= have {
			continue
		}
		if err := b.fetch(ctx, newest.From); err != nil {
			b.counters.fetchErrors.Inc()
			b.log.Warn().Str("event", "peer_fetch").Stringer("peer", newest.From).Uint64("version", newest.Number).Err(err).Msg("")
			pace.Sleep(ctx, peerRetry)
		}
	}
}

func (b *Balancer) fetch(ctx context.Context, peer netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ops.AddrOf(peer).String()+"/config", nil)
	if err != nil {
		return &Error{"fetch configuration", KindNetwork, err}
	}
	resp, err := b.peers.Do(req)
	if err != nil {
		return &Error{"fetch configuration", KindNetwork, err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxConfig))
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
	return b.accept(cfg, "peer "+peer.String())
}

func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:       (&net.Dialer{Timeout: peerDial}).DialContext,
		DisableKeepAlives: true, // changes are rare, and idle connections may go silent
	}}
}

func (b *Balancer) opsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config", b.serveConfig)
	mux.Handle("GET "+fleet.FlowsPath, b.ring)
	mux.Handle("GET "+fleet.StatusPath, fleet.Handler(b.status))
	mux.Handle("GET "+fleet.MembersPath, fleet.Handler(b.memberList))
	mux.Handle("GET /metrics", ops.Metrics(b.metrics.WritePrometheus, b.platform.Metrics))
	return mux
}

func (b *Balancer) serveConfig(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	table := b.steer.Routes()
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
