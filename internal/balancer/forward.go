package balancer

import (
	"context"
	"errors"
	"net"
	"time"

	"skylarkturn/internal/control"
	"skylarkturn/internal/flow"
	"skylarkturn/internal/link"
)

// Reads datagrams of callers to one service and sends them on in frames.
func (b *Balancer) readCallers(ctx context.Context, number uint16, conn *net.UDPConn) error {
	r, w := link.NewReader(conn), link.NewWriter(b.inner)
	var router flow.Router
	for {
		n, err := r.Read()
		if err != nil {
			return b.readEnd(ctx, err)
		}
		table := b.table.Load()
		generation := (*b.generations.Load())[number]
		for i := range n {
			b.inward(r, w, i, &router, table, number, generation)
		}
		b.counters.refused.Add(w.Flush())
	}
}

func (b *Balancer) inward(r *link.Reader, w *link.Writer, i int, router *flow.Router, table *flow.Table, number uint16, generation uint32) {
	datagram, src := r.Datagram(i)
	if len(datagram) > flow.MaxDatagram {
		b.counters.tooLarge.Inc()
		return
	}
	verdict, agent := router.Route(table, number, datagram)
	b.counters.verdicts[verdict].Inc()
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
	framed := r.WithHeadroom(i)
	b.sealer.Seal(framed, f)
	w.Add(framed, agent)
}

// A read error ends the reader when the balancer stops; else it is passing.
func (b *Balancer) readEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return &Error{"read", KindNetwork, err}
}

// Reads frames of agents and control messages.
func (b *Balancer) readInner(ctx context.Context) error {
	r := link.NewReader(b.inner)
	writers := make(map[uint16]*link.Writer, len(b.listens))
	for number, conn := range b.listens {
		writers[number] = link.NewWriter(conn)
	}
	for {
		n, err := r.Read()
		if err != nil {
			return b.readEnd(ctx, err)
		}
		for i := range n {
			b.innerDatagram(r, i, writers)
		}
		for _, w := range writers {
			b.counters.refused.Add(w.Flush())
		}
	}
}

func (b *Balancer) innerDatagram(r *link.Reader, i int, writers map[uint16]*link.Writer) {
	datagram, _ := r.Datagram(i)
	switch {
	case flow.IsFrame(datagram):
		b.outward(datagram, writers)
	case control.IsMessage(datagram):
		b.controlDatagram(datagram)
	default:
		b.counters.unknown.Inc()
	}
}

func (b *Balancer) outward(datagram []byte, writers map[uint16]*link.Writer) {
	f, payload, err := b.sealer.Open(datagram)
	if err != nil || f.Direction != flow.Outward {
		b.counters.forged.Inc()
		return
	}
	w := writers[f.Service]
	if w == nil {
		b.counters.unknown.Inc()
		return
	}
	b.counters.outward.Inc()
	w.Add(payload, f.Caller)
}

func (b *Balancer) controlDatagram(datagram []byte) {
	b.counters.controlIn.Inc()
	b.counters.controlInBytes.Add(len(datagram))
	m, err := b.codec.Open(datagram)
	if err != nil {
		b.counters.forged.Inc()
		return
	}
	b.receive(time.Now(), m)
}
