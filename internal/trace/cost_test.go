package trace

import (
	"testing"
	"time"

	"skylarkturn/internal/packet"
)

func BenchmarkRingAdd(b *testing.B) {
	r := NewRing(8192)
	d := Decision{At: time.Unix(1_800_000_000, 0), Flow: packet.Key{Client: packet.Endpoint{IP: 1, Port: 2}}, Outcome: "send", Cause: "placed", Peer: "10.0.0.1:7400", Version: 3}
	for b.Loop() {
		r.Add(d)
	}
}

func BenchmarkRateLimiterDenies(b *testing.B) {
	l, now := NewRateLimiter(1), time.Unix(1_800_000_000, 0)
	l.Allow(now)
	for b.Loop() {
		l.Allow(now)
	}
}
