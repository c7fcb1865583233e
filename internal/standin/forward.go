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
	datagramSize    = 1200 // bytes
	forwardDuration = 2 * time.Second
)

// measureForwarding measures the datagrams per second that a balancer forwards,
// compared to a plain copy loop with the same batched reads and writes, both in this
// process.
func measureForwarding(ctx context.Context, opt CapacityOptions) (measurements []Measurement, err error) {
	opt.Progress("measuring forwarding over loopback")
	svc := ServiceOptions{Tenant: "lensbridge", Name: "bookdesk", Number: 17}
	o := Options{Dir: filepath.Join(opt.Dir, "forward"), Zones: []string{"az1"}, Balancers: 1, Services: []ServiceOptions{svc}}
	d, err := deployInNewDir(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	var entry netip.AddrPort
	for _, b := range d.Balancers() {
		if entry, err = netip.ParseAddrPort(b.ListenAddrs["bookdesk"]); err != nil {
			return nil, &Error{"parse listen address", KindStart, err}
		}
	}
	var bare, routed float64
	for range 2 { // alternating, so that neither benefits from a warmed-up machine
		r, err := measureThroughput(ctx, func(sink netip.AddrPort) (netip.AddrPort, func(), error) { return entry, func() {}, nil })
		if err != nil {
			return nil, err
		}
		routed = max(routed, r)
		if r, err = measureThroughput(ctx, startCopyLoop); err != nil {
			return nil, err
		}
		bare = max(bare, r)
	}
	return []Measurement{
		{"bare copy loop", "1200-byte datagrams, 2 readers", bare, "datagrams/s"},
		{"balancer", "1200-byte datagrams, 2 readers", routed, "datagrams/s"},
		{"balancer of bare copy loop", "1200-byte datagrams, 2 readers", 100 * routed / bare, "%"},
	}, nil
}

// startCopyLoop starts two goroutines that copy datagrams to the sink. It returns
// their address and a function that stops them.
func startCopyLoop(sink netip.AddrPort) (netip.AddrPort, func(), error) {
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
					return nil // closed by the measurement
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

// measureThroughput sends datagrams as fast as possible to the forwarder that start
// returns, and returns how many per second reach the sink.
func measureThroughput(ctx context.Context, start func(sink netip.AddrPort) (netip.AddrPort, func(), error)) (float64, error) {
	sink, err := udpio.ListenUDP("127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	to, stop, err := start(udpio.LocalAddr(sink))
	if err != nil {
		return 0, err
	}
	var received atomic.Int64
	ctx, cancel := context.WithTimeout(ctx, forwardDuration)
	defer cancel()
	var g errgroup.Group
	for range 2 {
		g.Go(func() error { return countDatagrams(sink, &received) })
		g.Go(func() error { return sendFlowDatagrams(ctx, udpio.LocalAddr(sink), to) })
	}
	<-ctx.Done()
	n := received.Load()
	stop()
	_ = sink.Close()
	return float64(n) / forwardDuration.Seconds(), g.Wait()
}

func countDatagrams(sink *net.UDPConn, n *atomic.Int64) error {
	r := udpio.NewReader(sink)
	for {
		got, err := r.Read()
		if err != nil {
			return nil // closed by the measurement
		}
		n.Add(int64(got))
	}
}

// sendFlowDatagrams sends datagrams of a flow of the agent to a balancer or copy loop
// until ctx is done.
func sendFlowDatagrams(ctx context.Context, agent, to netip.AddrPort) error {
	keys, err := flow.NewKeyring(1, map[uint8][]byte{1: []byte(testSecret(1))})
	if err != nil {
		return err
	}
	b := make([]byte, datagramSize)
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
