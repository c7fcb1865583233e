package platformstand

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"skylarkturn/internal/packet"
)

const (
	heartbeatInterval = 400 * time.Millisecond
	heartbeatTimeout  = time.Second
	executionTime     = 15 * time.Millisecond // of a request

	zone = "z1" // of all VMs
)

// Host simulates an application host: it holds flows, executes requests and sends
// heartbeats to the daemon on its VM.
type Host struct {
	Service string

	vm        netip.Addr
	id        string
	startTime time.Time
	outbound  netip.AddrPort // where the daemon receives packets of the host
	control   string         // address of the daemon's API for its host
	checker   *Checker
	conn      *net.UDPConn
	ln        net.Listener
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu         sync.Mutex
	flows      map[packet.Key]*hostFlow
	drainAcked time.Time // when the daemon first acknowledged the drain; zero before
	draining   bool
	rejectNew  bool // return every packet that opens a flow
	stopped    bool
}

// hostFlow is the host's end of a flow.
type hostFlow struct {
	seq         uint32            // of the SYN|ACK
	established bool              // the client has acknowledged the SYN|ACK
	synSent     time.Time         // by the client
	balancer    netip.Addr        // that the client sent the SYN to
	responses   map[uint32][]byte // by the request's sequence number; nil while it executes
}

// startHost starts a host on the VM of a daemon.
func startHost(vm netip.Addr, service string, app, outbound, control uint16, checker *Checker) (*Host, error) {
	at := net.UDPAddrFromAddrPort(netip.AddrPortFrom(vm, app))
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, &Error{"start host", KindNetwork, err}
	}
	ln, err := net.Listen("tcp4", at.String())
	if err != nil {
		_ = conn.Close() // the start fails anyway
		return nil, &Error{"start host", KindNetwork, err}
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		Service: service, vm: vm, id: fmt.Sprintf("i-%08x", rand.Uint32()), startTime: time.Now(),
		outbound: netip.AddrPortFrom(vm, outbound), control: netip.AddrPortFrom(vm, control).String(),
		checker: checker, conn: conn, ln: ln, cancel: cancel, flows: make(map[packet.Key]*hostFlow),
	}
	h.wg.Go(h.readLoop)
	h.wg.Go(h.acceptLoop)
	h.wg.Go(func() { h.heartbeatLoop(ctx) })
	return h, nil
}

// RejectNewFlows makes the host return every packet that opens a flow.
func (h *Host) RejectNewFlows() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rejectNew = true
}

// FallSilent makes the host end without a trace: it sends nothing and handles nothing any
// more, but connections to its address still succeed.
func (h *Host) FallSilent() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.cancel()
}

// Crash stops the host without notice to the daemon.
func (h *Host) Crash() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.cancel()
	_ = h.conn.Close() // its flows are lost with it
	_ = h.ln.Close()
	h.wg.Wait()
}

// Shutdown drains the host for a time, deregisters it at the daemon and stops it.
func (h *Host) Shutdown(drain time.Duration) {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	time.Sleep(drain)
	h.deregister(h.id)
	h.Crash()
}

// do sends a request to the daemon and reports whether it answers 200.
func (h *Host) do(ctx context.Context, req *http.Request) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	resp, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return false // the daemon is down
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// heartbeatLoop sends heartbeats until ctx is done.
func (h *Host) heartbeatLoop(ctx context.Context) {
	for seq := 1; ctx.Err() == nil; seq++ {
		h.mu.Lock()
		draining := h.draining
		h.mu.Unlock()
		state := "ready"
		if draining {
			state = "draining"
		}
		if h.beat(ctx, h.id, h.heartbeat(state, seq)) && draining {
			h.mu.Lock()
			if h.drainAcked.IsZero() {
				h.drainAcked = time.Now()
			}
			h.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat returns the fields of a heartbeat.
func (h *Host) heartbeat(state string, seq int) map[string]any {
	return map[string]any{
		"service": h.Service, "address": h.conn.LocalAddr().String(), "zone": zone, "version": "v1",
		"max-concurrency": 4, "state": state, "warmup-left-ms": 0, "seq": seq, "born": h.startTime.UnixMilli(),
	}
}

// beat sends a heartbeat to the daemon and reports whether it is acknowledged.
func (h *Host) beat(ctx context.Context, id string, fields map[string]any) bool {
	body, err := json.Marshal(fields)
	if err != nil {
		return false
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+h.control+"/-/instances/"+id, strings.NewReader(string(body)))
	return err == nil && h.do(ctx, req)
}

// sendStray sends the host's daemon a message that is not of the host, and returns what
// it is: a heartbeat that names another service or lacks a field, or a late heartbeat or
// deregistration of a host that has ended.
func (h *Host) sendStray(r *rand.Rand) string {
	ended := fmt.Sprintf("x-%08x", r.Uint32())
	switch r.IntN(4) {
	case 0:
		h.deregister(ended)
		return "deregistration of " + ended
	case 1:
		fields := h.heartbeat("ready", 3)
		fields["born"] = h.startTime.Add(-time.Hour).UnixMilli()
		h.beat(context.Background(), ended, fields)
		return "heartbeat of the ended " + ended
	}
	fields := h.heartbeat("ready", 1)
	fields["born"] = time.Now().UnixMilli()
	services := []string{"bookdesk", "kitdocs", "nowhere"}
	fields["service"] = services[r.IntN(len(services))]
	missing := []string{"address", "zone", "version", "warmup-left-ms"}[r.IntN(4)]
	if fields["service"] == h.Service || r.IntN(2) == 0 {
		delete(fields, missing)
	}
	id := []string{h.id, ended}[r.IntN(2)]
	h.beat(context.Background(), id, fields)
	return fmt.Sprintf("heartbeat of %s with the fields %v", id, fields)
}

// deregister tells the daemon that the host with the ID is shutting down.
func (h *Host) deregister(id string) {
	if req, err := http.NewRequest(http.MethodDelete, "http://"+h.control+"/-/instances/"+id, nil); err == nil {
		h.do(context.Background(), req)
	}
}

// sinceDrainAck returns the time since the daemon acknowledged the drain, 0 if it
// has not.
func (h *Host) sinceDrainAck() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.drainAcked.IsZero() {
		return 0
	}
	return time.Since(h.drainAcked)
}

// hasFlow reports whether the host runs and the flow is established at it.
func (h *Host) hasFlow(k packet.Key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[k]
	return !h.stopped && f != nil && f.established
}

// acceptLoop accepts and closes the TCP connections with which the daemon checks
// that the host listens.
func (h *Host) acceptLoop() {
	for {
		c, err := h.ln.Accept()
		if err != nil {
			return // the host has stopped
		}
		_ = c.Close() // nothing is sent on it
	}
}

// readLoop handles the packets that the daemon forwards to the host.
func (h *Host) readLoop() {
	buf := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // the host has stopped
		}
		p, data, ok := decodePacket(buf[:n])
		if !ok {
			h.checker.addMixed("host at %v received a corrupt packet", h.vm)
			continue
		}
		h.handlePacket(buf[:n], &p, data)
	}
}

// send sends a packet to the daemon.
func (h *Host) send(b []byte) {
	_, _ = h.conn.WriteToUDPAddrPort(b, h.outbound) // the packet is lost while the daemon is down
}

// handlePacket returns packets of flows that the host does not hold with the flag
// BOUNCED, answers a SYN with a SYN|ACK, and passes on the others.
func (h *Host) handlePacket(raw []byte, p *packet.Header, data []byte) {
	k := p.KeyFromClient()
	h.mu.Lock()
	if h.stopped {
		h.mu.Unlock()
		return
	}
	f := h.flows[k]
	if f == nil && p.Opens() && !h.rejectNew {
		sent, balancer := decodeSYNData(data)
		f = &hostFlow{seq: rand.Uint32(), synSent: sent, balancer: balancer, responses: make(map[uint32][]byte)}
		h.flows[k] = f
	}
	known := f != nil && (p.Opens() || f.established || p.Ack == f.seq+1)
	h.mu.Unlock()
	reply := packet.Header{Flags: packet.ACK, Src: k.Route, Dst: k.Client, Ack: p.Seq + uint32(len(data))}
	switch {
	case !known:
		h.checker.packetArrived(k, h)
		bounce := append([]byte{}, raw...)
		bounce[0] |= 1 // the flag BOUNCED
		h.send(bounce)
	case p.Opens():
		reply.Flags, reply.Seq = packet.SYN|packet.ACK, f.seq
		h.send(encodePacket(reply, nil))
	default:
		h.checker.packetArrived(k, h)
		h.handleData(k, f, p, data, reply)
	}
}

// handleData handles a packet after the SYN. It executes a request once and answers
// retransmissions with the stored response.
func (h *Host) handleData(k packet.Key, f *hostFlow, p *packet.Header, data []byte, reply packet.Header) {
	request, seq := string(data), p.Seq // copied, as the read loop reuses the packet's buffer
	h.mu.Lock()
	first := !f.established
	f.established = true
	response, repeated := f.responses[seq]
	if len(data) > 0 && !repeated {
		f.responses[seq] = nil
	}
	if p.Flags.Has(packet.FIN) || p.Flags.Has(packet.RST) {
		delete(h.flows, k)
	}
	h.mu.Unlock()
	if first {
		h.checker.flowOpened(k, h, f.synSent, f.balancer)
	}
	switch {
	case response != nil:
		h.send(response)
	case len(data) > 0 && !repeated:
		h.wg.Go(func() { h.execute(f, seq, request, reply) })
	}
}

// execute runs a request and sends the response. A request is its id, a space and
// its kind: "once", or "again" for an idempotent one.
func (h *Host) execute(f *hostFlow, seq uint32, request string, reply packet.Header) {
	id, kind, _ := strings.Cut(request, " ")
	h.checker.requestExecuted(id, h, kind == "again")
	time.Sleep(executionTime)
	response := encodePacket(reply, []byte("done "+id))
	h.mu.Lock()
	f.responses[seq] = response
	stopped := h.stopped
	h.mu.Unlock()
	if !stopped {
		h.send(response)
	}
}
