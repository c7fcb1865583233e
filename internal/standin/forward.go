package standin

import (
	"context"
	"net"
	"net/netip"
	"path/filepath"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"skylarkturn/internal/flow"
	"skylarkturn/internal/udpio"
)

const (
	forwardSize = 1200 // bytes of a datagram
	forwardFor  = 2 * time.Second
)

// Measures datagrams a second through a balancer against a bare copy loop with
// the same batched reads and writes, in this process.
func forwardSlopes(ctx context.Context, opt CapacityOptions) (slopes []Slope, err error) {
	opt.Progress("forwarding over loopback")
	svc := ServiceOptions{Tenant: "lensbridge", Name: "bookdesk", Number: 17}
	o := Options{Dir: filepath.Join(opt.Dir, "forward"), Zones: []string{"az1"}, Balancers: 1, Services: []ServiceOptions{svc}}
	d, err := deployIn(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	var entry netip.AddrPort
	for _, b := range d.Balancers() {
		if entry, err = netip.ParseAddrPort(b.Listen["bookdesk"]); err != nil {
			return nil, &Error{"forward", KindStart, err}
		}
	}
	var bare, routed float64
	for range 2 { // in turn, so that neither has the warmer machine
		r, err := throughput(ctx, func(sink netip.AddrPort) (netip.AddrPort, func(), error) { return entry, func() {}, nil })
		if err != nil {
			return nil, err
		}
		routed = max(routed, r)
		if r, err = throughput(ctx, copyLoop); err != nil {
			return nil, err
		}
		bare = max(bare, r)
	}
	return []Slope{
		{"bare copy loop", "1200-byte datagrams, 2 readers", bare, "datagrams/s"},
		{"balancer", "1200-byte datagrams, 2 readers", routed, "datagrams/s"},
		{"balancer of bare copy loop", "1200-byte datagrams, 2 readers", 100 * routed / bare, "%"},
	}, nil
}

// Starts a loop that copies datagrams to the sink.
func copyLoop(sink netip.AddrPort) (netip.AddrPort, func(), error) {
	in, err := udpio.ListenUDP("127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	out, err := udpio.ListenUDP("127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	var g errgroup.Group
	for range 2 {
		g.Go(func() error {
			r, w := udpio.NewReader(in), udpio.NewWriter(out)
			for {
				n, err := r.Read()
				if err != nil {
					return nil // closed at the end
				}
				for i := range n {
					b, _ := r.Datagram(i)
					w.Add(b, sink)
				}
				w.Flush()
			}
		})
	}
	return udpio.LocalAddr(in), func() {
		_ = in.Close()
		_ = out.Close()
		_ = g.Wait()
	}, nil
}

// Sends datagrams as fast as they go through what start names and returns how
// many a second reach the sink.
func throughput(ctx context.Context, start func(sink netip.AddrPort) (netip.AddrPort, func(), error)) (float64, error) {
	sink, err := udpio.ListenUDP("127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	to, stop, err := start(udpio.LocalAddr(sink))
	if err != nil {
		return 0, err
	}
	var received atomic.Int64
	ctx, cancel := context.WithTimeout(ctx, forwardFor)
	defer cancel()
	var g errgroup.Group
	for range 2 {
		g.Go(func() error { return countDatagrams(sink, &received) })
		g.Go(func() error { return blast(ctx, udpio.LocalAddr(sink), to) })
	}
	<-ctx.Done()
	n := received.Load()
	stop()
	_ = sink.Close()
	return float64(n) / forwardFor.Seconds(), g.Wait()
}

func countDatagrams(sink *net.UDPConn, n *atomic.Int64) error {
	r := udpio.NewReader(sink)
	for {
		got, err := r.Read()
		if err != nil {
			return nil // closed at the end
		}
		n.Add(int64(got))
	}
}

// Sends datagrams of a live flow of the agent at the sink.
func blast(ctx context.Context, agent, to netip.AddrPort) error {
	keys, err := flow.NewKeyring(1, map[uint8][]byte{1: []byte(secretPlain(1))})
	if err != nil {
		return err
	}
	b := make([]byte, forwardSize)
	b[0] = 0x40
	if err := keys.Encode(b[1:], flow.ID{Agent: agent, Service: 17, Nonce: 1}); err != nil {
		return err
	}
	conn, err := udpio.ListenUDP("127.0.0.1:0")
	if err != nil {
		return err
	}
	defer conn.Close()
	w := udpio.NewWriter(conn)
	for ctx.Err() == nil {
		for range udpio.BatchSize {
			w.Add(b, to)
		}
		w.Flush()
	}
	return nil
}
