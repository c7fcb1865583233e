package platformstand

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"skylarkturn/internal/packet"
)

const (
	openFor      = 1400 * time.Millisecond
	firstRetry   = 200 * time.Millisecond
	requestFor   = 2500 * time.Millisecond
	retries      = 2
	longestPause = 150 * time.Millisecond
	flowRequests = 40 // after which a client opens another flow
)

// client is one user: it asks one request at a time, over flows that it keeps.
type client struct {
	name   string
	conn   *net.UDPConn
	fabric *fabric
	record *Record
	rand   *rand.Rand
	routes func() []packet.Endpoint

	flow *clientFlow
	port uint16
}

type clientFlow struct {
	key      packet.Key
	seq, ack uint32
	took     netip.Addr // balancer that the last packet went to
	requests int
}

// The opening packet of this stand-in carries when it was sent and which balancer
// it was given to, so that hosts can check promises about it.
func encodeOpening(sent time.Time, took netip.Addr) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(sent.UnixNano()))
	return append(b, took.AsSlice()...)
}

func decodeOpening(b []byte) (time.Time, netip.Addr) {
	if len(b) != 12 {
		return time.Time{}, netip.Addr{}
	}
	took, _ := netip.AddrFromSlice(b[8:])
	return time.Unix(0, int64(binary.BigEndian.Uint64(b))), took
}

func (c *client) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", c.name, n)
		kind := "again"
		if n%3 == 0 {
			kind = "once"
		}
		c.record.asks(id)
		ok, reason := c.request(ctx, id, kind)
		if ctx.Err() != nil {
			return
		}
		c.record.ended(id, ok, reason)
		pause := time.Duration(c.rand.Int64N(int64(longestPause)))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (c *client) request(ctx context.Context, id, kind string) (ok bool, reason string) {
	deadline := time.Now().Add(requestFor)
	for range 1 + retries {
		if c.flow != nil && c.flow.requests >= flowRequests {
			c.close()
		}
		opened := c.flow != nil || c.open(ctx, deadline, &reason)
		if !opened {
			continue // it has not run
		}
		if ok, reason = c.ask(ctx, deadline, id, kind); ok {
			return true, ""
		}
		c.flow = nil
		if kind == "once" || time.Now().After(deadline) {
			break
		}
	}
	return false, reason
}

func (c *client) close() {
	f := c.flow
	c.send(f, packet.Header{Flags: packet.ACK | packet.FIN, Seq: f.seq, Ack: f.ack}, nil)
	c.flow = nil
}

func (c *client) send(f *clientFlow, h packet.Header, data []byte) {
	h.Src, h.Dst = f.key.Client, f.key.Route
	f.took = c.fabric.send(f.key, func(took netip.Addr) []byte {
		if h.Opens() {
			data = encodeOpening(time.Now(), took)
		}
		return seal(h, data)
	})
}

// Opens a flow to one of the routes.
func (c *client) open(ctx context.Context, deadline time.Time, reason *string) bool {
	c.port++
	routes := c.routes()
	local := c.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	f := &clientFlow{seq: c.rand.Uint32(), key: packet.Key{
		Client: packet.EndpointOf(netip.AddrPortFrom(local.Addr().Unmap(), 1024+c.port)),
		Route:  routes[c.rand.IntN(len(routes))],
	}}
	end := earlier(deadline, time.Now().Add(openFor))
	copies := uint32(0)
	next := time.Now()
	for ctx.Err() == nil && time.Now().Before(end) {
		if !time.Now().Before(next) {
			c.send(f, packet.Header{Flags: packet.SYN, Seq: f.seq, Ack: copies}, nil)
			copies++
			next = next.Add(firstRetry << (copies - 1))
			if copies > 2 {
				next = end
			}
		}
		h, _, _, ok := c.receive(f, earlier(next, end))
		switch {
		case !ok:
		case h.Flags.Has(packet.RST):
			*reason = "reset while opening"
			return false
		case h.Accepts():
			f.ack = h.Seq + 1
			f.seq++
			c.flow = f
			return true
		}
	}
	*reason = "no answer while opening"
	return false
}

func (c *client) ask(ctx context.Context, deadline time.Time, id, kind string) (ok bool, reason string) {
	f := c.flow
	f.requests++
	request := []byte(id + " " + kind)
	retry := firstRetry
	for ctx.Err() == nil && time.Now().Before(deadline) {
		c.send(f, packet.Header{Flags: packet.ACK, Seq: f.seq, Ack: f.ack}, request)
		until := earlier(deadline, time.Now().Add(retry))
		retry = min(2*retry, 8*firstRetry)
		for time.Now().Before(until) {
			h, data, from, got := c.receive(f, until)
			switch {
			case !got:
			case h.Flags.Has(packet.RST):
				c.record.reset(f.key, from, f.took)
				return false, "reset"
			case len(data) > 0 && h.Ack == f.seq+uint32(len(request)):
				if string(data) != "done "+id {
					c.record.mixed("%s got %q", id, data)
				}
				f.seq += uint32(len(request))
				return true, ""
			}
		}
	}
	return false, "no answer"
}

// Waits for a packet of the flow; packets of others are late ones of flows before.
func (c *client) receive(f *clientFlow, until time.Time) (h packet.Header, data []byte, from netip.Addr, ok bool) {
	buf := make([]byte, 2048)
	for {
		if err := c.conn.SetReadDeadline(until); err != nil {
			return h, nil, from, false
		}
		n, src, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return h, nil, from, false // time is up
		}
		h, data, sealed := open(buf[:n])
		if !sealed && !h.Flags.Has(packet.RST) {
			c.record.mixed("client %s got a packet that its sender did not write", c.name)
			continue
		}
		if h.KeyFromHost() == f.key {
			return h, append([]byte{}, data...), src.Addr().Unmap(), true
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
