package flowtable_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/flowtable"
	"skylarkturn/internal/packet"
	"skylarkturn/internal/route"
	"skylarkturn/internal/steering"
	"skylarkturn/internal/tunnel"
)

// TestOwnerLookupModel runs simulated balancers, agents and hosts on the real
// steering and flow tables, with messages delivered in random order and restarts
// of daemons and hosts in between. It checks that an open flow is never reset
// while its host is running, and that packets of its client still reach that host
// at the end.
func TestOwnerLookupModel(t *testing.T) {
	const (
		schedules = 300
		steps     = 400
	)
	for seed := range uint64(schedules) {
		m := newModel(t, seed)
		for range steps {
			m.step()
		}
		m.checkDelivery()
	}
}

const modelReportInterval = 500 * time.Millisecond

var modelListen = packet.Endpoint{IP: 0xc6120001, Port: 443}

type model struct {
	t         *testing.T
	seed      uint64
	rand      *rand.Rand
	now       time.Time
	balancers []*steering.Table
	agents    []*modelAgent
	clients   []*modelClient
	queue     []func()
	headers   []packet.Header // headers of all packets sent; the raw bytes of a packet are its index here
	port      uint16
}

type modelAgent struct {
	addr  netip.AddrPort
	table *flowtable.Table
	host  *modelHost
	seq   uint64
}

type modelHost struct {
	id        string
	startedAt time.Time
	flows     map[packet.Key]*modelFlow
}

type modelFlow struct {
	seq  uint32
	open bool
}

type modelClient struct {
	key       packet.Key
	synsSent  uint32
	open      bool
	seq       uint32 // sequence number of the SYN-ACK that the client accepted
	host      *modelHost
	sent      int
	delivered int
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_800_000_000, 0)}
	for i := range 4 {
		a := &modelAgent{addr: packet.Endpoint{IP: 0x0a000001 + uint32(i), Port: 7400}.AddrPort()}
		a.table = flowtable.New(m.now, flowtable.VM{}, modelReportInterval, true)
		m.agents = append(m.agents, a)
		m.startHost(a)
	}
	for range 2 {
		m.balancers = append(m.balancers, nil)
	}
	for i := range m.balancers {
		m.startBalancer(i)
	}
	for range 3 {
		m.clients = append(m.clients, m.newClient())
	}
	return m
}

func (m *model) newClient() *modelClient {
	m.port++
	return &modelClient{key: packet.Key{Client: packet.Endpoint{IP: 0x64400001, Port: m.port}, Route: modelListen}}
}

func (m *model) startBalancer(i int) {
	b := steering.New()
	table, err := route.NewTable(route.Config{Version: 1, Routes: []route.Route{{Listen: modelListen, Shares: []route.Share{{Service: "s", Weight: 1}}}}})
	qt.Assert(m.t, qt.IsNil(err))
	b.SetRoutes(table)
	b.SetSettled(true)
	m.balancers[i] = b
	for _, a := range m.agents {
		b.Put(m.now, steering.Target{Agent: a.addr, Service: "s", Ready: true, Weight: 1}, true)
	}
}

func (m *model) startHost(a *modelAgent) {
	a.host = &modelHost{id: fmt.Sprint("h", m.rand.Uint32()), startedAt: m.now, flows: make(map[packet.Key]*modelFlow)}
	a.seq = 0
	if m.rand.IntN(2) == 0 {
		m.report(a) // otherwise its first packets arrive before its first report
	}
}

// report delivers a report of the agent's host. Hosts count a report per interval
// in Seq even if it does not arrive.
func (m *model) report(a *modelAgent) {
	a.seq = max(a.seq+1, uint64(m.now.Sub(a.host.startedAt)/modelReportInterval))
	r := flowtable.Report{ID: a.host.id, Seq: a.seq, Service: "s", State: flowtable.HostReady, Slots: 4}
	_, out := a.table.HandleReport(m.now, r, nil)
	m.runAgentActions(a, out)
}

// step delivers a message or performs another random event.
func (m *model) step() {
	m.now = m.now.Add(time.Duration(m.rand.IntN(20)) * time.Millisecond)
	switch n := m.rand.IntN(100); {
	case n < 60:
		m.deliver()
	case n < 85:
		m.send(m.clients[m.rand.IntN(len(m.clients))])
	case n < 90:
		m.report(m.agents[m.rand.IntN(len(m.agents))])
	case n < 92:
		m.startBalancer(m.rand.IntN(len(m.balancers)))
	case n < 94:
		m.startHost(m.agents[m.rand.IntN(len(m.agents))])
	case n < 96:
		m.restartAgent(m.agents[m.rand.IntN(len(m.agents))])
	default:
		m.tick()
	}
}

// restartAgent restarts the agent while its host keeps running. The jump in Seq makes
// the host too old to be taken for one that started after the agent.
func (m *model) restartAgent(a *modelAgent) {
	a.table = flowtable.New(m.now, flowtable.VM{}, modelReportInterval, false)
	a.seq += 100
}

func (m *model) tick() {
	for i, b := range m.balancers {
		m.runBalancerActions(i, b.Tick(m.now, nil))
	}
	for _, a := range m.agents {
		m.runAgentActions(a, a.table.Tick(m.now, nil))
	}
}

func (m *model) enqueue(f func()) { m.queue = append(m.queue, f) }

func (m *model) deliver() {
	if len(m.queue) == 0 {
		return
	}
	i := m.rand.IntN(len(m.queue))
	f := m.queue[i]
	m.queue = append(m.queue[:i], m.queue[i+1:]...)
	f()
}

func (m *model) nextPacket(c *modelClient) (packet.Header, []byte) {
	h := packet.Header{Flags: packet.SYN, Src: c.key.Client, Dst: c.key.Route, Ack: c.synsSent}
	if c.open {
		h.Flags, h.Ack, h.DataLen = packet.ACK, c.seq+1, 10
	}
	m.headers = append(m.headers, h)
	return h, binary.BigEndian.AppendUint32(nil, uint32(len(m.headers)-1))
}

// parse returns the header of a packet, or nil if there is no packet.
func (m *model) parse(raw []byte) *packet.Header {
	if raw == nil {
		return nil
	}
	h := m.headers[binary.BigEndian.Uint32(raw)]
	return &h
}

// send makes a client send another SYN, or data, through a random balancer.
func (m *model) send(c *modelClient) {
	if !c.open && c.synsSent == 3 {
		*c = *m.newClient() // the client gives up and opens another flow
	}
	h, raw := m.nextPacket(c)
	if c.open {
		c.sent++
	} else {
		c.synsSent++
	}
	i := m.rand.IntN(len(m.balancers))
	key := c.key
	m.enqueue(func() {
		if c.key == key {
			m.runBalancerActions(i, m.balancers[i].HandlePacket(m.now, &h, raw, nil))
		}
	})
}

func (m *model) agentAt(addr netip.AddrPort) *modelAgent {
	for _, a := range m.agents {
		if a.addr == addr {
			return a
		}
	}
	m.t.Fatalf("no agent at %v", addr)
	return nil
}

func (m *model) client(k packet.Key) *modelClient {
	for _, c := range m.clients {
		if c.key == k {
			return c
		}
	}
	return nil
}

func (m *model) runBalancerActions(i int, out []steering.Action) {
	self := packet.Endpoint{IP: 0x0b000001 + uint32(i), Port: 7400}.AddrPort()
	for _, x := range out {
		switch x.Op {
		case steering.Send:
			a := m.agentAt(x.Agent)
			m.enqueue(func() { m.handleTunnelDatagram(a, self, x) })
		case steering.Reset:
			m.resetClient(x.Flow, x.ClientAck, "balancer: "+x.Cause.String())
		}
	}
}

// handleTunnelDatagram delivers a tunnel datagram to an agent.
func (m *model) handleTunnelDatagram(a *modelAgent, from netip.AddrPort, x steering.Action) {
	if x.Packet == nil {
		answer := a.table.Lookup(tunnel.Question{Flow: x.Flow, Ack: x.ClientAck})
		m.toBalancer(a, from, answer.Header(), nil)
		return
	}
	header := tunnel.Header{Kind: x.Kind}
	if x.Service != "" {
		header.Service = tunnel.ServiceIDOf(x.Service)
	}
	m.runAgentActions(a, a.table.HandleInbound(m.now, from, &header, m.parse(x.Packet), x.Packet, nil))
}

func (m *model) toBalancer(a *modelAgent, to netip.AddrPort, h tunnel.Header, raw []byte) {
	i := int(to.Addr().As4()[3]) - 1
	m.enqueue(func() {
		m.runBalancerActions(i, m.balancers[i].HandleAnswer(m.now, a.addr, &h, m.parse(raw), raw, nil))
	})
}

func (m *model) runAgentActions(a *modelAgent, out []flowtable.Action) {
	for _, x := range out {
		switch x.Op {
		case flowtable.ToHost:
			m.hostReceive(a, x.Flow, x.Packet)
		case flowtable.Reply:
			if x.Balancer.IsValid() {
				m.toBalancer(a, x.Balancer, x.Header, x.Packet)
			}
		case flowtable.Reset:
			m.resetClient(x.Flow, x.ClientAck, "agent: "+x.Cause.String())
		}
	}
}

// hostReceive delivers a packet to a host, which answers or bounces it immediately.
func (m *model) hostReceive(a *modelAgent, k packet.Key, raw []byte) {
	h := m.parse(raw)
	f := a.host.flows[k]
	if f == nil && h.Opens() {
		f = &modelFlow{seq: m.rand.Uint32()}
		a.host.flows[k] = f
	}
	answer := packet.Header{Flags: packet.ACK, Src: k.Route, Dst: k.Client, DataLen: 5}
	switch {
	case h.Opens():
		answer.Flags, answer.Seq, answer.DataLen = packet.SYN|packet.ACK, f.seq, 0
	case f == nil || !f.open && h.Ack != f.seq+1:
		h.Flags |= packet.Bounced
		answer = *h
	default:
		f.open = true
	}
	m.runAgentActions(a, a.table.HandleOutbound(m.now, &answer, raw, nil))
	if c := m.client(k); c != nil {
		m.clientReceive(a.host, &answer, c)
	}
}

func (m *model) clientReceive(host *modelHost, h *packet.Header, c *modelClient) {
	switch {
	case h.Flags.Has(packet.Bounced):
	case h.Accepts() && !c.open:
		c.open, c.seq, c.host = true, h.Seq, host
	case !h.Accepts() && host == c.host:
		c.delivered++
	}
}

func (m *model) isRunning(h *modelHost) bool {
	for _, a := range m.agents {
		if a.host == h {
			return true
		}
	}
	return false
}

// resetWindow is the maximum distance from a client's last acknowledgement number
// at which it accepts a reset of an open flow.
const resetWindow = 76800

// resetClient delivers a reset to a client. It fails the test if the flow is open
// at a host that is running.
func (m *model) resetClient(k packet.Key, ack uint32, reason string) {
	c := m.client(k)
	if c == nil || c.open && ack-(c.seq+1)+resetWindow > 2*resetWindow {
		return // the client ignores it
	}
	if c.open && m.isRunning(c.host) && c.host.flows[k] != nil && c.host.flows[k].open {
		m.t.Fatalf("seed %d: open flow %v was reset while its host is running, by %s", m.seed, k, reason)
	}
	*c = *m.newClient()
}

// checkDelivery stops the random events and checks that packets of open flows reach
// their hosts.
func (m *model) checkDelivery() {
	for range 200 {
		m.now = m.now.Add(50 * time.Millisecond)
		m.tick()
		for len(m.queue) > 0 {
			m.deliver()
		}
		for _, a := range m.agents {
			m.report(a)
		}
	}
	for _, c := range m.clients {
		if !c.open || !m.isRunning(c.host) || !c.host.flows[c.key].open {
			continue
		}
		key, before := c.key, c.delivered
		m.send(c)
		for range 40 {
			for len(m.queue) > 0 {
				m.deliver()
			}
			m.now = m.now.Add(50 * time.Millisecond)
			m.tick()
		}
		if c.key != key || c.delivered == before {
			m.t.Fatalf("seed %d: data that the client of %v sent did not reach its host", m.seed, key)
		}
	}
}
