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
	maxMissedProbes = 2
)

// fabric sends each packet to one of the balancers in rotation, by a hash of the
// flow modulo their number.
type fabric struct {
	conn  *net.UDPConn
	port  uint16 // of balancers' packet sockets
	ready uint16 // of their readiness checks

	mu        sync.Mutex
	balancers []*backend
	lossRate  float64 // share of packets that are lost
}

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

func (f *fabric) add(vm netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append(f.balancers, &backend{addr: vm, missedProbes: maxMissedProbes})
}

func (f *fabric) setLoss(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossRate = share
}

// Asks the balancers for their readiness until ctx is done.
func (f *fabric) probeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		balancers := append([]*backend{}, f.balancers...)
		f.mu.Unlock()
		var asked sync.WaitGroup
		for _, b := range balancers {
			asked.Go(func() {
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
		asked.Wait()
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

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

func (f *fabric) inRotation() (in []*backend) {
	for _, b := range f.balancers {
		if b.missedProbes < maxMissedProbes {
			in = append(in, b)
		}
	}
	return in
}

// send sends the packet that build returns to the balancer of the flow.
func (f *fabric) send(k packet.Key, build func(took netip.Addr) []byte) netip.Addr {
	f.mu.Lock()
	in := f.inRotation()
	if 2*len(in) < len(f.balancers) {
		in = f.balancers
	}
	took := in[k.Hash()%uint64(len(in))].addr
	lost := rand.Float64() < f.lossRate
	f.mu.Unlock()
	b := build(took)
	if !lost {
		_, _ = f.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(took, f.port)) // lost while the balancer is away
	}
	return took
}
