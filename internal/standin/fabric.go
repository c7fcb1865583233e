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
	probeEvery   = 200 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
	probesDown   = 2
	flowMemory   = 2 * time.Minute
	fabricBuffer = 2048 // bytes of the largest datagram
)

// Backend is a balancer that the fabric sprays datagrams over.
type Backend struct {
	Name   string
	Inner  netip.AddrPort            // for datagrams to the entry address
	Listen map[string]netip.AddrPort // by service
	Health string                    // URL that the fabric probes; empty for none
}

type backend struct {
	Backend
	failed int
}

// Faults are the faults that a fabric adds to datagrams of callers and their
// answers.
type Faults struct {
	Loss      float64 // part of the datagrams lost, 0 to 1
	Duplicate float64 // part of the datagrams delivered twice
	Delay     time.Duration
	Jitter    time.Duration // added to Delay at random, which reorders
}

// Fabric sprays each datagram that arrives at an address over the balancers. It
// gives each caller a port of its own, which the balancers see as the source.
type Fabric struct {
	mu       sync.Mutex // guards what follows
	backends []*backend
	faults   Faults
	rand     *rand.Rand
	flows    map[flowKey]*fabricFlow
	silenced map[netip.AddrPort]bool

	services map[string]*net.UDPConn
	entry    *net.UDPConn
	http     *http.Client
}

type flowKey struct {
	service string
	caller  netip.AddrPort
}

type fabricFlow struct {
	conn *net.UDPConn
	used time.Time
}

// NewFabric opens an address on loopback for each service and the entry address
// for control messages; seed fixes its random choices.
func NewFabric(seed uint64, services ...string) (*Fabric, error) {
	f := &Fabric{
		rand:     rand.New(rand.NewPCG(seed, seed)),
		flows:    make(map[flowKey]*fabricFlow),
		silenced: make(map[netip.AddrPort]bool),
		services: make(map[string]*net.UDPConn),
		http:     &http.Client{Timeout: probeTimeout},
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

// Entry returns the address that reaches any balancer's inner address.
func (f *Fabric) Entry() string { return f.entry.LocalAddr().String() }

// Address returns the address of a service.
func (f *Fabric) Address(service string) string { return f.services[service].LocalAddr().String() }

// Add has the fabric spray over a balancer, too.
func (f *Fabric) Add(b Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backends = append(f.backends, &backend{Backend: b})
}

// Remove takes a balancer out.
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

// SetFaults replaces the faults.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// SilenceFlows drops for good all datagrams of the flows open now, as a middle
// box does that lost its table.
func (f *Fabric) SilenceFlows() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := range f.flows {
		f.silenced[k.caller] = true
	}
	return len(f.flows)
}

// Run sprays until ctx is done.
func (f *Fabric) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.sprayEntry(ctx) })
	g.Go(func() error { return f.probe(ctx) })
	for name, conn := range f.services {
		g.Go(func() error { return f.sprayService(ctx, g, name, conn) })
	}
	g.Go(func() error {
		<-ctx.Done()
		f.close()
		return nil
	})
	return g.Wait()
}

func (f *Fabric) sprayEntry(ctx context.Context) error {
	buf := make([]byte, fabricBuffer)
	for {
		n, _, err := f.entry.ReadFromUDPAddrPort(buf)
		if err != nil {
			return readEnd(ctx, err)
		}
		if b := f.pick(); b != nil {
			_, _ = f.entry.WriteToUDPAddrPort(buf[:n], b.Inner) // lost, as datagrams may be
		}
	}
}

func readEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (f *Fabric) pick() *backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	var up []*backend
	for _, b := range f.backends {
		if b.failed < probesDown {
			up = append(up, b)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[f.rand.IntN(len(up))]
}

func (f *Fabric) sprayService(ctx context.Context, g *errgroup.Group, name string, conn *net.UDPConn) error {
	buf := make([]byte, fabricBuffer)
	for {
		n, caller, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return readEnd(ctx, err)
		}
		fl, err := f.flow(ctx, g, flowKey{name, caller}, conn)
		if err != nil {
			continue // no port for the caller: lost
		}
		f.pass(caller, buf[:n], func(b []byte) {
			if to := f.pick(); to != nil {
				_, _ = fl.conn.WriteToUDPAddrPort(b, to.Listen[name]) // lost, as datagrams may be
			}
		})
	}
}

// Returns the port of a caller, and starts to carry its answers back when the
// caller is new.
func (f *Fabric) flow(ctx context.Context, g *errgroup.Group, key flowKey, service *net.UDPConn) (*fabricFlow, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fl := f.flows[key]; fl != nil {
		fl.used = time.Now()
		return fl, nil
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, &Error{"flow", KindStart, err}
	}
	fl := &fabricFlow{conn, time.Now()}
	f.flows[key] = fl
	g.Go(func() error { return f.answers(ctx, key, fl, service) })
	return fl, nil
}

func (f *Fabric) answers(ctx context.Context, key flowKey, fl *fabricFlow, service *net.UDPConn) error {
	buf := make([]byte, fabricBuffer)
	for {
		n, _, err := fl.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return readEnd(ctx, err)
		}
		f.pass(key.caller, buf[:n], func(b []byte) {
			_, _ = service.WriteToUDPAddrPort(b, key.caller) // lost, as datagrams may be
		})
	}
}

// Applies the faults to a datagram and sends what is left of it.
func (f *Fabric) pass(caller netip.AddrPort, b []byte, send func([]byte)) {
	f.mu.Lock()
	faults := f.faults
	copies := 1
	if f.silenced[caller] || faults.Loss > 0 && f.rand.Float64() < faults.Loss {
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
		late := append([]byte(nil), b...)
		time.AfterFunc(delay, func() { send(late) })
	}
}

// Probes the balancers' health, and forgets callers that are gone.
func (f *Fabric) probe(ctx context.Context) error {
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			f.probeAll(ctx)
			f.sweep(now)
		}
	}
}

func (f *Fabric) probeAll(ctx context.Context) {
	f.mu.Lock()
	backends := append([]*backend(nil), f.backends...)
	f.mu.Unlock()
	var g errgroup.Group
	for _, b := range backends {
		if b.Health == "" {
			continue
		}
		g.Go(func() error {
			ok := f.healthy(ctx, b.Health)
			f.mu.Lock()
			defer f.mu.Unlock()
			if ok {
				b.failed = 0
			} else {
				b.failed++
			}
			return nil
		})
	}
	_ = g.Wait() // probes report in the backends
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

func (f *Fabric) sweep(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, fl := range f.flows {
		if now.Sub(fl.used) > flowMemory {
			_ = fl.conn.Close()
			delete(f.flows, k)
		}
	}
}
