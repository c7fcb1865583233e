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

	"skylarkturn/internal/pace"
	"skylarkturn/internal/platform"
	"skylarkturn/internal/route"
)

const (
	watchWait   = 2 * time.Second // bounds how long a watch that hears nothing goes unnoticed
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

// Follows the configuration in the store.
func (b *Balancer) followStore(ctx context.Context) error {
	var revision uint64
	retry := pace.Backoff{Min: minRetry, Max: maxRetry}
	lost := false
	for ctx.Err() == nil {
		next, err := b.followOnce(ctx, revision)
		if err == nil {
			if lost {
				b.log.Info().Str("event", "store_regained").Msg("")
			}
			revision, lost = next, false
			retry.Reset()
			continue
		}
		revision = 0 // a new list shows what a lost watch may have missed
		if platform.IsKind(err, platform.KindCompacted) || ctx.Err() != nil {
			continue
		}
		b.counters.storeErrors.Inc()
		if !lost {
			lost = true
			b.log.Warn().Str("event", "store_lost").Err(err).Msg("")
		}
		retry.Sleep(ctx)
	}
	return nil
}

func (b *Balancer) followOnce(ctx context.Context, since uint64) (uint64, error) {
	var (
		cfg      route.Config
		revision uint64
		ok       bool
		err      error
	)
	if since == 0 {
		cfg, revision, ok, err = b.platform.Store.Config(ctx)
	} else {
		cfg, revision, ok, err = b.platform.Store.AwaitConfig(ctx, since, watchWait)
	}
	if err != nil {
		return 0, err
	}
	if ok {
		err = b.accept(cfg, "store")
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
	ops := netip.AddrPortFrom(peer.Addr(), peer.Port()+1) // as Settings of the platform lay the ports out
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ops.String()+"/config", nil)
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
	mux.Handle("GET /debug/flows", b.ring)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		b.metrics.WritePrometheus(w)
	})
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
