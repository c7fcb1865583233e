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
	openTimeout          = 1400 * time.Millisecond
	initialRetryInterval = 200 * time.Millisecond
	requestTimeout       = 2500 * time.Millisecond
	maxRetries           = 2                      // per request
	maxThinkTime         = 150 * time.Millisecond // between the end of a request and the next one
	maxRequestsPerFlow   = 40                     // the client then opens a new flow
	maxIdleTime          = 8 * time.Second        // of an open flow, in a long pause; shorter than the limit of the configuration
	idlePollInterval     = 100 * time.Millisecond // at which a pausing client looks whether it is to end
)

// client simulates one user: it sends one request at a time and reuses its flow
// for several requests.
type client struct {
	name    string
	conn    *net.UDPConn
	fabric  *fabric
	checker *Checker
	rand    *rand.Rand
	routes  func() []packet.Endpoint

	longPauses float64 // share of the pauses that take up to maxIdleTime

	flow *clientFlow // nil when no flow is open
	port uint16      // source port of the last flow, minus 1024
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	key      packet.Key
	seq, ack uint32
	balancer netip.Addr // that the last packet was sent to
	requests int
}

// encodeSYNData returns the data of a packet that opens a flow: the time it was
// sent and the balancer it was sent to. Hosts need both to check the guarantees
// about new flows.
func encodeSYNData(sent time.Time, balancer netip.Addr) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(sent.UnixNano()))
	return append(b, balancer.AsSlice()...)
}

// decodeSYNData reads what encodeSYNData wrote; both results are zero when b has
// another length.
func decodeSYNData(b []byte) (time.Time, netip.Addr) {
	if len(b) != 12 {
		return time.Time{}, netip.Addr{}
	}
	balancer, _ := netip.AddrFromSlice(b[8:])
	return time.Unix(0, int64(binary.BigEndian.Uint64(b))), balancer
}

// run sends requests until ctx is done. Every third is not idempotent (kind
// "once"); the others are idempotent (kind "again").
func (c *client) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", c.name, n)
		kind := "again"
		if n%3 == 0 {
			kind = "once"
		}
		c.checker.requestStarted(id)
		ok, reason := c.request(ctx, id, kind)
		if ctx.Err() != nil {
			return
		}
		c.checker.requestEnded(id, ok, reason)
		if c.rand.Float64() < c.longPauses {
			c.idle(ctx, time.Duration(c.rand.Int64N(int64(maxIdleTime))))
		}
		thinkTime := time.Duration(c.rand.Int64N(int64(maxThinkTime)))
		select {
		case <-ctx.Done():
		case <-time.After(thinkTime):
		}
	}
}

// idle keeps the open flow without sending on it, until a reset arrives or the time is over.
func (c *client) idle(ctx context.Context, d time.Duration) {
	end := time.Now().Add(d)
	for f := c.flow; f != nil && ctx.Err() == nil && time.Now().Before(end); {
		h, _, from, ok := c.receive(f, earlier(end, time.Now().Add(idlePollInterval)))
		if ok && h.Flags.Has(packet.RST) {
			c.checker.flowReset(f.key, from, f.balancer)
			c.flow = nil
			return
		}
	}
}

// request sends a request until it is answered, requestTimeout has passed or
// maxRetries are used up. It retries after a failure to open a flow, and after
// other failures only if the request is idempotent.
func (c *client) request(ctx context.Context, id, kind string) (ok bool, reason string) {
	deadline := time.Now().Add(requestTimeout)
	for range 1 + maxRetries {
		if c.flow != nil && c.flow.requests >= maxRequestsPerFlow {
			c.closeFlow()
		}
		opened := c.flow != nil || c.openFlow(ctx, deadline, &reason)
		if !opened {
			continue // the request was not sent, so a retry is safe
		}
		if ok, reason = c.attempt(ctx, deadline, id, kind); ok {
			return true, ""
		}
		c.flow = nil
		if kind == "once" || time.Now().After(deadline) {
			break
		}
	}
	return false, reason
}

// closeFlow ends the open flow with a FIN.
func (c *client) closeFlow() {
	f := c.flow
	c.send(f, packet.Header{Flags: packet.ACK | packet.FIN, Seq: f.seq, Ack: f.ack}, nil)
	c.flow = nil
}

// send sends a packet of a flow through the fabric.
func (c *client) send(f *clientFlow, h packet.Header, data []byte) {
	h.Src, h.Dst = f.key.Client, f.key.Route
	f.balancer = c.fabric.send(f.key, func(balancer netip.Addr) []byte {
		if h.Opens() {
			data = encodeSYNData(time.Now(), balancer)
		}
		return encodePacket(h, data)
	})
}

// openFlow opens a flow to a random route. It sends the SYN up to three times
// within openTimeout; on failure it sets *reason.
func (c *client) openFlow(ctx context.Context, deadline time.Time, reason *string) bool {
	c.port++
	routes := c.routes()
	local := c.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	f := &clientFlow{seq: c.rand.Uint32(), key: packet.Key{
		Client: packet.EndpointOf(netip.AddrPortFrom(local.Addr().Unmap(), 1024+c.port)),
		Route:  routes[c.rand.IntN(len(routes))],
	}}
	end := earlier(deadline, time.Now().Add(openTimeout))
	copies := uint32(0)
	next := time.Now()
	for ctx.Err() == nil && time.Now().Before(end) {
		if !time.Now().Before(next) {
			c.send(f, packet.Header{Flags: packet.SYN, Seq: f.seq, Ack: copies}, nil)
			copies++
			next = next.Add(initialRetryInterval << (copies - 1))
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

// attempt sends a request over the open flow and retransmits it with exponential
// backoff until the response, a reset or the deadline.
func (c *client) attempt(ctx context.Context, deadline time.Time, id, kind string) (ok bool, reason string) {
	f := c.flow
	f.requests++
	request := []byte(id + " " + kind)
	retry := initialRetryInterval
	for ctx.Err() == nil && time.Now().Before(deadline) {
		c.send(f, packet.Header{Flags: packet.ACK, Seq: f.seq, Ack: f.ack}, request)
		until := earlier(deadline, time.Now().Add(retry))
		retry = min(2*retry, 8*initialRetryInterval)
		for time.Now().Before(until) {
			h, data, from, got := c.receive(f, until)
			switch {
			case !got:
			case h.Flags.Has(packet.RST):
				c.checker.flowReset(f.key, from, f.balancer)
				return false, "reset"
			case len(data) > 0 && h.Ack == f.seq+uint32(len(request)):
				if string(data) != "done "+id {
					c.checker.addMixed("%s was answered with %q", id, data)
				}
				f.seq += uint32(len(request))
				return true, ""
			}
		}
	}
	return false, "no answer"
}

// receive waits for a packet of the flow. It skips packets of other flows, which
// are late ones of the client's earlier flows.
func (c *client) receive(f *clientFlow, until time.Time) (h packet.Header, data []byte, from netip.Addr, ok bool) {
	buf := make([]byte, 2048)
	for {
		if err := c.conn.SetReadDeadline(until); err != nil {
			return h, nil, from, false
		}
		n, src, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return h, nil, from, false // the deadline has passed
		}
		h, data, valid := decodePacket(buf[:n])
		if !valid && !h.Flags.Has(packet.RST) {
			c.checker.addMixed("client %s received a corrupt packet", c.name)
			continue
		}
		if h.KeyFromHost() == f.key {
			return h, append([]byte{}, data...), src.Addr().Unmap(), true
		}
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
