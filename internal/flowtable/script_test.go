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
	"skylarkturn/internal/script"
	"skylarkturn/internal/tunnel"
)

// TestScripts runs the scripts in testdata, which name balancers b1, b2, ... and
// clients c1, c2, ..., each of which has one flow.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(t *testing.T) func(script.Command) []string {
		now := time.Unix(1_800_000_000, 0)
		r := &runner{t: t, table: New(now, reportInterval, false), now: now}
		return r.run
	})
}

type runner struct {
	t            *testing.T
	table        *Table
	now          time.Time
	lastSnapshot Snapshot // the last one that the script took
}

const reportInterval = 1200 * time.Millisecond

var listen = packet.Endpoint{IP: 0xc6120001, Port: 443}

func nameIndex(t testing.TB, name string) byte {
	n, err := strconv.ParseUint(name[1:], 10, 8)
	qt.Assert(t, qt.IsNil(err))
	return byte(n)
}

func (r *runner) balancer(name string) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, nameIndex(r.t, name)}), 7400)
}

func balancerName(a netip.AddrPort) string { return fmt.Sprint("b", a.Addr().As4()[3]) }

func clientEndpoint(t testing.TB, name string) packet.Endpoint {
	return packet.Endpoint{IP: 0x64400000 + uint32(nameIndex(t, name)), Port: 40000}
}

func clientName(k packet.Key) string { return fmt.Sprint("c", byte(k.Client.IP)) }

func (r *runner) run(c script.Command) []string {
	switch c.Name {
	case "first":
		r.table = New(r.now, reportInterval, true)
		return nil
	case "wait":
		r.now = r.now.Add(c.Duration(r.t, 0))
		return nil
	case "report":
		return r.report(c)
	case "restarts": // restarts N: the host restarts N times, each time with the next ID
		for range nameIndex(r.t, "n"+c.Arg(0)) {
			h, _ := r.table.Host()
			h.ID, h.Seq = fmt.Sprint("h", nameIndex(r.t, h.ID)+1), 1
			r.table.HandleReport(r.now, h, nil)
		}
		return nil
	case "leave":
		return []string{fmt.Sprint("current=", r.table.HandleLeave(r.now, c.Arg(0)))}
	case "tick":
		return r.formatActions(r.table.Tick(r.now, nil))
	case "client":
		return r.fromClient(c)
	case "lookup": // lookup b1 c1 [ack=N]
		a := r.table.Lookup(tunnel.Question{Flow: packet.Key{Client: clientEndpoint(r.t, c.Arg(1)), Route: listen}, Ack: uint32(c.Int(r.t, "ack"))})
		if a.Reason == 0 {
			return []string{"owned"}
		}
		return []string{"refused " + a.Reason.String()}
	case "host":
		return r.fromHost(c)
	case "suspected":
		return []string{fmt.Sprint(r.table.HostSuspected(r.now))}
	case "previous": // previous h1 [outdated] c1=ACK c2=ACK [start=MS]
		return r.setPreviousSnapshot(c)
	case "snapshot":
		return r.snapshot()
	case "check":
		results := map[string]CheckResult{"unclear": HostUnclear, "listening": HostListening, "absent": HostAbsent}
		return r.formatActions(r.table.HandleCheck(r.now.Add(time.Nanosecond), results[c.Arg(0)], c.Options["service"], nil))
	case "counts":
		return []string{fmt.Sprintf("flows=%d busy=%d complete=%v", r.table.Flows(), r.table.Busy(), r.table.Complete())}
	}
	return script.UnknownCommand(r.t, c)
}

func (r *runner) setPreviousSnapshot(c script.Command) []string {
	s := Snapshot{HostID: c.Arg(0), Flows: make(map[packet.Key]uint32), Outdated: c.HasArg("outdated")}
	for name := range c.Options {
		if name == "start" {
			s.StartTime = int64(c.Int(r.t, name))
			continue
		}
		s.Flows[packet.Key{Client: clientEndpoint(r.t, name), Route: listen}] = uint32(c.Int(r.t, name))
	}
	return r.formatActions(r.table.SetPreviousSnapshot(s, nil))
}

func (r *runner) snapshot() []string {
	s := r.table.Snapshot(r.now)
	lines := []string{fmt.Sprintf("host=%s early=%v due=%v", s.HostID, s.ShouldReplace(r.lastSnapshot, time.Second, 4*time.Second), s.ShouldReplace(r.lastSnapshot, 4*time.Second, 4*time.Second))}
	r.lastSnapshot = s
	for k, ack := range s.Flows {
		lines = append(lines, fmt.Sprintf("kept %s ack=%d", clientName(k), ack))
	}
	slices.Sort(lines)
	return lines
}

// report runs the command:
//
//	report ID SERVICE ready|draining [start=MS] [seq=N] [slots=N]
func (r *runner) report(c script.Command) []string {
	h := Report{ID: c.Arg(0), Service: c.Arg(1), State: HostReady, StartTime: int64(c.Int(r.t, "start")), Seq: uint64(c.Int(r.t, "seq")), Slots: 4}
	if _, ok := c.Options["slots"]; ok {
		h.Slots = c.Int(r.t, "slots")
	}
	if c.HasArg("draining") {
		h.State = HostDraining
	}
	verdict, out := r.table.HandleReport(r.now, h, nil)
	return append([]string{verdict.String()}, r.formatActions(out)...)
}

func flagsOf(c script.Command) (f packet.Flags) {
	for word, flag := range map[string]packet.Flags{"syn": packet.SYN, "ack": packet.ACK, "fin": packet.FIN, "rst": packet.RST, "bounced": packet.Bounced} {
		if c.HasArg(word) {
			f |= flag
		}
	}
	return f
}

// fromClient runs the command:
//
//	client b1 c1 syn|ack|fin|rst [ask] [service=NAME] [seq=N] [ack=N] [len=N]
func (r *runner) fromClient(c script.Command) []string {
	p := packet.Header{Flags: flagsOf(c), Src: clientEndpoint(r.t, c.Arg(1)), Dst: listen, Seq: uint32(c.Int(r.t, "seq")), Ack: uint32(c.Int(r.t, "ack")), DataLen: c.Int(r.t, "len")}
	h := tunnel.Header{Kind: tunnel.Deliver}
	if c.HasArg("ask") {
		h.Kind = tunnel.Ask
	}
	if s, ok := c.Options["service"]; ok {
		h.Service = tunnel.ServiceIDOf(s)
	}
	out := r.table.HandleInbound(r.now, r.balancer(c.Arg(0)), &h, &p, []byte(c.Arg(1)), nil)
	for _, a := range out {
		if a.Op == ToHost {
			r.table.CountForwarded(r.now)
		}
	}
	return r.formatActions(out)
}

// fromHost runs the command:
//
//	host c1 syn ack|ack|fin|rst|bounced [seq=N] [ack=N] [len=N]
func (r *runner) fromHost(c script.Command) []string {
	p := packet.Header{Flags: flagsOf(c), Src: listen, Dst: clientEndpoint(r.t, c.Arg(0)), Seq: uint32(c.Int(r.t, "seq")), Ack: uint32(c.Int(r.t, "ack")), DataLen: c.Int(r.t, "len")}
	if p.Flags.Has(packet.Bounced) {
		p.Src, p.Dst = p.Dst, p.Src
	}
	return r.formatActions(r.table.HandleOutbound(r.now, &p, []byte(c.Arg(0)), nil))
}

func (r *runner) formatActions(actions []Action) []string {
	var lines []string
	for _, a := range actions {
		flow := clientName(a.Flow)
		switch a.Op {
		case ToHost:
			lines = append(lines, fmt.Sprintf("to host %s %s", flow, a.Cause))
		case ToClient:
			lines = append(lines, fmt.Sprintf("to client %s", flow))
		case Reply:
			s := fmt.Sprintf("reply to %s: %s owned", balancerName(a.Balancer), flow)
			if a.Header.Kind == tunnel.Refused {
				s = fmt.Sprintf("reply to %s: %s refused %s", balancerName(a.Balancer), flow, a.Header.Reason)
			}
			if a.Packet != nil {
				s += ", packet returned"
			}
			lines = append(lines, s)
		case Reset:
			lines = append(lines, fmt.Sprintf("reset %s %s ack=%d", flow, a.Cause, a.ClientAck))
		case Drop:
			lines = append(lines, fmt.Sprintf("drop %s %s", flow, a.Cause))
		}
	}
	slices.Sort(lines)
	return lines
}
