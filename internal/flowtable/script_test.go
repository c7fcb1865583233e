package flowtable

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/parcel"
	"skylarkturn/internal/script"
)

// Scripts name balancers b1, b2 and so on, and clients c1, c2 and so on, each
// with one flow.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(t *testing.T) func(script.Command) []string {
		now := time.Unix(1_800_000_000, 0)
		r := &runner{t: t, table: New(now, beatEvery, false), now: now}
		return r.do
	})
}

type runner struct {
	t     *testing.T
	table *Table
	now   time.Time
	saved Snapshot // last one asked for
}

const beatEvery = 1200 * time.Millisecond

var listen = packet.Endpoint{IP: 0xc6120001, Port: 443}

func number(t testing.TB, name string) byte {
	n, err := strconv.ParseUint(name[1:], 10, 8)
	qt.Assert(t, qt.IsNil(err))
	return byte(n)
}

func (r *runner) balancer(name string) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, number(r.t, name)}), 7400)
}

func balancerName(a netip.AddrPort) string { return fmt.Sprint("b", a.Addr().As4()[3]) }

func client(t testing.TB, name string) packet.Endpoint {
	return packet.Endpoint{IP: 0x64400000 + uint32(number(t, name)), Port: 40000}
}

func clientName(k packet.Key) string { return fmt.Sprint("c", byte(k.Client.IP)) }

func (r *runner) do(c script.Command) []string {
	switch c.Name {
	case "first":
		r.table = New(r.now, beatEvery, true)
		return nil
	case "wait":
		r.now = r.now.Add(c.Duration(r.t, 0))
		return nil
	case "report":
		return r.report(c)
	case "left":
		return []string{fmt.Sprint("current=", r.table.Left(r.now, c.Arg(0)))}
	case "tick":
		return r.show(r.table.Tick(r.now, nil))
	case "client":
		return r.fromClient(c)
	case "ask": // ask b1 c1 [ack=N]
		a := r.table.Asked(parcel.Question{Flow: packet.Key{Client: client(r.t, c.Arg(1)), Route: listen}, Ack: uint32(c.Int(r.t, "ack"))})
		if a.Reason == 0 {
			return []string{"owned"}
		}
		return []string{"refused " + a.Reason.String()}
	case "host":
		return r.fromHost(c)
	case "suspicious":
		return []string{fmt.Sprint(r.table.Suspicious(r.now))}
	case "recall": // recall h1 c1=ACK c2=ACK [born=MS]
		return r.recall(c)
	case "snapshot":
		return r.snapshot()
	case "checked":
		results := map[string]CheckResult{"unclear": HostUnclear, "listening": HostListening, "absent": HostAbsent}
		return r.show(r.table.Checked(r.now.Add(time.Nanosecond), results[c.Arg(0)], c.Opts["service"], nil))
	case "counts":
		return []string{fmt.Sprintf("flows=%d busy=%d complete=%v", r.table.Flows(), r.table.Busy(), r.table.Complete())}
	}
	return script.Unknown(r.t, c)
}

func (r *runner) recall(c script.Command) []string {
	s := Snapshot{HostID: c.Arg(0), Flows: make(map[packet.Key]uint32)}
	for name := range c.Opts {
		if name == "born" {
			s.Born = int64(c.Int(r.t, name))
			continue
		}
		s.Flows[packet.Key{Client: client(r.t, name), Route: listen}] = uint32(c.Int(r.t, name))
	}
	return r.show(r.table.Recall(s, nil))
}

func (r *runner) snapshot() []string {
	s := r.table.Snapshot(r.now)
	shown := []string{fmt.Sprintf("host=%s early=%v due=%v", s.HostID, s.Outdates(r.saved, time.Second, 4*time.Second), s.Outdates(r.saved, 4*time.Second, 4*time.Second))}
	r.saved = s
	for k, ack := range s.Flows {
		shown = append(shown, fmt.Sprintf("kept %s ack=%d", clientName(k), ack))
	}
	slices.Sort(shown)
	return shown
}

// report ID SERVICE ready|draining [born=MS] [seq=N] [slots=N]
func (r *runner) report(c script.Command) []string {
	h := Report{ID: c.Arg(0), Service: c.Arg(1), State: HostReady, Born: int64(c.Int(r.t, "born")), Seq: uint64(c.Int(r.t, "seq")), Slots: 4}
	if _, ok := c.Opts["slots"]; ok {
		h.Slots = c.Int(r.t, "slots")
	}
	if c.Has("draining") {
		h.State = HostDraining
	}
	verdict, out := r.table.Reported(r.now, h, nil)
	return append([]string{verdict.String()}, r.show(out)...)
}

func flagsOf(c script.Command) (f packet.Flags) {
	for word, flag := range map[string]packet.Flags{"syn": packet.SYN, "ack": packet.ACK, "fin": packet.FIN, "rst": packet.RST, "bounced": packet.Bounced} {
		if c.Has(word) {
			f |= flag
		}
	}
	return f
}

// client b1 c1 syn|ack|fin|rst [ask] [service=NAME] [seq=N] [ack=N] [len=N]
func (r *runner) fromClient(c script.Command) []string {
	p := packet.Head{Flags: flagsOf(c), Src: client(r.t, c.Arg(1)), Dst: listen, Seq: uint32(c.Int(r.t, "seq")), Ack: uint32(c.Int(r.t, "ack")), DataLen: c.Int(r.t, "len")}
	h := parcel.Header{Kind: parcel.Deliver}
	if c.Has("ask") {
		h.Kind = parcel.Ask
	}
	if s, ok := c.Opts["service"]; ok {
		h.Service = parcel.ServiceIDOf(s)
	}
	out := r.table.Deliver(r.now, r.balancer(c.Arg(0)), &h, &p, []byte(c.Arg(1)), nil)
	for _, a := range out {
		if a.Verb == ToHost {
			r.table.Given(r.now)
		}
	}
	return r.show(out)
}

// host c1 syn ack|ack|fin|rst|bounced [seq=N] [ack=N] [len=N]
func (r *runner) fromHost(c script.Command) []string {
	p := packet.Head{Flags: flagsOf(c), Src: listen, Dst: client(r.t, c.Arg(0)), Seq: uint32(c.Int(r.t, "seq")), Ack: uint32(c.Int(r.t, "ack")), DataLen: c.Int(r.t, "len")}
	if p.Flags.Has(packet.Bounced) {
		p.Src, p.Dst = p.Dst, p.Src
	}
	return r.show(r.table.Outbound(r.now, &p, []byte(c.Arg(0)), nil))
}

func (r *runner) show(actions []Action) []string {
	var shown []string
	for _, a := range actions {
		flow := clientName(a.Flow)
		switch a.Verb {
		case ToHost:
			shown = append(shown, fmt.Sprintf("to host %s %s", flow, a.Cause))
		case ToClient:
			shown = append(shown, fmt.Sprintf("to client %s", flow))
		case Reply:
			s := fmt.Sprintf("tell %s: %s owned", balancerName(a.Balancer), flow)
			if a.Parcel.Kind == parcel.Refused {
				s = fmt.Sprintf("tell %s: %s refused %s", balancerName(a.Balancer), flow, a.Parcel.Reason)
			}
			if a.Packet != nil {
				s += ", packet returned"
			}
			shown = append(shown, s)
		case Reset:
			shown = append(shown, fmt.Sprintf("reset %s %s ack=%d", flow, a.Cause, a.ClientAck))
		case Drop:
			shown = append(shown, fmt.Sprintf("drop %s %s", flow, a.Cause))
		}
	}
	slices.Sort(shown)
	return shown
}
