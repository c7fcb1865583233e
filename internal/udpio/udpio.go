package udpio

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"

	"skylarkturn/internal/flow"
)

// KindOpen is the kind of an error in opening a socket.
const KindOpen = "open"

// Error reports the operation of package udpio that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error formats the operation, the kind and the underlying error.
func (e *Error) Error() string { return fmt.Sprintf("udpio: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

const (
	socketBufferSize = 4 << 20 // bytes, for the receive and the send buffer each
	maxPortAttempts  = 20      // ports tried by Listen
	maxDatagramSize  = 2048    // bytes; longer datagrams are truncated
)

// BatchSize is the maximum number of datagrams read or written by one system call.
const BatchSize = 64

// Listen opens a UDP and a TCP socket at the same address. With port 0 the kernel chooses
// a port that is free for both.
func Listen(address string) (*net.UDPConn, net.Listener, error) {
	var lastErr error
	for range maxPortAttempts {
		ln, err := net.Listen("tcp4", address)
		if err != nil {
			return nil, nil, &Error{"listen " + address, KindOpen, err}
		}
		conn, err := ListenUDP(ln.Addr().String())
		if err == nil {
			return conn, ln, nil
		}
		_ = ln.Close() // retry with another port
		lastErr = err
	}
	return nil, nil, lastErr
}

// ListenUDP opens a UDP socket with large kernel buffers, which absorb bursts.
func ListenUDP(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, &Error{"resolve " + address, KindOpen, err}
	}
	conn, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, &Error{"listen " + address, KindOpen, err}
	}
	_ = conn.SetReadBuffer(socketBufferSize)  // the kernel caps it at net.core.rmem_max, which suffices
	_ = conn.SetWriteBuffer(socketBufferSize) // capped at net.core.wmem_max, which suffices
	return conn, nil
}

// LocalAddr returns the local IPv4 address and port of conn.
func LocalAddr(conn *net.UDPConn) netip.AddrPort {
	a := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Receive calls handle for every datagram that arrives at conn, until ctx is done or
// conn is closed. handle must not retain b, which is reused for the next datagram.
// Datagrams are truncated to size bytes. Any other read error is passed to onError
// and reading continues, since the error concerns a datagram sent earlier, which its
// receiver has refused.
func Receive(ctx context.Context, conn *net.UDPConn, size int, onError func(error), handle func(b []byte, from netip.AddrPort)) {
	buf := make([]byte, size)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		switch {
		case err == nil:
			handle(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return
		default:
			onError(err)
		}
	}
}

// Reader reads datagrams in batches and leaves headroom for a frame header before
// each. It is not safe for concurrent use.
type Reader struct {
	conn *ipv4.PacketConn
	msgs []ipv4.Message // last batch; its buffers are subslices of bufs
	bufs [][]byte       // for each datagram, flow.FrameLen bytes of headroom and the datagram
}

// NewReader returns a Reader of conn.
func NewReader(conn *net.UDPConn) *Reader {
	r := &Reader{conn: ipv4.NewPacketConn(conn)}
	for range BatchSize {
		buf := make([]byte, flow.FrameLen+maxDatagramSize)
		r.bufs = append(r.bufs, buf)
		r.msgs = append(r.msgs, ipv4.Message{Buffers: [][]byte{buf[flow.FrameLen:]}})
	}
	return r
}

// Read waits for datagrams and returns the number of those read. They are valid
// until the next call.
func (r *Reader) Read() (int, error) { return r.conn.ReadBatch(r.msgs, 0) }

// Datagram returns datagram i of the last batch and its source address.
func (r *Reader) Datagram(i int) ([]byte, netip.AddrPort) {
	m := &r.msgs[i]
	src, ok := m.Addr.(*net.UDPAddr)
	if !ok {
		return nil, netip.AddrPort{}
	}
	a := src.AddrPort()
	return m.Buffers[0][:m.N], netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// WithHeadroom returns datagram i of the last batch, preceded by flow.FrameLen bytes of
// headroom for a frame header.
func (r *Reader) WithHeadroom(i int) []byte { return r.bufs[i][:flow.FrameLen+r.msgs[i].N] }

// Writer buffers datagrams and writes them in batches. It is not safe for
// concurrent use.
type Writer struct {
	conn  *ipv4.PacketConn
	msgs  []ipv4.Message
	addrs []net.UDPAddr // destinations of msgs
	ips   [][4]byte     // storage of the IPs in addrs
	n     int           // number of datagrams in the batch
}

// NewWriter returns a Writer to conn.
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

// Add adds a datagram for the destination to the batch, and flushes a full batch
// first. b must not be modified until Flush.
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

// Flush writes the batch and returns the number of datagrams that the kernel
// refused.
func (w *Writer) Flush() (refused int) {
	unsent := w.msgs[:w.n]
	w.n = 0
	for len(unsent) > 0 {
		n, err := w.conn.WriteBatch(unsent, 0)
		if err != nil {
			n = max(n, 0) + 1 // skip the datagram that failed, the first one not written
			refused++
		}
		unsent = unsent[min(n, len(unsent)):]
	}
	return refused
}
