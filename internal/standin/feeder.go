package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"

	"skylarkturn/internal/control"
	"skylarkturn/internal/roster"
)

// feeder plays all other members of a region towards one balancer.
type feeder struct {
	conn   *ipv4.PacketConn
	udp    *net.UDPConn
	port   uint16
	codec  *control.Codec
	view   *roster.Roster
	to     netip.AddrPort
	agents []roster.Member // those that the balancer observes
}

func newFeeder(secret []byte, to string) (*feeder, error) {
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{})
	if err != nil {
		return nil, &Error{"feeder", KindStart, err}
	}
	codec, err := control.NewCodec(secret)
	if err != nil {
		return nil, err
	}
	f := &feeder{
		conn: ipv4.NewPacketConn(udp), udp: udp, port: udp.LocalAddr().(*net.UDPAddr).AddrPort().Port(), codec: codec,
		view: roster.New(roster.DefaultTiming, rand.New(rand.NewPCG(1, 1))),
	}
	if f.to, err = netip.ParseAddrPort(to); err != nil {
		return nil, &Error{"feeder", KindStart, err}
	}
	return f, f.conn.SetControlMessage(ipv4.FlagDst, true)
}

func (f *feeder) here(m roster.Member) roster.Member {
	m.Addr = netip.AddrPortFrom(m.Addr.Addr(), f.port)
	return m
}

func (f *feeder) send(m *control.Message) error {
	b, err := f.codec.Seal(m)
	if err != nil {
		return err
	}
	_, err = f.udp.WriteToUDPAddrPort(b, f.to)
	return err
}

const feedPause = 2 * time.Millisecond // between messages of a full copy

// Sends the records of so many members.
func (f *feeder) fill(balancers, agents int) error {
	var all []roster.Member
	for i := range balancers {
		all = append(all, f.here(fakeBalancer(i)))
	}
	for i := range agents {
		all = append(all, f.here(fakeAgent(i)))
	}
	for _, m := range all {
		f.view.Apply(time.Now(), m)
	}
	from := f.here(fakeBalancer(0))
	for len(all) > 0 {
		n := min(7, len(all))
		if err := f.send(&control.Message{Kind: control.Gossip, From: from, Members: all[:n], NoReply: true}); err != nil {
			return err
		}
		all = all[n:]
		time.Sleep(feedPause)
	}
	return nil
}

// Answers the balancer's messages as a member with an equal view would.
func (f *feeder) answer(ctx context.Context) error {
	buf := make([]byte, 2048)
	for ctx.Err() == nil {
		n, cm, _, err := f.conn.ReadFrom(buf)
		if err != nil {
			return nil // closed at the end
		}
		m, err := f.codec.Open(buf[:n])
		if err != nil || m.Kind != control.Gossip || m.NoReply || cm == nil {
			continue
		}
		dst, _ := netip.AddrFromSlice(cm.Dst.To4())
		from, ok := f.view.Get(netip.AddrPortFrom(dst, f.port))
		if !ok || !m.WantReply {
			continue
		}
		if err := f.send(&control.Message{Kind: control.Gossip, From: from, Digest: m.Digest, ConfigDigest: m.ConfigDigest, NoReply: true}); err != nil {
			return err
		}
	}
	return nil
}

// Sends the heartbeats of the agents that the balancer observes.
func (f *feeder) beat(ctx context.Context, every time.Duration) error {
	t := time.NewTicker(every)
	defer t.Stop()
	for n := 0; ; n++ {
		for _, m := range f.agents {
			m.Name, m.Zone, m.Host = "", "", ""
			if err := f.send(&control.Message{Kind: control.Heartbeat, From: m, Digest: f.view.ServiceDigest(m.Service), WantReply: n%2 == 0}); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Finds the agents that the balancer under measurement observes.
func (f *feeder) observe(self roster.Member) {
	f.view.Apply(time.Now(), self)
	for _, m := range f.view.Members(func(m *roster.Member) bool { return m.Role == roster.Agent }) {
		for _, o := range f.view.Observers(m.Service, roster.DefaultObservers) {
			if o.Addr == self.Addr {
				f.agents = append(f.agents, m)
			}
		}
	}
}
