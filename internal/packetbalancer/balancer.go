package packetbalancer

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"skylarkturn/internal/backoff"
	"skylarkturn/internal/daemon"
	"skylarkturn/internal/epoch"
	"skylarkturn/internal/inner"
	"skylarkturn/internal/membership"
	"skylarkturn/internal/ops"
	"skylarkturn/internal/packet"
	"skylarkturn/internal/registry"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/route"
	"skylarkturn/internal/steering"
	"skylarkturn/internal/trace"
	"skylarkturn/internal/udpio"
)

// KindNetwork is the kind of errors of sockets and peers.
const KindNetwork = "network"

// Error reports the operation of package packetbalancer that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("packetbalancer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Settings holds the addresses, timing and identity of a balancer.
type Settings struct {
	Name          string           // key of the balancer's record in the registry
	Zone          string           // availability zone of the balancer's VM
	ClientAddr    netip.AddrPort   // UDP address for clients' packets; clients receive on the same port
	InnerAddr     netip.AddrPort   // UDP address for agents and other balancers
	OpsAddr       netip.AddrPort   // HTTP address of metrics, debug pages and the configuration for peers
	ReadinessAddr netip.AddrPort   // HTTP address of the readiness check
	HeartbeatAddr netip.AddrPort   // HTTP address at which hosts send heartbeats; the zero value disables it
	Seeds         []netip.AddrPort // inner addresses of other balancers
	Secret        []byte           // authenticates control messages
	GracePeriod   time.Duration    // time from the stop signal to forced termination
}

// Store reads the operator's configuration. Config returns the current one;
// AwaitConfig waits for a revision after since and reports !ok if none came. It fails
// with kind platform.KindRestored if since is of an earlier epoch than the answer.
// Reconnect makes the next call use a new connection.
type Store interface {
	Config(ctx context.Context) (cfg route.Config, at epoch.Position, ok bool, err error)
	AwaitConfig(ctx context.Context, since epoch.Position, wait time.Duration) (cfg route.Config, at epoch.Position, ok bool, err error)
	Reconnect()
}

// Platform holds the balancer's connections to the platform: stores, packet codec
// and HTTP handlers.
type Platform struct {
	Store            Store
	Epochs           *epoch.Monitor // of the store
	Balancers        registry.Store
	Agents           registry.Store
	Codec            packet.Codec
	ReadinessHandler func(ready func() bool) http.Handler
	WriteMetrics     func(io.Writer) // writes the metrics of the platform's client; nil for none
	HeartbeatHandler http.Handler    // answers hosts' heartbeats to this balancer; nil for none
}

// Balancer forwards clients' packets to agents and keeps the membership and
// configuration that it needs for that.
type Balancer struct {
	settings  Settings
	platform  Platform
	balancers *registry.Registry // addresses of balancers
	agents    *registry.Registry // addresses of agents
	log       *log.Logger
	metrics   *metrics.Set
	counters  *counters
	started   time.Time

	clientConn  *net.UDPConn
	innerSocket *inner.Socket
	servers     ops.Servers
	peerClient  *http.Client

	decisions        *trace.Ring // recent decisions, served at fleet.FlowsPath
	flowLogLimit     *trace.RateLimiter
	stopping         atomic.Bool   // drain has begun
	configVersion    atomic.Uint64 // copy of the version in steering, read without mu
	storeUnavailable atomic.Bool   // the last store call of watchStore failed
	lastClientPacket atomic.Int64  // receive time of the last client packet, in Unix nanoseconds
	peerConfigNewer  chan struct{} // signals that a peer has a newer configuration
	flowsPending     chan struct{} // signals that a flow waits and none did before

	mu              sync.Mutex // guards the fields below
	steering        *steering.Table
	members         *membership.Balancer
	configAppliedAt time.Time // when the current configuration was applied
	syncedVersion   uint64    // membership version that steering was last updated from
	settled         bool      // all members are known and isolated is false
	isolated        bool      // no agent's heartbeats arrive any more
	cancelWatch     func()    // cancels the current watch of the configuration
}

// Option changes how New builds a balancer.
type Option func(*Balancer)

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(l *log.Logger) Option { return func(b *Balancer) { b.log = l } }

const (
	maxDecisions      = 8192 // some minutes of a balancer's new flows, in 1 MB
	flowLogsPerSecond = 100  // about 25 KB/s of log
)

// New returns a balancer with its sockets open; Run serves them.
func New(cfg Settings, p Platform, opts ...Option) (*Balancer, error) {
	now := time.Now()
	b := &Balancer{
		settings:        cfg,
		platform:        p,
		log:             &log.Logger{Level: log.PanicLevel},
		metrics:         metrics.NewSet(),
		started:         now,
		peerClient:      newPeerClient(),
		peerConfigNewer: make(chan struct{}, 1),
		flowsPending:    make(chan struct{}, 1),
		cancelWatch:     func() {},
		steering:        steering.New(),
		decisions:       trace.NewRing(maxDecisions),
		flowLogLimit:    trace.NewRateLimiter(flowLogsPerSecond),
	}
	for _, o := range opts {
		o(b)
	}
	b.counters = newCounters(b.metrics)
	b.balancers = registry.New("balancers", p.Balancers, b.log, b.counters.storeErrors)
	b.agents = registry.New("agents", p.Agents, b.log, b.counters.storeErrors)
	if err := b.open(); err != nil {
		b.close()
		return nil, err
	}
	self := roster.Member{Name: cfg.Name, Zone: cfg.Zone, Addr: b.innerSocket.Addr(), Incarnation: uint64(now.UnixNano())}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	b.members = membership.NewBalancer(now, self, cfg.Seeds, rng)
	b.addGauges()
	return b, nil
}

func (b *Balancer) open() (err error) {
	if b.innerSocket, err = inner.Open(b.settings.InnerAddr, b.settings.Secret, b.metrics); err != nil {
		return err
	}
	if b.clientConn, err = udpio.ListenUDP(b.settings.ClientAddr.String()); err != nil {
		return err
	}
	if err := b.servers.Listen(b.settings.ReadinessAddr, b.platform.ReadinessHandler(b.Ready)); err != nil {
		return err
	}
	if b.settings.HeartbeatAddr.IsValid() && b.platform.HeartbeatHandler != nil {
		if err := b.servers.Listen(b.settings.HeartbeatAddr, b.platform.HeartbeatHandler); err != nil {
			return err
		}
	}
	return b.servers.Listen(b.settings.OpsAddr, b.newOpsHandler())
}

// close closes all sockets and idle connections. Close errors are ignored: the
// balancer is ending and nothing depends on them.
func (b *Balancer) close() {
	if b.innerSocket != nil {
		_ = b.innerSocket.Close()
	}
	if b.clientConn != nil {
		_ = b.clientConn.Close()
	}
	b.servers.Close()
	b.peerClient.CloseIdleConnections()
}

// noTargetReadyDelay is the time after the start from which a balancer with a
// configuration reports ready even if it knows no target.
const noTargetReadyDelay = 1500 * time.Millisecond

// Ready reports whether the balancer can place flows and is not stopping.
func (b *Balancer) Ready() bool {
	if b.stopping.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.steering.Routes() == nil || b.isolated {
		return false // the fabric can use another balancer that is able to serve
	}
	return b.steering.TargetCount() > 0 || time.Since(b.started) > noTargetReadyDelay
}

// Run serves until ctx is done and the fabric has stopped sending packets to the
// balancer, or its grace period has ended. It returns nil, or the error that ended
// it.
func (b *Balancer) Run(ctx context.Context) error {
	return daemon.RunTasks(ctx, b.drain, b.close,
		b.readClients,
		func(ctx context.Context) error { return b.innerSocket.Serve(ctx, b) },
		b.runTicks,
		b.watchStore,
		b.checkStore,
		b.syncWithPeers,
		b.register,
		b.discover,
		b.followEpochs,
		b.loadRegisteredAgents,
		b.deregisterAgents,
		b.servers.Serve,
	)
}

const (
	// minDrainTime covers the fabric's health checks: it probes twice a second and
	// removes a balancer after two failures.
	minDrainTime      = 1600 * time.Millisecond
	drainIdleTime     = 300 * time.Millisecond // time without a client packet after which the fabric is assumed to have removed the balancer
	shutdownReserve   = time.Second            // part of the grace period that is reserved for a clean shutdown
	drainPollInterval = 100 * time.Millisecond
)

// drain reports not ready, keeps forwarding until the fabric stops sending
// packets, then announces to peers that this balancer is leaving and removes it
// from the registry.
func (b *Balancer) drain(ctx context.Context) {
	b.stopping.Store(true)
	b.log.Info().Str("event", "stopping").Msg("readiness withdrawn")
	began := time.Now()
	for time.Since(began) < b.settings.GracePeriod-shutdownReserve {
		backoff.Sleep(ctx, drainPollInterval)
		idle := time.Since(time.Unix(0, b.lastClientPacket.Load()))
		if ctx.Err() != nil || time.Since(began) > minDrainTime && idle > drainIdleTime {
			break
		}
	}
	b.mu.Lock()
	out := b.members.Leave(time.Now())
	b.mu.Unlock()
	b.sendMessages(out)
	_ = b.balancers.Forget(ctx, b.settings.Name) // already logged; a stale registration is harmless
	b.log.Info().Str("event", "stopped").Dur("took", time.Since(began)).Msg("drain finished")
}

// readClients reads and handles clients' packets until the socket is closed.
func (b *Balancer) readClients(ctx context.Context) error {
	var out []steering.Action
	onError := func(error) { b.counters.clientSocketErrors.Inc() }
	udpio.Receive(ctx, b.clientConn, maxClientDatagram, onError, func(raw []byte, _ netip.AddrPort) {
		out = b.handleClientPacket(raw, out[:0])
	})
	return nil
}
