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

// memberSimulator acts as all other members of a region towards one balancer.
type memberSimulator struct {
	conn           *ipv4.PacketConn
	udp            *net.UDPConn
	port           uint16 // that the simulated members share, each with an address of its own
	codec          *control.Codec
	view           *roster.Roster
	balancer       netip.AddrPort
	observedAgents []roster.Member // agents that the balancer observes
}

func newMemberSimulator(secret []byte, to string) (*memberSimulator, error) {
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{})
	if err != nil {
		return nil, &Error{"start member simulator", KindStart, err}
	}
	codec, err := control.NewCodec(secret)
	if err != nil {
		return nil, err
	}
	s := &memberSimulator{
		conn: ipv4.NewPacketConn(udp), udp: udp, port: udp.LocalAddr().(*net.UDPAddr).AddrPort().Port(), codec: codec,
		view: roster.New(roster.DefaultTiming, rand.New(rand.NewPCG(1, 1))),
	}
	if s.balancer, err = netip.ParseAddrPort(to); err != nil {
		return nil, &Error{"start member simulator", KindStart, err}
	}
	return s, s.conn.SetControlMessage(ipv4.FlagDst, true)
}

// withLocalPort returns a member at the port of the simulator, where replies arrive.
func (s *memberSimulator) withLocalPort(m roster.Member) roster.Member {
	m.Addr = netip.AddrPortFrom(m.Addr.Addr(), s.port)
	return m
}

func (s *memberSimulator) send(m *control.Message) error {
	b, err := s.codec.Seal(m)
	if err != nil {
		return err
	}
	_, err = s.udp.WriteToUDPAddrPort(b, s.balancer)
	return err
}

const gossipSendInterval = 2 * time.Millisecond // spreads the gossip messages of a whole region

// sendMembers sends the records of the given numbers of members to the balancer.
func (s *memberSimulator) sendMembers(balancers, agents int) error {
	var all []roster.Member
	for i := range balancers {
		all = append(all, s.withLocalPort(fakeBalancer(i)))
	}
	for i := range agents {
		all = append(all, s.withLocalPort(fakeAgent(i)))
	}
	for _, m := range all {
		s.view.Apply(time.Now(), m)
	}
	from := s.withLocalPort(fakeBalancer(0))
	for len(all) > 0 {
		n := min(7, len(all))
		if err := s.send(&control.Message{Kind: control.Gossip, From: from, Members: all[:n], NoReply: true}); err != nil {
			return err
		}
		all = all[n:]
		time.Sleep(gossipSendInterval)
	}
	return nil
}

// answerGossip replies to the balancer's gossip as a member with the same roster
// would.
func (s *memberSimulator) answerGossip(ctx context.Context) error {
	buf := make([]byte, 2048)
	for ctx.Err() == nil {
		n, cm, _, err := s.conn.ReadFrom(buf)
		if err != nil {
			return nil // closed by the measurement
		}
		m, err := s.codec.Open(buf[:n])
		if err != nil || m.Kind != control.Gossip || m.NoReply || cm == nil {
			continue
		}
		dst, _ := netip.AddrFromSlice(cm.Dst.To4())
		from, ok := s.view.Get(netip.AddrPortFrom(dst, s.port))
		if !ok || !m.WantReply {
			continue
		}
		if err := s.send(&control.Message{Kind: control.Gossip, From: from, Digest: m.Digest, ConfigDigest: m.ConfigDigest, NoReply: true}); err != nil {
			return err
		}
	}
	return nil
}

// sendHeartbeats sends heartbeats of the observed agents until ctx is done.
func (s *memberSimulator) sendHeartbeats(ctx context.Context, every time.Duration) error {
	t := time.NewTicker(every)
	defer t.Stop()
	for n := 0; ; n++ {
		for _, m := range s.observedAgents {
			m.Name, m.Zone, m.Host = "", "", ""
			if err := s.send(&control.Message{Kind: control.Heartbeat, From: m, Digest: s.view.ServiceDigest(m.Service), WantReply: n%2 == 0}); err != nil {
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

// selectObserved selects the agents that the measured balancer observes.
func (s *memberSimulator) selectObserved(self roster.Member) {
	s.view.Apply(time.Now(), self)
	for _, m := range s.view.Members(func(m *roster.Member) bool { return m.Role == roster.Agent }) {
		for _, o := range s.view.Observers(m.Service, roster.DefaultObservers) {
			if o.Addr == self.Addr {
				s.observedAgents = append(s.observedAgents, m)
			}
		}
	}
}
