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
	executionTime     = 15 * time.Millisecond
)

// Host is a stand-in of an application host: it holds flows, runs requests and
// reports to the daemon on its VM.
type Host struct {
	Service string

	vm        netip.Addr
	id        string
	startTime time.Time
	outbound  netip.AddrPort
	control   string
	checker   *Record
	conn      *net.UDPConn
	ln        net.Listener
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu         sync.Mutex
	flows      map[packet.Key]*hostFlow
	drainAcked time.Time // when the drain was acknowledged; zero while it was not
	draining   bool
	rejectNew  bool // takes no new flow
	stopped    bool
}

type hostFlow struct {
	seq         uint32 // of the acceptance
	established bool
	synSent     time.Time
	balancer    netip.Addr
	responses   map[uint32][]byte // packets sent, by the request's sequence number
}

// startHost starts a host beside the daemon of a VM.
func startHost(vm netip.Addr, service string, app, outbound, control uint16, record *Record) (*Host, error) {
	at := net.UDPAddrFromAddrPort(netip.AddrPortFrom(vm, app))
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, &Error{"start host", KindNetwork, err}
	}
	ln, err := net.Listen("tcp4", at.String())
	if err != nil {
		_ = conn.Close() // the host does not start
		return nil, &Error{"start host", KindNetwork, err}
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		Service: service, vm: vm, id: fmt.Sprintf("i-%08x", rand.Uint32()), startTime: time.Now(),
		outbound: netip.AddrPortFrom(vm, outbound), control: netip.AddrPortFrom(vm, control).String(),
		checker: record, conn: conn, ln: ln, cancel: cancel, flows: make(map[packet.Key]*hostFlow),
	}
	h.wg.Go(h.readLoop)
	h.wg.Go(h.acceptLoop)
	h.wg.Go(func() { h.heartbeatLoop(ctx) })
	return h, nil
}

// Fill has the host return every packet that opens a flow.
func (h *Host) Fill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rejectNew = true
}

// Crash ends the host without a word.
func (h *Host) Crash() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.cancel()
	_ = h.conn.Close() // its flows are gone
	_ = h.ln.Close()
	h.wg.Wait()
}

// Leave drains the host for a time, says farewell and ends it.
func (h *Host) Leave(drain time.Duration) {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	time.Sleep(drain)
	if req, err := http.NewRequest(http.MethodDelete, "http://"+h.control+"/-/instances/"+h.id, nil); err == nil {
		h.do(context.Background(), req)
	}
	h.Crash()
}

func (h *Host) do(ctx context.Context, req *http.Request) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	resp, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return false // the daemon is away
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *Host) heartbeatLoop(ctx context.Context) {
	for seq := 1; ctx.Err() == nil; seq++ {
		h.mu.Lock()
		leaving := h.draining
		h.mu.Unlock()
		state := "ready"
		if leaving {
			state = "draining"
		}
		body, err := json.Marshal(map[string]any{
			"service": h.Service, "address": h.conn.LocalAddr().String(), "zone": "z", "version": "v1",
			"max-concurrency": 4, "state": state, "warmup-left-ms": 0, "seq": seq, "born": h.startTime.UnixMilli(),
		})
		if err != nil {
			return
		}
		req, err := http.NewRequest(http.MethodPut, "http://"+h.control+"/-/instances/"+h.id, strings.NewReader(string(body)))
		if err != nil {
			return
		}
		if h.do(ctx, req) && leaving {
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

func (h *Host) sinceDrainAck() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.drainAcked.IsZero() {
		return 0
	}
	return time.Since(h.drainAcked)
}

// hasFlow reports whether the host lives and has the flow open.
func (h *Host) hasFlow(k packet.Key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[k]
	return !h.stopped && f != nil && f.established
}

func (h *Host) acceptLoop() {
	for {
		c, err := h.ln.Accept()
		if err != nil {
			return // the host has ended
		}
		_ = c.Close() // its daemon only wants to know whether it listens
	}
}

func (h *Host) readLoop() {
	buf := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // the host has ended
		}
		p, data, ok := decodePacket(buf[:n])
		if !ok {
			h.checker.addMixed("host at %v got a packet that its sender did not write", h.vm)
			continue
		}
		h.handlePacket(buf[:n], &p, data)
	}
}

func (h *Host) send(b []byte) {
	_, _ = h.conn.WriteToUDPAddrPort(b, h.outbound) // lost while the daemon is away
}

func (h *Host) handlePacket(raw []byte, p *packet.Head, data []byte) {
	k := p.FromClient()
	h.mu.Lock()
	f := h.flows[k]
	if f == nil && p.Opens() && !h.rejectNew {
		sent, took := decodeSYNData(data)
		f = &hostFlow{seq: rand.Uint32(), synSent: sent, balancer: took, responses: make(map[uint32][]byte)}
		h.flows[k] = f
	}
	mine := f != nil && (p.Opens() || f.established || p.Ack == f.seq+1)
	h.mu.Unlock()
	reply := packet.Head{Flags: packet.ACK, Src: k.Route, Dst: k.Client, Ack: p.Seq + uint32(len(data))}
	switch {
	case !mine:
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

func (h *Host) handleData(k packet.Key, f *hostFlow, p *packet.Head, data []byte, reply packet.Head) {
	request, seq := string(data), p.Seq // the packet's buffer is read into again
	h.mu.Lock()
	first := !f.established
	f.established = true
	answer, again := f.responses[seq]
	if len(data) > 0 && !again {
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
	case answer != nil:
		h.send(answer)
	case len(data) > 0 && !again:
		h.wg.Go(func() { h.execute(f, seq, request, reply) })
	}
}

// Runs a request: its id, a space, and "once" or "again" for whether it may be
// repeated.
func (h *Host) execute(f *hostFlow, seq uint32, request string, reply packet.Head) {
	id, kind, _ := strings.Cut(request, " ")
	h.checker.requestExecuted(id, h, kind == "again")
	time.Sleep(executionTime)
	answer := encodePacket(reply, []byte("done "+id))
	h.mu.Lock()
	f.responses[seq] = answer
	h.mu.Unlock()
	h.send(answer)
}
