package flow

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"testing"

	"github.com/go-quicktest/qt"
)

var (
	secret1 = []byte("0123456789abcdef0123456789abcdef")
	secret2 = []byte("fedcba9876543210fedcba9876543210")
	agent1  = netip.MustParseAddrPort("10.1.2.3:7400")
	agent2  = netip.MustParseAddrPort("10.1.2.4:7400")
	agent3  = netip.MustParseAddrPort("10.1.2.5:7400")
)

func newKeyring(t testing.TB, active uint8, numbers ...uint8) *Keyring {
	t.Helper()
	all := map[uint8][]byte{1: secret1, 2: secret2}
	secrets := make(map[uint8][]byte)
	for _, n := range append(numbers, active) {
		secrets[n] = all[n]
	}
	k, err := NewKeyring(active, secrets)
	qt.Assert(t, qt.IsNil(err))
	return k
}

func encodeID(t testing.TB, k *Keyring, id ID) []byte {
	t.Helper()
	b := make([]byte, IDLen)
	qt.Assert(t, qt.IsNil(k.Encode(b, id)))
	return b
}

// shortHeader returns a short-header packet with the connection ID.
func shortHeader(dcid []byte) []byte {
	return append(append([]byte{0x40}, dcid...), make([]byte, 40)...)
}

// longHeader returns a long-header packet of QUIC version 1 with the connection
// ID.
func longHeader(dcid []byte) []byte {
	b := append([]byte{0xc0, 0, 0, 0, 1, byte(len(dcid))}, dcid...)
	return append(b, make([]byte, 60)...)
}

func TestIDSurvivesKeyRotation(t *testing.T) {
	want := ID{Agent: agent1, Service: 17, IncarnationHash: 99, Nonce: 12345}
	var scratch [16]byte
	old := encodeID(t, newKeyring(t, 1), want)
	got, ok := newKeyring(t, 2, 1).Decode(old, &scratch)
	qt.Assert(t, qt.IsTrue(ok))
	qt.Check(t, qt.Equals(got, want))
	_, ok = newKeyring(t, 2).Decode(old, &scratch)
	qt.Check(t, qt.IsFalse(ok))
}

func TestNewKeyringRefuses(t *testing.T) {
	for _, c := range []struct {
		active  uint8
		secrets map[uint8][]byte
		want    string
	}{
		{1, nil, "no secret for the active key number 1"},
		{1, map[uint8][]byte{1: []byte("short")}, "has 5 bytes"},
		{1, map[uint8][]byte{9: secret1}, "above 7"},
		{200, map[uint8][]byte{1: secret1}, "active key number 200"},
	} {
		_, err := NewKeyring(c.active, c.secrets)
		qt.Check(t, qt.ErrorMatches(err, ".*"+c.want+".*"))
	}
}

func TestRoute(t *testing.T) {
	k := newKeyring(t, 1)
	live := ID{Agent: agent1, Service: 17, IncarnationHash: 5, Nonce: 1}
	table := NewTable(k, map[uint16][]Candidate{
		17: {{agent1, 1}, {agent2, 1}},
		18: {{agent3, 1}},
	}, map[netip.AddrPort]uint32{agent1: 5, agent2: 6})
	other := live
	other.Service = 18
	restarted := live
	restarted.IncarnationHash = 4
	unknown := live
	unknown.Agent = netip.MustParseAddrPort("10.9.9.9:1")
	for _, c := range []struct {
		name    string
		service uint16
		packet  []byte
		verdict Verdict
		agent   netip.AddrPort
	}{
		{"live flow", 17, shortHeader(encodeID(t, k, live)), Forward, agent1},
		{"live flow, long header", 17, longHeader(encodeID(t, k, live)), Forward, agent1},
		{"agent that the table doesn't know", 17, shortHeader(encodeID(t, k, unknown)), Forward, unknown.Agent},
		{"ID of another service", 17, shortHeader(encodeID(t, k, other)), DropForeign, netip.AddrPort{}},
		{"ID under another key", 17, shortHeader(encodeID(t, newKeyring(t, 2), live)), DropForeign, netip.AddrPort{}},
		{"first datagram", 18, longHeader([]byte("clientid")), Placed, agent3},
		{"no target", 19, longHeader([]byte("clientid")), DropNoTarget, netip.AddrPort{}},
		{"too short", 17, []byte{0x40, 1, 2}, DropMalformed, netip.AddrPort{}},
		{"ID longer than the datagram", 17, append([]byte{0xc0, 0, 0, 0, 1, 200}, make([]byte, 30)...), DropMalformed, netip.AddrPort{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r Router
			verdict, agent := r.Route(table, c.service, c.packet)
			qt.Check(t, qt.Equals(verdict, c.verdict))
			qt.Check(t, qt.Equals(agent, c.agent))
		})
	}
	var r Router
	verdict, agent := r.Route(table, 17, shortHeader(encodeID(t, k, restarted)))
	qt.Check(t, qt.Equals(verdict, Reset))
	qt.Check(t, qt.IsTrue(agent == agent1 || agent == agent2))
}

// TestRouteWithoutMembers checks that a balancer which has just started, and so
// has an empty table, still routes existing flows.
func TestRouteWithoutMembers(t *testing.T) {
	k := newKeyring(t, 1)
	var r Router
	verdict, agent := r.Route(NewTable(k, nil, nil), 17, shortHeader(encodeID(t, k, ID{Agent: agent2, Service: 17, IncarnationHash: 1})))
	qt.Check(t, qt.Equals(verdict, Forward))
	qt.Check(t, qt.Equals(agent, agent2))
}

func TestPlaceFollowsWeights(t *testing.T) {
	candidates := []Candidate{{agent1, 1}, {agent2, 2}, {agent3, 0}}
	counts := make(map[netip.AddrPort]int)
	const n = 30_000
	for key := range uint64(n) {
		a, ok := Place(Mix(key), candidates)
		qt.Assert(t, qt.IsTrue(ok))
		counts[a]++
	}
	qt.Check(t, qt.Equals(counts[agent3], 0))
	ratio := float64(counts[agent2]) / float64(counts[agent1])
	qt.Check(t, qt.IsTrue(ratio > 1.9 && ratio < 2.1), qt.Commentf("ratio %g", ratio))
}

// TestPlaceIsConsistent checks that removing a target moves only the flows that
// were placed on it.
func TestPlaceIsConsistent(t *testing.T) {
	all := []Candidate{{agent1, 1}, {agent2, 1}, {agent3, 1}}
	for key := range uint64(2000) {
		before, _ := Place(Mix(key), all)
		after, _ := Place(Mix(key), all[:2])
		if before != agent3 {
			qt.Assert(t, qt.Equals(after, before))
		}
		ranked := Rank(Mix(key), all)
		qt.Assert(t, qt.Equals(ranked[0], before))
	}
}

func newSealer(t testing.TB, secret []byte) Sealer {
	t.Helper()
	s, err := NewSealer(secret)
	qt.Assert(t, qt.IsNil(err))
	return s
}

func newFrame(t testing.TB) ([]byte, Frame) {
	f := Frame{Direction: Inward, Hops: 2, Service: 17, Caller: netip.MustParseAddrPort("192.0.2.7:4433"), Via: agent1, Generation: 77}
	b := make([]byte, FrameLen+100)
	copy(b[FrameLen:], longHeader([]byte("clientid")))
	newSealer(t, secret1).Seal(b, f)
	return b, f
}

func TestFrame(t *testing.T) {
	b, want := newFrame(t)
	got, payload, err := newSealer(t, secret1).Open(b)
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.Equals(got, want))
	qt.Check(t, qt.Equals(len(payload), 100))
}

func TestFrameOfUnknownSenderIsRefused(t *testing.T) {
	b, _ := newFrame(t)
	_, _, err := newSealer(t, secret2).Open(b)
	qt.Check(t, qt.ErrorMatches(err, ".*authentication tag does not match"))
	for i := range FrameLen + authenticatedPrefix {
		b[i] ^= 0x10
		_, _, err := newSealer(t, secret1).Open(b)
		qt.Check(t, qt.IsNotNil(err), qt.Commentf("byte %d altered", i))
		b[i] ^= 0x10
	}
}

func FuzzRoute(f *testing.F) {
	k, err := NewKeyring(1, map[uint8][]byte{1: secret1})
	if err != nil {
		f.Fatal(err)
	}
	table := NewTable(k, map[uint16][]Candidate{17: {{agent1, 1}}}, nil)
	f.Add(longHeader([]byte("clientid")))
	f.Add([]byte{0x40})
	f.Fuzz(func(t *testing.T, b []byte) {
		var r Router
		verdict, agent := r.Route(table, 17, b)
		if agent.IsValid() != (verdict == Forward || verdict == Placed || verdict == Reset) {
			t.Errorf("verdict %v with agent %v for %s", verdict, agent, hex.EncodeToString(b))
		}
	})
}

func FuzzOpenFrame(f *testing.F) {
	s, err := NewSealer(secret1)
	if err != nil {
		f.Fatal(err)
	}
	b := make([]byte, FrameLen+30)
	s.Seal(b, Frame{Direction: Outward, Caller: agent1, Via: agent2})
	f.Add(b)
	f.Add([]byte{0xb1})
	f.Fuzz(func(t *testing.T, b []byte) {
		got, payload, err := s.Open(b)
		if err != nil {
			return
		}
		again := make([]byte, FrameLen+len(payload))
		copy(again[FrameLen:], payload)
		s.Seal(again, got)
		if string(again[:FrameLen]) != string(b[:FrameLen]) {
			t.Errorf("frame %x opens, but is encoded again as %x", b, again)
		}
	})
}

func BenchmarkRoute(b *testing.B) {
	k := newKeyring(b, 1)
	for _, n := range []int{3, 16, 100} {
		var candidates []Candidate
		for i := range n {
			candidates = append(candidates, Candidate{netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400), 1})
		}
		table := NewTable(k, map[uint16][]Candidate{17: candidates}, map[netip.AddrPort]uint32{agent1: 5})
		live := shortHeader(encodeID(b, k, ID{Agent: agent1, Service: 17, IncarnationHash: 5}))
		first := longHeader([]byte("clientid"))
		var r Router
		b.Run(fmt.Sprintf("live/targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Route(table, 17, live)
			}
		})
		b.Run(fmt.Sprintf("first/targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Route(table, 17, first)
			}
		})
	}
}

func BenchmarkSeal(b *testing.B) {
	s := newSealer(b, secret1)
	buf := make([]byte, FrameLen+1200)
	f := Frame{Direction: Inward, Service: 17, Caller: agent1, Via: agent2}
	b.ReportAllocs()
	for b.Loop() {
		s.Seal(buf, f)
	}
}
