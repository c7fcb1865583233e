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
	"skylarkturn/internal/link"
	"skylarkturn/internal/peer"
	"skylarkturn/internal/platform"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/service"
)

// Balancer is one balancer.
type Balancer struct {
	cfg      Settings
	creds    *credential.Store
	log      *log.Logger
	sealer   flow.Sealer
	codec    *control.Codec
	peers    *peer.Client
	platform *platform.Client // nil when the settings name none
	counters counters
	metrics  *metrics.Set

	inner   *net.UDPConn
	calls   net.Listener
	listens map[uint16]*net.UDPConn
	ops     net.Listener
	admin   net.Listener
	self    netip.AddrPort
	table   atomic.Pointer[flow.Table]

	closed      chan struct{} // closed by Close
	closing     sync.Once
	revision    uint64                            // of the platform's objects; used by followPlatform alone
	generations atomic.Pointer[map[uint16]uint32] // of the table's services, for frames

	mu      sync.Mutex // guards what follows
	me      roster.Member
	members *roster.Roster
	catalog *service.Catalog
	spread  map[uint16]int // generations to gossip: transmissions left by service
	checked time.Time      // when the catalog was last known to be the platform's
	built   uint64         // version of members that the table was built from
	rebuilt time.Time
	stale   bool // the catalog or the keys changed since
	pulls   chan pull
	probes  chan roster.Member
	probing map[netip.AddrPort]bool
}

// Option changes how New builds a balancer.
type Option func(*Balancer)

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(l *log.Logger) Option { return func(b *Balancer) { b.log = l } }

const pullQueue = 64 // fetches that may wait; repair finds what is dropped

// New opens the sockets of a balancer.
func New(cfg Settings, opts ...Option) (*Balancer, error) {
	creds, err := credential.Open(cfg.Credentials)
	if err != nil {
		return nil, err
	}
	b := &Balancer{
		cfg:     cfg,
		creds:   creds,
		log:     &log.Logger{Level: log.PanicLevel},
		peers:   peer.NewClient(creds),
		metrics: metrics.NewSet(),
		listens: make(map[uint16]*net.UDPConn),
		catalog: service.NewCatalog(),
		spread:  make(map[uint16]int),
		pulls:   make(chan pull, pullQueue),
		probes:  make(chan roster.Member, probeQueue),
		probing: make(map[netip.AddrPort]bool),
		stale:   true,
		closed:  make(chan struct{}),
	}
	if cfg.Platform != "" {
		b.platform = platform.NewClient(cfg.Platform, http.DefaultClient)
	}
	for _, o := range opts {
		o(b)
	}
	if b.sealer, err = flow.NewSealer(creds.Root()); err != nil {
		return nil, err
	}
	if b.codec, err = control.NewCodec(creds.Root()); err != nil {
		return nil, err
	}
	if err := b.open(); err != nil {
		b.close()
		return nil, err
	}
	b.counters = newCounters(b.metrics)
	b.introduce(time.Now())
	return b, nil
}

// Makes the balancer's own record and the roster that holds it.
func (b *Balancer) introduce(now time.Time) {
	b.me = roster.Member{
		Role:        roster.Balancer,
		State:       roster.Ready,
		Name:        b.cfg.Name,
		Zone:        b.cfg.Zone,
		Addr:        b.self,
		Incarnation: uint64(now.UnixNano()),
		Seq:         1,
	}
	b.members = roster.New(roster.DefaultTiming, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	b.members.Apply(now, b.me)
	b.rebuild()
}

func (b *Balancer) open() (err error) {
	if b.inner, b.calls, err = link.Listen(b.cfg.Inner); err != nil {
		return err
	}
	b.self = link.LocalAddr(b.inner)
	for _, l := range b.cfg.Listen {
		conn, err := link.ListenUDP(l.Address)
		if err != nil {
			return err
		}
		b.listens[l.Number] = conn
	}
	if b.ops, err = net.Listen("tcp4", b.cfg.Ops); err != nil {
		return &Error{"listen ops", KindNetwork, err}
	}
	if b.admin, err = net.Listen("tcp4", b.cfg.Admin); err != nil {
		return &Error{"listen admin", KindNetwork, err}
	}
	return nil
}

// Closes whatever is open; errors say nothing that matters at the end.
func (b *Balancer) close() {
	for _, l := range []net.Listener{b.calls, b.ops, b.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
	if b.inner != nil {
		_ = b.inner.Close()
	}
	for _, c := range b.listens {
		_ = c.Close()
	}
	b.peers.Close()
}

// Addresses are the addresses that a balancer listens on.
type Addresses struct {
	Inner  string            `json:"inner"`
	Admin  string            `json:"admin"`
	Ops    string            `json:"ops"`
	Listen map[string]string `json:"listen"` // by service name
}

// Addresses returns the addresses that the balancer listens on.
func (b *Balancer) Addresses() Addresses {
	a := Addresses{b.self.String(), b.admin.Addr().String(), b.ops.Addr().String(), make(map[string]string)}
	for _, l := range b.cfg.Listen {
		a.Listen[l.Service] = b.listens[l.Number].LocalAddr().String()
	}
	return a
}

const readersPerSocket = 2

// Run serves until ctx is done, says farewell to the other balancers, and
// returns nil, or the error that ended it.
func (b *Balancer) Run(ctx context.Context) error {
	defer b.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	for number, conn := range b.listens {
		for range readersPerSocket {
			g.Go(func() error { return b.readCallers(ctx, number, conn) })
		}
	}
	for range readersPerSocket {
		g.Go(func() error { return b.readInner(ctx) })
	}
	g.Go(func() error { return b.keepTime(ctx) })
	g.Go(func() error { return b.fetch(ctx) })
	g.Go(func() error { return b.probeAgents(ctx) })
	g.Go(func() error { return b.followPlatform(ctx) })
	g.Go(func() error { return peer.Serve(ctx, b.calls, b.creds, b, nil) })
	g.Go(func() error { return b.serveOps(ctx) })
	g.Go(func() error { return b.serveAdmin(ctx) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			b.farewell()
		case <-b.closed:
		}
		cancel()
		b.close()
		return nil
	})
	return g.Wait()
}

// Close ends the balancer at once, without a farewell.
func (b *Balancer) Close() { b.closing.Do(func() { close(b.closed) }) }
