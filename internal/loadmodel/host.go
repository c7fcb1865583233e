package loadmodel

import (
	"math"
	"time"

	"skylarkturn/internal/packet"
)

const (
	localLag      = 150 * time.Microsecond
	handshakeTime = 300 * time.Microsecond // of a host, to accept a flow
	rejectTime    = 200 * time.Microsecond // of a host, to answer that its queue is full
	maxWorkFactor = 6                      // longest execution time relative to the mean
)

// host simulates a host: it runs up to slots requests, queues some more in order of
// arrival and rejects the rest.
type host struct {
	model     *model
	agent     *agent
	service   *Service
	flows     map[packet.Key]*hostFlow
	running   int
	queue     []execution
	silent    bool // loses all packets
	started   int  // number of starts; executions of earlier ones end without an answer
	coldUntil time.Time
}

// hostFlow is the host's end of a flow.
type hostFlow struct {
	seq      uint32
	answered map[uint32]bool // requests by their sequence number; false while one is under way
}

// execution is a request at a host.
type execution struct {
	flow    *hostFlow
	key     packet.Key
	request *request
	seq     uint32 // of the request's packet
}

// handle handles a packet that the agent forwarded.
func (h *host) handle(p *message) {
	k := p.header.KeyFromClient()
	f := h.flows[k]
	switch {
	case h.silent:
	case p.header.Opens():
		if f == nil {
			f = &hostFlow{seq: h.model.rand.Uint32(), answered: make(map[uint32]bool)}
			h.flows[k] = f
		}
		h.send(handshakeTime, message{header: packet.Header{Flags: packet.SYN | packet.ACK, Src: k.Route, Dst: k.Client, Seq: f.seq}})
	case f == nil:
		bounced := *p
		bounced.header.Flags |= packet.Bounced
		h.send(0, bounced)
	case p.header.Flags.Has(packet.RST):
		h.abandon(k)
	case p.request != nil:
		h.accept(execution{f, k, p.request, p.header.Seq})
	}
}

// abandon ends a flow, whose client has given up, with its queued request.
func (h *host) abandon(k packet.Key) {
	delete(h.flows, k)
	for i := range h.queue {
		if h.queue[i].key == k {
			h.queue = append(h.queue[:i], h.queue[i+1:]...)
			return
		}
	}
}

// accept runs, queues or rejects a request, once.
func (h *host) accept(e execution) {
	if _, known := e.flow.answered[e.seq]; known {
		return
	}
	e.flow.answered[e.seq] = false
	e.request.offered(h.model.now)
	switch {
	case h.running < h.service.Slots:
		h.run(e)
	case len(h.queue) < h.service.Queue:
		h.queue = append(h.queue, e)
	default:
		h.answer(rejectTime, e, false)
	}
}

// run executes a request and then the first of the queue.
func (h *host) run(e execution) {
	h.running++
	incarnation := h.started
	work := h.model.workTime(e.request.class)
	if h.model.now.Before(h.coldUntil) {
		work = time.Duration(float64(work) * h.service.ColdFactor)
	}
	h.model.after(work, func() {
		if h.started != incarnation {
			return
		}
		h.running--
		h.answer(0, e, true)
		if len(h.queue) > 0 {
			next := h.queue[0]
			h.queue = h.queue[1:]
			h.run(next)
		}
	})
}

// answer sends the answer to a request. If it has not run, the answer says so.
func (h *host) answer(delay time.Duration, e execution, run bool) {
	e.flow.answered[e.seq] = true
	h.send(delay, message{
		header:  packet.Header{Flags: packet.ACK, Src: e.key.Route, Dst: e.key.Client, Seq: e.flow.seq, Ack: e.seq + requestLen, DataLen: requestLen},
		request: e.request, executed: run,
	})
}

// send passes a packet to the agent.
func (h *host) send(delay time.Duration, p message) {
	incarnation := h.started
	h.model.after(delay+localLag, func() {
		if !h.silent && h.started == incarnation {
			h.agent.handleOutbound(p)
		}
	})
}

// restart ends the host with its flows and starts the next one.
func (h *host) restart() {
	h.started++
	h.running, h.queue, h.flows = 0, nil, make(map[packet.Key]*hostFlow)
	h.coldUntil = h.model.now.Add(time.Duration(h.service.ColdTime))
	h.agent.reportNow()
}

// workTime returns a random execution time of a class, with a log-normal distribution.
func (m *model) workTime(c *Class) time.Duration {
	variance := math.Log(1 + c.Spread*c.Spread)
	factor := math.Exp(m.rand.NormFloat64()*math.Sqrt(variance) - variance/2)
	return time.Duration(min(factor, maxWorkFactor) * float64(c.Work))
}
