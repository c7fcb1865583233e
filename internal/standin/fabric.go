package standin

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"skylarkturn/internal/udpio"
)

const (
	probeInterval      = 200 * time.Millisecond
	probeTimeout       = 500 * time.Millisecond
	unhealthyThreshold = 2 // failed probes in a row after which a balancer counts as unhealthy
	flowIdleTimeout    = 2 * time.Minute
	datagramBufferSize = 2048 // bytes, above the largest datagram
)

// Backend is a balancer that the fabric forwards datagrams to.
type Backend struct {
	Name        string
	InnerAddr   netip.AddrPort            // for datagrams to the entry address
	ListenAddrs map[string]netip.AddrPort // by service
	HealthURL   string                    // URL that the fabric probes; without one the backend counts as healthy
}

type backend struct {
	Backend
	failedProbes int // in a row
}

// Faults are the faults that a fabric injects into datagrams between callers and
// balancers, in both directions.
type Faults struct {
	Loss      float64 // fraction of datagrams dropped, 0 to 1
	Duplicate float64 // fraction of datagrams delivered twice, 0 to 1
	Delay     time.Duration
	Jitter    time.Duration // upper limit of a random addition to Delay, which reorders datagrams
}

// Fabric simulates a network that forwards each datagram to a random healthy
// balancer, regardless of its flow. Balancers see a source port of the fabric's own
// for each caller.
type Fabric struct {
	mu         sync.Mutex // guards the fields below
	backends   []*backend
	faults     Faults
	rand       *rand.Rand
	flows      map[flowKey]*fabricFlow
	blackholed map[netip.AddrPort]bool // callers whose datagrams are dropped

	services map[string]*net.UDPConn
	entry    *net.UDPConn
	http     *http.Client
}

type flowKey struct {
	service string
	caller  netip.AddrPort
}

type fabricFlow struct {
	conn     *net.UDPConn
	lastUsed time.Time
}

// NewFabric listens on loopback at an address for each service and at the entry
// address for control messages. The seed determines its random choices.
func NewFabric(seed uint64, services ...string) (*Fabric, error) {
	f := &Fabric{
		rand:       rand.New(rand.NewPCG(seed, seed)),
		flows:      make(map[flowKey]*fabricFlow),
		blackholed: make(map[netip.AddrPort]bool),
		services:   make(map[string]*net.UDPConn),
		http:       &http.Client{Timeout: probeTimeout},
	}
	var err error
	if f.entry, err = udpio.ListenUDP("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for _, s := range services {
		if f.services[s], err = udpio.ListenUDP("127.0.0.1:0"); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fabric) close() {
	_ = f.entry.Close()
	for _, c := range f.services {
		_ = c.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fl := range f.flows {
		_ = fl.conn.Close()
	}
}

// Entry returns the address whose datagrams are forwarded to the inner address of a
// random balancer.
func (f *Fabric) Entry() string { return f.entry.LocalAddr().String() }

// Address returns the address of a service.
func (f *Fabric) Address(service string) string { return f.services[service].LocalAddr().String() }

// Add adds a balancer.
func (f *Fabric) Add(b Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backends = append(f.backends, &backend{Backend: b})
}

// Remove removes a balancer.
func (f *Fabric) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, b := range f.backends {
		if b.Name == name {
			f.backends = append(f.backends[:i:i], f.backends[i+1:]...)
			return
		}
	}
}

// SetFaults replaces the injected faults.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// BlackholeFlows drops all later datagrams of the flows that are open now, as a
// middlebox does that has lost its state table, and returns their number.
func (f *Fabric) BlackholeFlows() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := range f.flows {
		f.blackholed[k.caller] = true
	}
	return len(f.flows)
}

// Run forwards datagrams until ctx is done.
func (f *Fabric) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.forwardControl(ctx) })
	g.Go(func() error { return f.probe(ctx) })
	for name, conn := range f.services {
		g.Go(func() error { return f.forwardRequests(ctx, g, name, conn) })
	}
	g.Go(func() error {
		<-ctx.Done()
		f.close()
		return nil
	})
	return g.Wait()
}

func (f *Fabric) forwardControl(ctx context.Context) error {
	buf := make([]byte, datagramBufferSize)
	for {
		n, _, err := f.entry.ReadFromUDPAddrPort(buf)
		if err != nil {
			return ignoreClosed(ctx, err)
		}
		if b := f.pick(); b != nil {
			_, _ = f.entry.WriteToUDPAddrPort(buf[:n], b.InnerAddr) // lost, as datagrams may be
		}
	}
}

func ignoreClosed(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// pick returns a random balancer among those that count as healthy, nil if there is
// none.
func (f *Fabric) pick() *backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	var up []*backend
	for _, b := range f.backends {
		if b.failedProbes < unhealthyThreshold {
			up = append(up, b)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[f.rand.IntN(len(up))]
}

func (f *Fabric) forwardRequests(ctx context.Context, g *errgroup.Group, name string, conn *net.UDPConn) error {
	buf := make([]byte, datagramBufferSize)
	for {
		n, caller, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return ignoreClosed(ctx, err)
		}
		fl, err := f.flow(ctx, g, flowKey{name, caller}, conn)
		if err != nil {
			continue // no port for the caller: the datagram is lost
		}
		f.sendWithFaults(caller, buf[:n], func(b []byte) {
			if to := f.pick(); to != nil {
				_, _ = fl.conn.WriteToUDPAddrPort(b, to.ListenAddrs[name]) // lost, as datagrams may be
			}
		})
	}
}

// flow returns the flow of a caller. For a new caller it opens a port and starts
// forwarding replies.
func (f *Fabric) flow(ctx context.Context, g *errgroup.Group, key flowKey, service *net.UDPConn) (*fabricFlow, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fl := f.flows[key]; fl != nil {
		fl.lastUsed = time.Now()
		return fl, nil
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, &Error{"open flow", KindStart, err}
	}
	fl := &fabricFlow{conn, time.Now()}
	f.flows[key] = fl
	g.Go(func() error { return f.forwardReplies(ctx, key, fl, service) })
	return fl, nil
}

func (f *Fabric) forwardReplies(ctx context.Context, key flowKey, fl *fabricFlow, service *net.UDPConn) error {
	buf := make([]byte, datagramBufferSize)
	for {
		n, _, err := fl.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return ignoreClosed(ctx, err)
		}
		f.sendWithFaults(key.caller, buf[:n], func(b []byte) {
			_, _ = service.WriteToUDPAddrPort(b, key.caller) // lost, as datagrams may be
		})
	}
}

// sendWithFaults applies the injected faults to a datagram and sends the copies that
// remain.
func (f *Fabric) sendWithFaults(caller netip.AddrPort, b []byte, send func([]byte)) {
	f.mu.Lock()
	faults := f.faults
	copies := 1
	if f.blackholed[caller] || faults.Loss > 0 && f.rand.Float64() < faults.Loss {
		copies = 0
	} else if faults.Duplicate > 0 && f.rand.Float64() < faults.Duplicate {
		copies = 2
	}
	delay := faults.Delay
	if faults.Jitter > 0 {
		delay += time.Duration(f.rand.Int64N(int64(faults.Jitter)))
	}
	f.mu.Unlock()
	for range copies {
		if delay == 0 {
			send(b)
			continue
		}
		delayed := append([]byte(nil), b...)
		time.AfterFunc(delay, func() { send(delayed) })
	}
}

// probe probes the health of balancers and removes idle flows periodically.
func (f *Fabric) probe(ctx context.Context) error {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			f.probeAll(ctx)
			f.expireFlows(now)
		}
	}
}

func (f *Fabric) probeAll(ctx context.Context) {
	f.mu.Lock()
	backends := append([]*backend(nil), f.backends...)
	f.mu.Unlock()
	var g errgroup.Group
	for _, b := range backends {
		if b.HealthURL == "" {
			continue
		}
		g.Go(func() error {
			ok := f.healthy(ctx, b.HealthURL)
			f.mu.Lock()
			defer f.mu.Unlock()
			if ok {
				b.failedProbes = 0
			} else {
				b.failedProbes++
			}
			return nil
		})
	}
	_ = g.Wait() // probes record their results in the backends
}

func (f *Fabric) healthy(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *Fabric) expireFlows(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, fl := range f.flows {
		if now.Sub(fl.lastUsed) > flowIdleTimeout {
			_ = fl.conn.Close()
			delete(f.flows, k)
		}
	}
}
