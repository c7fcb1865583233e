package steering

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/route"
	"skylarkturn/internal/tunnel"
)

// TestQuestionsStayBoundedWhenNobodyAnswers looks up hundreds of flows, as after
// a power loss, while no answer arrives. It guards against queries and their
// repetitions saturating the link that the answers need.
func TestQuestionsStayBoundedWhenNobodyAnswers(t *testing.T) {
	const (
		agents   = 45
		flows    = 500
		tick     = 50 * time.Millisecond
		duration = 4 * time.Second
		linkRate = 14_000_000 / 8 // bytes per second of the slowest link
		queryLen = 16             // bytes of a query in a batch
	)
	r := runner{t: t, table: New(), now: time.Unix(1_800_000_000, 0)}
	table, err := route.NewTable(route.Config{Version: 1, Routes: []route.Route{{
		Name: "r1", Listen: r.listen("r1"), Shares: []route.Share{{Service: "bookdesk", Weight: 1}},
	}}})
	qt.Assert(t, qt.IsNil(err))
	r.table.SetRoutes(table)
	for i := range agents {
		r.table.Put(r.now, Target{Agent: r.agent(fmt.Sprint("a", i+1)), Service: "bookdesk", Ready: true, Weight: 4}, true)
	}
	queries := 0
	for i := range flows {
		h, raw := r.packet("data", fmt.Sprint("c", i), 1)
		queries += len(r.table.HandlePacket(r.now, &h, raw, nil))
	}
	for end := r.now.Add(duration); r.now.Before(end); r.now = r.now.Add(tick) {
		queries += len(r.table.Tick(r.now, nil))
	}
	rate := queries * queryLen / int(duration/time.Second)
	t.Logf("%d queries, %d bytes/s", queries, rate)
	qt.Check(t, qt.IsTrue(rate < linkRate/4))
}

func BenchmarkPacketOfKnownFlow(b *testing.B) {
	for _, agents := range []int{16, 1000} {
		b.Run(fmt.Sprint(agents, " agents"), func(b *testing.B) {
			r, now := newFleet(b, agents)
			h, raw := r.packet("syn", "c1", 0)
			out := r.table.HandlePacket(now, &h, raw, nil)
			owned := tunnel.Header{Kind: tunnel.Owned, Flow: h.KeyFromClient()}
			r.table.HandleAnswer(now, out[0].Agent, &owned, nil, nil, nil)
			h, raw = r.packet("data", "c1", 1)
			b.ReportAllocs()
			for b.Loop() {
				out = r.table.HandlePacket(now, &h, raw, out[:0])
			}
		})
	}
}

func BenchmarkPlaceNewFlow(b *testing.B) {
	for _, agents := range []int{16, 1000} {
		b.Run(fmt.Sprint(agents, " agents"), func(b *testing.B) {
			r, now := newFleet(b, agents)
			f := &flow{}
			k := r.key("c1")
			raw := []byte("syn")
			var out []Action
			b.ReportAllocs()
			for b.Loop() {
				k.Client.Port++
				out = r.table.place(now, k, r.table.routes.Lookup(k.Route), f, 0, raw, out[:0])
			}
		})
	}
}

// newFleet returns a runner whose table has one route and the given number of
// ready agents.
func newFleet(b *testing.B, agents int) (runner, time.Time) {
	r := runner{t: b, table: New(), now: time.Unix(1_800_000_000, 0)}
	listen := packet.Endpoint{IP: 0xc6120001, Port: 1001}
	table, err := route.NewTable(route.Config{Version: 1, Routes: []route.Route{{
		Name: "r1", Listen: listen, Shares: []route.Share{{Service: "bookdesk", Weight: 1}},
	}}})
	qt.Assert(b, qt.IsNil(err))
	r.table.SetRoutes(table)
	for i := range agents {
		a := packet.Endpoint{IP: 0x0a000000 + uint32(i), Port: 7400}.AddrPort()
		r.table.Put(r.now, Target{Agent: a, Service: "bookdesk", Ready: true, Weight: 4}, true)
	}
	return r, r.now
}
