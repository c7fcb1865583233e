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
	"skylarkturn/internal/peer"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/service"
	"skylarkturn/internal/target"
	"skylarkturn/internal/udpio"
)

// Agent terminates the sessions of callers and forwards their requests to the host of
// one target.
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
	incarnation uint64 // start time in nanoseconds since the Unix epoch

	conn          *conn
	peerListener  net.Listener
	opsListener   net.Listener
	server        *http3.Server
	hostClient    *http.Client
	fetchQueue    chan netip.AddrPort // balancers to fetch the configuration from
	sessions      atomic.Int64        // open sessions
	lastSessionID atomic.Uint64
	requests      *requests
	draining      *condition    // whether the target drains
	closed        chan struct{} // closed by Close
	closeOnce     sync.Once

	mu            sync.Mutex    // guards the fields below
	self          roster.Member // the record that heartbeats announce
	members       *roster.Roster
	loads         map[netip.AddrPort]uint32 // open sessions of other agents by inner address, including flows just forwarded to them
	target        *target.Target
	rebalancer    target.Rebalancer
	catalog       *service.Catalog
	observers     []netip.AddrPort // balancers that the heartbeats go to
	lastHeartbeat time.Time
	lastAck       time.Time // time of the last Ack from any balancer
}

// Option configures an Agent created by New.
type Option func(*Agent)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(l *log.Logger) Option { return func(a *Agent) { a.log = l } }

const (
	packetSize       = 1350             // bytes of a QUIC packet; with frame, UDP and IP headers it fits an MTU of 1,500 bytes
	idleTimeout      = 30 * time.Second // of a QUIC connection
	fetchQueueLen    = 4                // fetches of the configuration
	maxIdleHostConns = 64
	hostDialTimeout  = time.Second
)

// New returns an agent whose sockets are open. It serves once Run is called.
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
	root := a.creds.RootSecret()
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
	udp, peerListener, err := udpio.Listen(a.cfg.Inner)
	if err != nil {
		return err
	}
	ops, err := net.Listen("tcp4", a.cfg.Ops)
	if err != nil {
		return errors.Join(&Error{"listen ops", KindNetwork, err}, udp.Close(), peerListener.Close())
	}
	sealer, err := flow.NewSealer(a.creds.RootSecret())
	if err != nil {
		return err
	}
	a.peerListener, a.opsListener = peerListener, ops
	a.conn = newConn(udp)
	a.conn.service = a.cfg.Number
	a.conn.incarnationHash = flow.HashIncarnation(a.incarnation)
	a.conn.sealer = sealer
	a.conn.keys = a.creds.FlowKeys
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

// Addresses holds the addresses that an agent listens on.
type Addresses struct {
	Inner string `json:"inner"`
	Ops   string `json:"ops"`
}

// Addresses returns the addresses that the agent listens on.
func (a *Agent) Addresses() Addresses {
	return Addresses{a.conn.self.String(), a.opsListener.Addr().String()}
}

// Run serves until ctx is done and then shuts down gracefully: it accepts no new
// work, lets requests in progress finish and sessions move to other targets,
// announces that it has left and returns nil. If the agent fails earlier, Run
// returns the error.
func (a *Agent) Run(ctx context.Context) error {
	tr := &quic.Transport{
		Conn:                  a.conn,
		ConnectionIDGenerator: a.conn,
		StatelessResetKey:     &a.resetKey,
	}
	ln, err := tr.Listen(http3.ConfigureTLSConfig(a.creds.CallerServerTLS()), quicConfig())
	if err != nil {
		return &Error{"listen quic", KindNetwork, err}
	}
	a.server = &http3.Server{
		Handler:     http.HandlerFunc(a.serve),
		ConnContext: a.sessionContext,
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, runCtx := errgroup.WithContext(runCtx)
	g.Go(func() error { return a.conn.read(runCtx) })
	g.Go(func() error { return a.acceptSessions(runCtx, ln) })
	g.Go(func() error { return a.runTicker(runCtx) })
	g.Go(func() error { return a.runFetcher(runCtx) })
	g.Go(func() error { return peer.Serve(runCtx, a.peerListener, a.creds, a, a) })
	g.Go(func() error { return a.serveOps(runCtx) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			a.drain(runCtx)
			_ = ln.Close() // the agent accepts no more sessions
			_ = tr.Close() // ends the sessions that are still open after draining
			a.announceLeave()
		case <-a.closed:
		case <-runCtx.Done():
		}
		cancel()
		a.closeConnections()
		_ = tr.Close()
		return nil
	})
	return g.Wait()
}

// Close stops the agent at once. It aborts requests in progress and does not announce
// that the agent has left.
func (a *Agent) Close() { a.closeOnce.Do(func() { close(a.closed) }) }

// closeConnections closes all sockets and client connections. Errors are ignored,
// since the agent ends anyway.
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

// sessionContext gives the requests of a session a number that identifies it.
func (a *Agent) sessionContext(ctx context.Context, _ *quic.Conn) context.Context {
	return context.WithValue(ctx, sessionIDKey{}, a.lastSessionID.Add(1))
}

func sessionID(ctx context.Context) uint64 {
	id, _ := ctx.Value(sessionIDKey{}).(uint64)
	return id
}

// acceptSessions accepts sessions until ctx is done or the listener is closed, and
// waits for the sessions to end. It rejects sessions above the limit MaxSessions.
func (a *Agent) acceptSessions(ctx context.Context, ln *quic.Listener) error {
	var g errgroup.Group
	for {
		c, err := ln.Accept(ctx)
		if err != nil {
			break // ctx is done or the listener is closed: the agent shuts down
		}
		if a.sessions.Add(1) > int64(a.cfg.MaxSessions) {
			a.sessions.Add(-1)
			_ = c.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeExcessiveLoad), "too many sessions")
			continue
		}
		g.Go(func() error {
			defer a.sessions.Add(-1)
			_ = a.server.ServeQUICConn(c) // errors end only this session
			return nil
		})
	}
	return g.Wait()
}
