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
	"skylarkturn/internal/link"
	"skylarkturn/internal/target"
)

const (
	handshakeTTL        = 10 * time.Second       // for which a client's first ID leads to the same agent
	returnPathTTL       = 3 * time.Minute        // for which a silent caller's balancer is remembered
	returnPathFreshness = 500 * time.Millisecond // silence of a caller after which answers take turns over balancers
	balancerFreshness   = 2 * time.Second        // silence of a balancer after which no turn goes to it
	inboundQueueLen     = 4096
)

// admitter decides on first datagrams.
type admitter interface {
	admit(key uint64, hops uint8) target.Decision
}

type returnPath struct {
	balancer netip.AddrPort
	lastSeen time.Time
}

type handshake struct {
	next  netip.AddrPort // zero when taken here
	until time.Time
}

type inboundDatagram struct {
	data   []byte
	caller net.UDPAddr
}

// conn is the packet connection of the QUIC server: it reads datagrams from
// frames of balancers and sends answers in frames back through balancers.
type conn struct {
	udp             *net.UDPConn
	self            netip.AddrPort
	service         uint16
	incarnationHash uint32
	sealer          flow.Sealer
	keys            func() *flow.Keyring
	admitter        admitter
	handleMessage   func(*control.Message)
	codec           *control.Codec
	counters        *counters
	nonce           atomic.Uint32
	inbound         chan inboundDatagram
	closed          chan struct{}
	closeOnce       sync.Once
	roundRobin      atomic.Uint32
	generation      atomic.Uint32 // configuration generation of the service

	mu              sync.Mutex // guards what follows
	returnPaths     map[netip.AddrPort]returnPath
	balancers       map[netip.AddrPort]time.Time
	handshakes      map[uint64]handshake
	deadline        time.Time
	deadlineChanged chan struct{} // closed when deadline changes
}

func newConn(udp *net.UDPConn) *conn {
	return &conn{
		udp:             udp,
		self:            link.LocalAddr(udp),
		inbound:         make(chan inboundDatagram, inboundQueueLen),
		closed:          make(chan struct{}),
		returnPaths:     make(map[netip.AddrPort]returnPath),
		balancers:       make(map[netip.AddrPort]time.Time),
		handshakes:      make(map[uint64]handshake),
		deadlineChanged: make(chan struct{}),
	}
}

var bufferPool = sync.Pool{New: func() any { return new([flow.FrameLen + 2048]byte) }}

// Reads the inner socket until it is closed.
func (c *conn) read(ctx context.Context) error {
	r := link.NewReader(c.udp)
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
	case control.Is(datagram):
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
	id, ours := c.keys().Decode(h.DCID, scratch)
	ours = ours && id.Service == c.service
	switch {
	case ours && f.Direction == flow.Orphan:
		c.counters.orphans.Inc()
	case ours && id.Agent != c.self, !ours && !h.Long:
		c.counters.foreign.Inc()
		return
	case ours && id.IncarnationHash != c.incarnationHash:
		c.counters.fenced.Inc() // of an earlier incarnation here: the transport answers with a reset
	case !ours && !c.admitFlow(now, f, h, datagram):
		return
	}
	c.enqueue(now, f, payload)
}

// Decides on a admitFlow datagram; the decision holds until the handshake is over.
func (c *conn) admitFlow(now time.Time, f flow.Frame, h flow.Header, datagram []byte) (take bool) {
	key := flow.PlacementKey(h.DCID)
	c.mu.Lock()
	known, ok := c.handshakes[key]
	c.mu.Unlock()
	looping := known.next.IsValid() && f.Hops >= target.MaxHops
	if !ok || looping || now.After(known.until) {
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
	c.counters.forwardedFlows.Inc()
	if _, err := c.udp.WriteToUDPAddrPort(datagram, known.next); err != nil {
		c.counters.sendErrors.Inc()
	}
	return false
}

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

// Returns the balancer that an answer goes chooseBalancer: the one that the caller's
// last datagram came by, or any in turn when the caller has been silent, since
// that one may be gone.
func (c *conn) chooseBalancer(now time.Time, caller netip.AddrPort) (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v, ok := c.returnPaths[caller]
	if !ok || now.Sub(v.lastSeen) < returnPathFreshness {
		return v.balancer, ok
	}
	skip := int(c.roundRobin.Add(1)) % (len(c.balancers) + 1)
	for b, seen := range c.balancers {
		if now.Sub(seen) > balancerFreshness {
			continue
		}
		if skip--; skip < 0 {
			return b, true
		}
	}
	return v.balancer, true
}

// recordBalancer notes a balancer that is alive.
func (c *conn) recordBalancer(now time.Time, balancer netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancers[balancer] = now
}

// Forgets what has not been seen for long.
func (c *conn) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, h := range c.handshakes {
		if now.After(h.until) {
			delete(c.handshakes, k)
		}
	}
	for a, v := range c.returnPaths {
		if now.Sub(v.lastSeen) > returnPathTTL {
			delete(c.returnPaths, a)
		}
	}
	for b, seen := range c.balancers {
		if now.Sub(seen) > returnPathTTL {
			delete(c.balancers, b)
		}
	}
}

// ReadFrom returns the next datagram and its caller.
func (c *conn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		c.mu.Lock()
		deadline, changed := c.deadline, c.deadlineChanged
		c.mu.Unlock()
		n, from, again, err := c.readUntil(p, deadline, changed)
		if !again {
			return n, from, err
		}
	}
}

// Reads until the deadline; again tells that the deadline has changed.
func (c *conn) readUntil(p []byte, deadline time.Time, changed <-chan struct{}) (n int, from net.Addr, again bool, err error) {
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

// WriteTo sends a datagram to a caller through a balancer.
func (c *conn) WriteTo(p []byte, to net.Addr) (int, error) {
	udp, ok := to.(*net.UDPAddr)
	if !ok || len(p) > flow.MaxDatagram {
		c.counters.sendErrors.Inc()
		return len(p), nil // lost like a datagram that no link takes
	}
	caller := udp.AddrPort()
	caller = netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())
	balancer, ok := c.chooseBalancer(time.Now(), caller)
	if !ok {
		c.counters.sendErrors.Inc()
		return len(p), nil
	}
	buf := bufferPool.Get().(*[flow.FrameLen + 2048]byte)
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

// Close ends reading.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns the inner address.
func (c *conn) LocalAddr() net.Addr { return c.udp.LocalAddr() }

// SetDeadline sets the read deadline; writes never wait.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the time at which ReadFrom gives up, also one that waits.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	return nil
}

// SetWriteDeadline does nothing: writes never wait.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// GenerateConnectionID returns a new ID that leads balancers to this agent.
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

// ConnectionIDLen returns the length of the IDs.
func (c *conn) ConnectionIDLen() int { return flow.IDLen }
