package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"skylarkturn/internal/packet"
)

const (
	openTimeout    = 1400 * time.Millisecond
	firstRetry     = 200 * time.Millisecond
	maxRetry       = 1600 * time.Millisecond
	requestTimeout = 1500 * time.Millisecond
)

// client is a machine of callers with one address.
type client struct {
	site *site
	name string
	conn *net.UDPConn
	addr netip.Addr

	mu       sync.Mutex
	lastPort uint16
	flows    map[packet.Key]*clientFlow
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	c        *client
	key      packet.Key
	seq, ack uint32
	packets  chan received
}

type received struct {
	h    packet.Header
	data []byte
	own  bool // a reset of the system, with checksum 0
}

func (s *site) startClient(n int) (*client, error) {
	addr := s.clientAddr(byte(n))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, s.ports.packets)))
	if err != nil {
		return nil, err
	}
	c := &client{site: s, name: fmt.Sprint("c", n), conn: conn, addr: addr, lastPort: 20000, flows: make(map[packet.Key]*clientFlow)}
	s.wg.Go(c.read)
	return c, nil
}

// read passes packets to the flows they belong to.
func (c *client) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		h, data, intact, err := decode(buf[:n])
		own := err == nil && !intact && h.Flags == packet.RST && len(data) == 0
		if err != nil || !intact && !own {
			c.site.fail("MIXED", "client %s got a packet that no host wrote so: %x", c.name, buf[:n])
			continue
		}
		c.mu.Lock()
		f := c.flows[h.KeyFromHost()]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.packets <- received{h, append([]byte(nil), data...), own}:
		default: // as a full receive buffer
		}
	}
}

func (f *clientFlow) send(flags packet.Flags, seq, ack uint32, data []byte) {
	b := encode(packet.Header{Flags: flags, Src: f.key.Client, Dst: f.key.Route, Seq: seq, Ack: ack}, data)
	f.c.site.route(f.c.conn, f.key, b)
}

// open opens a flow from a new port. It returns nil and the reason if that fails.
func (c *client) open(ctx context.Context, route packet.Endpoint) (*clientFlow, string) {
	c.mu.Lock()
	c.lastPort++
	f := &clientFlow{c: c, seq: rand.Uint32(), packets: make(chan received, 64)}
	f.key = packet.Key{Client: packet.EndpointOf(netip.AddrPortFrom(c.addr, c.lastPort)), Route: route}
	c.flows[f.key] = f
	c.mu.Unlock()
	end := time.After(openTimeout)
	f.send(packet.SYN, f.seq, 0, nil)
	copies, next := uint32(0), time.After(firstRetry)
	for {
		select {
		case <-ctx.Done():
			f.forget()
			return nil, "ended"
		case <-end:
			f.forget()
			return nil, "no answer while opening"
		case <-next:
			copies++
			f.send(packet.SYN, f.seq, copies, nil)
			next = nil
			if copies < 2 {
				next = time.After(2 * firstRetry)
			}
		case r := <-f.packets:
			switch {
			case r.h.Flags.Has(packet.RST):
				f.forget()
				return nil, "reset while opening"
			case r.h.Accepts():
				f.seq++
				f.ack = r.h.Seq + 1
				return f, ""
			}
		}
	}
}

// request sends a request and waits for its answer. It returns the answer's body, or an
// empty string and the reason.
func (f *clientFlow) request(ctx context.Context, id string) (body, reason string) {
	text := fmt.Appendf(nil, "GET /feed HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n\r\n", id)
	end, wait := time.After(requestTimeout), firstRetry
	f.c.site.rec.printf("request %s is sent on flow %v", id, f.key)
	f.send(packet.ACK, f.seq, f.ack, text)
	retry := time.After(wait)
	for {
		select {
		case <-ctx.Done():
			return "", "ended"
		case <-end:
			return "", "no answer"
		case <-retry:
			wait = min(2*wait, maxRetry)
			f.send(packet.ACK, f.seq, f.ack, text)
			retry = time.After(wait)
		case r := <-f.packets:
			if r.h.Flags.Has(packet.RST) {
				if r.own && !f.acceptsReset(r.h.Seq) {
					continue
				}
				f.c.site.flowReset(f.key, r.own)
				return "", "reset"
			}
			if len(r.data) == 0 || r.h.Seq != f.ack {
				continue
			}
			f.seq += uint32(len(text))
			f.ack += uint32(len(r.data))
			f.send(packet.ACK, f.seq, f.ack, nil)
			if got := requestID(r.data); got != id {
				f.c.site.fail("MIXED", "request %s was answered with that of %s", id, got)
			}
			f.c.site.requestAnswered(id)
			return bodyOf(r.data), ""
		}
	}
}

// acceptsReset reports whether the sequence number of a reset is near the client's last
// acknowledgement number.
func (f *clientFlow) acceptsReset(seq uint32) bool {
	d := int64(int32(seq - f.ack))
	return d <= 76_800 && d >= -76_800
}

// close closes the flow.
func (f *clientFlow) close() {
	f.send(packet.ACK|packet.FIN, f.seq, f.ack, nil)
	f.c.site.wg.Go(func() {
		time.Sleep(100 * time.Millisecond) // for the host's FIN
		f.send(packet.ACK, f.seq+1, f.ack+1, nil)
		f.forget()
	})
}

func (f *clientFlow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.key)
}

// bodyOf returns the body of an answer.
func bodyOf(data []byte) string {
	for i := 0; i+4 <= len(data); i++ {
		if string(data[i:i+4]) == "\r\n\r\n" {
			return string(data[i+4:])
		}
	}
	return ""
}
