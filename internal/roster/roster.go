package roster

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// BucketCount is the number of buckets that digests are kept for.
const BucketCount = 64

// Timing holds the intervals that a Roster judges members by.
type Timing struct {
	QuietAfter   time.Duration // silence of an observed agent after which it is asked by other means
	SuspectAfter time.Duration // silence of an observed agent, or of a balancer that was asked
	AdoptAfter   time.Duration // grace for an agent whose observer this daemon has become
	GoneAfter    time.Duration // time as suspect
	ForgetAfter  time.Duration // time that a gone or left member is remembered
	BackAfter    time.Duration // more time as suspect for a member that said it would be back
	Observers    int           // balancers that observe a target; 0 is ObserverCount
}

func (t *Timing) observers() int {
	if t.Observers == 0 {
		return ObserverCount
	}
	return t.Observers
}

// DefaultTiming keeps the time from a target's death to its removal from
// placement under three seconds.
var DefaultTiming = Timing{
	QuietAfter:   1200 * time.Millisecond,
	SuspectAfter: 2 * time.Second,
	AdoptAfter:   5 * time.Second,
	GoneAfter:    10 * time.Second,
	ForgetAfter:  10 * time.Minute,
}

type entry struct {
	member  Member
	heard   time.Time // last heartbeat of an agent; zero when not observed
	awaited time.Time // since when a balancer owes an answer; zero when it owes none
	changed time.Time
	sends   int // transmissions of the record still to make
}

// Roster is the view that one daemon has of the members. It is not safe for
// concurrent use.
type Roster struct {
	timing  Timing
	rand    *rand.Rand
	entries map[netip.AddrPort]*entry
	pending []netip.AddrPort // addresses with transmissions to make
	buckets [BucketCount]uint64
	version uint64

	counts    [Agent + 1][Left + 1]int
	agents    map[uint16][]netip.AddrPort // by service, in order
	live      []Member                    // balancers, as of liveAt
	liveAt    uint64
	awaiting  map[netip.AddrPort]bool // balancers that owe an answer
	watched   []netip.AddrPort        // members that time may change, as of watchedAt
	watchedAt uint64

	balancers uint64              // version of the set of live balancers
	chosen    map[uint16][]Member // observers by service, as of chosenAt
	chosenAt  uint64
}

// New returns an empty roster.
func New(timing Timing, source *rand.Rand) *Roster {
	return &Roster{timing: timing, rand: source, entries: make(map[netip.AddrPort]*entry), agents: make(map[uint16][]netip.AddrPort), awaiting: make(map[netip.AddrPort]bool)}
}

// Version rises with every change that placement or digests can see.
func (r *Roster) Version() uint64 { return r.version }

// Len returns the number of members, those gone included.
func (r *Roster) Len() int { return len(r.entries) }

// Heard takes a message that came from the member itself and reports whether
// its record changed. A record without name, zone and host keeps those known.
func (r *Roster) Heard(now time.Time, m Member) bool {
	if e := r.entries[m.Addr]; e != nil && m.Name == "" {
		m.Name, m.Zone, m.Host = e.member.Name, e.member.Zone, e.member.Host
	}
	changed := r.Apply(now, m)
	e := r.entries[m.Addr]
	if e.member.Incarnation != m.Incarnation {
		return changed
	}
	if m.Role == Agent {
		e.heard = now
	}
	e.awaited = time.Time{}
	e.member.Sessions, e.member.Busy = m.Sessions, m.Busy
	e.member.Generation = m.Generation
	return changed
}

// Apply takes a record, whoever sent it, and reports whether it was news, which
// is then spread further.
func (r *Roster) Apply(now time.Time, m Member) bool {
	if !r.Absorb(now, m) {
		return false
	}
	r.spread(r.entries[m.Addr])
	return true
}

// Absorb takes a record that most others have, as from a repair or a full copy,
// and reports whether it was news; it is not spread further.
func (r *Roster) Absorb(now time.Time, m Member) bool {
	e := r.entries[m.Addr]
	if e == nil {
		e = &entry{}
		r.entries[m.Addr] = e
	} else if !m.Supersedes(&e.member) {
		return false
	}
	e.heard, e.awaited = time.Time{}, time.Time{} // others hear it, too
	r.replace(now, e, m)
	return true
}

// Await notes that a balancer was sent a message that it has to answer.
func (r *Roster) Await(now time.Time, a netip.AddrPort) {
	if e := r.entries[a]; e != nil && e.awaited.IsZero() {
		e.awaited = now
		r.awaiting[a] = true
	}
}

// Awaited returns the live balancers that owe an answer.
func (r *Roster) Awaited() []netip.AddrPort {
	var owing []netip.AddrPort
	for a := range r.awaiting {
		e := r.entries[a]
		if e == nil || e.awaited.IsZero() || !Live(&e.member) {
			delete(r.awaiting, a)
			continue
		}
		owing = append(owing, a)
	}
	slices.SortFunc(owing, netip.AddrPort.Compare)
	return owing
}

func (r *Roster) replace(now time.Time, e *entry, m Member) {
	if e.member.Addr.IsValid() {
		r.buckets[bucketOf(m.Addr)] ^= e.member.hash()
	}
	if m.Role == Balancer && (e.member.Incarnation != m.Incarnation || Live(&e.member) != Live(&m)) {
		r.balancers++
	}
	r.index(&e.member, &m)
	r.count(&e.member, -1)
	r.count(&m, 1)
	e.member = m
	e.changed = now
	r.buckets[bucketOf(m.Addr)] ^= m.hash()
	r.version++
}

func (r *Roster) count(m *Member, n int) {
	if m.Addr.IsValid() && m.Role <= Agent && m.State <= Left {
		r.counts[m.Role][m.State] += n
	}
}

// Count returns the number of members of a role in any of the states.
func (r *Roster) Count(role Role, states ...State) (n int) {
	for _, s := range states {
		n += r.counts[role][s]
	}
	return n
}

// Keeps the agents of each service in order.
func (r *Roster) index(old, m *Member) {
	if old.Addr.IsValid() && old.Role == m.Role && old.Service == m.Service {
		return
	}
	if old.Role == Agent {
		r.unindex(old)
	}
	if m.Role == Agent {
		list := r.agents[m.Service]
		i, _ := slices.BinarySearchFunc(list, m.Addr, netip.AddrPort.Compare)
		r.agents[m.Service] = slices.Insert(list, i, m.Addr)
	}
}

func (r *Roster) unindex(m *Member) {
	list := r.agents[m.Service]
	i, ok := slices.BinarySearchFunc(list, m.Addr, netip.AddrPort.Compare)
	if !ok {
		return
	}
	list = slices.Delete(list, i, i+1)
	if len(list) == 0 {
		delete(r.agents, m.Service)
		return
	}
	r.agents[m.Service] = list
}

func (r *Roster) spread(e *entry) {
	if e.sends == 0 {
		r.pending = append(r.pending, e.member.Addr)
	}
	e.sends = r.transmissions()
}

// Fanout is the number of peers that each transmission of deltas goes to.
const Fanout = 3

// Each member that learns a record sends it to about 2·log2(n) peers; repair
// finds those whom that misses.
func (r *Roster) transmissions() int {
	return (2*bits.Len(uint(len(r.entries))) + Fanout - 1) / Fanout
}

// Tick judges the members that self observes, forgets those gone for long, and
// returns the records that changed.
func (r *Roster) Tick(now time.Time, self netip.AddrPort) []Member {
	r.watch(now, self)
	var changed []Member
	for _, a := range r.watched {
		changed = append(changed, r.tick(now, a)...)
	}
	for _, a := range r.Awaited() {
		changed = append(changed, r.tick(now, a)...)
	}
	return changed
}

func (r *Roster) tick(now time.Time, a netip.AddrPort) []Member {
	e := r.entries[a]
	if e == nil {
		return nil
	}
	next, due := r.judge(now, e)
	if !due {
		return nil
	}
	if next == 0 {
		r.forget(a, e)
		return nil
	}
	m := e.member
	m.State = next
	r.replace(now, e, m)
	r.spread(e)
	return []Member{m}
}

// Finds the members that time may change: the agents that self observes, and
// whoever is suspect, gone or left. They change only with the records.
func (r *Roster) watch(now time.Time, self netip.AddrPort) {
	if r.watchedAt == r.version {
		return
	}
	r.watched, r.watchedAt = r.watched[:0], r.version
	for a, e := range r.entries {
		if a == self {
			continue
		}
		if e.member.Role == Agent && Live(&e.member) {
			r.adopt(now, e, self)
		}
		if !Live(&e.member) || !e.heard.IsZero() {
			r.watched = append(r.watched, a)
		}
	}
	slices.SortFunc(r.watched, netip.AddrPort.Compare)
}

// Quiet returns the agents under observation, as of the last Tick, that have
// missed a heartbeat.
func (r *Roster) Quiet(now time.Time) (quiet []Member) {
	for _, a := range r.watched {
		e := r.entries[a]
		if e == nil || e.member.Role != Agent || e.member.State >= Gone || e.heard.IsZero() {
			continue
		}
		if now.Sub(e.heard) > r.timing.QuietAfter {
			quiet = append(quiet, e.member)
		}
	}
	return quiet
}

// Ended notes that the incarnation of a member has ended for certain.
func (r *Roster) Ended(now time.Time, a netip.AddrPort, incarnation uint64) bool {
	m, ok := r.Get(a)
	if !ok || m.Incarnation != incarnation {
		return false
	}
	m.State = Left
	return r.Apply(now, m)
}

// Starts to judge an agent when self has become its observer, and stops when
// it no longer is.
func (r *Roster) adopt(now time.Time, e *entry, self netip.AddrPort) {
	observing := contains(r.Observers(e.member.Service, r.timing.observers()), self)
	switch {
	case !observing:
		e.heard = time.Time{}
	case e.heard.IsZero():
		e.heard = now.Add(r.timing.AdoptAfter)
	}
}

// Returns the state that is due for the member; zero is to forget it.
func (r *Roster) judge(now time.Time, e *entry) (State, bool) {
	age := now.Sub(e.changed)
	switch {
	case e.member.State >= Gone:
		return 0, age > r.timing.ForgetAfter
	case e.member.State == Suspect && e.member.Back:
		return Gone, age > r.timing.GoneAfter+r.timing.BackAfter
	case e.member.State == Suspect:
		return Gone, age > r.timing.GoneAfter
	case !e.heard.IsZero():
		return Suspect, now.Sub(e.heard) > r.timing.SuspectAfter
	case !e.awaited.IsZero():
		return Suspect, now.Sub(e.awaited) > r.timing.SuspectAfter
	}
	return 0, false
}

// ServiceDigest returns a hash over the records of a service's live agents.
func (r *Roster) ServiceDigest(service uint16) uint64 {
	var d uint64
	for _, a := range r.agents[service] {
		if m := &r.entries[a].member; Live(m) {
			d ^= m.hash()
		}
	}
	return d
}

// Agents returns the agents of a service, those gone included, in order.
func (r *Roster) Agents(service uint16) []Member {
	list := make([]Member, 0, len(r.agents[service]))
	for _, a := range r.agents[service] {
		list = append(list, r.entries[a].member)
	}
	return list
}

func (r *Roster) forget(a netip.AddrPort, e *entry) {
	r.buckets[bucketOf(a)] ^= e.member.hash()
	r.count(&e.member, -1)
	if e.member.Role == Balancer {
		r.balancers++
	} else {
		r.unindex(&e.member)
	}
	delete(r.entries, a)
	r.version++
}

// Get returns the record of the member at the address.
func (r *Roster) Get(a netip.AddrPort) (Member, bool) {
	if e := r.entries[a]; e != nil {
		return e.member, true
	}
	return Member{}, false
}

// Heartbeat returns when the member was last heard directly; zero is never.
func (r *Roster) Heartbeat(a netip.AddrPort) time.Time {
	if e := r.entries[a]; e != nil {
		return e.heard
	}
	return time.Time{}
}

// Members returns the members for which keep is true, ordered by address.
func (r *Roster) Members(keep func(*Member) bool) []Member {
	var found []Member
	for _, e := range r.entries {
		if keep(&e.member) {
			found = append(found, e.member)
		}
	}
	slices.SortFunc(found, func(a, b Member) int { return a.Addr.Compare(b.Addr) })
	return found
}

// Deltas returns up to n records that are still to be spread, those with the
// most transmissions left first, and counts one transmission for each.
func (r *Roster) Deltas(n int) []Member {
	r.pending = slices.DeleteFunc(r.pending, func(a netip.AddrPort) bool {
		e := r.entries[a]
		return e == nil || e.sends == 0
	})
	slices.SortStableFunc(r.pending, func(a, b netip.AddrPort) int {
		return cmp.Compare(r.entries[b].sends, r.entries[a].sends)
	})
	picked := r.pending[:min(n, len(r.pending))]
	deltas := make([]Member, len(picked))
	for i, a := range picked {
		r.entries[a].sends--
		deltas[i] = r.entries[a].member
	}
	return deltas
}

// Live reports whether the member counts as here for control messages.
func Live(m *Member) bool { return m.State < Suspect }

// Balancers returns the live balancers in order; the caller must not change the
// slice.
func (r *Roster) Balancers() []Member {
	if r.live == nil || r.liveAt != r.balancers {
		r.live = r.Members(func(m *Member) bool { return m.Role == Balancer && Live(m) })
		r.liveAt = r.balancers
	}
	return r.live
}

// Peers returns up to n live balancers chosen at random, other than self.
func (r *Roster) Peers(self netip.AddrPort, n int) []Member {
	all := r.Balancers()
	peers := make([]Member, 0, n)
	for _, i := range r.sample(len(all), n+1) {
		if all[i].Addr != self && len(peers) < n {
			peers = append(peers, all[i])
		}
	}
	return peers
}

// Returns up to k different numbers below n at random.
func (r *Roster) sample(n, k int) []int {
	if k >= n {
		return r.rand.Perm(n)
	}
	chosen := make([]int, 0, k)
	for len(chosen) < k {
		if i := r.rand.IntN(n); !slices.Contains(chosen, i) {
			chosen = append(chosen, i)
		}
	}
	return chosen
}

// ObserverCount is the number of balancers that observe a target where Timing
// gives none.
const ObserverCount = 2

// Observers returns the n live balancers that observe the targets of a
// service: the first by rendezvous hash, in different zones where there are.
// The result is kept until the set of live balancers changes.
func (r *Roster) Observers(service uint16, n int) []Member {
	if r.chosen == nil || r.chosenAt != r.balancers {
		r.chosen, r.chosenAt = make(map[uint16][]Member), r.balancers
	}
	if c, ok := r.chosen[service]; ok && len(c) <= n {
		return c
	}
	c := r.choose(service, n)
	r.chosen[service] = c
	return c
}

func (r *Roster) choose(service uint16, n int) []Member {
	all := slices.Clone(r.Balancers())
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Compare(observerScore(service, &b), observerScore(service, &a))
	})
	chosen := make([]Member, 0, n)
	zones := make(map[string]bool)
	for pass := range 2 {
		for _, m := range all {
			if len(chosen) == n {
				return chosen
			}
			if fresh := !zones[m.Zone]; fresh == (pass == 0) && !contains(chosen, m.Addr) {
				chosen = append(chosen, m)
				zones[m.Zone] = true
			}
		}
	}
	return chosen
}

func contains(members []Member, a netip.AddrPort) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Addr == a })
}

func observerScore(service uint16, m *Member) uint64 {
	a4 := m.Addr.Addr().As4()
	p := m.Addr.Port()
	return xxh3.Hash([]byte{a4[0], a4[1], a4[2], a4[3], byte(p >> 8), byte(p), byte(service >> 8), byte(service)})
}
