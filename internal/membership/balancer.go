package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"skylarkturn/internal/control"
	"skylarkturn/internal/roster"
)

// Outgoing is a message to send.
type Outgoing struct {
	To      netip.AddrPort
	Message *control.Message
}

// TickInterval is the interval at which Tick is to be called in the steady state.
const TickInterval = 200 * time.Millisecond

const (
	heartbeatInterval           = 400 * time.Millisecond // interval of heartbeats from agents and of gossip between balancers
	membersPerMessage           = 6                      // keeps a message below control.MaxMessageSize
	maxDeltaRounds              = 8                      // rounds of messages with deltas per tick
	repairInterval              = time.Second
	unsettledRepairInterval     = 100 * time.Millisecond
	isolationTimeout            = 900 * time.Millisecond // time without a heartbeat from any agent; each sends one every heartbeatInterval
	unsettledTickInterval       = 50 * time.Millisecond
	bucketsPerRepair            = roster.BucketCount / 4
	seedGossipInterval          = 2 * time.Second // reconnects the sides of a healed partition
	unsettledSeedGossipInterval = 200 * time.Millisecond
	noRegistrySettleTimeout     = 3 * time.Second         // long enough for several heartbeats of each agent
	minSettleTime               = 500 * time.Millisecond  // long enough to receive a heartbeat of an agent that failed to register
	partitionSettleTimeout      = 12 * time.Second        // wait for registered agents that a partition may separate; partitions may last this long
	missingAgentSettleTimeout   = 1500 * time.Millisecond // wait for registered agents if other balancers are known; covers several heartbeats
	gossipPeers                 = 8                       // receivers of each round of gossip
)

// Timing holds the failure detection timeouts for heartbeats every 400 ms. Two
// missed heartbeats make an agent suspect.
var Timing = roster.Timing{
	ProbeAfter:    900 * time.Millisecond,
	SuspectAfter:  1000 * time.Millisecond,
	ObserverGrace: 2 * time.Second,
	GoneAfter:     800 * time.Millisecond, // a member that other balancers receive heartbeats from refutes the suspicion in half this time
	ForgetAfter:   2 * time.Minute,
	RestartGrace:  5 * time.Second, // covers the whole shutdown grace period and the start
	Observers:     8,
}

// Balancer is the balancer's side of the membership protocol. It is not safe for
// concurrent use.
type Balancer struct {
	self               roster.Member
	members            *roster.Roster
	seeds              []netip.AddrPort
	configVersion      uint64 // configuration version in force
	startedAt          time.Time
	lastGossip         time.Time // when gossip was last sent to peers
	lastSeedGossip     time.Time // when gossip was last sent to the seeds
	lastRepair         time.Time // when a repair was last requested
	newestVersion      PeerVersion
	missingAgents      map[netip.AddrPort]bool   // registered agents that are not known as members
	registeredCount    int                       // number of registered agents
	deregistered       map[netip.AddrPort]uint64 // incarnations of agents removed from the registry, by address
	registryRead       bool                      // SetRegisteredAgents has been called with a complete list
	storeEpoch         uint64                    // newest known epoch of the store; 0 if none is known
	settled            bool
	peers              peerStates
	lastAgentHeartbeat time.Time // when a heartbeat was last received from any agent
	lastCheck          configCheck
}

// PeerVersion is a configuration version and the peer that has it in force.
type PeerVersion struct {
	Number uint64
	From   netip.AddrPort
}

// NewBalancer returns the state of a balancer that starts now and contacts other
// balancers at the seeds.
func NewBalancer(now time.Time, self roster.Member, seeds []netip.AddrPort, source *rand.Rand) *Balancer {
	self.Role, self.State, self.Seq = roster.Balancer, roster.Ready, 1
	b := &Balancer{self: self, members: roster.New(Timing, source), startedAt: now, deregistered: make(map[netip.AddrPort]uint64)}
	b.members.Apply(now, self)
	b.AddSeeds(seeds)
	return b
}

// AddSeeds adds addresses at which other balancers may be reached.
func (b *Balancer) AddSeeds(seeds []netip.AddrPort) { b.seeds = addSeeds(b.seeds, b.self.Addr, seeds) }

// Members returns the membership table. The caller must not modify it.
func (b *Balancer) Members() *roster.Roster { return b.members }

// SetConfigVersion sets the configuration version that is announced to peers.
func (b *Balancer) SetConfigVersion(v uint64) { b.configVersion = v }

// SetStoreEpoch sets the newest epoch of the store, which is announced to other
// daemons. In a new epoch the registry may again list agents that were removed.
func (b *Balancer) SetStoreEpoch(e uint64) {
	if e <= b.storeEpoch {
		return
	}
	b.storeEpoch = e
	clear(b.deregistered)
}

// NewestVersion returns the newest configuration version announced by a peer, and the last
// peer that has announced it.
func (b *Balancer) NewestVersion() PeerVersion { return b.newestVersion }

// ForgetVersion forgets a version that could not be fetched from the peer, which may have
// ended. The next announcements tell which versions can be had.
func (b *Balancer) ForgetVersion(v PeerVersion) {
	if b.newestVersion == v {
		b.newestVersion = PeerVersion{}
	}
}

// Alone reports whether no other live balancer is known.
func (b *Balancer) Alone() bool { return len(b.members.Peers(b.self.Addr, 1)) == 0 }

// Tick applies the timeouts of members and returns the messages that are due. An
// isolated balancer applies no timeouts.
func (b *Balancer) Tick(now time.Time) []Outgoing {
	if !b.Isolated(now) {
		b.members.Tick(now, b.self.Addr)
	}
	var out []Outgoing
	for range maxDeltaRounds {
		deltas := b.members.Deltas(membersPerMessage)
		if len(deltas) == 0 {
			break
		}
		out = append(out, b.gossipTo(now, roster.Fanout, deltas)...)
	}
	if now.Sub(b.lastGossip) >= heartbeatInterval {
		b.lastGossip = now
		out = append(out, b.Gossip(now)...)
	}
	if b.Alone() || now.Sub(b.lastSeedGossip) >= b.interval(unsettledSeedGossipInterval, seedGossipInterval) {
		b.lastSeedGossip = now
		out = append(out, b.seedGossip(now)...)
	}
	return out
}

// Gossip returns messages that announce the configuration version in force and
// the digest of the members to peers.
func (b *Balancer) Gossip(now time.Time) []Outgoing { return b.gossipTo(now, gossipPeers, nil) }

// gossipTo returns gossip with the given member records to up to n random peers.
func (b *Balancer) gossipTo(now time.Time, n int, members []roster.Member) (out []Outgoing) {
	for _, p := range b.members.Peers(b.self.Addr, n) {
		b.members.ExpectReply(now, p.Addr)
		out = append(out, Outgoing{p.Addr, b.message(now, control.Gossip, members)})
	}
	return out
}

// seedGossip returns gossip to the seeds that are not known as live members.
func (b *Balancer) seedGossip(now time.Time) (out []Outgoing) {
	for _, a := range b.seeds {
		if m, ok := b.members.Get(a); !ok || !roster.Live(&m) {
			out = append(out, Outgoing{a, b.message(now, control.Gossip, nil)})
		}
	}
	return out
}

func (b *Balancer) message(now time.Time, kind control.Kind, members []roster.Member) *control.Message {
	return &control.Message{
		Kind:           kind,
		From:           b.self,
		Members:        members,
		Digest:         b.members.Digest(),
		ConfigVersion:  b.configVersion,
		Settled:        b.settled,
		CheckAgeMillis: b.checkAgeMillis(now),
		CheckNumber:    b.lastCheck.number,
		MadeCheck:      b.lastCheck.local,
		StoreEpoch:     b.storeEpoch,
	}
}

// Receive handles a message and returns the replies.
func (b *Balancer) Receive(now time.Time, m *control.Message) []Outgoing {
	if m.From.Addr == b.self.Addr {
		return nil
	}
	if m.From.Role == roster.Balancer {
		b.updateNewestVersion(m)
		b.updateCheck(now, m)
	}
	switch m.Kind {
	case control.Heartbeat:
		return b.receiveHeartbeat(now, m)
	case control.Gossip:
		return b.receiveGossip(now, m)
	case control.Repair:
		return b.receiveRepair(now, m)
	}
	return nil
}

func (b *Balancer) updateNewestVersion(m *control.Message) {
	if m.ConfigVersion > 0 && m.ConfigVersion >= b.newestVersion.Number {
		b.newestVersion = PeerVersion{m.ConfigVersion, m.From.Addr}
	}
}

// receiveHeartbeat returns an Ack if the agent requests one or if the agent's
// incarnation, state or observers differ from those known here.
func (b *Balancer) receiveHeartbeat(now time.Time, m *control.Message) []Outgoing {
	b.lastAgentHeartbeat = now
	b.members.ApplyDirect(now, m.From)
	known, _ := b.members.Get(m.From.Addr)
	observers := b.members.Observers(m.From.Service, Timing.Observers)
	current := known.Incarnation == m.From.Incarnation && known.State == m.From.State
	if current && !m.WantReply && m.Digest == observersDigest(observers) {
		return nil
	}
	ack := b.message(now, control.Ack, nil)
	ack.KnownState = known.State
	ack.KnownIncarnation = known.Incarnation
	ack.MemberCount = b.members.Len()
	for _, o := range observers {
		ack.Observers = append(ack.Observers, o.Addr)
	}
	return []Outgoing{{m.From.Addr, ack}}
}

func (b *Balancer) receiveGossip(now time.Time, m *control.Message) (out []Outgoing) {
	b.members.ApplyDirect(now, m.From)
	for _, r := range m.Members {
		b.applyRecord(now, r)
	}
	if known, _ := b.members.Get(m.From.Addr); !roster.Live(&known) || known.Incarnation != m.From.Incarnation {
		return append(out, Outgoing{m.From.Addr, b.message(now, control.Gossip, []roster.Member{known})})
	}
	b.updatePeerStates(m)
	if len(m.Members) == 0 && m.Digest != b.members.Digest() && now.Sub(b.lastRepair) >= b.interval(unsettledRepairInterval, repairInterval) {
		b.lastRepair = now
		repair := b.message(now, control.Repair, nil)
		repair.BucketHashes = b.members.Buckets()
		out = append(out, Outgoing{m.From.Addr, repair})
	}
	return out
}

// interval returns one of two intervals, depending on whether the balancer is
// settled.
func (b *Balancer) interval(unsettled, settled time.Duration) time.Duration {
	if b.settled {
		return settled
	}
	return unsettled
}

// TickAfter returns the time until Tick is to be called again.
func (b *Balancer) TickAfter(now time.Time) time.Duration {
	if b.settled || now.Sub(b.startedAt) > noRegistrySettleTimeout {
		return TickInterval
	}
	return unsettledTickInterval
}

// receiveRepair returns the records of buckets that differ from the sender's.
func (b *Balancer) receiveRepair(now time.Time, m *control.Message) (out []Outgoing) {
	var records []roster.Member
	for _, bucket := range b.members.DifferingBuckets(m.BucketHashes, bucketsPerRepair) {
		records = append(records, b.members.MissingRecords(bucket, nil)...)
	}
	for len(records) > 0 {
		n := min(membersPerMessage, len(records))
		out = append(out, Outgoing{m.From.Addr, b.message(now, control.Gossip, records[:n])})
		records = records[n:]
	}
	return out
}

// applyRecord applies a record sent by another balancer. A record of this balancer
// itself is not applied, but refuted if it is wrong.
func (b *Balancer) applyRecord(now time.Time, m roster.Member) {
	if m.Addr != b.self.Addr {
		b.members.Apply(now, m)
		return
	}
	if refuteRecord(&b.self, m.Incarnation, m.State) {
		b.members.Apply(now, b.self)
	}
}

// refuteRecord updates a member's own record so that it supersedes a record of
// other members that has a later incarnation, or that has the state Suspect or
// later although the member is live. It reports whether an update was needed.
func refuteRecord(self *roster.Member, incarnation uint64, state roster.State) bool {
	switch {
	case incarnation > self.Incarnation:
		self.Incarnation = incarnation + 1 // the VM's clock was set back
	case incarnation == self.Incarnation && state >= roster.Suspect && self.State < roster.Suspect:
	default:
		return false
	}
	self.Seq++
	return true
}

// Leave returns the messages that announce to peers that this balancer is
// stopping.
func (b *Balancer) Leave(now time.Time) []Outgoing {
	b.self.Seq++
	b.self.State = roster.Left
	return b.gossipTo(now, gossipPeers, []roster.Member{b.self})
}

// observersDigest returns a hash over a set of observers. Agents send theirs in
// heartbeats so that balancers detect a difference.
func observersDigest(observers []roster.Member) (d uint64) {
	for i := range observers {
		d ^= roster.AddrHash(observers[i].Addr)
	}
	return d
}

// addSeeds appends the addresses in more that are not in seeds and not self.
func addSeeds(seeds []netip.AddrPort, self netip.AddrPort, more []netip.AddrPort) []netip.AddrPort {
	for _, a := range more {
		if a != self && !slices.Contains(seeds, a) {
			seeds = append(seeds, a)
		}
	}
	return seeds
}
