package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"skylarkturn/internal/packet"
)

// host is an application host beside an agent: it holds flows, runs requests and reports
// to the control address on its own machine.
type host struct {
	w       *world
	d       *daemon
	id      string
	service string
	born    time.Time
	conn    *net.UDPConn
	ln      net.Listener
	cancel  context.CancelFunc

	mu      sync.Mutex
	seq     int
	state   string
	stopped bool
	flows   map[packet.Key]*hostFlow
	run     map[string]bool // requests by ID that the host has begun to work on
}

// hostFlow is the host's end of a flow.
type hostFlow struct {
	seq         uint32 // of the SYN+ACK
	established bool
	answers     map[uint32][]byte // by the request's sequence number; nil while it runs
	closed      bool
}

// workTime is how long a host works on a request.
const workTime = 300 * time.Millisecond

// startHost starts a host beside an agent.
func (w *world) startHost(d *daemon, id, service string) (*host, error) {
	at := net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.addr, w.ports.app))
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{w: w, d: d, id: id, service: service, born: time.Now(), conn: conn, ln: ln, cancel: cancel, state: "ready", flows: make(map[packet.Key]*hostFlow), run: make(map[string]bool)}
	w.mu.Lock()
	w.hosts = append(w.hosts, h)
	w.mu.Unlock()
	w.logf("host %s of %s starts at %v", id, service, at)
	go h.serveHealth()
	go h.read()
	go h.beats(ctx)
	return h, nil
}

// serveHealth answers the health path over TCP.
func (h *host) serveHealth() {
	_ = http.Serve(h.ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Instance-Id", h.id)
	}))
}

// beats sends heartbeats, with the fields that PROTOCOL.md and the later text name.
func (h *host) beats(ctx context.Context) {
	last := ""
	for ctx.Err() == nil {
		h.mu.Lock()
		h.seq++
		seq, state := h.seq, h.state
		h.mu.Unlock()
		outcome := h.w.beat(h.d, h.id, map[string]any{
			"service": h.service, "address": netip.AddrPortFrom(h.d.addr, h.w.ports.app).String(), "zone": "z1", "version": "v1",
			"max-concurrency": 4, "state": state, "warmup-left-ms": 0, "seq": seq, "born": h.born.UnixMilli(),
		})
		if outcome != last {
			h.w.logf("host %s: heartbeat %d (%s): %s", h.id, seq, state, outcome)
			last = outcome
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// beat sends a heartbeat to the control address of a machine and returns the outcome.
func (w *world) beat(d *daemon, id string, fields map[string]any) string {
	b, _ := json.Marshal(fields)
	return w.control(d, http.MethodPut, id, b)
}

func (w *world) control(d *daemon, method, id string, body []byte) string {
	url := "http://" + netip.AddrPortFrom(d.addr, w.ports.control).String() + "/-/instances/" + id
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: time.Second}
	resp, err := c.Do(req)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
	return fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(text)))
}

// crash ends the host without notice.
func (h *host) crash() {
	h.mu.Lock()
	stopped := h.stopped
	h.stopped = true
	h.mu.Unlock()
	if stopped {
		return
	}
	h.w.logf("host %s ends", h.id)
	h.cancel()
	_ = h.conn.Close()
	_ = h.ln.Close()
}

func (h *host) alive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.stopped
}

// holds reports whether the host runs and has a flow open.
func (h *host) holds(k packet.Key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[k]
	return !h.stopped && f != nil && f.established && !f.closed
}

// hasRun reports whether the host has begun to work on a request.
func (h *host) hasRun(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.run[id]
}

func (h *host) send(b []byte) {
	_, _ = h.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(h.d.addr, h.w.ports.outbound)) // lost while the agent is down
}

func (h *host) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // the host has ended
		}
		raw := bytes.Clone(buf[:n])
		p, data, intact, err := decode(raw)
		if err != nil || !intact {
			h.w.logf("host %s: UNASKED a packet that its sender did not write so: %x", h.id, raw)
			continue
		}
		h.handle(raw, &p, data)
	}
}

// handle answers SYNs, returns packets of flows that the host does not hold, and runs
// requests.
func (h *host) handle(raw []byte, p *packet.Header, data []byte) {
	k := p.KeyFromClient()
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[k]
	switch {
	case p.Opens():
		if f == nil {
			f = &hostFlow{seq: rand.Uint32(), answers: make(map[uint32][]byte)}
			h.flows[k] = f
			h.w.logf("host %s: SYN of %v accepted", h.id, k)
		}
		h.send(encode(packet.Header{Flags: packet.SYN | packet.ACK, Src: k.Route, Dst: k.Client, Seq: f.seq, Ack: p.Seq + 1}, nil))
		return
	case f == nil || !f.established && p.Ack != f.seq+1:
		raw[0] |= 1 // BOUNCED
		h.send(raw)
		return
	case f.closed:
		if len(data) > 0 {
			h.send(encode(packet.Header{Flags: packet.RST, Src: k.Route, Dst: k.Client, Seq: p.Ack}, nil))
		}
		return
	}
	if !f.established {
		f.established = true
		h.w.logf("host %s: flow %v is open", h.id, k)
	}
	if p.Flags.Has(packet.FIN) || p.Flags.Has(packet.RST) {
		f.closed = true
		return
	}
	if len(data) == 0 {
		return
	}
	answer, known := f.answers[p.Seq]
	switch {
	case answer != nil:
		h.send(answer)
	case !known:
		f.answers[p.Seq] = nil
		id := headerOf(string(data), "X-Request-Id")
		h.run[id] = true
		h.w.logf("host %s: runs request %s on %v", h.id, id, k)
		go h.execute(k, f, *p, id, len(data))
	}
}

// execute works on a request, an HTTP/1.1 message in one packet, and answers it.
func (h *host) execute(k packet.Key, f *hostFlow, p packet.Header, id string, length int) {
	time.Sleep(workTime)
	body := "done " + id
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, len(body), body)
	h.mu.Lock()
	defer h.mu.Unlock()
	b := encode(packet.Header{Flags: packet.ACK, Src: k.Route, Dst: k.Client, Seq: p.Ack, Ack: p.Seq + uint32(length)}, []byte(answer))
	f.answers[p.Seq] = b
	if !h.stopped {
		h.send(b)
	}
}

// headerOf returns the value of a field of an HTTP message.
func headerOf(message, name string) string {
	for line := range strings.SplitSeq(message, "\r\n") {
		if k, v, ok := strings.Cut(line, ": "); ok && k == name {
			return v
		}
	}
	return ""
}
