package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"skylarkturn/internal/packet"
)

// client is a user of the platform with one address. It opens flows and sends requests
// that may not be repeated on them.
type client struct {
	w    *world
	name string
	addr netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	n     int
	flows map[packet.Key]*clientFlow
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	c        *client
	key      packet.Key
	seq, ack uint32
	in       chan received
}

type received struct {
	h      packet.Header
	data   string
	from   netip.AddrPort
	intact bool // with the platform's sum; a reset without it is the system's own
}

func (w *world) addClient(n byte) (*client, error) {
	addr := w.clientAddr(n)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, w.ports.datagram)))
	if err != nil {
		return nil, err
	}
	c := &client{w: w, name: fmt.Sprintf("client-%d", n), addr: addr, conn: conn, port: 40000, flows: make(map[packet.Key]*clientFlow)}
	w.mu.Lock()
	w.clients = append(w.clients, c)
	w.mu.Unlock()
	go c.read()
	return c, nil
}

func (c *client) stop() { _ = c.conn.Close() }

func (c *client) read() {
	buf := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		h, data, intact, err := decode(buf[:n])
		if err != nil || !intact && !h.Flags.Has(packet.RST) {
			c.w.logf("%s: MIXED a packet that its sender did not write so: %x", c.name, buf[:n])
			continue
		}
		c.mu.Lock()
		f := c.flows[h.KeyFromHost()]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		if h.Flags.Has(packet.RST) {
			c.w.logf("%s: RST on %v from %v, by the host: %v", c.name, f.key, from, intact)
		}
		select {
		case f.in <- received{h, string(data), from, intact}:
		default:
		}
	}
}

// send sends a packet of a flow through the platform's router: to the daemon in rotation
// that the hash of the flow selects.
func (f *clientFlow) send(h packet.Header, data string) {
	h.Src, h.Dst = f.key.Client, f.key.Route
	to, ok := f.c.w.route(f.key)
	if !ok {
		return
	}
	_, _ = f.c.conn.WriteToUDPAddrPort(encode(h, []byte(data)), to)
}

// route returns the datagram address of the daemon that a flow's packets go to now: one
// of those in rotation, or of all if fewer than half are.
func (w *world) route(k packet.Key) (netip.AddrPort, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all, edges []*daemon
	for _, d := range w.daemons {
		if d.service != "" {
			continue
		}
		all = append(all, d)
		if d.inRotation() {
			edges = append(edges, d)
		}
	}
	if 2*len(edges) < len(all) {
		edges = all
	}
	if len(edges) == 0 {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(edges[k.Hash()%uint64(len(edges))].addr, w.ports.datagram), true
}

// open opens a flow to a route. It sends copies of the SYN after 200 and 600 ms.
func (c *client) open(route packet.Endpoint) (*clientFlow, error) {
	c.mu.Lock()
	c.port++
	f := &clientFlow{c: c, key: packet.Key{Client: endpoint(c.addr, c.port), Route: route}, seq: rand.Uint32(), in: make(chan received, 64)}
	c.flows[f.key] = f
	c.mu.Unlock()
	began := time.Now()
	for i, next := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.send(packet.Header{Flags: packet.SYN, Seq: f.seq, Ack: uint32(i)}, "")
		for {
			r, ok := f.receive(began.Add(next))
			if !ok {
				break
			}
			if r.h.Flags.Has(packet.RST) {
				return nil, fmt.Errorf("flow %v was refused with a reset", f.key)
			}
			if r.h.Accepts() {
				f.seq++
				f.ack = r.h.Seq + 1
				f.send(packet.Header{Flags: packet.ACK, Seq: f.seq, Ack: f.ack}, "") // end of the handshake
				return f, nil
			}
		}
	}
	return nil, fmt.Errorf("flow %v was not answered", f.key)
}

func (f *clientFlow) receive(until time.Time) (received, bool) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case r := <-f.in:
		return r, true
	case <-t.C:
		return received{}, false
	}
}

// maxResetDistance is how far the sequence number of a reset on an open flow may be from
// the client's last acknowledgement.
const maxResetDistance = 76800

// acceptsReset reports whether a reset on the open flow is valid.
func (f *clientFlow) acceptsReset(r received) bool {
	d := int32(r.h.Seq - f.ack)
	return d <= maxResetDistance && d >= -maxResetDistance
}

// outcome is how a request ended.
type outcome struct {
	id     string
	ok     bool
	reset  bool // a reset that the flow's host didn't send
	from   netip.AddrPort
	server string
	text   string
}

const requestDeadline = 2 * time.Second

// request sends a request on the open flow, repeats its packet after 200 ms and with
// growing intervals, and waits for the answer until the deadline.
func (f *clientFlow) request() outcome {
	f.c.mu.Lock()
	f.c.n++
	id := fmt.Sprintf("%s-%d", f.c.name, f.c.n)
	f.c.mu.Unlock()
	body := "hold"
	message := fmt.Sprintf("POST /orders HTTP/1.1\r\nHost: orders\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	f.c.w.logf("%s: sends request %s on %v", f.c.name, id, f.key)
	deadline := time.Now().Add(requestDeadline)
	wait := 200 * time.Millisecond
	for time.Now().Before(deadline) {
		f.send(packet.Header{Flags: packet.ACK, Seq: f.seq, Ack: f.ack}, message)
		until := time.Now().Add(wait)
		if until.After(deadline) {
			until = deadline
		}
		wait = min(2*wait, 1600*time.Millisecond)
		for {
			r, ok := f.receive(until)
			if !ok {
				break
			}
			if r.h.Flags.Has(packet.RST) {
				if !f.acceptsReset(r) {
					continue
				}
				return f.end(outcome{id: id, reset: !r.intact, from: r.from, text: fmt.Sprint("reset from ", r.from)})
			}
			if len(r.data) > 0 && r.h.Ack == f.seq+uint32(len(message)) {
				f.seq += uint32(len(message))
				f.ack = r.h.Seq + uint32(len(r.data))
				f.send(packet.Header{Flags: packet.ACK, Seq: f.seq, Ack: f.ack}, "")
				ok := strings.HasSuffix(r.data, "done "+id)
				return f.end(outcome{id: id, ok: ok, server: headerOf(r.data, "X-Server-Seal"), text: "200"})
			}
		}
	}
	return f.end(outcome{id: id, text: "no answer before the deadline"})
}

func (f *clientFlow) end(o outcome) outcome {
	f.c.w.logf("%s: request %s ends: %s %s", f.c.name, o.id, o.text, o.server)
	return o
}
