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
	cfg         Settings
	creds       *credential.Store
	log         *log.Logger
	codec       *control.Codec
	peers       *peer.Client
	metrics     *metrics.Set
	counters    *counters
	bindingKey  []byte
	resetKey    quic.StatelessResetKey
	startedAt   time.Time
	incarnation uint64 // incarnation

	conn          *conn
	peerListener  net.Listener
	opsListener   net.Listener
	server        *http3.Server
	hostClient    *http.Client
	fetchQueue    chan netip.AddrPort
	sessions      atomic.Int64
	lastSessionID atomic.Uint64
	requests      *requests
	draining      *condition
	closed        chan struct{} // closed by Close
	closeOnce     sync.Once

	mu            sync.Mutex // guards what follows
	self          roster.Member
	members       *roster.Roster
	loads         map[netip.AddrPort]uint32
	target        *target.Target
	rebalancer    target.Rebalancer
	catalog       *service.Catalog
	observers     []netip.AddrPort
	lastHeartbeat time.Time // last heartbeat
	lastAnswer    time.Time // last answer of an observer
}

// Option changes how New builds an agent.
type Option func(*Agent)

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(l *log.Logger) Option { return func(a *Agent) { a.log = l } }

const (
	packetSize       = 1350 // bytes of a QUIC packet; a frame and headers still fit a 1,500-byte link
	idleTimeout      = 30 * time.Second
	fetchQueueLen    = 4
	maxIdleHostConns = 64
	hostDialTimeout  = time.Second
)

// New opens the sockets of an agent.
func New(cfg Settings, opts ...Option) (*Agent, error) {
	creds, err := credential.Open(cfg.Credentials)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	a := &Agent{
		cfg:         cfg,
		creds:       creds,
		log:         &log.Logger{Level: log.PanicLevel},
		peers:       peer.NewClient(creds),
		metrics:     metrics.NewSet(),
		startedAt:   now,
		incarnation: uint64(now.UnixNano()),
		fetchQueue:  make(chan netip.AddrPort, fetchQueueLen),
		loads:       make(map[netip.AddrPort]uint32),
		target:      target.New(now, cfg.Warmup.Or(defaultWarmup)),
		catalog:     service.NewCatalog(),
		members:     roster.New(roster.DefaultTiming, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		requests:    newRequests(cfg),
		draining:    newCondition(),
		closed:      make(chan struct{}),
	}
	for _, o := range opts {
		o(a)
	}
	a.counters = newCounters(a.metrics, cfg.Tenant, cfg.Service)
	a.hostClient = &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: hostDialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleHostConns,
		DisableCompression:  true,
	}}
	if err := a.deriveKeys(); err != nil {
		return nil, err
	}
	if err := a.listen(); err != nil {
		return nil, err
	}
	a.initSelf(now)
	a.addGauges()
	return a, nil
}

func (a *Agent) deriveKeys() (err error) {
	root := a.creds.Root()
	if a.codec, err = control.NewCodec(root); err != nil {
		return err
	}
	if a.bindingKey, err = flow.DeriveKey(root, "binding key", 32); err != nil {
		return err
	}
	reset, err := flow.DeriveKey(root, "stateless reset key of service "+a.cfg.Service, len(a.resetKey))
	copy(a.resetKey[:], reset)
	return err
}

func (a *Agent) listen() error {
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
	a.peerListener, a.opsListener = calls, ops
	a.conn = newConn(udp)
	a.conn.service = a.cfg.Number
	a.conn.incarnationHash = flow.HashIncarnation(a.incarnation)
	a.conn.sealer = sealer
	a.conn.keys = a.creds.Keys
	a.conn.admitter = a
	a.conn.handleMessage = a.handleAck
	a.conn.codec = a.codec
	a.conn.counters = a.counters
	return nil
}

func (a *Agent) initSelf(now time.Time) {
	a.self = roster.Member{
		Role:        roster.Agent,
		State:       a.target.State(now),
		Name:        a.cfg.Name,
		Zone:        a.cfg.Zone,
		Host:        a.cfg.Host,
		Addr:        a.conn.self,
		Service:     a.cfg.Number,
		Incarnation: a.incarnation,
		Seq:         1,
		Warmth:      a.target.Warmth(now),
	}
	a.members.Apply(now, a.self)
}

func (a *Agent) addGauges() {
	a.metrics.NewGauge("skylark_sessions", func() float64 { return float64(a.sessions.Load()) })
	a.metrics.NewGauge("skylark_requests_in_progress", func() float64 { return float64(a.requests.busy()) })
	a.metrics.NewGauge("skylark_requests_queued", func() float64 { return float64(a.requests.queued()) })
	a.metrics.NewGauge("skylark_ledger_entries", func() float64 { return float64(a.requests.ledgerLen()) })
}

// Addresses are the addresses that an agent listens on.
type Addresses struct {
	Inner string `json:"inner"`
	Ops   string `json:"ops"`
}

// Addresses returns the addresses that the agent listens on.
func (a *Agent) Addresses() Addresses {
	return Addresses{a.conn.self.String(), a.opsListener.Addr().String()}
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
	a.server = &http3.Server{
		Handler:     http.HandlerFunc(a.serve),
		ConnContext: a.sessionContext,
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, running := errgroup.WithContext(running)
	g.Go(func() error { return a.conn.read(running) })
	g.Go(func() error { return a.acceptSessions(running, ln) })
	g.Go(func() error { return a.runTicker(running) })
	g.Go(func() error { return a.runFetcher(running) })
	g.Go(func() error { return peer.Serve(running, a.peerListener, a.creds, a, a) })
	g.Go(func() error { return a.serveOps(running) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			a.stop(running)
			_ = ln.Close() // nobody is left to accept for
			_ = tr.Close() // sessions still open are past the drain limit
			a.announceLeave()
		case <-a.closed:
		case <-running.Done():
		}
		cancel()
		a.closeConnections()
		_ = tr.Close()
		return nil
	})
	return g.Wait()
}

// Close ends the agent at once, without a farewell and whatever is in progress.
func (a *Agent) Close() { a.closeOnce.Do(func() { close(a.closed) }) }

// Closes what is open; errors say nothing that matters at the end.
func (a *Agent) closeConnections() {
	_ = a.conn.Close()
	_ = a.conn.udp.Close()
	_ = a.peerListener.Close()
	_ = a.opsListener.Close()
	a.peers.Close()
	a.hostClient.CloseIdleConnections()
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

type sessionIDKey struct{}

func (a *Agent) sessionContext(ctx context.Context, _ *quic.Conn) context.Context {
	return context.WithValue(ctx, sessionIDKey{}, a.lastSessionID.Add(1))
}

func sessionID(ctx context.Context) uint64 {
	id, _ := ctx.Value(sessionIDKey{}).(uint64)
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
			_ = a.server.ServeQUICConn(c) // a session's end is no fault of the agent's
			return nil
		})
	}
	return g.Wait()
}
