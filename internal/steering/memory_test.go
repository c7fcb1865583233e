package steering

import (
	"runtime"
	"testing"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/tunnel"
)

// BenchmarkTableMemory reports the memory per cached flow in the table.
func BenchmarkTableMemory(b *testing.B) {
	const flows = 50_000
	for b.Loop() {
		var before, after runtime.MemStats
		r, now := newFleet(b, 16)
		runtime.GC()
		runtime.ReadMemStats(&before)
		var out []Action
		for i := range flows {
			k := packet.Key{Client: packet.Endpoint{IP: 0x64400000 + uint32(i>>14), Port: uint16(1024 + i&0x3fff)}, Route: r.listen("r1")}
			out = r.table.HandlePacket(now, &packet.Header{Flags: packet.SYN, Src: k.Client, Dst: k.Route}, nil, out[:0])
			r.table.HandleAnswer(now, out[0].Agent, &tunnel.Header{Kind: tunnel.Owned, Flow: k}, nil, nil, nil)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
		runtime.KeepAlive(r)
	}
}
