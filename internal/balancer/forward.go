package balancer

import (
	"context"
	"errors"
	"net"
	"time"

	"skylarkturn/internal/control"
	"skylarkturn/internal/flow"
	"skylarkturn/internal/udpio"
)

// readCallers reads the datagrams that callers send to one service and forwards
// them to agents in frames.
func (b *Balancer) readCallers(ctx context.Context, number uint16, conn *net.UDPConn) error {
	r, w := udpio.NewReader(conn), udpio.NewWriter(b.innerConn)
	var router flow.Router
	for {
		n, err := r.Read()
		if err != nil {
			return b.readError(ctx, err)
		}
		table := b.table.Load()
		generation := (*b.tableGenerations.Load())[number]
		for i := range n {
			b.forwardInward(r, w, i, &router, table, number, generation)
		}
		b.counters.sendErrors.Add(w.Flush())
	}
}

// forwardInward routes datagram i of the last batch of r and adds it, in a frame, to
// the batch of w.
func (b *Balancer) forwardInward(r *udpio.Reader, w *udpio.Writer, i int, router *flow.Router, table *flow.Table, number uint16, generation uint32) {
	datagram, src := r.Datagram(i)
	if len(datagram) > flow.MaxDatagram {
		b.counters.tooLarge.Inc()
		return
	}
	verdict, agent := router.Route(table, number, datagram)
	b.counters.inwardByVerdict[verdict].Inc()
	if !agent.IsValid() {
		return
	}
	f := flow.Frame{
		Direction:  flow.Inward,
		Service:    number,
		Caller:     src,
		Via:        b.self,
		Generation: generation,
	}
	if verdict == flow.Reset {
		f.Direction = flow.Orphan
	}
	buf := r.WithHeadroom(i)
	b.sealer.Seal(buf, f)
	w.Add(buf, agent)
}

// readError returns nil for a read that failed because the balancer is stopping,
// and otherwise the error to end with.
func (b *Balancer) readError(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return &Error{"read", KindNetwork, err}
}

// readInner reads the frames of agents and the control messages of other daemons.
func (b *Balancer) readInner(ctx context.Context) error {
	r := udpio.NewReader(b.innerConn)
	writers := make(map[uint16]*udpio.Writer, len(b.callerConns))
	for number, conn := range b.callerConns {
		writers[number] = udpio.NewWriter(conn)
	}
	for {
		n, err := r.Read()
		if err != nil {
			return b.readError(ctx, err)
		}
		for i := range n {
			b.handleInnerDatagram(r, i, writers)
		}
		for _, w := range writers {
			b.counters.sendErrors.Add(w.Flush())
		}
	}
}

func (b *Balancer) handleInnerDatagram(r *udpio.Reader, i int, writers map[uint16]*udpio.Writer) {
	datagram, _ := r.Datagram(i)
	switch {
	case flow.IsFrame(datagram):
		b.forwardOutward(datagram, writers)
	case control.IsMessage(datagram):
		b.handleControlDatagram(datagram)
	default:
		b.counters.unknownDatagrams.Inc()
	}
}

// forwardOutward adds the payload of an agent's frame to the batch of the service's
// writer, addressed to the caller.
func (b *Balancer) forwardOutward(datagram []byte, writers map[uint16]*udpio.Writer) {
	f, payload, err := b.sealer.Open(datagram)
	if err != nil || f.Direction != flow.Outward {
		b.counters.authErrors.Inc()
		return
	}
	w := writers[f.Service]
	if w == nil {
		b.counters.unknownDatagrams.Inc()
		return
	}
	b.counters.outwardDatagrams.Inc()
	w.Add(payload, f.Caller)
}

func (b *Balancer) handleControlDatagram(datagram []byte) {
	b.counters.controlIn.Inc()
	b.counters.controlInBytes.Add(len(datagram))
	m, err := b.codec.Open(datagram)
	if err != nil {
		b.counters.authErrors.Inc()
		return
	}
	b.handleControlMessage(time.Now(), m)
}
