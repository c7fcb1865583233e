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

// TickEvery is the interval at which Tick is to be called in steady state.
const TickEvery = 200 * time.Millisecond

const (
	beatEvery             = 400 * time.Millisecond // heartbeats of agents, gossip of balancers
	membersPerMessage     = 6                      // keep a message under control.MaxMessage
	deltaMessages         = 8                      // messages with news in a tick
	repairEvery           = time.Second
	firstRepairEvery      = 100 * time.Millisecond // until all members are known
	isolatedAfter         = 900 * time.Millisecond // without any agent's heartbeat; each sends one every beatEvery
	startTick             = 50 * time.Millisecond  // until all members are known
	bucketsPerRepair      = roster.BucketCount / 4
	reintroduceEvery      = 2 * time.Second         // joins halves that lost each other
	firstReintroduceEvery = 200 * time.Millisecond  // until all members are known
	settleAfter           = 3 * time.Second         // agents send several heartbeats in this time
	registryAfter         = 500 * time.Millisecond  // an agent that could not register has been heard by then
	expectFor             = 12 * time.Second        // time that agents in the registry are waited for; partitions may last as long
	unheardFor            = 1500 * time.Millisecond // the same where other balancers are heard: several heartbeats to each
	maxPeers              = 8                       // balancers that gossip goes to at a time
)

// Timing judges members by heartbeats every 400 ms: two missed ones make an
// agent suspect.
var Timing = roster.Timing{
	QuietAfter:   900 * time.Millisecond,
	SuspectAfter: 1000 * time.Millisecond,
	AdoptAfter:   2 * time.Second,
	GoneAfter:    800 * time.Millisecond, // other balancers that hear it say so in half of that
	ForgetAfter:  2 * time.Minute,
	BackAfter:    5 * time.Second, // a stop may take the whole grace, and the start some time
	Observers:    8,
}

// Balancer is the membership of a balancer. It is not safe for concurrent use.
type Balancer struct {
	me         roster.Member
	members    *roster.Roster
	seeds      []netip.AddrPort
	version    uint64 // of the configuration in force
	started    time.Time
	gossiped   time.Time
	introduced time.Time
	repaired   time.Time
	newest     Version
	expected   map[netip.AddrPort]bool   // agents of the registry that have not been heard
	listed     int                       // agents of the registry
	forgotten  map[netip.AddrPort]uint64 // incarnations of agents that are out of the registry
	told       bool                      // whether the registry has been read
	settled    bool
	peers      peerViews
	heardAgent time.Time // last heartbeat of any agent
	confirmed  confirmation
}

// Version is a configuration version that a peer has in force.
type Version struct {
	Number uint64
	From   netip.AddrPort
}

// NewBalancer returns the membership of a balancer that starts now.
func NewBalancer(now time.Time, me roster.Member, seeds []netip.AddrPort, source *rand.Rand) *Balancer {
	me.Role, me.State, me.Seq = roster.Balancer, roster.Ready, 1
	b := &Balancer{me: me, members: roster.New(Timing, source), started: now, forgotten: make(map[netip.AddrPort]uint64)}
	b.members.Apply(now, me)
	b.AddSeeds(seeds)
	return b
}

// AddSeeds adds addresses at which other balancers may be found.
func (b *Balancer) AddSeeds(seeds []netip.AddrPort) { b.seeds = addSeeds(b.seeds, b.me.Addr, seeds) }

// Members returns the table of members; the caller must not change it.
func (b *Balancer) Members() *roster.Roster { return b.members }

// SetVersion sets the configuration version that peers are told of.
func (b *Balancer) SetVersion(v uint64) { b.version = v }

// Newest returns the newest version that a peer has told of.
func (b *Balancer) Newest() Version { return b.newest }

// Alone reports whether no other balancer is known to be live.
func (b *Balancer) Alone() bool { return len(b.members.Peers(b.me.Addr, 1)) == 0 }

// Tick returns the messages that are due.
func (b *Balancer) Tick(now time.Time) []Outgoing {
	if !b.Isolated(now) {
		b.members.Tick(now, b.me.Addr)
	}
	var out []Outgoing
	for range deltaMessages {
		deltas := b.members.Deltas(membersPerMessage)
		if len(deltas) == 0 {
			break
		}
		out = append(out, b.tell(now, roster.Fanout, deltas)...)
	}
	if now.Sub(b.gossiped) >= beatEvery {
		b.gossiped = now
		out = append(out, b.Gossip(now)...)
	}
	if b.Alone() || now.Sub(b.introduced) >= b.interval(firstReintroduceEvery, reintroduceEvery) {
		b.introduced = now
		out = append(out, b.introductions(now)...)
	}
	return out
}

// Gossip returns messages that tell peers of the configuration version in force
// and let them compare what they know of members.
func (b *Balancer) Gossip(now time.Time) []Outgoing { return b.tell(now, maxPeers, nil) }

// Tells up to n peers of some members.
func (b *Balancer) tell(now time.Time, n int, members []roster.Member) (out []Outgoing) {
	for _, p := range b.members.Peers(b.me.Addr, n) {
		b.members.Await(now, p.Addr)
		out = append(out, Outgoing{p.Addr, b.message(now, control.Gossip, members)})
	}
	return out
}

func (b *Balancer) introductions(now time.Time) (out []Outgoing) {
	for _, a := range b.seeds {
		if m, ok := b.members.Get(a); !ok || !roster.Live(&m) {
			out = append(out, Outgoing{a, b.message(now, control.Gossip, nil)})
		}
	}
	return out
}

func (b *Balancer) message(now time.Time, kind control.Kind, members []roster.Member) *control.Message {
	return &control.Message{
		Kind:       kind,
		From:       b.me,
		Members:    members,
		Digest:     b.members.Digest(),
		Version:    b.version,
		Settled:    b.settled,
		CheckedAgo: b.checkedAgo(now),
		Check:      b.confirmed.number,
		Checker:    b.confirmed.here,
	}
}

// Receive takes a message and returns the answers.
func (b *Balancer) Receive(now time.Time, m *control.Message) []Outgoing {
	if m.From.Addr == b.me.Addr {
		return nil
	}
	if m.From.Role == roster.Balancer {
		b.hearVersion(m)
		b.hearCheck(now, m)
	}
	switch m.Kind {
	case control.Heartbeat:
		return b.heartbeat(now, m)
	case control.Gossip:
		return b.receiveGossip(now, m)
	case control.Repair:
		return b.push(now, m)
	}
	return nil
}

func (b *Balancer) hearVersion(m *control.Message) {
	if m.Version > b.newest.Number {
		b.newest = Version{m.Version, m.From.Addr}
	}
}

// Takes an agent's heartbeat, and answers it when the agent asks or when what
// the agent says of itself is not what is known here.
func (b *Balancer) heartbeat(now time.Time, m *control.Message) []Outgoing {
	b.heardAgent = now
	b.members.Heard(now, m.From)
	known, _ := b.members.Get(m.From.Addr)
	observers := b.members.Observers(m.From.Service, Timing.Observers)
	current := known.Incarnation == m.From.Incarnation && known.State == m.From.State
	if current && !m.Unknown && m.Digest == observersDigest(observers) {
		return nil
	}
	ack := b.message(now, control.Ack, nil)
	ack.Believed = known.State
	ack.Known = known.Incarnation
	ack.Count = b.members.Len()
	for _, o := range observers {
		ack.Observers = append(ack.Observers, o.Addr)
	}
	return []Outgoing{{m.From.Addr, ack}}
}

func (b *Balancer) receiveGossip(now time.Time, m *control.Message) (out []Outgoing) {
	b.members.Heard(now, m.From)
	for _, r := range m.Members {
		b.learn(now, r)
	}
	if known, _ := b.members.Get(m.From.Addr); !roster.Live(&known) || known.Incarnation != m.From.Incarnation {
		return append(out, Outgoing{m.From.Addr, b.message(now, control.Gossip, []roster.Member{known})})
	}
	b.hearView(m)
	if len(m.Members) == 0 && m.Digest != b.members.Digest() && now.Sub(b.repaired) >= b.interval(firstRepairEvery, repairEvery) {
		b.repaired = now
		repair := b.message(now, control.Repair, nil)
		repair.Buckets = b.members.Buckets()
		out = append(out, Outgoing{m.From.Addr, repair})
	}
	return out
}

// Returns the first interval until all members are known, then the other.
func (b *Balancer) interval(first, settled time.Duration) time.Duration {
	if b.settled {
		return settled
	}
	return first
}

// TickAfter returns the time until Tick is to be called again.
func (b *Balancer) TickAfter(now time.Time) time.Duration {
	if b.settled || now.Sub(b.started) > settleAfter {
		return TickEvery
	}
	return startTick
}

// Sends the records of the buckets that differ from the asker's.
func (b *Balancer) push(now time.Time, m *control.Message) (out []Outgoing) {
	var records []roster.Member
	for _, bucket := range b.members.Differing(m.Buckets, bucketsPerRepair) {
		records = append(records, b.members.Missing(bucket, nil)...)
	}
	for len(records) > 0 {
		n := min(membersPerMessage, len(records))
		out = append(out, Outgoing{m.From.Addr, b.message(now, control.Gossip, records[:n])})
		records = records[n:]
	}
	return out
}

// Takes a record that another balancer sent. False news of this balancer's own
// end is taken back.
func (b *Balancer) learn(now time.Time, m roster.Member) {
	if m.Addr != b.me.Addr {
		b.members.Apply(now, m)
		return
	}
	if refute(&b.me, m.Incarnation, m.State) {
		b.members.Apply(now, b.me)
	}
}

// Changes the record of a member that others believe to have ended, or to be of
// a later incarnation, so that it supersedes what they believe.
func refute(me *roster.Member, incarnation uint64, believed roster.State) bool {
	switch {
	case incarnation > me.Incarnation:
		me.Incarnation = incarnation + 1 // the VM's clock was set back
	case incarnation == me.Incarnation && believed >= roster.Suspect && me.State < roster.Suspect:
	default:
		return false
	}
	me.Seq++
	return true
}

// Farewell returns the messages that tell peers that this balancer leaves.
func (b *Balancer) Farewell(now time.Time) []Outgoing {
	b.me.Seq++
	b.me.State = roster.Left
	return b.tell(now, maxPeers, []roster.Member{b.me})
}

// observersDigest returns a hash of a set of observers, by which agents and
// balancers find that they know different ones.
func observersDigest(observers []roster.Member) (d uint64) {
	for i := range observers {
		d ^= roster.AddrHash(observers[i].Addr)
	}
	return d
}

func addSeeds(seeds []netip.AddrPort, self netip.AddrPort, more []netip.AddrPort) []netip.AddrPort {
	for _, a := range more {
		if a != self && !slices.Contains(seeds, a) {
			seeds = append(seeds, a)
		}
	}
	return seeds
}
