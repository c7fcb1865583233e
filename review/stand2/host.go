package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	heartbeatInterval = 770 * time.Millisecond // heartbeat-ms
	heartbeatTimeout  = time.Second
	hostWork          = 20 * time.Millisecond // of a request
	firstRetry        = 200 * time.Millisecond
	maxRetry          = 1600 * time.Millisecond
	hostRetries       = 8
)

// host stands in for an application host: it holds flows, runs requests and sends
// heartbeats to the daemon on its machine.
type host struct {
	vm   *vm
	id   string
	born int64
	conn *net.UDPConn
	ln   net.Listener

	stop chan struct{}

	mu    sync.Mutex
	flows map[flowKey]*hostFlow
	ended bool
	beats int // acknowledged heartbeats

	draining   bool
	drainAcked time.Time // first acknowledgement of a heartbeat with the state draining
}

// hostFlow is the host's end of a flow.
type hostFlow struct {
	isn         uint32
	next        uint32 // sequence number of the host's next data
	acked       uint32 // by the client
	established bool
	closed      bool
	answers     map[uint32][]byte // by sequence number of the request; nil while it runs
}

func startHost(v *vm) (*host, error) {
	at := net.UDPAddrFromAddrPort(netip.AddrPortFrom(v.addr, v.site.ports.app))
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", at.String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	h := &host{
		vm: v, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().UnixMilli(),
		conn: conn, ln: ln, stop: make(chan struct{}), flows: make(map[flowKey]*hostFlow),
	}
	healthy := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	go func() { _ = http.Serve(ln, healthy) }()
	go h.read()
	go h.sendHeartbeats()
	v.site.rec.add("host %s of %s starts on %s", h.id, v.service, v.name)
	return h, nil
}

// end ends the host without notice.
func (h *host) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	h.ended = true
	close(h.stop)
	_ = h.conn.Close()
	_ = h.ln.Close()
}

// holds reports whether the host lives and holds the flow, established.
func (h *host) holds(k flowKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[k]
	return !h.ended && f != nil && f.established && !f.closed
}

// acknowledged returns the number of heartbeats that the daemon has acknowledged.
func (h *host) acknowledged() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.beats
}

func (h *host) sendHeartbeats() {
	client := &http.Client{Timeout: heartbeatTimeout}
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for seq := 1; ; seq++ {
		state := h.state()
		ok := h.beat(client, seq)
		h.mu.Lock()
		if ok {
			h.beats++
		}
		if ok && state == stateDraining && h.drainAcked.IsZero() {
			h.drainAcked = time.Now()
		}
		h.mu.Unlock()
		if !ok || seq <= 2 || state == stateDraining {
			h.vm.site.rec.add("heartbeat %d of host %s on %s, %s, acknowledged: %v", seq, h.id, h.vm.name, state, ok)
		}
		select {
		case <-h.stop:
			return
		case <-tick.C:
		}
	}
}

// States that hosts report.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

func (h *host) state() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return stateDraining
	}
	return stateReady
}

// drain makes the host leave: it reports that it is draining, closes each flow after its
// next response, and still accepts flows.
func (h *host) drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// sinceDrainAck returns the time since the daemon acknowledged that the host is draining,
// 0 if it has not.
func (h *host) sinceDrainAck() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.drainAcked.IsZero() {
		return 0
	}
	return time.Since(h.drainAcked)
}

func (h *host) beat(client *http.Client, seq int) bool {
	body, err := json.Marshal(map[string]any{
		"service": h.vm.service, "address": h.conn.LocalAddr().String(), "zone": zoneName, "version": "v1",
		"max-concurrency": 3, "state": h.state(), "warmup-left-ms": 0, "seq": seq, "born": h.born,
	})
	if err != nil {
		return false
	}
	url := "http://" + netip.AddrPortFrom(h.vm.addr, h.vm.site.ports.control).String() + "/-/instances/" + h.id
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (h *host) send(b []byte) {
	_, _ = h.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(h.vm.addr, h.vm.site.ports.outbound))
}

func (h *host) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, data, valid := decode(buf[:n])
		if !valid {
			h.vm.site.rec.violation("UNASKED: host %s got a packet that its sender did not write so", h.id)
			continue
		}
		h.handle(bytes.Clone(buf[:n]), p, bytes.Clone(data))
	}
}

func (h *host) handle(raw []byte, p header, data []byte) {
	k := flowKey{p.src, p.dst}
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[k]
	if p.flags == flagSYN {
		if f == nil {
			isn := rand.Uint32()
			f = &hostFlow{isn: isn, next: isn + 1, acked: isn + 1, answers: make(map[uint32][]byte)}
			h.flows[k] = f
			go h.accept(k, f, p.seq+1)
		}
		return
	}
	if f == nil || !f.established && p.ack != f.isn+1 {
		raw[0] |= flagBounced
		h.send(raw)
		return
	}
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	reply := header{flags: flagACK, src: k.route, dst: k.client, seq: f.next, ack: p.seq + uint32(len(data))}
	switch {
	case f.closed && len(data) > 0:
		reply.flags = flagRST
		h.send(encode(reply, nil))
		return
	case f.closed && p.flags&flagFIN != 0:
		h.send(encode(reply, nil))
		return
	case f.closed:
		return
	case p.flags&flagRST != 0:
		f.closed = true
		return
	}
	if !f.established {
		f.established = true
		go h.vm.site.rec.opened(k, h)
	}
	if p.flags&flagFIN != 0 {
		f.closed = true
		reply.flags |= flagFIN
		h.send(encode(reply, nil))
		return
	}
	if len(data) == 0 {
		return
	}
	answer, seen := f.answers[p.seq]
	switch {
	case !seen:
		f.answers[p.seq] = nil
		go h.run(k, f, p, data)
	case answer != nil:
		h.send(answer)
	}
}

// accept sends SYN+ACK until the flow is established.
func (h *host) accept(k flowKey, f *hostFlow, ack uint32) {
	retry := firstRetry
	for range 1 + hostRetries {
		h.send(encode(header{flags: flagSYN | flagACK, src: k.route, dst: k.client, seq: f.isn, ack: ack}, nil))
		select {
		case <-h.stop:
			return
		case <-time.After(retry):
		}
		retry = min(2*retry, maxRetry)
		h.mu.Lock()
		established := f.established
		h.mu.Unlock()
		if established {
			return
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !f.established {
		delete(h.flows, k)
	}
}

// run runs a request and sends its answer until the client has acknowledged it.
func (h *host) run(k flowKey, f *hostFlow, p header, request []byte) {
	h.vm.site.rec.ran(string(request), h)
	time.Sleep(hostWork)
	data := append([]byte("done "), request...)
	h.mu.Lock()
	reply := header{flags: flagACK, src: k.route, dst: k.client, seq: f.next, ack: p.seq + uint32(len(request))}
	if h.draining {
		reply.flags |= flagFIN
		f.closed = true
	}
	answer := encode(reply, data)
	f.next += uint32(len(data))
	end := f.next
	f.answers[p.seq] = answer
	h.mu.Unlock()
	retry := firstRetry
	for range 1 + hostRetries {
		h.send(answer)
		select {
		case <-h.stop:
			return
		case <-time.After(retry):
		}
		retry = min(2*retry, maxRetry)
		h.mu.Lock()
		acked := int32(f.acked-end) >= 0
		h.mu.Unlock()
		if acked {
			return
		}
	}
}
