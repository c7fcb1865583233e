package platformstand

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"skylarkturn/internal/packet"
)

const (
	probeInterval   = 500 * time.Millisecond
	probeTimeout    = 400 * time.Millisecond
	maxMissedProbes = 2 // failed probes in a row that take a balancer out of rotation
)

// fabric simulates the network fabric in front of the balancers. It sends each
// packet to a balancer in rotation, chosen by the hash of the flow modulo their
// number.
type fabric struct {
	conn  *net.UDPConn
	port  uint16 // of the balancers' packet sockets
	ready uint16 // of the balancers' readiness endpoints

	mu        sync.Mutex
	balancers []*backend
	lossRate  float64 // probability that a packet is dropped
}

// backend is a balancer and its failed readiness probes in a row.
type backend struct {
	addr         netip.Addr
	missedProbes int
}

func newFabric(port, ready uint16) (*fabric, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, &Error{"open fabric", KindNetwork, err}
	}
	return &fabric{conn: conn, port: port, ready: ready}, nil
}

// add adds a balancer, which enters rotation with its first successful probe.
func (f *fabric) add(vm netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append(f.balancers, &backend{addr: vm, missedProbes: maxMissedProbes})
}

// setLoss sets the share of packets to drop.
func (f *fabric) setLoss(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossRate = share
}

// probeLoop probes the readiness of the balancers until ctx is done.
func (f *fabric) probeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		balancers := append([]*backend{}, f.balancers...)
		f.mu.Unlock()
		var probes sync.WaitGroup
		for _, b := range balancers {
			probes.Go(func() {
				ok := f.isReady(ctx, b.addr)
				f.mu.Lock()
				defer f.mu.Unlock()
				if ok {
					b.missedProbes = 0
				} else {
					b.missedProbes++
				}
			})
		}
		probes.Wait()
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// isReady reports whether a balancer's readiness check succeeds.
func (f *fabric) isReady(ctx context.Context, vm netip.Addr) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+netip.AddrPortFrom(vm, f.ready).String()+"/-/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// readyCount returns the number of balancers in rotation.
func (f *fabric) readyCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.inRotation())
}

// inRotation returns the balancers with fewer than maxMissedProbes failed probes in
// a row; called with mu held.
func (f *fabric) inRotation() (ready []*backend) {
	for _, b := range f.balancers {
		if b.missedProbes < maxMissedProbes {
			ready = append(ready, b)
		}
	}
	return ready
}

// send sends the packet that build returns to the balancer of the flow, and returns
// that balancer. When fewer than half of the balancers are in rotation, it uses
// all of them.
func (f *fabric) send(k packet.Key, build func(balancer netip.Addr) []byte) netip.Addr {
	f.mu.Lock()
	backends := f.inRotation()
	if 2*len(backends) < len(f.balancers) {
		backends = f.balancers
	}
	balancer := backends[k.Hash()%uint64(len(backends))].addr
	lost := rand.Float64() < f.lossRate
	f.mu.Unlock()
	b := build(balancer)
	if !lost {
		_, _ = f.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(balancer, f.port)) // the packet is lost while the balancer is down
	}
	return balancer
}
