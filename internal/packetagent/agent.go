package packetagent

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"skylarkturn/internal/backoff"
	"skylarkturn/internal/daemon"
	"skylarkturn/internal/epoch"
	"skylarkturn/internal/fleet"
	"skylarkturn/internal/flowtable"
	"skylarkturn/internal/inner"
	"skylarkturn/internal/membership"
	"skylarkturn/internal/ops"
	"skylarkturn/internal/packet"
	"skylarkturn/internal/registry"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/trace"
	"skylarkturn/internal/udpio"
)

// Settings holds the addresses, timing and identity of an agent.
type Settings struct {
	Name              string           // key of the agent's record in the registry
	Zone              string           // availability zone of the agent's VM
	InnerAddr         netip.AddrPort   // UDP address for balancers
	OpsAddr           netip.AddrPort   // HTTP address of metrics and debug pages
	ReadinessAddr     netip.AddrPort   // HTTP address of the readiness check
	HeartbeatAddr     netip.AddrPort   // HTTP address that receives the host's heartbeats
	OutboundAddr      netip.AddrPort   // UDP address that the host sends its packets to
	HostAddr          netip.AddrPort   // UDP and TCP address of the host
	ClientPort        uint16           // UDP port at which clients receive
	Seeds             []netip.AddrPort // inner addresses of balancers
	Service           string           // service of the host, as assigned by the platform
	Secret            []byte           // authenticates control messages
	HeartbeatInterval time.Duration    // interval of the host's heartbeats
	ReuseDelay        time.Duration    // minimum time from the end of a host until its address is another service's
	FlowLifetime      time.Duration    // maximum age of a flow
	FirstStart        bool             // first start of the whole system: no host can have started before the agent
}

// vm returns what a report must match to be of the agent's host.
func (s *Settings) vm() flowtable.VM {
	return flowtable.VM{Service: s.Service, Zone: s.Zone, Addr: s.HostAddr, ReuseDelay: s.ReuseDelay, FlowLifetime: s.FlowLifetime}
}

// isOnVM reports whether a sender is on the host's VM.
func (s *Settings) isOnVM(sender netip.Addr) bool {
	return sender == s.HostAddr.Addr() || sender.IsLoopback()
}

// Platform holds the agent's connections to the platform: stores, packet codec and
// HTTP handlers.
type Platform struct {
	Balancers           registry.Store
	Agents              registry.Store
	Epochs              *epoch.Monitor // of the store
	Snapshots           SnapshotStore
	Codec               packet.Codec
	ReadinessHandler    func(ready func() bool) http.Handler
	WriteMetrics        func(io.Writer)           // writes the metrics of the platform's client; nil for none
	NewHeartbeatHandler func(*Agent) http.Handler // returns the handler of the host's heartbeats
	AssignedService     func() (string, error)    // reads the service of the VM's hosts from the settings
}

// Agent forwards packets between balancers, clients and the host on its VM.
type Agent struct {
	settings  Settings
	platform  Platform
	balancers *registry.Registry // addresses of balancers
	agents    *registry.Registry // addresses of agents
	log       *log.Logger
	metrics   *metrics.Set
	counters  counters

	hostConn       *net.UDPConn
	innerSocket    *inner.Socket
	servers        ops.Servers
	checkRequested chan struct{} // wakes checkHost
	hostSeen       chan struct{} // closed when the first host has registered
	hostSeenOnce   sync.Once
	decisions      *trace.Ring // recent decisions, served at fleet.FlowsPath
	flowLogLimit   *trace.RateLimiter
	started        time.Time

	mu       sync.Mutex // guards the fields below
	pauses   flowtable.PauseDetector
	uptime   func() time.Duration // of the VM
	flows    *flowtable.Table
	presence flowtable.Presence // of the host, as last logged
	members  *membership.Agent
}

// Option changes how New builds an agent.
type Option func(*Agent)

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(l *log.Logger) Option { return func(a *Agent) { a.log = l } }

const (
	maxDecisions      = 2048 // a few minutes of a host's new flows
	flowLogsPerSecond = 50
)

// New returns an agent with its sockets open; Run serves them.
func New(cfg Settings, p Platform, opts ...Option) (*Agent, error) {
	now := time.Now()
	a := &Agent{
		settings:       cfg,
		platform:       p,
		log:            &log.Logger{Level: log.PanicLevel},
		metrics:        metrics.NewSet(),
		checkRequested: make(chan struct{}, 1),
		hostSeen:       make(chan struct{}),
		decisions:      trace.NewRing(maxDecisions),
		flowLogLimit:   trace.NewRateLimiter(flowLogsPerSecond),
		started:        now,
		uptime:         uptime,
		flows:          flowtable.New(now, cfg.vm(), cfg.HeartbeatInterval, cfg.FirstStart),
	}
	a.presence = a.flows.Presence()
	for _, o := range opts {
		o(a)
	}
	a.counters = newCounters(a.metrics)
	a.balancers = registry.New("balancers", p.Balancers, a.log, a.counters.storeErrors)
	a.agents = registry.New("agents", p.Agents, a.log, a.counters.storeErrors)
	if err := a.open(); err != nil {
		a.close()
		return nil, err
	}
	self := roster.Member{Name: cfg.Name, Zone: cfg.Zone, Addr: a.innerSocket.Addr(), Incarnation: uint64(now.UnixNano()), AcceptsClass: true}
	setService(&self, cfg.Service)
	a.members = membership.NewAgent(now, self, cfg.Seeds)
	a.addGauges()
	return a, nil
}

func (a *Agent) open() (err error) {
	if a.innerSocket, err = inner.Open(a.settings.InnerAddr, a.settings.Secret, a.metrics); err != nil {
		return err
	}
	if a.hostConn, err = udpio.ListenUDP(a.settings.OutboundAddr.String()); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+fleet.FlowsPath, a.decisions)
	mux.Handle("GET "+fleet.StatusPath, fleet.JSONHandler(a.status))
	mux.Handle("GET /metrics", ops.MetricsHandler(a.metrics.WritePrometheus, a.platform.WriteMetrics))
	if err := a.servers.Listen(a.settings.HeartbeatAddr, a.platform.NewHeartbeatHandler(a)); err != nil {
		return err
	}
	if err := a.servers.Listen(a.settings.ReadinessAddr, a.platform.ReadinessHandler(func() bool { return true })); err != nil {
		return err
	}
	return a.servers.Listen(a.settings.OpsAddr, mux)
}

// close closes all sockets. Close errors are ignored: the agent is ending and
// nothing depends on them.
func (a *Agent) close() {
	if a.innerSocket != nil {
		_ = a.innerSocket.Close()
	}
	if a.hostConn != nil {
		_ = a.hostConn.Close()
	}
	a.servers.Close()
}

// Run serves until ctx is done and then announces to balancers that the agent is
// leaving. It returns nil, or the error that ended it.
func (a *Agent) Run(ctx context.Context) error {
	return daemon.RunTasks(ctx, a.leave, a.close,
		a.readHost,
		func(ctx context.Context) error { return a.innerSocket.Serve(ctx, a) },
		a.runTicks,
		a.registerAgent,
		a.followEpochs,
		a.discoverBalancers,
		a.checkHost,
		a.saveSnapshots,
		a.servers.Serve,
	)
}

// leave announces to balancers that the agent is leaving. An agent whose host may
// still run stops at once, without a call to the registry, since the host is
// unreachable until the agent has restarted. An agent that knows that no host runs leaves
// permanently and deregisters.
func (a *Agent) leave(ctx context.Context) {
	a.mu.Lock()
	_, known := a.flows.Host()
	unsure := !known && a.flows.HostMayRun()
	a.mu.Unlock()
	if unsure {
		a.runCheck(ctx)
	}
	now := time.Now()
	a.mu.Lock()
	mayRun := a.flows.HostMayRun()
	out := a.members.Leave(now, !mayRun)
	released := a.flows.ReleaseAll(now, nil)
	a.mu.Unlock()
	a.execute(released)
	a.sendMessages(out)
	a.log.Info().Str("event", "stopped").Bool("for_good", !mayRun).Msg("")
	if !mayRun {
		_ = a.agents.Forget(ctx, a.settings.Name) // already logged; balancers also deregister agents that have left
	}
}

// readHost reads and handles the host's packets until the socket is closed.
func (a *Agent) readHost(ctx context.Context) error {
	var out []flowtable.Action
	onError := func(error) { a.counters.hostSocketErrors.Inc() }
	udpio.Receive(ctx, a.hostConn, maxHostDatagram, onError, func(raw []byte, from netip.AddrPort) {
		if !a.settings.isOnVM(from.Addr()) {
			a.counters.invalidPackets.Inc()
			return
		}
		out = a.handleHostPacket(raw, out[:0])
	})
	return nil
}

const (
	checkTimeout  = 300 * time.Millisecond // timeout of a connection attempt within the VM
	checkInterval = time.Second            // minimum interval of checks
)

// checkHost probes the host whenever a check is requested: when the host has sent
// nothing for some time, and after a restart of the agent, when a host may already
// be running.
func (a *Agent) checkHost(ctx context.Context) error {
	if !a.settings.FirstStart {
		a.requestCheck()
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.checkRequested:
		}
		a.runCheck(ctx)
		backoff.Sleep(ctx, checkInterval)
	}
}

// runCheck probes the host once.
func (a *Agent) runCheck(ctx context.Context) {
	began := time.Now()
	result := a.probeHost(ctx)
	a.mu.Lock()
	out := a.flows.HandleCheck(began, result, nil)
	messages := a.updateMember(time.Now())
	a.mu.Unlock()
	a.log.Info().Str("event", "host_checked").Stringer("result", result).Int("actions", len(out)).Msg("")
	a.execute(out)
	a.sendMessages(messages)
}

// probeHost tries to connect to the host. Only a refused connection proves that
// the host is not running.
func (a *Agent) probeHost(ctx context.Context) flowtable.CheckResult {
	d := net.Dialer{Timeout: checkTimeout}
	conn, err := d.DialContext(ctx, "tcp4", a.settings.HostAddr.String())
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent
		return flowtable.HostListening
	case errors.Is(err, syscall.ECONNREFUSED):
		return flowtable.HostAbsent
	}
	return flowtable.HostUnclear
}
