package loadmodel

import (
	"time"

	"skylarkturn/internal/packet"
)

const (
	firstCopy       = 200 * time.Millisecond // from a packet that opens a flow to its first copy
	secondCopy      = 600 * time.Millisecond // from the packet to its second copy
	openTimeout     = 1400 * time.Millisecond
	firstRepetition = 200 * time.Millisecond // of a request's packet; the interval doubles
	maxRepetition   = 1600 * time.Millisecond
	requestLen      = 900 // bytes
)

// request is one request of a user, with all its tries.
type request struct {
	class     *Class
	user      user
	client    *client
	sentAt    time.Time
	tries     int
	flow      *clientFlow // of the current try
	offeredAt time.Time   // when a host first received it
	endedAt   time.Time
	served    bool
	timedOut  bool // ended by its deadline
}

func (r *request) ended() bool { return !r.endedAt.IsZero() }

func (r *request) offered(now time.Time) {
	if r.offeredAt.IsZero() {
		r.offeredAt = now
	}
}

// client simulates a client address and its users.
type client struct {
	model *model
	ip    uint32
	port  uint16
	idle  map[user]*clientFlow
	flows map[packet.Key]*clientFlow
}

// user identifies a user of a client, who sends requests of a class.
type user struct {
	class  *Class
	number int
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	key         packet.Key
	user        user
	open        bool
	seq, ack    uint32
	request     *request  // nil while idle
	endAt       time.Time // the user closes the flow when idle after this
	lastAnswers int       // answers received; invalidates timers of earlier requests
}

// start starts a request.
func (c *client) start(class *Class, number int) {
	r := &request{class: class, user: user{class, number}, client: c, sentAt: c.model.now}
	c.model.requests = append(c.model.requests, r)
	c.model.after(time.Duration(class.Deadline), func() {
		if !r.ended() {
			r.timedOut = true
			c.abandon(r.flow)
			c.end(r, false)
		}
	})
	c.try(r)
}

func (c *client) end(r *request, served bool) {
	r.endedAt, r.served, r.flow = c.model.now, served, nil
}

// try sends the request on an idle flow, or on a new one.
func (c *client) try(r *request) {
	r.tries++
	if f := c.idle[r.user]; f != nil {
		delete(c.idle, r.user)
		if c.model.now.Before(f.endAt) {
			c.sendRequest(f, r)
			return
		}
		c.close(f)
	}
	c.port++
	f := &clientFlow{
		key:  packet.Key{Client: packet.Endpoint{IP: c.ip, Port: c.port}, Route: c.model.routeOf[r.class]},
		user: r.user, request: r, seq: c.model.rand.Uint32(), endAt: c.model.endOfFlow(r.class),
	}
	r.flow = f
	c.flows[f.key] = f
	for copies, delay := range []time.Duration{0, firstCopy, secondCopy} {
		c.model.after(delay, func() {
			if !f.open && c.flows[f.key] == f {
				c.send(f, packet.Header{Flags: packet.SYN, Seq: f.seq, Ack: uint32(copies)}, nil)
			}
		})
	}
	c.model.after(openTimeout, func() {
		if !f.open && c.flows[f.key] == f {
			c.fail(f, true)
		}
	})
}

// sendRequest sends a request on an open flow, and repeats it until an answer comes.
func (c *client) sendRequest(f *clientFlow, r *request) {
	f.request, r.flow = r, f
	answers := f.lastAnswers
	var send func(interval time.Duration)
	send = func(interval time.Duration) {
		if f.request != r || f.lastAnswers != answers || c.flows[f.key] != f {
			return
		}
		c.send(f, packet.Header{Flags: packet.ACK, Seq: f.seq, Ack: f.ack, DataLen: requestLen}, r)
		c.model.after(interval, func() { send(min(2*interval, maxRepetition)) })
	}
	send(firstRepetition)
}

// abandon drops a flow whose request has timed out.
func (c *client) abandon(f *clientFlow) {
	if f == nil {
		return
	}
	delete(c.flows, f.key)
	if f.open {
		c.send(f, packet.Header{Flags: packet.RST, Seq: f.seq, Ack: f.ack}, nil)
	}
}

// fail ends a try and starts the next one, if that is safe and allowed.
func (c *client) fail(f *clientFlow, notRun bool) {
	r := f.request
	delete(c.flows, f.key)
	if r == nil || r.ended() {
		return
	}
	if r.tries > r.class.Retries || !notRun && !r.class.Idempotent {
		c.end(r, false)
		return
	}
	c.try(r)
}

// receive handles a packet from a host, or a reset.
func (c *client) receive(p message) {
	f := c.flows[p.header.KeyFromHost()]
	switch {
	case f == nil:
	case p.header.Flags.Has(packet.RST):
		if c.idle[f.user] == f {
			delete(c.idle, f.user)
		}
		c.fail(f, !f.open)
	case p.header.Accepts():
		if !f.open {
			f.open, f.ack = true, p.header.Seq+1
			f.seq++
			c.sendRequest(f, f.request)
		}
	case p.request != nil && f.request == p.request:
		c.receiveAnswer(f, p)
	}
}

func (c *client) receiveAnswer(f *clientFlow, p message) {
	r := f.request
	f.lastAnswers++
	f.seq += requestLen
	f.ack += uint32(p.header.DataLen)
	f.request = nil
	if !p.executed || !c.model.now.Before(f.endAt) || c.idle[f.user] != nil {
		c.close(f)
	} else {
		c.idle[f.user] = f
	}
	if p.executed {
		c.end(r, true)
		return
	}
	f.request = r
	c.fail(f, true)
}

// close closes a flow.
func (c *client) close(f *clientFlow) {
	delete(c.flows, f.key)
	c.send(f, packet.Header{Flags: packet.FIN | packet.ACK, Seq: f.seq, Ack: f.ack}, nil)
}

// send sends a packet to the balancer that the fabric selects.
func (c *client) send(f *clientFlow, h packet.Header, r *request) {
	h.Src, h.Dst = f.key.Client, f.key.Route
	b := c.model.balancers[f.key.Hash()%uint64(len(c.model.balancers))]
	p := message{header: h, request: r}
	c.model.after(time.Duration(c.model.ClientLag), func() { b.handleClientPacket(p) })
}
