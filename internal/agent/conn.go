package agent

import (
	"context"
	"crypto/aes"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"skylarkturn/internal/control"
	"skylarkturn/internal/flow"
	"skylarkturn/internal/target"
	"skylarkturn/internal/udpio"
)

const (
	handshakeTTL        = 10 * time.Second       // time for which the decision on a client's initial connection ID is kept
	returnPathTTL       = 3 * time.Minute        // time for which the return path of a silent caller is kept
	returnPathFreshness = 500 * time.Millisecond // silence of a caller after which datagrams to it alternate between all balancers
	balancerFreshness   = 2 * time.Second        // silence of a balancer after which it is left out of that alternation
	inboundQueueLen     = 4096                   // datagrams
	maxReadSize         = 2048                   // bytes of the largest datagram, without the frame header
)

// admitter decides whether this agent accepts a new flow, by its first datagram.
type admitter interface {
	admit(key uint64, hops uint8) target.Decision
}

// returnPath is the balancer through which the last datagram of a caller arrived.
type returnPath struct {
	balancer netip.AddrPort
	lastSeen time.Time
}

// handshake is the decision on a new flow, for the duration of its handshake.
type handshake struct {
	next      netip.AddrPort // target that the flow is forwarded to; invalid if it was accepted here
	expiresAt time.Time
}

type inboundDatagram struct {
	data   []byte
	caller net.UDPAddr
}

// conn is the net.PacketConn of the QUIC server. Its datagrams travel in frames
// between the agent and the balancers, which exchange them with the callers.
type conn struct {
	udp             *net.UDPConn
	self            netip.AddrPort
	service         uint16
	incarnationHash uint32 // written to connection IDs, to recognize those of earlier incarnations
	sealer          flow.Sealer
	keys            func() *flow.Keyring
	admitter        admitter
	handleMessage   func(*control.Message)
	codec           *control.Codec
	counters        *counters
	nonce           atomic.Uint32 // makes the issued connection IDs unique
	inbound         chan inboundDatagram
	closed          chan struct{}
	closeOnce       sync.Once
	roundRobin      atomic.Uint32 // incremented by each choice of a balancer in turn
	generation      atomic.Uint32 // configuration generation of the service

	mu              sync.Mutex                    // guards the fields below
	returnPaths     map[netip.AddrPort]returnPath // by caller
	balancers       map[netip.AddrPort]time.Time  // time of the last datagram from each balancer
	handshakes      map[uint64]handshake          // by flow.PlacementKey
	deadline        time.Time                     // read deadline
	deadlineChanged chan struct{}                 // closed when deadline changes
}

func newConn(udp *net.UDPConn) *conn {
	return &conn{
		udp:             udp,
		self:            udpio.LocalAddr(udp),
		inbound:         make(chan inboundDatagram, inboundQueueLen),
		closed:          make(chan struct{}),
		returnPaths:     make(map[netip.AddrPort]returnPath),
		balancers:       make(map[netip.AddrPort]time.Time),
		handshakes:      make(map[uint64]handshake),
		deadlineChanged: make(chan struct{}),
	}
}

var bufferPool = sync.Pool{New: func() any { return new([flow.FrameLen + maxReadSize]byte) }}

// read reads datagrams from the inner socket until it is closed or ctx is done.
func (c *conn) read(ctx context.Context) error {
	r := udpio.NewReader(c.udp)
	var scratch [aes.BlockSize]byte
	for {
		n, err := r.Read()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return &Error{"read", KindNetwork, err}
		}
		now := time.Now()
		for i := range n {
			datagram, _ := r.Datagram(i)
			c.handleDatagram(now, datagram, &scratch)
		}
	}
}

func (c *conn) handleDatagram(now time.Time, datagram []byte, scratch *[aes.BlockSize]byte) {
	switch {
	case flow.IsFrame(datagram):
		c.handleFrame(now, datagram, scratch)
	case control.IsMessage(datagram):
		c.handleControl(datagram)
	default:
		c.counters.unknownDatagrams.Inc()
	}
}

func (c *conn) handleControl(datagram []byte) {
	c.counters.controlInBytes.Add(len(datagram))
	m, err := c.codec.Open(datagram)
	if err != nil {
		c.counters.forged.Inc()
		return
	}
	c.handleMessage(m)
}

// handleFrame authenticates a frame and enqueues its datagram if the flow belongs to
// this agent or admitFlow accepts it. Datagrams for an earlier incarnation, and orphans,
// are enqueued too, so that the transport replies with a stateless reset.
func (c *conn) handleFrame(now time.Time, datagram []byte, scratch *[aes.BlockSize]byte) {
	f, payload, err := c.sealer.Open(datagram)
	if err != nil || f.Direction == flow.Outward {
		c.counters.forged.Inc()
		return
	}
	if f.Service != c.service {
		c.counters.foreign.Inc()
		return
	}
	h, err := flow.ParseHeader(payload)
	if err != nil {
		c.counters.foreign.Inc()
		return
	}
	id, decoded := c.keys().Decode(h.DCID, scratch)
	decoded = decoded && id.Service == c.service
	switch {
	case decoded && f.Direction == flow.Orphan:
		c.counters.orphans.Inc()
	case decoded && id.Agent != c.self, !decoded && !h.Long:
		c.counters.foreign.Inc()
		return
	case decoded && id.IncarnationHash != c.incarnationHash:
		c.counters.fenced.Inc()
	case !decoded && !c.admitFlow(now, f, h, datagram):
		return
	}
	c.enqueue(now, f, payload)
}

// admitFlow decides on the first datagrams of a flow and reports whether the flow is
// accepted here; otherwise it forwards or drops the datagram. The decision is kept
// for handshakeTTL, so that all datagrams of a handshake reach the same agent. If a
// forwarded flow comes back after target.MaxHops hops, it is in a forwarding loop,
// and admitFlow decides again.
func (c *conn) admitFlow(now time.Time, f flow.Frame, h flow.Header, datagram []byte) (accept bool) {
	key := flow.PlacementKey(h.DCID)
	c.mu.Lock()
	known, ok := c.handshakes[key]
	c.mu.Unlock()
	looping := known.next.IsValid() && f.Hops >= target.MaxHops
	if !ok || looping || now.After(known.expiresAt) {
		d := c.admitter.admit(key, f.Hops)
		if !d.Accept && !d.Next.IsValid() {
			c.counters.refusedFlows.Inc()
			return false
		}
		known = handshake{d.Next, now.Add(handshakeTTL)}
		c.mu.Lock()
		c.handshakes[key] = known
		c.mu.Unlock()
	}
	if !known.next.IsValid() {
		return true
	}
	f.Hops++
	c.sealer.Seal(datagram, f)
	c.counters.forwarded.Inc()
	if _, err := c.udp.WriteToUDPAddrPort(datagram, known.next); err != nil {
		c.counters.sendErrors.Inc()
	}
	return false
}

// enqueue records the return path of the caller and queues the datagram for ReadFrom. If
// the queue is full, it drops the datagram.
func (c *conn) enqueue(now time.Time, f flow.Frame, payload []byte) {
	c.mu.Lock()
	c.returnPaths[f.Caller] = returnPath{f.Via, now}
	c.balancers[f.Via] = now
	c.mu.Unlock()
	in := inboundDatagram{append([]byte(nil), payload...), *net.UDPAddrFromAddrPort(f.Caller)}
	select {
	case c.inbound <- in:
	default:
		c.counters.queueDrops.Inc()
	}
}

// chooseBalancer returns the balancer through which to send a datagram to the caller:
// the one that the caller's last datagram came through. If the caller has been silent
// for returnPathFreshness, that balancer may have failed, and chooseBalancer returns
// the live balancers in turn. It returns false if the caller is unknown.
func (c *conn) chooseBalancer(now time.Time, caller netip.AddrPort) (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.returnPaths[caller]
	if !ok || now.Sub(p.lastSeen) < returnPathFreshness {
		return p.balancer, ok
	}
	skip := int(c.roundRobin.Add(1)) % (len(c.balancers) + 1)
	for b, lastSeen := range c.balancers {
		if now.Sub(lastSeen) > balancerFreshness {
			continue
		}
		if skip--; skip < 0 {
			return b, true
		}
	}
	return p.balancer, true
}

// recordBalancer records that the balancer is alive.
func (c *conn) recordBalancer(now time.Time, balancer netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancers[balancer] = now
}

// sweep removes expired handshakes, return paths and balancers.
func (c *conn) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, h := range c.handshakes {
		if now.After(h.expiresAt) {
			delete(c.handshakes, k)
		}
	}
	for a, p := range c.returnPaths {
		if now.Sub(p.lastSeen) > returnPathTTL {
			delete(c.returnPaths, a)
		}
	}
	for b, lastSeen := range c.balancers {
		if now.Sub(lastSeen) > returnPathTTL {
			delete(c.balancers, b)
		}
	}
}

// ReadFrom reads the next datagram and returns the address of its caller.
func (c *conn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		c.mu.Lock()
		deadline, changed := c.deadline, c.deadlineChanged
		c.mu.Unlock()
		n, from, retry, err := c.readUntil(p, deadline, changed)
		if !retry {
			return n, from, err
		}
	}
}

// readUntil waits for a datagram until the deadline. retry reports that the deadline
// has changed in the meantime.
func (c *conn) readUntil(p []byte, deadline time.Time, changed <-chan struct{}) (n int, from net.Addr, retry bool, err error) {
	var timeout <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		timeout = t.C
	}
	select {
	case in := <-c.inbound:
		return copy(p, in.data), &in.caller, false, nil
	case <-timeout:
		return 0, nil, false, &net.OpError{Op: "read", Net: "skylark", Err: context.DeadlineExceeded}
	case <-changed:
		return 0, nil, true, nil
	case <-c.closed:
		return 0, nil, false, net.ErrClosed
	}
}

// WriteTo sends a datagram to a caller through a balancer. A datagram that can't be
// sent is dropped and counted; the caller's transport treats it as lost.
func (c *conn) WriteTo(p []byte, to net.Addr) (int, error) {
	udp, ok := to.(*net.UDPAddr)
	if !ok || len(p) > flow.MaxDatagram {
		c.counters.sendErrors.Inc()
		return len(p), nil // dropped like a datagram that exceeds the MTU
	}
	caller := udp.AddrPort()
	caller = netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())
	balancer, ok := c.chooseBalancer(time.Now(), caller)
	if !ok {
		c.counters.sendErrors.Inc()
		return len(p), nil
	}
	buf := bufferPool.Get().(*[flow.FrameLen + maxReadSize]byte)
	defer bufferPool.Put(buf)
	framed := buf[:flow.FrameLen+copy(buf[flow.FrameLen:], p)]
	c.sealer.Seal(framed, flow.Frame{
		Direction:  flow.Outward,
		Service:    c.service,
		Caller:     caller,
		Via:        balancer,
		Generation: c.generation.Load(),
	})
	if _, err := c.udp.WriteToUDPAddrPort(framed, balancer); err != nil {
		c.counters.sendErrors.Inc()
	}
	return len(p), nil
}

// Close unblocks ReadFrom, which then returns net.ErrClosed. It leaves the UDP socket
// open.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns the inner address of the agent.
func (c *conn) LocalAddr() net.Addr { return c.udp.LocalAddr() }

// SetReadBuffer sets the size of the receive buffer of the UDP socket that carries the
// frames. The QUIC server calls it.
func (c *conn) SetReadBuffer(n int) error { return c.udp.SetReadBuffer(n) }

// SetWriteBuffer is like SetReadBuffer for the send buffer.
func (c *conn) SetWriteBuffer(n int) error { return c.udp.SetWriteBuffer(n) }

// SetDeadline sets the read deadline; writes never block.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the read deadline, also that of a call to ReadFrom in
// progress.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	return nil
}

// SetWriteDeadline does nothing, since writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// GenerateConnectionID returns a new connection ID, from which balancers decode the
// address of this agent.
func (c *conn) GenerateConnectionID() (quic.ConnectionID, error) {
	var b [flow.IDLen]byte
	err := c.keys().Encode(b[:], flow.ID{
		Agent:           c.self,
		Service:         c.service,
		IncarnationHash: c.incarnationHash,
		Nonce:           c.nonce.Add(1),
	})
	if err != nil {
		return quic.ConnectionID{}, err
	}
	return quic.ConnectionIDFromBytes(b[:]), nil
}

// ConnectionIDLen returns the length of the connection IDs in bytes.
func (c *conn) ConnectionIDLen() int { return flow.IDLen }
