package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"

	"skylarkturn/internal/flow"
)

// KindOpen is the kind of errors when a socket can't be opened.
const KindOpen = "open"

// Error reports the operation that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("link: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	socketBuffer = 4 << 20 // bytes
	portTries    = 20
	maxUDP       = 2048 // bytes of the largest datagram read
)

// BatchSize is the number of datagrams read and written in one call.
const BatchSize = 64

// Open listens on UDP and TCP at one address. With port 0 the kernel chooses a
// port that is free for both.
func Open(address string) (*net.UDPConn, net.Listener, error) {
	var last error
	for range portTries {
		ln, err := net.Listen("tcp4", address)
		if err != nil {
			return nil, nil, &Error{"listen " + address, KindOpen, err}
		}
		conn, err := ListenUDP(ln.Addr().String())
		if err == nil {
			return conn, ln, nil
		}
		_ = ln.Close() // another port is tried
		last = err
	}
	return nil, nil, last
}

// ListenUDP opens a UDP socket with buffers for bursts.
func ListenUDP(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, &Error{"resolve " + address, KindOpen, err}
	}
	conn, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, &Error{"listen " + address, KindOpen, err}
	}
	_ = conn.SetReadBuffer(socketBuffer)  // the kernel's limit is good enough
	_ = conn.SetWriteBuffer(socketBuffer) // the same
	return conn, nil
}

// LocalAddr returns the IPv4 address and port of a socket.
func LocalAddr(conn *net.UDPConn) netip.AddrPort {
	a := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Each hands every datagram that arrives at conn to f, which must not keep it,
// until ctx is done or conn is closed. Other errors stem from datagrams that a
// receiver has refused; they go to failed. Datagrams are cut at size bytes.
func Each(ctx context.Context, conn *net.UDPConn, size int, failed func(error), f func(b []byte, from netip.AddrPort)) {
	buf := make([]byte, size)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		switch {
		case err == nil:
			f(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return
		default:
			failed(err)
		}
	}
}

// Reader reads datagrams in batches, with room for a frame before each.
type Reader struct {
	conn *ipv4.PacketConn
	msgs []ipv4.Message
	bufs [][]byte
}

// NewReader returns a reader of conn for one goroutine.
func NewReader(conn *net.UDPConn) *Reader {
	r := &Reader{conn: ipv4.NewPacketConn(conn)}
	for range BatchSize {
		buf := make([]byte, flow.FrameLen+maxUDP)
		r.bufs = append(r.bufs, buf)
		r.msgs = append(r.msgs, ipv4.Message{Buffers: [][]byte{buf[flow.FrameLen:]}})
	}
	return r
}

// Read waits for datagrams and returns how many there are.
func (r *Reader) Read() (int, error) { return r.conn.ReadBatch(r.msgs, 0) }

// Datagram returns the i-th datagram that was read last and its source.
func (r *Reader) Datagram(i int) ([]byte, netip.AddrPort) {
	m := &r.msgs[i]
	src, ok := m.Addr.(*net.UDPAddr)
	if !ok {
		return nil, netip.AddrPort{}
	}
	a := src.AddrPort()
	return m.Buffers[0][:m.N], netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Framed returns the i-th datagram with the room for a frame before it.
func (r *Reader) Framed(i int) []byte { return r.bufs[i][:flow.FrameLen+r.msgs[i].N] }

// Writer collects datagrams and writes them in batches.
type Writer struct {
	conn  *ipv4.PacketConn
	msgs  []ipv4.Message
	addrs []net.UDPAddr
	ips   [][4]byte
	n     int
}

// NewWriter returns a writer to conn for one goroutine.
func NewWriter(conn *net.UDPConn) *Writer {
	w := &Writer{
		conn:  ipv4.NewPacketConn(conn),
		msgs:  make([]ipv4.Message, BatchSize),
		addrs: make([]net.UDPAddr, BatchSize),
		ips:   make([][4]byte, BatchSize),
	}
	for i := range w.msgs {
		w.msgs[i].Buffers = make([][]byte, 1)
		w.msgs[i].Addr = &w.addrs[i]
	}
	return w
}

// Add takes a datagram for a destination; the datagram must stay unchanged until
// Flush.
func (w *Writer) Add(b []byte, to netip.AddrPort) {
	if w.n == len(w.msgs) {
		w.Flush()
	}
	i := w.n
	w.ips[i] = to.Addr().As4()
	w.addrs[i].IP = w.ips[i][:]
	w.addrs[i].Port = int(to.Port())
	w.msgs[i].Buffers[0] = b
	w.n++
}

// Flush writes what was added and returns how many datagrams the kernel
// refused.
func (w *Writer) Flush() (refused int) {
	rest := w.msgs[:w.n]
	w.n = 0
	for len(rest) > 0 {
		n, err := w.conn.WriteBatch(rest, 0)
		if err != nil {
			n = max(n, 0) + 1 // the first of the rest is at fault
			refused++
		}
		rest = rest[min(n, len(rest)):]
	}
	return refused
}
