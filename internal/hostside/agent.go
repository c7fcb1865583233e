package hostside

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

	"skylarkturn/internal/daemon"
	"skylarkturn/internal/fleet"
	"skylarkturn/internal/flowtable"
	"skylarkturn/internal/inner"
	"skylarkturn/internal/link"
	"skylarkturn/internal/membership"
	"skylarkturn/internal/ops"
	"skylarkturn/internal/pace"
	"skylarkturn/internal/packet"
	"skylarkturn/internal/registry"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/trace"
)

// Settings are the settings of an agent.
type Settings struct {
	Name       string
	Zone       string
	Inner      netip.AddrPort // UDP address for daemons
	Ops        netip.AddrPort // HTTP address of metrics
	Ready      netip.AddrPort // HTTP address of the readiness check
	Heartbeats netip.AddrPort // HTTP address that the host reports to
	Outbound   netip.AddrPort // UDP address that the host sends its packets to
	Host       netip.AddrPort // UDP and TCP address of the host
	ClientPort uint16         // UDP port at which clients receive
	Seeds      []netip.AddrPort
	Service    string        // of the host, as the platform assigned it
	Secret     []byte        // authenticates control messages
	BeatEvery  time.Duration // interval of the host's heartbeats
	FirstStart bool          // no host can have started before the agent
}

// Platform is what the agent uses of the platform around it.
type Platform struct {
	Balancers registry.Store
	Agents    registry.Store
	Snapshots Snapshots
	Format    packet.Format
	Ready     func(ready func() bool) http.Handler
	Metrics   func(io.Writer)           // writes the metrics of the platform's client; nil for none
	Hosts     func(*Agent) http.Handler // takes the host's heartbeats
}

// Agent is one agent.
type Agent struct {
	cfg       Settings
	platform  Platform
	balancers *registry.Registry
	agents    *registry.Registry
	log       *log.Logger
	metrics   *metrics.Set
	counters  counters

	outbound *net.UDPConn
	inner    *inner.Socket
	servers  ops.Servers
	checks   chan struct{}
	hosted   chan struct{} // closed once the agent has had a host
	hosting  sync.Once
	ring     *trace.Ring
	lines    *trace.Budget
	started  time.Time

	mu      sync.Mutex // guards what follows
	flows   *flowtable.Table
	members *membership.Agent
}

// Option changes how New builds an agent.
type Option func(*Agent)

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(l *log.Logger) Option { return func(a *Agent) { a.log = l } }

const (
	ringSize       = 2048 // decisions; a few minutes of a host's new flows
	linesPerSecond = 50   // about flows
)

// New opens the sockets of an agent.
func New(cfg Settings, p Platform, opts ...Option) (*Agent, error) {
	now := time.Now()
	a := &Agent{
		cfg:      cfg,
		platform: p,
		log:      &log.Logger{Level: log.PanicLevel},
		metrics:  metrics.NewSet(),
		checks:   make(chan struct{}, 1),
		hosted:   make(chan struct{}),
		ring:     trace.NewRing(ringSize),
		lines:    trace.NewBudget(linesPerSecond),
		started:  now,
		flows:    flowtable.New(now, cfg.BeatEvery, cfg.FirstStart),
	}
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
	me := roster.Member{Name: cfg.Name, Zone: cfg.Zone, Addr: a.inner.Addr(), Incarnation: uint64(now.UnixNano())}
	serve(&me, cfg.Service)
	a.members = membership.NewAgent(now, me, cfg.Seeds)
	a.addGauges()
	return a, nil
}

func (a *Agent) open() (err error) {
	if a.inner, err = inner.Open(a.cfg.Inner, a.cfg.Secret, a.metrics); err != nil {
		return err
	}
	if a.outbound, err = link.ListenUDP(a.cfg.Outbound.String()); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+fleet.FlowsPath, a.ring)
	mux.Handle("GET "+fleet.StatusPath, fleet.Handler(a.status))
	mux.Handle("GET /metrics", ops.Metrics(a.metrics.WritePrometheus, a.platform.Metrics))
	if err := a.servers.Listen(a.cfg.Heartbeats, a.platform.Hosts(a)); err != nil {
		return err
	}
	if err := a.servers.Listen(a.cfg.Ready, a.platform.Ready(func() bool { return true })); err != nil {
		return err
	}
	return a.servers.Listen(a.cfg.Ops, mux)
}

// Closes whatever is open; errors say nothing that matters at the end.
func (a *Agent) close() {
	if a.inner != nil {
		_ = a.inner.Close()
	}
	if a.outbound != nil {
		_ = a.outbound.Close()
	}
	a.servers.Close()
}

// Run serves until ctx is done, says farewell, and returns nil, or the error
// that ended it.
func (a *Agent) Run(ctx context.Context) error {
	return daemon.RunParts(ctx, a.farewell, a.close,
		a.readHost,
		func(ctx context.Context) error { return a.inner.Read(ctx, a) },
		a.keepTime,
		a.register,
		a.seekBalancers,
		a.checkHost,
		a.keepSnapshot,
		a.servers.Serve,
	)
}

// An agent whose host lives ends at once, since it is missed until it is back.
func (a *Agent) farewell(ctx context.Context) {
	a.mu.Lock()
	_, hosted := a.flows.Host()
	out := a.members.Farewell(time.Now(), !hosted)
	a.mu.Unlock()
	a.sendMessages(out)
	a.log.Info().Str("event", "stopped").Bool("for_good", !hosted).Msg("")
	if !hosted {
		_ = a.agents.Forget(ctx, a.cfg.Name) // logged; balancers take the note out, too
	}
}

// Reads packets of the host.
func (a *Agent) readHost(ctx context.Context) error {
	var out []flowtable.Action
	failed := func(error) { a.counters.socketErrors.Inc() }
	link.Each(ctx, a.outbound, maxHostDatagram, failed, func(raw []byte, _ netip.AddrPort) {
		out = a.fromHost(raw, out[:0])
	})
	return nil
}

const (
	checkTimeout = 300 * time.Millisecond // of a connection attempt on the same VM
	checkEvery   = time.Second
)

// Finds out whether a silent host has ended, and at the start whether one runs
// already.
func (a *Agent) checkHost(ctx context.Context) error {
	if !a.cfg.FirstStart {
		a.wakeCheck()
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.checks:
		}
		began := time.Now()
		result := a.connect(ctx)
		a.mu.Lock()
		out := a.flows.Checked(began, result, a.cfg.Service, nil)
		messages := a.announce(time.Now())
		a.mu.Unlock()
		a.log.Info().Str("event", "host_checked").Stringer("result", result).Int("actions", len(out)).Msg("")
		a.act(out)
		a.sendMessages(messages)
		pace.Sleep(ctx, checkEvery)
	}
}

// Tries to connect to the host. Only a refused connection is certain news of its
// end.
func (a *Agent) connect(ctx context.Context) flowtable.CheckResult {
	d := net.Dialer{Timeout: checkTimeout}
	conn, err := d.DialContext(ctx, "tcp4", a.cfg.Host.String())
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent
		return flowtable.HostListening
	case errors.Is(err, syscall.ECONNREFUSED):
		return flowtable.HostAbsent
	}
	return flowtable.HostUnclear
}
