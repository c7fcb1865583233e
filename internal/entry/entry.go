package entry

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

	"skylarkturn/internal/daemon"
	"skylarkturn/internal/inner"
	"skylarkturn/internal/link"
	"skylarkturn/internal/membership"
	"skylarkturn/internal/ops"
	"skylarkturn/internal/pace"
	"skylarkturn/internal/packet"
	"skylarkturn/internal/registry"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/route"
	"skylarkturn/internal/steering"
	"skylarkturn/internal/trace"
)

// KindNetwork is the kind of errors of sockets and peers.
const KindNetwork = "network"

// Error reports the operation of package entry that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("entry: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Settings are the settings of a balancer.
type Settings struct {
	Name       string
	Zone       string
	Packets    netip.AddrPort // UDP address for clients' packets; clients receive at the same port
	Inner      netip.AddrPort // UDP address for daemons
	Ops        netip.AddrPort // HTTP address of metrics and of what daemons fetch
	Ready      netip.AddrPort // HTTP address of the readiness check
	Heartbeats netip.AddrPort // HTTP address at which hosts may call; not valid for none
	Seeds      []netip.AddrPort
	Secret     []byte        // authenticates control messages
	Grace      time.Duration // from the request to stop to the forced end
}

// Store is where the operator's configuration is kept.
type Store interface {
	Config(ctx context.Context) (cfg route.Config, revision uint64, ok bool, err error)
	AwaitConfig(ctx context.Context, since uint64, wait time.Duration) (cfg route.Config, revision uint64, ok bool, err error)
}

// Platform is what the balancer uses of the platform around it.
type Platform struct {
	Store     Store
	Balancers registry.Store
	Agents    registry.Store
	Format    packet.Format
	Ready     func(ready func() bool) http.Handler
	Metrics   func(io.Writer) // writes the metrics of the platform's client; nil for none
	Hosts     http.Handler    // answers hosts that call the balancer; nil for none
}

// Balancer is one balancer.
type Balancer struct {
	settings       Settings
	platform  Platform
	balancers *registry.Registry
	agents    *registry.Registry
	log       *log.Logger
	metrics   *metrics.Set
	counters  *counters
	started   time.Time

	clientConn *net.UDPConn
	innerSocket   *inner.Socket
	servers ops.Servers
	peerClient   *http.Client

	decisions      *trace.Ring
	flowLogLimit     *trace.Budget
	stopping  atomic.Bool
	configVersion   atomic.Uint64 // of the configuration in force
	storeUnavailable atomic.Bool   // the last call that followed the configuration has failed
	lastClientPacket    atomic.Int64  // Unix nanoseconds of the last packet of a client
	peerConfigNewer     chan struct{}
	lookupStarted   chan struct{} // the first flow waits

	mu       sync.Mutex // guards what follows
	steering    *steering.Table
	members  *membership.Balancer
	configAppliedAt    time.Time // when the configuration in force was taken
	syncedVersion   uint64    // version of the members that steer has
	settled  bool      // whether all members are known
	isolated bool      // whether no agent is heard any more
	cancelWatch func()    // ends the watch of the configuration
}

// Option changes how New builds a balancer.
type Option func(*Balancer)

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(l *log.Logger) Option { return func(b *Balancer) { b.log = l } }

const (
	maxDecisions       = 8192 // decisions; some minutes of a balancer's new flows in 1 MB
	flowLogsPerSecond = 100  // about flows; some 25 KB/s of log
)

// New opens the sockets of a balancer.
func New(cfg Settings, p Platform, opts ...Option) (*Balancer, error) {
	now := time.Now()
	b := &Balancer{
		settings:      cfg,
		platform: p,
		log:      &log.Logger{Level: log.PanicLevel},
		metrics:  metrics.NewSet(),
		started:  now,
		peerClient:    newPeerClient(),
		peerConfigNewer:    make(chan struct{}, 1),
		lookupStarted:  make(chan struct{}, 1),
		cancelWatch: func() {},
		steering:    steering.New(),
		decisions:     trace.NewRing(maxDecisions),
		flowLogLimit:    trace.NewBudget(flowLogsPerSecond),
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
	if b.innerSocket, err = inner.Open(b.settings.Inner, b.settings.Secret, b.metrics); err != nil {
		return err
	}
	if b.clientConn, err = link.ListenUDP(b.settings.Packets.String()); err != nil {
		return err
	}
	if err := b.servers.Listen(b.settings.Ready, b.platform.Ready(b.Ready)); err != nil {
		return err
	}
	if b.settings.Heartbeats.IsValid() && b.platform.Hosts != nil {
		if err := b.servers.Listen(b.settings.Heartbeats, b.platform.Hosts); err != nil {
			return err
		}
	}
	return b.servers.Listen(b.settings.Ops, b.newOpsHandler())
}

// Closes whatever is open; errors say nothing that matters at the end.
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

// noTargetReadyDelay is the time after its start from which a balancer that knows the
// configuration is ready without knowing any target.
const noTargetReadyDelay = 1500 * time.Millisecond

// Ready reports whether the balancer can place flows and is not about to stop.
func (b *Balancer) Ready() bool {
	if b.stopping.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.steering.Routes() == nil || b.isolated {
		return false // the fabric may know a balancer that serves
	}
	return b.steering.TargetCount() > 0 || time.Since(b.started) > noTargetReadyDelay
}

// Run serves until ctx is done and the fabric has let go of the balancer, and
// returns nil, or the error that ended it.
func (b *Balancer) Run(ctx context.Context) error {
	return daemon.RunParts(ctx, b.drain, b.close,
		b.readClients,
		func(ctx context.Context) error { return b.innerSocket.Read(ctx, b) },
		b.runTicks,
		b.watchStore,
		b.checkStore,
		b.fetchFromPeers,
		b.registerAndDiscover,
		b.loadExpectedAgents,
		b.unregisterDeparted,
		b.servers.Serve,
	)
}

const (
	// The fabric asks twice a second and lets go after two misses.
	minDrainTime = 1600 * time.Millisecond
	drainIdleTime   = 300 * time.Millisecond // without a packet, after which the fabric has let go
	shutdownReserve = time.Second            // of the grace, to end in order
	drainPollInterval   = 100 * time.Millisecond
)

// Forwards on while the fabric still sends packets, then says farewell.
func (b *Balancer) drain(ctx context.Context) {
	b.stopping.Store(true)
	b.log.Info().Str("event", "stopping").Msg("readiness withdrawn")
	began := time.Now()
	for time.Since(began) < b.settings.Grace-shutdownReserve {
		pace.Sleep(ctx, drainPollInterval)
		idle := time.Since(time.Unix(0, b.lastClientPacket.Load()))
		if ctx.Err() != nil || time.Since(began) > minDrainTime && idle > drainIdleTime {
			break
		}
	}
	b.mu.Lock()
	out := b.members.Farewell(time.Now())
	b.mu.Unlock()
	b.sendMessages(out)
	_ = b.balancers.Forget(ctx, b.settings.Name) // logged; the note does no harm
	b.log.Info().Str("event", "stopped").Dur("took", time.Since(began)).Msg("fabric has let go")
}

// Reads packets of clients.
func (b *Balancer) readClients(ctx context.Context) error {
	var out []steering.Action
	failed := func(error) { b.counters.clientSocketErrors.Inc() }
	link.Each(ctx, b.clientConn, maxClientDatagram, failed, func(raw []byte, _ netip.AddrPort) {
		out = b.handleClientPacket(raw, out[:0])
	})
	return nil
}
