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
	beatEvery   = 400 * time.Millisecond
	beatTimeout = time.Second
	workTime    = 15 * time.Millisecond
)

// Host is a stand-in of an application host: it holds flows, runs requests and
// reports to the daemon on its VM.
type Host struct {
	Service string

	vm       netip.Addr
	id       string
	born     time.Time
	outbound netip.AddrPort
	control  string
	record   *Record
	conn     *net.UDPConn
	ln       net.Listener
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu       sync.Mutex
	flows    map[packet.Key]*hostFlow
	draining time.Time // when the drain was acknowledged; zero while it was not
	leaving  bool
	full     bool // takes no new flow
	ended    bool
}

type hostFlow struct {
	seq    uint32 // of the acceptance
	opened bool
	sent   time.Time
	took   netip.Addr
	answer map[uint32][]byte // packets sent, by the request's sequence number
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
		Service: service, vm: vm, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now(),
		outbound: netip.AddrPortFrom(vm, outbound), control: netip.AddrPortFrom(vm, control).String(),
		record: record, conn: conn, ln: ln, cancel: cancel, flows: make(map[packet.Key]*hostFlow),
	}
	h.done.Go(h.read)
	h.done.Go(h.accept)
	h.done.Go(func() { h.beat(ctx) })
	return h, nil
}

// Fill has the host return every packet that opens a flow.
func (h *Host) Fill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.full = true
}

// Crash ends the host without a word.
func (h *Host) Crash() {
	h.mu.Lock()
	h.ended = true
	h.mu.Unlock()
	h.cancel()
	_ = h.conn.Close() // its flows are gone
	_ = h.ln.Close()
	h.done.Wait()
}

// Leave drains the host for a time, says farewell and ends it.
func (h *Host) Leave(drain time.Duration) {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	time.Sleep(drain)
	if req, err := http.NewRequest(http.MethodDelete, "http://"+h.control+"/-/instances/"+h.id, nil); err == nil {
		h.call(context.Background(), req)
	}
	h.Crash()
}

func (h *Host) call(ctx context.Context, req *http.Request) bool {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	resp, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return false // the daemon is away
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *Host) beat(ctx context.Context) {
	for seq := 1; ctx.Err() == nil; seq++ {
		h.mu.Lock()
		leaving := h.leaving
		h.mu.Unlock()
		state := "ready"
		if leaving {
			state = "draining"
		}
		body, err := json.Marshal(map[string]any{
			"service": h.Service, "address": h.conn.LocalAddr().String(), "zone": "z", "version": "v1",
			"max-concurrency": 4, "state": state, "warmup-left-ms": 0, "seq": seq, "born": h.born.UnixMilli(),
		})
		if err != nil {
			return
		}
		req, err := http.NewRequest(http.MethodPut, "http://"+h.control+"/-/instances/"+h.id, strings.NewReader(string(body)))
		if err != nil {
			return
		}
		if h.call(ctx, req) && leaving {
			h.mu.Lock()
			if h.draining.IsZero() {
				h.draining = time.Now()
			}
			h.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatEvery):
		}
	}
}

func (h *Host) drainingFor() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining.IsZero() {
		return 0
	}
	return time.Since(h.draining)
}

// holds reports whether the host lives and has the flow open.
func (h *Host) holds(k packet.Key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[k]
	return !h.ended && f != nil && f.opened
}

func (h *Host) accept() {
	for {
		c, err := h.ln.Accept()
		if err != nil {
			return // the host has ended
		}
		_ = c.Close() // its daemon only wants to know whether it listens
	}
}

func (h *Host) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // the host has ended
		}
		p, data, ok := open(buf[:n])
		if !ok {
			h.record.mixed("host at %v got a packet that its sender did not write", h.vm)
			continue
		}
		h.take(buf[:n], &p, data)
	}
}

func (h *Host) send(b []byte) {
	_, _ = h.conn.WriteToUDPAddrPort(b, h.outbound) // lost while the daemon is away
}

func (h *Host) take(raw []byte, p *packet.Header, data []byte) {
	k := p.KeyFromClient()
	h.mu.Lock()
	f := h.flows[k]
	if f == nil && p.Opens() && !h.full {
		sent, took := decodeOpening(data)
		f = &hostFlow{seq: rand.Uint32(), sent: sent, took: took, answer: make(map[uint32][]byte)}
		h.flows[k] = f
	}
	mine := f != nil && (p.Opens() || f.opened || p.Ack == f.seq+1)
	h.mu.Unlock()
	reply := packet.Header{Flags: packet.ACK, Src: k.Route, Dst: k.Client, Ack: p.Seq + uint32(len(data))}
	switch {
	case !mine:
		h.record.arrived(k, h)
		bounce := append([]byte{}, raw...)
		bounce[0] |= 1 // the flag BOUNCED
		h.send(bounce)
	case p.Opens():
		reply.Flags, reply.Seq = packet.SYN|packet.ACK, f.seq
		h.send(seal(reply, nil))
	default:
		h.record.arrived(k, h)
		h.takeData(k, f, p, data, reply)
	}
}

func (h *Host) takeData(k packet.Key, f *hostFlow, p *packet.Header, data []byte, reply packet.Header) {
	request, seq := string(data), p.Seq // the packet's buffer is read into again
	h.mu.Lock()
	first := !f.opened
	f.opened = true
	answer, again := f.answer[seq]
	if len(data) > 0 && !again {
		f.answer[seq] = nil
	}
	if p.Flags.Has(packet.FIN) || p.Flags.Has(packet.RST) {
		delete(h.flows, k)
	}
	h.mu.Unlock()
	if first {
		h.record.opened(k, h, f.sent, f.took)
	}
	switch {
	case answer != nil:
		h.send(answer)
	case len(data) > 0 && !again:
		h.done.Go(func() { h.run(f, seq, request, reply) })
	}
}

// Runs a request: its id, a space, and "once" or "again" for whether it may be
// repeated.
func (h *Host) run(f *hostFlow, seq uint32, request string, reply packet.Header) {
	id, kind, _ := strings.Cut(request, " ")
	h.record.ran(id, h, kind == "again")
	time.Sleep(workTime)
	answer := seal(reply, []byte("done "+id))
	h.mu.Lock()
	f.answer[seq] = answer
	h.mu.Unlock()
	h.send(answer)
}
