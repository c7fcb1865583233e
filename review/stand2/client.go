package main

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	openTimeout    = 1400 * time.Millisecond
	requestTimeout = 3 * time.Second
	resetWindow    = 76800 // a client accepts a reset this near to its last acknowledgement

	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	probeMisses   = 2
)

// client stands in for the clients behind one address.
type client struct {
	site *site
	conn *net.UDPConn
	addr netip.Addr

	mu    sync.Mutex
	flows map[flowKey]*clientFlow
	port  uint16
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	c    *client
	key  flowKey
	name string

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	seq, ack uint32
	open     bool
	peerISN  uint32
	reset    bool
	received []byte // data of the answer in progress
}

func newClient(s *site, n byte) (*client, error) {
	at := netip.AddrPortFrom(s.clientAddr(n), s.ports.data)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	c := &client{site: s, conn: conn, addr: at.Addr(), flows: make(map[flowKey]*clientFlow), port: 1024}
	go c.read()
	return c, nil
}

func (c *client) read() {
	buf := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, data, valid := decode(buf[:n])
		own := p.flags == flagRST && len(data) == 0 && n == headerLen && binary.BigEndian.Uint32(buf[32:]) == 0
		if !valid && !own {
			c.site.rec.violation("MIXED: %v got a packet that its sender did not write so", c.addr)
			continue
		}
		c.mu.Lock()
		f := c.flows[flowKey{p.dst, p.src}]
		c.mu.Unlock()
		if f != nil {
			f.handle(p, bytes.Clone(data), own, from.Addr().Unmap())
		}
	}
}

func (f *clientFlow) handle(p header, data []byte, own bool, from netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer func() {
		close(f.changed)
		f.changed = make(chan struct{})
	}()
	switch {
	case p.flags&flagRST != 0:
		distance := int32(p.seq - f.ack)
		if f.reset || f.open && (distance > resetWindow || distance < -resetWindow) {
			return
		}
		f.reset = true
		f.c.site.rec.resetSeen(f, own, from)
	case p.flags == flagSYN|flagACK:
		if !f.open {
			f.open, f.peerISN, f.ack = true, p.seq, p.seq+1
			f.seq++
		}
		if p.seq == f.peerISN {
			f.send(flagACK, nil)
		}
	case len(data) > 0:
		if p.seq == f.ack {
			f.received = append(f.received, data...)
			f.ack += uint32(len(data))
		}
		f.send(flagACK, nil)
	}
}

// send sends a packet of the flow through the router; called with mu held.
func (f *clientFlow) send(flags byte, data []byte) {
	f.sendAck(flags, f.ack, data)
}

func (f *clientFlow) sendAck(flags byte, ack uint32, data []byte) {
	b := encode(header{flags: flags, src: f.key.client, dst: f.key.route, seq: f.seq, ack: ack}, data)
	_, _ = f.c.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(f.c.site.router.pick(f.key), f.c.site.ports.data))
}

// openFlow opens a flow from a new port. It returns nil if that fails.
func (c *client) openFlow(name string, route endpoint) *clientFlow {
	c.mu.Lock()
	c.port++
	local := c.addr.As4()
	f := &clientFlow{
		c: c, name: name, key: flowKey{endpoint{local, c.port}, route},
		changed: make(chan struct{}), seq: rand.Uint32(),
	}
	c.flows[f.key] = f
	c.mu.Unlock()
	c.site.rec.add("client opens %s", f)
	begin := time.Now()
	for n, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		if f.wait(begin.Add(at), func() bool { return f.open || f.reset }) {
			break
		}
		f.mu.Lock()
		f.sendAck(flagSYN, uint32(n), nil)
		f.mu.Unlock()
	}
	f.wait(begin.Add(openTimeout), func() bool { return f.open || f.reset })
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.open || f.reset {
		c.site.rec.add("%s did not open, reset: %v", f, f.reset)
		return nil
	}
	return f
}

// wait waits until a condition holds, at most until a time, and reports whether it holds.
func (f *clientFlow) wait(until time.Time, cond func() bool) bool {
	timeout := time.NewTimer(time.Until(until))
	defer timeout.Stop()
	for {
		f.mu.Lock()
		ok, changed := cond(), f.changed
		f.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false
		}
	}
}

// request sends a request on the open flow and reports whether it was answered.
func (f *clientFlow) request(id string) bool {
	f.c.site.rec.sent(id, f)
	f.mu.Lock()
	f.received = nil
	seq := f.seq
	f.mu.Unlock()
	end := time.Now().Add(requestTimeout)
	retry := firstRetry
	want := "done " + id
	done := func() bool { return f.reset || len(f.received) >= len(want) }
	for time.Now().Before(end) {
		f.mu.Lock()
		f.send(flagACK, []byte(id))
		f.mu.Unlock()
		if f.wait(earlier(end, time.Now().Add(retry)), done) {
			break
		}
		retry = min(2*retry, maxRetry)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq = seq + uint32(len(id))
	ok := string(f.received) == want
	if len(f.received) > 0 && !ok {
		f.c.site.rec.violation("MIXED: %s was answered with %q", id, f.received)
	}
	f.c.site.rec.add("request %s on %s answered: %v, flow reset: %v", id, f, ok, f.reset)
	return ok
}

func (f *clientFlow) String() string { return f.name + " " + f.key.client.String() }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// router stands in for the platform's routers in front of the balancers of one zone.
type router struct {
	site *site

	mu   sync.Mutex
	edge []*rotation
}

// rotation is a balancer and its readiness probes that failed in a row.
type rotation struct {
	vm     *vm
	misses int
}

func (r *router) add(v *vm) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.edge = append(r.edge, &rotation{v, probeMisses})
}

// pick returns the balancer for a flow: a hash of its addresses and ports, modulo the
// balancers in rotation, or modulo all if fewer than half are in rotation.
func (r *router) pick(k flowKey) netip.Addr {
	h := fnv.New32a()
	_, _ = h.Write(k.client.ip[:])
	_ = binary.Write(h, binary.BigEndian, k.client.port)
	_, _ = h.Write(k.route.ip[:])
	_ = binary.Write(h, binary.BigEndian, k.route.port)
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []*vm
	for _, e := range r.edge {
		if e.misses < probeMisses {
			in = append(in, e.vm)
		}
	}
	if 2*len(in) < len(r.edge) {
		in = in[:0]
		for _, e := range r.edge {
			in = append(in, e.vm)
		}
	}
	return in[h.Sum32()%uint32(len(in))].addr
}

// ready returns the number of balancers in rotation.
func (r *router) ready() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.edge {
		if e.misses < probeMisses {
			n++
		}
	}
	return n
}

// probe probes the readiness of the balancers twice a second.
func (r *router) probe() {
	hc := &http.Client{Timeout: probeTimeout}
	for {
		r.mu.Lock()
		all := append([]*rotation{}, r.edge...)
		r.mu.Unlock()
		for _, e := range all {
			go func() {
				resp, err := hc.Get("http://" + netip.AddrPortFrom(e.vm.addr, r.site.ports.ready).String() + "/-/readyz")
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				if ok {
					e.misses = 0
				} else {
					e.misses++
				}
			}()
		}
		time.Sleep(probeInterval)
	}
}
