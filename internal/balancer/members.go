package balancer

import (
	"context"
	"net/netip"
	"time"

	"skylarkturn/internal/control"
	"skylarkturn/internal/roster"
)

const (
	membersPerMessage     = 7
	generationsPerMessage = 60
	probeEvery            = 5 // ticks
	introduceEvery        = 5 // ticks between attempts to find a first peer
	reintroduceEvery      = 50
	reloadEvery           = 10 // ticks between looks at the credential files
)

// Drives what depends on time.
func (b *Balancer) keepTime(ctx context.Context) error {
	t := time.NewTicker(b.cfg.Tick.Or(defaultTick))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			b.tick(now, n)
		}
	}
}

func (b *Balancer) tick(now time.Time, n int) {
	if n%reloadEvery == 0 {
		b.reloadCredentials()
	}
	b.mu.Lock()
	b.countChanges(b.members.Tick(now, b.self))
	b.wantProbes(now)
	out := b.gossip(now, n)
	b.rebuild()
	b.mu.Unlock()
	for _, o := range out {
		b.send(o.to, o.message)
	}
}

func (b *Balancer) reloadCredentials() {
	changed, err := b.creds.Reload()
	if err != nil {
		b.counters.reloadErrors.Inc()
		b.log.Warn().Err(err).Msg("credentials not reloaded, the ones in use stay")
		return
	}
	if changed {
		b.mu.Lock()
		b.stale = true
		b.mu.Unlock()
		b.log.Info().Msg("credentials reloaded")
	}
}

func (b *Balancer) countChanges(changed []roster.Member) {
	for _, m := range changed {
		b.log.Info().Str("member", m.Name).Str("addr", m.Addr.String()).Str("state", m.State.String()).Msg("member changed state")
	}
}

type outgoing struct {
	to      netip.AddrPort
	message *control.Message
}

// Returns the messages of one tick; called with mu held.
func (b *Balancer) gossip(now time.Time, n int) (out []outgoing) {
	deltas := b.members.Deltas(membersPerMessage)
	generations := b.takeSpread()
	if len(deltas) > 0 || len(generations) > 0 {
		for _, p := range b.members.Peers(b.self, roster.Fanout) {
			out = append(out, outgoing{p.Addr, b.gossipMessage(now, deltas, generations)})
		}
	}
	if n%probeEvery != 0 {
		return out
	}
	targets := b.members.AwaitingReply()
	for _, p := range b.members.Peers(b.self, 1) {
		targets = append(targets, p.Addr)
		b.members.ExpectReply(now, p.Addr)
	}
	for _, a := range append(targets, b.introductions(n)...) {
		m := b.gossipMessage(now, nil, nil)
		m.WantReply = true
		out = append(out, outgoing{a, m})
	}
	return out
}

// Returns where to look for other balancers: often while none is known, rarely
// later, which joins halves that lost each other.
func (b *Balancer) introductions(n int) []netip.AddrPort {
	alone := len(b.members.Peers(b.self, 1)) == 0
	if n%reintroduceEvery != 0 && !(alone && n%introduceEvery == 0) {
		return nil
	}
	var to []netip.AddrPort
	for _, s := range append([]string{b.cfg.Entry}, b.cfg.Seeds...) {
		if a, err := netip.ParseAddrPort(s); err == nil && a != b.self {
			to = append(to, a)
		}
	}
	return to
}

func (b *Balancer) gossipMessage(now time.Time, members []roster.Member, generations []control.Generation) *control.Message {
	return &control.Message{
		Kind:           control.Gossip,
		From:           b.me,
		Members:        members,
		Generations:    generations,
		Digest:         b.members.Digest(),
		ConfigDigest:   b.catalog.Digest(),
		CheckAgeMillis: b.checkedAgo(now),
	}
}

// Takes the generations that are still to be spread, counting a transmission.
func (b *Balancer) takeSpread() (generations []control.Generation) {
	for number, left := range b.spread {
		if len(generations) == generationsPerMessage {
			break
		}
		generations = append(generations, control.Generation{Service: number, Number: b.catalog.Generation(number)})
		if left <= 1 {
			delete(b.spread, number)
		} else {
			b.spread[number] = left - 1
		}
	}
	return generations
}

func (b *Balancer) send(to netip.AddrPort, m *control.Message) {
	datagram, err := b.codec.Seal(m)
	if err != nil {
		b.log.Error().Err(err).Msg("message not sealed")
		return
	}
	b.counters.controlOut.Inc()
	b.counters.controlOutBytes.Add(len(datagram))
	if _, err := b.inner.WriteToUDPAddrPort(datagram, to); err != nil {
		b.counters.refused.Inc()
	}
}

// Acts on a control message.
func (b *Balancer) receive(now time.Time, m *control.Message) {
	if m.From.Addr == b.self {
		return
	}
	b.mu.Lock()
	var out []outgoing
	switch m.Kind {
	case control.Heartbeat:
		out = b.heartbeat(now, m)
	case control.Gossip:
		out = b.gossiped(now, m)
	case control.Repair:
		out = b.repair(now, m)
	}
	if now.Sub(b.rebuilt) > rebuildEvery {
		b.rebuild()
	}
	b.mu.Unlock()
	for _, o := range out {
		b.send(o.to, o.message)
	}
}

// Takes a heartbeat, and answers it when the agent asks or when what it knows is
// not what is known here.
func (b *Balancer) heartbeat(now time.Time, m *control.Message) []outgoing {
	b.counters.heartbeats.Inc()
	b.members.ApplyDirect(now, m.From)
	number := m.From.Service
	generation := b.catalog.Generation(number)
	if m.From.Generation > generation {
		b.want(pull{from: m.From.Addr, numbers: []uint16{number}})
	}
	known, _ := b.members.Get(m.From.Addr)
	digest := b.members.ServiceDigest(number)
	current := known.Name != "" && known.State == m.From.State && generation <= m.From.Generation && digest == m.Digest
	if current && !m.WantReply {
		return nil
	}
	out := []outgoing{{m.From.Addr, b.ack(&known, generation, digest)}}
	if digest != m.Digest {
		out = append(out, b.inChunks(m.From.Addr, control.Ack, b.members.Agents(number))...)
	}
	return out
}

func (b *Balancer) ack(agent *roster.Member, generation uint32, digest uint64) *control.Message {
	ack := &control.Message{
		Kind:        control.Ack,
		From:        b.lean(),
		WantReply:   agent.Name == "",
		KnownState:  agent.State,
		Generations: []control.Generation{{Service: agent.Service, Number: generation}},
		Digest:      digest,
	}
	for _, o := range b.members.Observers(agent.Service, roster.DefaultObservers) {
		ack.Observers = append(ack.Observers, o.Addr)
	}
	for _, a := range b.members.Agents(agent.Service) {
		if a.Addr != agent.Addr && roster.Live(&a) {
			ack.Loads = append(ack.Loads, control.Load{Addr: a.Addr, Sessions: a.Sessions})
		}
	}
	return ack
}

// Returns the balancer's record without what rarely changes.
func (b *Balancer) lean() roster.Member {
	me := b.me
	me.Name, me.Zone, me.Host = "", "", ""
	return me
}

func (b *Balancer) inChunks(to netip.AddrPort, kind control.Kind, members []roster.Member) (out []outgoing) {
	for len(members) > 0 {
		n := min(membersPerMessage, len(members))
		out = append(out, outgoing{to, &control.Message{Kind: kind, From: b.lean(), Members: members[:n], NoReply: true}})
		members = members[n:]
	}
	return out
}

func (b *Balancer) gossiped(now time.Time, m *control.Message) (out []outgoing) {
	if m.From.Name != "" {
		b.members.ApplyDirect(now, m.From)
	}
	for _, r := range m.Members {
		b.learn(now, r, !m.NoReply)
	}
	b.learnGenerations(m)
	b.learnChecked(now, m)
	if m.NoReply {
		return nil
	}
	if m.WantReply {
		answer := b.gossipMessage(now, nil, nil)
		answer.NoReply = m.Digest == answer.Digest
		out = append(out, outgoing{m.From.Addr, answer})
	}
	if len(m.Members) == 0 && m.Digest != b.members.Digest() {
		out = append(out, outgoing{m.From.Addr, &control.Message{
			Kind: control.Repair, From: b.me, BucketHashes: b.members.Buckets(), MemberCount: b.members.Len(),
		}})
	}
	return out
}

// Takes a record that another balancer sent and, if it is fresh news, has it
// spread further. False news of this balancer's own end is taken back.
func (b *Balancer) learn(now time.Time, m roster.Member, fresh bool) {
	if m.Addr != b.self {
		if fresh {
			b.members.Apply(now, m)
		} else {
			b.members.Merge(now, m)
		}
		return
	}
	if m.Incarnation == b.me.Incarnation && m.State >= roster.Suspect && m.Seq >= b.me.Seq && b.me.State < roster.Suspect {
		b.me.Seq = m.Seq + 1
		b.members.Apply(now, b.me)
	}
}

func (b *Balancer) learnGenerations(m *control.Message) {
	var newer []uint16
	for _, g := range m.Generations {
		if g.Number > b.catalog.Generation(g.Service) {
			newer = append(newer, g.Service)
		}
	}
	if len(newer) > 0 {
		b.want(pull{from: m.From.Addr, numbers: newer})
		return
	}
	news := len(m.Generations) > 0 || len(m.Members) > 0
	if !news && m.ConfigDigest != 0 && m.ConfigDigest != b.catalog.Digest() {
		b.want(pull{from: m.From.Addr, all: true})
	}
}

// Tells some balancers that this one leaves.
func (b *Balancer) farewell() {
	b.mu.Lock()
	b.me.Seq++
	b.me.State = roster.Left
	m := b.gossipMessage(time.Now(), nil, nil)
	m.NoReply = true
	peers := b.members.Peers(b.self, roster.Fanout)
	b.mu.Unlock()
	for _, p := range peers {
		b.send(p.Addr, m)
	}
}
