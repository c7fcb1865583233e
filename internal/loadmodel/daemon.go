package loadmodel

import (
	"encoding/binary"
	"net/netip"
	"time"

	"skylarkturn/internal/flowtable"
	"skylarkturn/internal/packet"
	"skylarkturn/internal/steering"
	"skylarkturn/internal/tunnel"
)

const (
	heartbeatInterval   = 400 * time.Millisecond
	hostReportInterval  = 1200 * time.Millisecond
	reuseDelay          = 2 * time.Second // of hosts' addresses
	tickInterval        = 200 * time.Millisecond
	pendingTickInterval = 50 * time.Millisecond
)

// message is a packet with what it carries.
type message struct {
	header   packet.Header
	request  *request // nil unless the packet is a request or an answer
	executed bool     // of an answer: the request has run
}

// encode returns the packet in the form that the tables pass on.
func (m *model) encode(p message) []byte {
	m.messages = append(m.messages, p)
	return binary.BigEndian.AppendUint32(nil, uint32(len(m.messages)-1))
}

func (m *model) decode(raw []byte) message { return m.messages[binary.BigEndian.Uint32(raw)] }

// balancer simulates a balancer around a steering table.
type balancer struct {
	model *model
	addr  netip.AddrPort
	table *steering.Table
	awake bool // ticks at the interval for pending flows
}

func (b *balancer) handleClientPacket(p message) {
	raw := b.model.encode(p)
	b.execute(b.table.HandlePacket(b.model.now, &p.header, raw, nil))
}

func (b *balancer) handleReply(from netip.AddrPort, h tunnel.Header, raw []byte) {
	var p *packet.Header
	if raw != nil {
		decoded := b.model.decode(raw)
		p = &decoded.header
	}
	b.execute(b.table.HandleAnswer(b.model.now, from, &h, p, raw, nil))
}

func (b *balancer) execute(actions []steering.Action) {
	for _, a := range actions {
		switch a.Op {
		case steering.Send:
			h := tunnel.Header{Kind: a.Kind, Flow: a.Flow, Class: a.Class, Final: a.Final}
			if a.Service != "" {
				h.Service = tunnel.ServiceIDOf(a.Service)
			}
			to := b.model.agentAt[a.Agent]
			b.model.after(time.Duration(b.model.DaemonLag), func() { to.handleInbound(b.addr, h, a.Packet) })
		case steering.Reset:
			reset := message{header: packet.Header{Flags: packet.RST, Src: a.Flow.Route, Dst: a.Flow.Client, Seq: a.ClientAck}}
			b.model.sendToClient(reset)
		}
	}
	if !b.awake && b.table.PendingCount() > 0 {
		b.awake = true
		b.model.after(pendingTickInterval, b.tick)
	}
}

func (b *balancer) tick() {
	b.awake = false
	b.execute(b.table.Tick(b.model.now, nil))
}

// agent simulates an agent around a flow table.
type agent struct {
	model *model
	addr  netip.AddrPort
	table *flowtable.Table
	host  *host
	seq   uint64 // of the host's last report
	ready bool   // as last announced
}

func (a *agent) handleInbound(from netip.AddrPort, h tunnel.Header, raw []byte) {
	var p message
	if raw == nil {
		return // the model has no questions without a packet
	}
	p = a.model.decode(raw)
	a.execute(a.table.HandleInbound(a.model.now, from, &h, &p.header, raw, nil))
}

func (a *agent) handleOutbound(p message) {
	a.execute(a.table.HandleOutbound(a.model.now, &p.header, a.model.encode(p), nil))
}

func (a *agent) execute(actions []flowtable.Action) {
	for _, x := range actions {
		switch x.Op {
		case flowtable.ToHost:
			p := a.model.decode(x.Packet)
			a.model.after(localLag, func() { a.host.handle(&p) })
		case flowtable.ToClient:
			a.model.sendToClient(a.model.decode(x.Packet))
		case flowtable.Reply:
			to := a.model.balancerAt[x.Balancer]
			a.model.after(time.Duration(a.model.DaemonLag), func() { to.handleReply(a.addr, x.Header, x.Packet) })
		case flowtable.Reset:
			a.model.sendToClient(message{header: packet.Header{Flags: packet.RST, Src: x.Flow.Route, Dst: x.Flow.Client, Seq: x.ClientAck}})
		}
	}
}

// report passes the host's heartbeats to the table.
func (a *agent) report() {
	a.reportNow()
	a.model.after(hostReportInterval, a.report)
}

// reportNow passes a heartbeat of the host to the table.
func (a *agent) reportNow() {
	if !a.host.silent {
		a.seq++
		r := flowtable.Report{
			ID: a.addr.String(), StartTime: int64(1 + a.host.started), Seq: a.seq, Service: a.host.service.Name,
			State: flowtable.HostReady, Slots: a.host.service.Slots,
		}
		_, out := a.table.HandleReport(a.model.now, r, nil)
		a.execute(out)
		a.announceChange()
	}
}

// heartbeat reports the load to all balancers, regularly.
func (a *agent) heartbeat() {
	a.announce()
	a.model.after(heartbeatInterval, a.heartbeat)
}

// announceChange tells all balancers at once when the host is found to run, or no longer.
func (a *agent) announceChange() {
	if _, ready := a.table.Host(); ready != a.ready {
		a.announce()
	}
}

// announce reports the load and whether the host is known to run.
func (a *agent) announce() {
	_, a.ready = a.table.Host()
	t := steering.Target{
		Agent: a.addr, Service: a.host.service.Name, Ready: a.ready, Starting: !a.ready, Weight: float64(a.host.service.Slots),
		Flows: uint32(a.table.Flows()), AcceptsClass: true,
	}
	a.model.after(time.Duration(a.model.DaemonLag), func() {
		for _, b := range a.model.balancers {
			b.table.Put(a.model.now, t, true)
		}
	})
}

func (a *agent) tick() {
	a.execute(a.table.Tick(a.model.now, nil))
	a.announceChange()
	a.model.after(tickInterval, a.tick)
}
