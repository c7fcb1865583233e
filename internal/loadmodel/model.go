package loadmodel

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"skylarkturn/internal/flowtable"
	"skylarkturn/internal/packet"
	"skylarkturn/internal/route"
	"skylarkturn/internal/steering"
)

// model is the state of a run.
type model struct {
	*Scenario
	clock

	rand       *rand.Rand
	started    time.Time
	routeOf    map[*Class]packet.Endpoint
	clients    []*client
	clientAt   map[uint32]*client
	balancers  []*balancer
	balancerAt map[netip.AddrPort]*balancer
	agents     []*agent
	agentAt    map[netip.AddrPort]*agent
	messages   []message
	requests   []*request
}

const (
	settlingTime = 2 * time.Second // without load, for the first heartbeats
	clientNet    = 0x64400001
	routeIP      = 0xc6120001
	firstPort    = 8000 // of the routes
	daemonPort   = 7400
)

// Run runs a scenario with a seed and returns what clients have seen.
func Run(s *Scenario, seed uint64) *Result {
	m := &model{
		Scenario: s, rand: rand.New(rand.NewPCG(seed, 1)), routeOf: make(map[*Class]packet.Endpoint),
		clientAt: make(map[uint32]*client), balancerAt: make(map[netip.AddrPort]*balancer), agentAt: make(map[netip.AddrPort]*agent),
	}
	m.now = time.Unix(1_800_000_000, 0)
	m.addDaemons(m.routes())
	m.addClients()
	m.runUntil(m.now.Add(settlingTime))
	m.started = m.now
	for i := range s.Classes {
		m.arrive(&s.Classes[i])
	}
	for i := range s.Outages {
		m.schedule(&s.Outages[i])
	}
	end := m.now.Add(time.Duration(s.Length))
	m.runUntil(end)
	m.runUntil(end.Add(m.longestDeadline()))
	return m.result()
}

// routes returns the configuration with a route for each class.
func (m *model) routes() *route.Table {
	cfg := route.Config{Version: 1}
	for i := range m.Classes {
		c := &m.Classes[i]
		m.routeOf[c] = packet.Endpoint{IP: routeIP, Port: firstPort + uint16(i)}
		cfg.Routes = append(cfg.Routes, route.Route{
			Name: c.Name, Listen: m.routeOf[c], Shares: []route.Share{{Service: c.Service, Weight: 1}},
			Class: route.Class{Priority: uint8(c.Priority), Objective: time.Duration(c.Objective), Timeout: time.Duration(c.Deadline)},
		})
	}
	table, err := route.NewTable(cfg)
	if err != nil {
		panic(err) // the ports differ
	}
	return table
}

func daemonAddr(role, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(role), byte(n >> 8), byte(n)}), daemonPort)
}

func (m *model) addDaemons(routes *route.Table) {
	for i := range m.Balancers {
		b := &balancer{model: m, addr: daemonAddr(1, i), table: steering.New()}
		b.table.SetRoutes(routes)
		b.table.SetSettled(true)
		m.balancers = append(m.balancers, b)
		m.balancerAt[b.addr] = b
	}
	for i := range m.Services {
		svc := &m.Services[i]
		for range svc.Hosts {
			m.addAgent(svc)
		}
	}
}

func (m *model) addAgent(svc *Service) {
	a := &agent{model: m, addr: daemonAddr(2, len(m.agents)), table: flowtable.New(m.now, flowtable.VM{Service: svc.Name, ReuseDelay: reuseDelay}, hostReportInterval, true)}
	a.host = &host{model: m, agent: a, service: svc, flows: make(map[packet.Key]*hostFlow)}
	m.agents = append(m.agents, a)
	m.agentAt[a.addr] = a
	a.report()
	m.after(time.Duration(m.rand.Int64N(int64(heartbeatInterval))), a.heartbeat)
	m.after(time.Duration(m.rand.Int64N(int64(tickInterval))), a.tick)
}

func (m *model) addClients() {
	for i := range m.Clients {
		c := &client{model: m, ip: clientNet + uint32(i), port: 1024, idle: make(map[user]*clientFlow), flows: make(map[packet.Key]*clientFlow)}
		m.clients = append(m.clients, c)
		m.clientAt[c.ip] = c
	}
}

// sendToClient delivers a packet to its client.
func (m *model) sendToClient(p message) {
	c := m.clientAt[p.header.Dst.IP]
	m.after(time.Duration(m.ClientLag), func() { c.receive(p) })
}

// arrive starts the requests of a class at random times until the end of the load.
func (m *model) arrive(c *Class) {
	at := m.now.Sub(m.started).Seconds()
	factor := m.factor(c, at)
	wait := time.Duration(m.rand.ExpFloat64() / (c.Rate * factor) * float64(time.Second))
	m.after(wait, func() {
		if m.now.Sub(m.started) < time.Duration(m.Length) {
			m.clients[m.rand.IntN(len(m.clients))].start(c, m.rand.IntN(int(float64(m.Users)*factor+0.5)))
			m.arrive(c)
		}
	})
}

// endOfFlow returns a random time at which a user closes a new flow of a class.
func (m *model) endOfFlow(c *Class) time.Time {
	return m.now.Add(time.Duration(m.rand.ExpFloat64() * float64(c.FlowLife)))
}

// schedule schedules an outage.
func (m *model) schedule(o *Outage) {
	var hit []*host
	for _, a := range m.agents {
		if a.host.service.Name == o.Service && len(hit) < o.Hosts {
			hit = append(hit, a.host)
		}
	}
	m.after(time.Duration(o.At), func() {
		for _, h := range hit {
			h.silent = true
		}
	})
	m.after(time.Duration(o.At+o.Length), func() {
		for _, h := range hit {
			h.silent = false
			if !o.Silent {
				h.restart()
			}
		}
	})
}

func (m *model) longestDeadline() (longest time.Duration) {
	for _, c := range m.Classes {
		longest = max(longest, time.Duration(c.Deadline))
	}
	return longest
}
