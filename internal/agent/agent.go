package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"golang.org/x/sync/errgroup"

	"skylarkturn/internal/control"
	"skylarkturn/internal/credential"
	"skylarkturn/internal/flow"
	"skylarkturn/internal/link"
	"skylarkturn/internal/peer"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/service"
	"skylarkturn/internal/target"
)

// Agent is one agent.
type Agent struct {
	cfg      Settings
	creds    *credential.Store
	log      *log.Logger
	codec    *control.Codec
	peers    *peer.Client
	metrics  *metrics.Set
	counters *counters
	bindKey  []byte
	resetKey quic.StatelessResetKey
	started  time.Time
	fence    uint64 // incarnation

	conn     *conn
	calls    net.Listener
	ops      net.Listener
	http3    *http3.Server
	host     *http.Client
	pulls    chan netip.AddrPort
	sessions atomic.Int64
	nextID   atomic.Uint64
	requests *requests
	leaving  *notice
	closed   chan struct{} // closed by Close
	closing  sync.Once

	mu        sync.Mutex // guards what follows
	me        roster.Member
	members   *roster.Roster
	loads     map[netip.AddrPort]uint32
	target    *target.Target
	mover     target.Rebalancer
	catalog   *service.Catalog
	observers []netip.AddrPort
	beaten    time.Time // last heartbeat
	answered  time.Time // last answer of an observer
}

// Option changes how New builds an agent.
type Option func(*Agent)

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(l *log.Logger) Option { return func(a *Agent) { a.log = l } }

const (
	packetSize     = 1350 // bytes of a QUIC packet; a frame and headers still fit a 1,500-byte link
	idleTimeout    = 30 * time.Second
	pullQueue      = 4
	idleHostConns  = 64
	hostDialWithin = time.Second
)

// New opens the sockets of an agent.
func New(cfg Settings, opts ...Option) (*Agent, error) {
	creds, err := credential.Open(cfg.Credentials)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	a := &Agent{
		cfg:      cfg,
		creds:    creds,
		log:      &log.Logger{Level: log.PanicLevel},
		peers:    peer.NewClient(creds),
		metrics:  metrics.NewSet(),
		started:  now,
		fence:    uint64(now.UnixNano()),
		pulls:    make(chan netip.AddrPort, pullQueue),
		loads:    make(map[netip.AddrPort]uint32),
		target:   target.New(now, cfg.Warmup.Or(defaultWarmup)),
		catalog:  service.NewCatalog(),
		members:  roster.New(roster.DefaultTiming, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		requests: newRequests(cfg),
		leaving:  newNotice(),
		closed:   make(chan struct{}),
	}
	for _, o := range opts {
		o(a)
	}
	a.counters = newCounters(a.metrics, cfg.Tenant, cfg.Service)
	a.host = &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: hostDialWithin}).DialContext,
		MaxIdleConnsPerHost: idleHostConns,
		DisableCompression:  true,
	}}
	if err := a.deriveKeys(); err != nil {
		return nil, err
	}
	if err := a.open(); err != nil {
		return nil, err
	}
	a.introduce(now)
	a.addGauges()
	return a, nil
}

func (a *Agent) deriveKeys() (err error) {
	root := a.creds.Root()
	if a.codec, err = control.NewCodec(root); err != nil {
		return err
	}
	if a.bindKey, err = flow.DeriveKey(root, "binding key", 32); err != nil {
		return err
	}
	reset, err := flow.DeriveKey(root, "stateless reset key of service "+a.cfg.Service, len(a.resetKey))
	copy(a.resetKey[:], reset)
	return err
}

func (a *Agent) open() error {
	udp, calls, err := link.Open(a.cfg.Inner)
	if err != nil {
		return err
	}
	ops, err := net.Listen("tcp4", a.cfg.Ops)
	if err != nil {
		return errors.Join(&Error{"listen ops", KindNetwork, err}, udp.Close(), calls.Close())
	}
	sealer, err := flow.NewSealer(a.creds.Root())
	if err != nil {
		return err
	}
	a.calls, a.ops = calls, ops
	a.conn = newConn(udp)
	a.conn.service = a.cfg.Number
	a.conn.fence = flow.HashIncarnation(a.fence)
	a.conn.sealer = sealer
	a.conn.keys = a.creds.Keys
	a.conn.admitter = a
	a.conn.control = a.receive
	a.conn.codec = a.codec
	a.conn.counters = a.counters
	return nil
}

func (a *Agent) introduce(now time.Time) {
	a.me = roster.Member{
		Role:        roster.Agent,
		State:       a.target.State(now),
		Name:        a.cfg.Name,
		Zone:        a.cfg.Zone,
		Host:        a.cfg.Host,
		Addr:        a.conn.self,
		Service:     a.cfg.Number,
		Incarnation: a.fence,
		Seq:         1,
		Warmth:      a.target.Warmth(now),
	}
	a.members.Apply(now, a.me)
}

func (a *Agent) addGauges() {
	a.metrics.NewGauge("skylark_sessions", func() float64 { return float64(a.sessions.Load()) })
	a.metrics.NewGauge("skylark_requests_in_progress", func() float64 { return float64(a.requests.busy()) })
	a.metrics.NewGauge("skylark_requests_queued", func() float64 { return float64(a.requests.queued()) })
	a.metrics.NewGauge("skylark_ledger_entries", func() float64 { return float64(a.requests.remembered()) })
}

// Addresses are the addresses that an agent listens on.
type Addresses struct {
	Inner string `json:"inner"`
	Ops   string `json:"ops"`
}

// Addresses returns the addresses that the agent listens on.
func (a *Agent) Addresses() Addresses {
	return Addresses{a.conn.self.String(), a.ops.Addr().String()}
}

// Run serves until ctx is done and then stops as planned: it takes no new work,
// lets requests in progress finish and sessions move, says farewell and returns
// nil; or the error that ended it.
func (a *Agent) Run(ctx context.Context) error {
	tr := &quic.Transport{
		Conn:                  a.conn,
		ConnectionIDGenerator: a.conn,
		StatelessResetKey:     &a.resetKey,
	}
	ln, err := tr.Listen(http3.ConfigureTLSConfig(a.creds.Callers()), quicConfig())
	if err != nil {
		return &Error{"listen quic", KindNetwork, err}
	}
	a.http3 = &http3.Server{
		Handler:     http.HandlerFunc(a.serve),
		ConnContext: a.sessionContext,
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, running := errgroup.WithContext(running)
	g.Go(func() error { return a.conn.read(running) })
	g.Go(func() error { return a.acceptSessions(running, ln) })
	g.Go(func() error { return a.keepTime(running) })
	g.Go(func() error { return a.fetch(running) })
	g.Go(func() error { return peer.Serve(running, a.calls, a.creds, a, a) })
	g.Go(func() error { return a.serveOps(running) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			a.stop(running)
			_ = ln.Close() // nobody is left to accept for
			_ = tr.Close() // sessions still open are past the drain limit
			a.farewell()
		case <-a.closed:
		case <-running.Done():
		}
		cancel()
		a.shut()
		_ = tr.Close()
		return nil
	})
	return g.Wait()
}

// Close ends the agent at once, without a farewell and whatever is in progress.
func (a *Agent) Close() { a.closing.Do(func() { close(a.closed) }) }

// Closes what is open; errors say nothing that matters at the end.
func (a *Agent) shut() {
	_ = a.conn.Close()
	_ = a.conn.udp.Close()
	_ = a.calls.Close()
	_ = a.ops.Close()
	a.peers.Close()
	a.host.CloseIdleConnections()
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		InitialPacketSize:              packetSize,
		DisablePathMTUDiscovery:        true,
		MaxIncomingStreams:             100,
		InitialStreamReceiveWindow:     32 << 10,
		InitialConnectionReceiveWindow: 64 << 10,
	}
}

type sessionKey struct{}

func (a *Agent) sessionContext(ctx context.Context, _ *quic.Conn) context.Context {
	return context.WithValue(ctx, sessionKey{}, a.nextID.Add(1))
}

func sessionOf(ctx context.Context) uint64 {
	id, _ := ctx.Value(sessionKey{}).(uint64)
	return id
}

// Accepts sessions; each is served by a goroutine that ends with it.
func (a *Agent) acceptSessions(ctx context.Context, ln *quic.Listener) error {
	var g errgroup.Group
	for {
		c, err := ln.Accept(ctx)
		if err != nil {
			break // the listener is closed when the agent ends
		}
		if a.sessions.Add(1) > int64(a.cfg.MaxSessions) {
			a.sessions.Add(-1)
			_ = c.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeExcessiveLoad), "too many sessions")
			continue
		}
		g.Go(func() error {
			defer a.sessions.Add(-1)
			_ = a.http3.ServeQUICConn(c) // a session's end is no fault of the agent's
			return nil
		})
	}
	return g.Wait()
}
