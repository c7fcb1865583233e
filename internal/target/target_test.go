package target

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/roster"
)

func agentAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

// traceHops forwards the first datagram of a flow from target to target, each with
// its own view of the sessions of the others, until a target accepts or drops it.
// acceptor is -1 if none accepts it.
func traceHops(views [][]uint32, ready []bool, key uint64, start int) (acceptor, hops int) {
	at := start
	for hops := uint8(0); hops < 10; hops++ {
		var self Load
		var others []Load
		for i, n := range views[at] {
			l := Load{agentAddr(i), 1, n}
			if i == at {
				self = l
			} else if ready[i] {
				others = append(others, l)
			}
		}
		d := Decide(self, others, ready[at], key, hops, 0.02)
		if d.Accept {
			return at, int(hops)
		}
		if !d.Next.IsValid() {
			return -1, int(hops)
		}
		at = int(d.Next.Addr().As4()[3])
	}
	return -1, 10
}

// TestForwardingEndsWhenViewsContradict guards against a forwarding loop: two
// targets that each regard the other as idle would forward a flow between them
// until its handshake times out.
func TestForwardingEndsWhenViewsContradict(t *testing.T) {
	views := [][]uint32{{20, 8, 8}, {8, 20, 8}, {8, 8, 20}}
	ready := []bool{true, true, true}
	for key := range uint64(1000) {
		acceptor, hops := traceHops(views, ready, key, int(key%3))
		qt.Assert(t, qt.IsTrue(acceptor >= 0))
		qt.Assert(t, qt.IsTrue(hops <= 1))
	}
}

func TestDrainingTargetForwards(t *testing.T) {
	views := [][]uint32{{5, 5, 5}, {5, 5, 5}, {5, 5, 5}}
	for key := range uint64(1000) {
		acceptor, _ := traceHops(views, []bool{false, true, true}, key, 0)
		qt.Assert(t, qt.IsTrue(acceptor > 0))
	}
	acceptor, _ := traceHops(views, []bool{false, false, false}, 1, 0)
	qt.Check(t, qt.Equals(acceptor, -1))
}

func TestOverloaded(t *testing.T) {
	for _, c := range []struct {
		self, other uint32
		want        bool
	}{
		{0, 0, false},
		{1, 0, false},
		{10, 10, false},
		{520, 500, false},
		{540, 500, true},
	} {
		t.Run(fmt.Sprint(c.self, "/", c.other), func(t *testing.T) {
			got := Overloaded(Load{agentAddr(1), 1, c.self}, []Load{{agentAddr(2), 1, c.other}}, 0.02)
			qt.Check(t, qt.Equals(got, c.want))
		})
	}
}

func TestStateAndWarmth(t *testing.T) {
	now := time.Unix(1000, 0)
	tg := New(now, 10*time.Second)
	qt.Check(t, qt.Equals(tg.State(now), roster.Starting)) // without configuration a feed would be taken for a request and hold a slot
	tg.Configure(false)
	qt.Check(t, qt.Equals(tg.State(now), roster.Ready))
	qt.Check(t, qt.Equals(tg.Warmth(now), uint8(20)))
	qt.Check(t, qt.Equals(tg.Warmth(now.Add(9*time.Second)), uint8(80)))
	qt.Check(t, qt.Equals(tg.Warmth(now.Add(10*time.Second)), uint8(100)))

	for range maxHostFailures {
		tg.RecordHostFailure()
	}
	qt.Check(t, qt.Equals(tg.State(now), roster.Starting))
	tg.RecordHostResponse()
	qt.Check(t, qt.Equals(tg.State(now), roster.Ready))

	tg.RecordBalancerAnswer(now)
	qt.Check(t, qt.Equals(tg.State(now.Add(isolationTimeout+1)), roster.Starting))
	tg.Configure(true)
	qt.Check(t, qt.Equals(tg.State(now), roster.Draining))
	tg.Configure(false)
	tg.RecordBalancerAnswer(now)
	tg.Stop()
	qt.Check(t, qt.Equals(tg.State(now), roster.Draining))
}
