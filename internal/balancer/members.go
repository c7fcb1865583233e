package balancer

import (
	"context"
	"net/netip"
	"time"

	"skylarkturn/internal/control"
	"skylarkturn/internal/roster"
)

const (
	maxMembersPerMessage     = 7
	maxGenerationsPerMessage = 60
	peerCheckTicks           = 5  // ticks between liveness checks of a random peer
	bootstrapTicks           = 5  // ticks between attempts to find a first peer
	rejoinTicks              = 50 // ticks between attempts to reach the seeds while peers are known
	credentialReloadTicks    = 10 // ticks between checks of the credential files for changes
)

// runTicker calls tick at regular intervals until ctx is done.
func (b *Balancer) runTicker(ctx context.Context) error {
	t := time.NewTicker(b.settings.Tick.Or(defaultTick))
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

// tick does the periodic work of the n-th tick: reloading credentials, updating
// the state of members, and sending gossip.
func (b *Balancer) tick(now time.Time, n int) {
	if n%credentialReloadTicks == 0 {
		b.reloadCredentials()
	}
	b.mu.Lock()
	b.logStateChanges(b.members.Tick(now, b.self))
	b.queueProbes(now)
	out := b.periodicMessages(now, n)
	b.rebuildTable()
	b.mu.Unlock()
	for _, o := range out {
		b.send(o.to, o.message)
	}
}

func (b *Balancer) reloadCredentials() {
	changed, err := b.credentials.Reload()
	if err != nil {
		b.counters.reloadErrors.Inc()
		b.log.Warn().Err(err).Msg("failed to reload credentials, keeping the current ones")
		return
	}
	if changed {
		b.mu.Lock()
		b.tableStale = true
		b.mu.Unlock()
		b.log.Info().Msg("credentials reloaded")
	}
}

func (b *Balancer) logStateChanges(changed []roster.Member) {
	for _, m := range changed {
		b.log.Info().Str("member", m.Name).Str("addr", m.Addr.String()).Str("state", m.State.String()).Msg("member changed state")
	}
}

// outgoing is a control message to be sent once mu is released.
type outgoing struct {
	to      netip.AddrPort
	message *control.Message
}

// periodicMessages returns the messages to send in the n-th tick: pending changes,
// liveness checks and, if due, messages to the seeds. The caller must hold mu.
func (b *Balancer) periodicMessages(now time.Time, n int) (out []outgoing) {
	deltas := b.members.Deltas(maxMembersPerMessage)
	generations := b.takeUnsentGenerations()
	if len(deltas) > 0 || len(generations) > 0 {
		for _, p := range b.members.Peers(b.self, roster.Fanout) {
			out = append(out, outgoing{p.Addr, b.newGossip(now, deltas, generations)})
		}
	}
	if n%peerCheckTicks != 0 {
		return out
	}
	targets := b.members.AwaitingReply()
	for _, p := range b.members.Peers(b.self, 1) {
		targets = append(targets, p.Addr)
		b.members.ExpectReply(now, p.Addr)
	}
	for _, a := range append(targets, b.bootstrapAddrs(n)...) {
		m := b.newGossip(now, nil, nil)
		m.WantReply = true
		out = append(out, outgoing{a, m})
	}
	return out
}

// bootstrapAddrs returns the configured addresses at which to look for other
// balancers in the n-th tick. While peers are known they are contacted less often,
// to reunite partitions that have lost track of each other.
func (b *Balancer) bootstrapAddrs(n int) []netip.AddrPort {
	alone := len(b.members.Peers(b.self, 1)) == 0
	if n%rejoinTicks != 0 && !(alone && n%bootstrapTicks == 0) {
		return nil
	}
	var to []netip.AddrPort
	for _, s := range append([]string{b.settings.Entry}, b.settings.Seeds...) {
		if a, err := netip.ParseAddrPort(s); err == nil && a != b.self {
			to = append(to, a)
		}
	}
	return to
}

func (b *Balancer) newGossip(now time.Time, members []roster.Member, generations []control.Generation) *control.Message {
	return &control.Message{
		Kind:           control.Gossip,
		From:           b.selfRecord,
		Members:        members,
		Generations:    generations,
		Digest:         b.members.Digest(),
		ConfigDigest:   b.catalog.Digest(),
		CheckAgeMillis: b.checkedAgeMillis(now),
		Settled:        b.completeness.Complete(now),
		LacksMembers:   b.completeness.LacksMembers(),
	}
}

// takeUnsentGenerations returns generations that have transmissions left, and
// counts one transmission for each.
func (b *Balancer) takeUnsentGenerations() (generations []control.Generation) {
	for number, left := range b.unsentGenerations {
		if len(generations) == maxGenerationsPerMessage {
			break
		}
		generations = append(generations, control.Generation{Service: number, Number: b.catalog.Generation(number)})
		if left <= 1 {
			delete(b.unsentGenerations, number)
		} else {
			b.unsentGenerations[number] = left - 1
		}
	}
	return generations
}

func (b *Balancer) send(to netip.AddrPort, m *control.Message) {
	datagram, err := b.codec.Seal(m)
	if err != nil {
		b.log.Error().Err(err).Msg("failed to encode control message")
		return
	}
	b.counters.controlOut.Inc()
	b.counters.controlOutBytes.Add(len(datagram))
	if _, err := b.innerConn.WriteToUDPAddrPort(datagram, to); err != nil {
		b.counters.sendErrors.Inc()
	}
}

// handleControlMessage processes a control message and sends the answers.
func (b *Balancer) handleControlMessage(now time.Time, m *control.Message) {
	if m.From.Addr == b.self {
		return
	}
	b.mu.Lock()
	var out []outgoing
	switch m.Kind {
	case control.Heartbeat:
		out = b.handleHeartbeat(now, m)
	case control.Gossip:
		out = b.handleGossip(now, m)
	case control.Repair:
		out = b.handleRepair(now, m)
	}
	if now.Sub(b.tableBuiltAt) > minRebuildInterval {
		b.rebuildTable()
	}
	b.mu.Unlock()
	for _, o := range out {
		b.send(o.to, o.message)
	}
}

// handleHeartbeat records a heartbeat. It answers if the agent asks for an answer
// or if the agent's view of its state, the configuration or the other agents
// differs from this balancer's.
func (b *Balancer) handleHeartbeat(now time.Time, m *control.Message) []outgoing {
	b.counters.heartbeats.Inc()
	b.members.ApplyDirect(now, m.From)
	number := m.From.Service
	generation := b.catalog.Generation(number)
	if m.From.Generation > generation {
		b.queueFetch(fetchRequest{from: m.From.Addr, services: []uint16{number}})
	}
	agent, _ := b.members.Get(m.From.Addr)
	digest := b.members.ServiceDigest(number)
	b.completeness.RecordHeartbeat(number, digest == m.Digest)
	upToDate := agent.Name != "" && agent.State == m.From.State && generation <= m.From.Generation && digest == m.Digest
	if upToDate && !m.WantReply {
		return nil
	}
	out := []outgoing{{m.From.Addr, b.newAck(&agent, generation, digest)}}
	if digest != m.Digest {
		out = append(out, b.memberMessages(m.From.Addr, control.Ack, b.members.Agents(number))...)
	}
	return out
}

// newAck returns the reply to a heartbeat of the agent. It requests a full record in
// return if the agent's name is not known yet.
func (b *Balancer) newAck(agent *roster.Member, generation uint32, digest uint64) *control.Message {
	ack := &control.Message{
		Kind:        control.Ack,
		From:        b.compactSelfRecord(),
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

// compactSelfRecord returns the balancer's record without the fields that rarely
// change, to keep messages short.
func (b *Balancer) compactSelfRecord() roster.Member {
	me := b.selfRecord
	me.Name, me.Zone, me.Host = "", "", ""
	return me
}

// memberMessages splits the records into messages of at most
// maxMembersPerMessage.
func (b *Balancer) memberMessages(to netip.AddrPort, kind control.Kind, members []roster.Member) (out []outgoing) {
	for len(members) > 0 {
		n := min(maxMembersPerMessage, len(members))
		out = append(out, outgoing{to, &control.Message{Kind: kind, From: b.compactSelfRecord(), Members: members[:n], NoReply: true}})
		members = members[n:]
	}
	return out
}

// handleGossip merges the records of another balancer, queues fetches of newer
// services, and starts an anti-entropy repair if the members differ.
func (b *Balancer) handleGossip(now time.Time, m *control.Message) (out []outgoing) {
	if m.From.Name != "" {
		b.members.ApplyDirect(now, m.From)
	}
	for _, member := range m.Members {
		b.mergeMember(now, member, !m.NoReply)
	}
	b.fetchNewerServices(m)
	b.updateCheckedAt(now, m)
	b.completeness.RecordGossip(m.From.Addr, m.Settled, m.Digest == b.members.Digest(), m.LacksMembers)
	if m.NoReply {
		return nil
	}
	if m.WantReply {
		answer := b.newGossip(now, nil, nil)
		answer.NoReply = m.Digest == answer.Digest
		out = append(out, outgoing{m.From.Addr, answer})
	}
	if len(m.Members) == 0 && m.Digest != b.members.Digest() {
		out = append(out, outgoing{m.From.Addr, &control.Message{
			Kind: control.Repair, From: b.selfRecord, BucketHashes: b.members.Buckets(), MemberCount: b.members.Len(),
		}})
	}
	return out
}

// mergeMember merges a record received from another balancer. A fresh record, as
// opposed to one from a repair or a full fetch, is gossiped further. If the record
// claims that this balancer is suspect or has ended, its own record is announced
// again with a higher sequence number to refute the claim.
func (b *Balancer) mergeMember(now time.Time, m roster.Member, fresh bool) {
	if m.Addr != b.self {
		if fresh {
			b.members.Apply(now, m)
		} else {
			b.members.Merge(now, m)
		}
		return
	}
	if m.Incarnation == b.selfRecord.Incarnation && m.State >= roster.Suspect && m.Seq >= b.selfRecord.Seq && b.selfRecord.State < roster.Suspect {
		b.selfRecord.Seq = m.Seq + 1
		b.members.Apply(now, b.selfRecord)
	}
}

// fetchNewerServices queues a fetch of the services that the sender of m has in a
// newer generation. A message without changes whose digest of the configuration
// differs leads to a fetch of all newer services.
func (b *Balancer) fetchNewerServices(m *control.Message) {
	var newer []uint16
	for _, g := range m.Generations {
		if g.Number > b.catalog.Generation(g.Service) {
			newer = append(newer, g.Service)
		}
	}
	if len(newer) > 0 {
		b.queueFetch(fetchRequest{from: m.From.Addr, services: newer})
		return
	}
	hasChanges := len(m.Generations) > 0 || len(m.Members) > 0
	if !hasChanges && m.ConfigDigest != 0 && m.ConfigDigest != b.catalog.Digest() {
		b.queueFetch(fetchRequest{from: m.From.Addr, allServices: true})
	}
}

// announceLeave tells some balancers that this one is leaving.
func (b *Balancer) announceLeave() {
	b.mu.Lock()
	b.selfRecord.Seq++
	b.selfRecord.State = roster.Left
	message := b.newGossip(time.Now(), nil, nil)
	message.NoReply = true
	peers := b.members.Peers(b.self, roster.Fanout)
	b.mu.Unlock()
	for _, p := range peers {
		b.send(p.Addr, message)
	}
}
