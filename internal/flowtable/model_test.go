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
	"skylarkturn/internal/parcel"
	"skylarkturn/internal/route"
	"skylarkturn/internal/steering"
)

// The model runs balancers, agents and hosts over the pure packages: messages are
// delivered in random order, and daemons and hosts restart in between. Whatever
// happens, an open flow whose host lives is not reset, and what its client sends
// reaches that host.
func TestModelOfOwnerLookup(t *testing.T) {
	const (
		schedules = 300
		steps     = 400
	)
	for seed := range uint64(schedules) {
		m := newModel(t, seed)
		for range steps {
			m.step()
		}
		m.settle()
	}
}

const modelBeat = 500 * time.Millisecond

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
	heads     []packet.Head // of the packets sent; a packet's bytes are its index here
	port      uint16
}

type modelAgent struct {
	addr  netip.AddrPort
	table *flowtable.Table
	host  *modelHost
	seq   uint64
}

type modelHost struct {
	id    string
	born  time.Time
	flows map[packet.Key]*modelFlow
}

type modelFlow struct {
	seq  uint32
	open bool
}

type modelClient struct {
	key    packet.Key
	copies uint32
	open   bool
	seq    uint32 // of the acceptance that the client has taken
	host   *modelHost
	sent   int
	got    int
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_800_000_000, 0)}
	for i := range 4 {
		a := &modelAgent{addr: packet.Endpoint{IP: 0x0a000001 + uint32(i), Port: 7400}.AddrPort()}
		a.table = flowtable.New(m.now, modelBeat, true)
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
	a.host = &modelHost{id: fmt.Sprint("h", m.rand.Uint32()), born: m.now, flows: make(map[packet.Key]*modelFlow)}
	a.seq = 0
	if m.rand.IntN(2) == 0 {
		m.report(a) // else its first packets come before its first report
	}
}

// A host's reports are numbered by its calls, one a beat, whether they arrive or
// not.
func (m *model) report(a *modelAgent) {
	a.seq = max(a.seq+1, uint64(m.now.Sub(a.host.born)/modelBeat))
	r := flowtable.Report{ID: a.host.id, Seq: a.seq, Service: "s", State: flowtable.HostReady, Slots: 4}
	_, out := a.table.Reported(m.now, r, nil)
	m.actAgent(a, out)
}

// Does one random thing, or delivers a message.
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

// The agent starts again beside its host, which is older than what counts as
// young.
func (m *model) restartAgent(a *modelAgent) {
	a.table = flowtable.New(m.now, modelBeat, false)
	a.seq += 100
}

func (m *model) tick() {
	for i, b := range m.balancers {
		m.actBalancer(i, b.Tick(m.now, nil))
	}
	for _, a := range m.agents {
		m.actAgent(a, a.table.Tick(m.now, nil))
	}
}

func (m *model) post(f func()) { m.queue = append(m.queue, f) }

func (m *model) deliver() {
	if len(m.queue) == 0 {
		return
	}
	i := m.rand.IntN(len(m.queue))
	f := m.queue[i]
	m.queue = append(m.queue[:i], m.queue[i+1:]...)
	f()
}

func (m *model) head(c *modelClient) (packet.Head, []byte) {
	h := packet.Head{Flags: packet.SYN, Src: c.key.Client, Dst: c.key.Route, Ack: c.copies}
	if c.open {
		h.Flags, h.Ack, h.DataLen = packet.ACK, c.seq+1, 10
	}
	m.heads = append(m.heads, h)
	return h, binary.BigEndian.AppendUint32(nil, uint32(len(m.heads)-1))
}

// Returns the head of a packet; it is nil without one.
func (m *model) parse(raw []byte) *packet.Head {
	if raw == nil {
		return nil
	}
	h := m.heads[binary.BigEndian.Uint32(raw)]
	return &h
}

// A client sends its opening packet again, or data, through any balancer.
func (m *model) send(c *modelClient) {
	if !c.open && c.copies == 3 {
		*c = *m.newClient() // it has given up
	}
	h, raw := m.head(c)
	if c.open {
		c.sent++
	} else {
		c.copies++
	}
	i := m.rand.IntN(len(m.balancers))
	key := c.key
	m.post(func() {
		if c.key == key {
			m.actBalancer(i, m.balancers[i].Packet(m.now, &h, raw, nil))
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

func (m *model) actBalancer(i int, out []steering.Action) {
	self := packet.Endpoint{IP: 0x0b000001 + uint32(i), Port: 7400}.AddrPort()
	for _, x := range out {
		switch x.Verb {
		case steering.Send:
			a := m.agentAt(x.Agent)
			m.post(func() { m.atAgent(a, self, x) })
		case steering.Reset:
			m.reset(x.Flow, x.ClientAck, "balancer: "+x.Cause.String())
		}
	}
}

// A parcel arrives at an agent.
func (m *model) atAgent(a *modelAgent, from netip.AddrPort, x steering.Action) {
	if x.Packet == nil {
		answer := a.table.Asked(parcel.Question{Flow: x.Flow, Ack: x.ClientAck})
		m.toBalancer(a, from, answer.Header(), nil)
		return
	}
	header := parcel.Header{Kind: x.Kind}
	if x.Service != "" {
		header.Service = parcel.ServiceIDOf(x.Service)
	}
	m.actAgent(a, a.table.Deliver(m.now, from, &header, m.parse(x.Packet), x.Packet, nil))
}

func (m *model) toBalancer(a *modelAgent, to netip.AddrPort, h parcel.Header, raw []byte) {
	i := int(to.Addr().As4()[3]) - 1
	m.post(func() {
		m.actBalancer(i, m.balancers[i].Answer(m.now, a.addr, &h, m.parse(raw), raw, nil))
	})
}

func (m *model) actAgent(a *modelAgent, out []flowtable.Action) {
	for _, x := range out {
		switch x.Verb {
		case flowtable.ToHost:
			m.atHost(a, x.Flow, x.Packet)
		case flowtable.Reply:
			if x.Balancer.IsValid() {
				m.toBalancer(a, x.Balancer, x.Parcel, x.Packet)
			}
		case flowtable.Reset:
			m.reset(x.Flow, x.ClientAck, "agent: "+x.Cause.String())
		}
	}
}

// A packet arrives at a host, which answers or returns it at once.
func (m *model) atHost(a *modelAgent, k packet.Key, raw []byte) {
	h := m.parse(raw)
	f := a.host.flows[k]
	if f == nil && h.Opens() {
		f = &modelFlow{seq: m.rand.Uint32()}
		a.host.flows[k] = f
	}
	answer := packet.Head{Flags: packet.ACK, Src: k.Route, Dst: k.Client, DataLen: 5}
	switch {
	case h.Opens():
		answer.Flags, answer.Seq, answer.DataLen = packet.SYN|packet.ACK, f.seq, 0
	case f == nil || !f.open && h.Ack != f.seq+1:
		h.Flags |= packet.Bounced
		answer = *h
	default:
		f.open = true
	}
	m.actAgent(a, a.table.Outbound(m.now, &answer, raw, nil))
	if c := m.client(k); c != nil {
		m.atClient(a.host, &answer, c)
	}
}

func (m *model) atClient(host *modelHost, h *packet.Head, c *modelClient) {
	switch {
	case h.Flags.Has(packet.Bounced):
	case h.Accepts() && !c.open:
		c.open, c.seq, c.host = true, h.Seq, host
	case !h.Accepts() && host == c.host:
		c.got++
	}
}

func (m *model) lives(h *modelHost) bool {
	for _, a := range m.agents {
		if a.host == h {
			return true
		}
	}
	return false
}

// resetWindow is the distance from its last acknowledgement up to which a client
// accepts a reset of an open flow.
const resetWindow = 76800

// A client's flow is reset: its host must have lost it.
func (m *model) reset(k packet.Key, ack uint32, by string) {
	c := m.client(k)
	if c == nil || c.open && ack-(c.seq+1)+resetWindow > 2*resetWindow {
		return // the client ignores it
	}
	if c.open && m.lives(c.host) && c.host.flows[k] != nil && c.host.flows[k].open {
		m.t.Fatalf("seed %d: open flow %v was reset while its host lives, by %s", m.seed, k, by)
	}
	*c = *m.newClient()
}

// At the end, whatever open clients send arrives.
func (m *model) settle() {
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
		if !c.open || !m.lives(c.host) || !c.host.flows[c.key].open {
			continue
		}
		key, before := c.key, c.got
		m.send(c)
		for range 40 {
			for len(m.queue) > 0 {
				m.deliver()
			}
			m.now = m.now.Add(50 * time.Millisecond)
			m.tick()
		}
		if c.key != key || c.got == before {
			m.t.Fatalf("seed %d: what the client of %v sent did not reach its host", m.seed, key)
		}
	}
}
