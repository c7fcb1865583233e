package balancer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"skylarkturn/internal/control"
	"skylarkturn/internal/credential"
	"skylarkturn/internal/flow"
	"skylarkturn/internal/peer"
	"skylarkturn/internal/platform"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/service"
	"skylarkturn/internal/udpio"
)

// Balancer is the daemon of an entry VM.
type Balancer struct {
	settings    Settings
	credentials *credential.Store
	log         *log.Logger
	sealer      flow.Sealer
	codec       *control.Codec
	peers       *peer.Client
	platform    *platform.Client // nil if the settings have no platform URL
	counters    counters
	metrics     *metrics.Set

	innerConn     *net.UDPConn
	peerListener  net.Listener
	callerConns   map[uint16]*net.UDPConn // by service number
	opsListener   net.Listener
	adminListener net.Listener
	self          netip.AddrPort
	table         atomic.Pointer[flow.Table]

	closed           chan struct{} // closed by Close
	closeOnce        sync.Once
	platformRevision uint64                            // last known revision of the platform objects, 0 to list again; used only by watchPlatform
	tableGenerations atomic.Pointer[map[uint16]uint32] // generations by service number, as written to frames

	mu                sync.Mutex    // guards the fields below; the channels need no lock
	selfRecord        roster.Member // this balancer's record as gossiped
	members           *roster.Roster
	completeness      *roster.Completeness
	catalog           *service.Catalog
	unsentGenerations map[uint16]int // transmissions left for new generations, by service number
	checkedAt         time.Time      // last time that the catalog was known to match the platform
	tableVersion      uint64         // version of members that the routing table was built from
	tableBuiltAt      time.Time
	tableStale        bool // the catalog or the flow keys have changed since the table was built
	fetchQueue        chan fetchRequest
	probeQueue        chan roster.Member
	pendingProbes     map[netip.AddrPort]bool // agents with a queued or running probe
}

// Option configures a balancer.
type Option func(*Balancer)

// WithLogger sets the logger. By default, nothing is logged.
func WithLogger(l *log.Logger) Option { return func(b *Balancer) { b.log = l } }

const fetchQueueLen = 64 // further fetches are dropped; anti-entropy repair makes up for them

// New loads the credentials and opens the sockets of a balancer. Run starts it.
func New(cfg Settings, opts ...Option) (*Balancer, error) {
	creds, err := credential.Open(cfg.Credentials)
	if err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:          cfg,
		credentials:       creds,
		log:               &log.Logger{Level: log.PanicLevel},
		peers:             peer.NewClient(creds),
		metrics:           metrics.NewSet(),
		callerConns:       make(map[uint16]*net.UDPConn),
		catalog:           service.NewCatalog(),
		unsentGenerations: make(map[uint16]int),
		fetchQueue:        make(chan fetchRequest, fetchQueueLen),
		probeQueue:        make(chan roster.Member, probeQueueLen),
		pendingProbes:     make(map[netip.AddrPort]bool),
		tableStale:        true,
		closed:            make(chan struct{}),
	}
	if cfg.Platform != "" {
		b.platform = platform.NewClient(cfg.Platform, http.DefaultClient)
	}
	for _, o := range opts {
		o(b)
	}
	if b.sealer, err = flow.NewSealer(creds.RootSecret()); err != nil {
		return nil, err
	}
	if b.codec, err = control.NewCodec(creds.RootSecret()); err != nil {
		return nil, err
	}
	if err := b.listen(); err != nil {
		b.closeSockets()
		return nil, err
	}
	b.counters = newCounters(b.metrics)
	b.initRoster(time.Now())
	return b, nil
}

// initRoster creates the balancer's own record and a roster that contains it.
func (b *Balancer) initRoster(now time.Time) {
	b.selfRecord = roster.Member{
		Role:        roster.Balancer,
		State:       roster.Ready,
		Name:        b.settings.Name,
		Zone:        b.settings.Zone,
		Addr:        b.self,
		Incarnation: uint64(now.UnixNano()),
		Seq:         1,
	}
	b.completeness = roster.NewCompleteness(now)
	b.members = roster.New(roster.DefaultTiming, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	b.members.Apply(now, b.selfRecord)
	b.rebuildTable()
}

func (b *Balancer) listen() (err error) {
	if b.innerConn, b.peerListener, err = udpio.Listen(b.settings.Inner); err != nil {
		return err
	}
	b.self = udpio.LocalAddr(b.innerConn)
	for _, l := range b.settings.Listen {
		conn, err := udpio.ListenUDP(l.Address)
		if err != nil {
			return err
		}
		b.callerConns[l.Number] = conn
	}
	if b.opsListener, err = net.Listen("tcp4", b.settings.Ops); err != nil {
		return &Error{"listen ops", KindNetwork, err}
	}
	if b.adminListener, err = net.Listen("tcp4", b.settings.Admin); err != nil {
		return &Error{"listen admin", KindNetwork, err}
	}
	return nil
}

// closeSockets closes every open socket. It ignores errors, since no data is
// buffered in them.
func (b *Balancer) closeSockets() {
	for _, l := range []net.Listener{b.peerListener, b.opsListener, b.adminListener} {
		if l != nil {
			_ = l.Close()
		}
	}
	if b.innerConn != nil {
		_ = b.innerConn.Close()
	}
	for _, c := range b.callerConns {
		_ = c.Close()
	}
	b.peers.Close()
}

// Addresses holds the addresses that a balancer listens on.
type Addresses struct {
	Inner  string            `json:"inner"`
	Admin  string            `json:"admin"`
	Ops    string            `json:"ops"`
	Listen map[string]string `json:"listen"` // by service name
}

// Addresses returns the addresses that the balancer listens on.
func (b *Balancer) Addresses() Addresses {
	a := Addresses{b.self.String(), b.adminListener.Addr().String(), b.opsListener.Addr().String(), make(map[string]string)}
	for _, l := range b.settings.Listen {
		a.Listen[l.Service] = b.callerConns[l.Number].LocalAddr().String()
	}
	return a
}

const readersPerSocket = 2 // goroutines that read from one UDP socket

// Run serves until ctx is done, then tells other balancers that this one is leaving
// and returns nil. If a socket or server fails, it returns that error.
func (b *Balancer) Run(ctx context.Context) error {
	defer b.closeSockets()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	for number, conn := range b.callerConns {
		for range readersPerSocket {
			g.Go(func() error { return b.readCallers(ctx, number, conn) })
		}
	}
	for range readersPerSocket {
		g.Go(func() error { return b.readInner(ctx) })
	}
	g.Go(func() error { return b.runTicker(ctx) })
	g.Go(func() error { return b.runFetches(ctx) })
	g.Go(func() error { return b.runProbes(ctx) })
	g.Go(func() error { return b.watchPlatform(ctx) })
	g.Go(func() error { return peer.Serve(ctx, b.peerListener, b.credentials, b, nil) })
	g.Go(func() error { return b.serveOps(ctx) })
	g.Go(func() error { return b.serveAdmin(ctx) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			b.announceLeave()
		case <-b.closed:
		}
		cancel()
		b.closeSockets()
		return nil
	})
	return g.Wait()
}

// Close stops the balancer immediately, without telling other balancers that it is
// leaving.
func (b *Balancer) Close() { b.closeOnce.Do(func() { close(b.closed) }) }
