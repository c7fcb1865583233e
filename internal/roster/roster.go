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

// Timing holds the timeouts of failure detection.
type Timing struct {
	ProbeAfter    time.Duration // time without a heartbeat after which an observed agent is probed
	SuspectAfter  time.Duration // time without a heartbeat from an agent, or a reply from a balancer, after which it is Suspect
	ObserverGrace time.Duration // added to SuspectAfter for an agent that this daemon has just begun to observe
	GoneAfter     time.Duration // time in Suspect after which a member is Gone
	ForgetAfter   time.Duration // time in Gone or Left before the record is deleted
	RestartGrace  time.Duration // added to GoneAfter during a planned restart
	Observers     int           // number of observers of each target; 0 means DefaultObservers
}

func (t *Timing) observers() int {
	if t.Observers == 0 {
		return DefaultObservers
	}
	return t.Observers
}

// DefaultTiming removes a failed target from placement in less than three
// seconds.
var DefaultTiming = Timing{
	ProbeAfter:    1200 * time.Millisecond,
	SuspectAfter:  2 * time.Second,
	ObserverGrace: 5 * time.Second,
	GoneAfter:     10 * time.Second,
	ForgetAfter:   10 * time.Minute,
}

// entry is the record of a member with the state of its timeouts and dissemination.
type entry struct {
	member            Member
	lastHeartbeat     time.Time // last heartbeat of an observed agent, or the end of its initial grace period; else zero
	heardAt           time.Time // when a record was last received from the member itself; zero if never
	awaitingSince     time.Time // when a balancer was sent the oldest message it has not replied to; zero if none
	changedAt         time.Time // when member was last replaced
	transmissionsLeft int       // remaining transmissions of the record as a delta
}

// Roster is one daemon's view of the membership. It is not safe for concurrent
// use.
type Roster struct {
	timing        Timing
	rand          *rand.Rand
	entries       map[netip.AddrPort]*entry
	transmitQueue []netip.AddrPort    // superset of the members with transmissionsLeft > 0
	buckets       [BucketCount]uint64 // XOR of the record hashes in each bucket
	version       uint64              // see Version

	counts               [Agent + 1][Left + 1]int    // members by role and state
	agents               map[uint16][]netip.AddrPort // by service, sorted
	liveBalancers        []Member                    // cached as of liveBalancersVersion
	liveBalancersVersion uint64
	awaitingReply        map[netip.AddrPort]bool // superset of the balancers with awaitingSince set
	monitored            []netip.AddrPort        // members subject to timeouts, cached as of monitoredVersion
	monitoredVersion     uint64

	balancerSetVersion   uint64              // version of the set of live balancers
	observerCache        map[uint16][]Member // by service, as of observerCacheVersion
	observerCacheVersion uint64
}

// New returns an empty roster that uses source for random choices.
func New(timing Timing, source *rand.Rand) *Roster {
	return &Roster{timing: timing, rand: source, entries: make(map[netip.AddrPort]*entry), agents: make(map[uint16][]netip.AddrPort), awaitingReply: make(map[netip.AddrPort]bool)}
}

// Version returns a counter that is incremented by every change that affects
// placement or digests.
func (r *Roster) Version() uint64 { return r.version }

// Len returns the number of members in any state.
func (r *Roster) Len() int { return len(r.entries) }

// ApplyDirect is like Apply for a record received from the member itself, which
// proves that the member is running. If m has no name, the known name, zone and
// host are kept.
func (r *Roster) ApplyDirect(now time.Time, m Member) bool {
	if e := r.entries[m.Addr]; e != nil && m.Name == "" {
		m.Name, m.Zone, m.Host = e.member.Name, e.member.Zone, e.member.Host
	}
	changed := r.Apply(now, m)
	e := r.entries[m.Addr]
	if e.member.Incarnation != m.Incarnation {
		return changed
	}
	if m.Role == Agent {
		e.lastHeartbeat = now
	}
	e.heardAt = now
	e.awaitingSince = time.Time{}
	e.member.Sessions, e.member.Busy = m.Sessions, m.Busy
	e.member.Generation = m.Generation
	return changed
}

// Apply applies a record from any source and reports whether it superseded the
// known one. If so, the record is queued for dissemination.
func (r *Roster) Apply(now time.Time, m Member) bool {
	if !r.Merge(now, m) {
		return false
	}
	r.queueTransmissions(r.entries[m.Addr])
	return true
}

// Merge is like Apply but does not queue the record for dissemination. It is
// for records that most members have already, such as those from a repair or a
// full copy.
func (r *Roster) Merge(now time.Time, m Member) bool {
	e := r.entries[m.Addr]
	if e == nil {
		e = &entry{}
		r.entries[m.Addr] = e
	} else {
		if m.State == Gone && r.heardRecently(now, e, &m) {
			m.State = Suspect // until the member refutes it or is no longer heard here
		}
		if !m.Supersedes(&e.member) {
			return false
		}
	}
	e.lastHeartbeat, e.awaitingSince = time.Time{}, time.Time{} // others receive its heartbeats, too: restart its timeouts
	r.replace(now, e, m)
	return true
}

// heardRecently reports whether this daemon itself has heard the incarnation of record m
// so recently that it would not suspect it. That is better evidence than the records of
// others, which may have been cut off from the member.
func (r *Roster) heardRecently(now time.Time, e *entry, m *Member) bool {
	return m.Incarnation == e.member.Incarnation && !e.heardAt.IsZero() && now.Sub(e.heardAt) <= r.timing.SuspectAfter
}

// ExpectReply records that a message was sent to a balancer that must reply to it.
func (r *Roster) ExpectReply(now time.Time, a netip.AddrPort) {
	if e := r.entries[a]; e != nil && e.awaitingSince.IsZero() {
		e.awaitingSince = now
		r.awaitingReply[a] = true
	}
}

// AwaitingReply returns the live balancers that have yet to reply to a message,
// sorted by address.
func (r *Roster) AwaitingReply() []netip.AddrPort {
	var outstanding []netip.AddrPort
	for a := range r.awaitingReply {
		e := r.entries[a]
		if e == nil || e.awaitingSince.IsZero() || !Live(&e.member) {
			delete(r.awaitingReply, a)
			continue
		}
		outstanding = append(outstanding, a)
	}
	slices.SortFunc(outstanding, netip.AddrPort.Compare)
	return outstanding
}

// replace stores m in e and updates the digests, indexes, counts and versions.
func (r *Roster) replace(now time.Time, e *entry, m Member) {
	if e.member.Addr.IsValid() {
		r.buckets[bucketOf(m.Addr)] ^= e.member.hash()
	}
	if m.Role == Balancer && (e.member.Incarnation != m.Incarnation || Live(&e.member) != Live(&m)) {
		r.balancerSetVersion++
	}
	r.updateAgentIndex(&e.member, &m)
	r.addToCounts(&e.member, -1)
	r.addToCounts(&m, 1)
	e.member = m
	e.changedAt = now
	r.buckets[bucketOf(m.Addr)] ^= m.hash()
	r.version++
}

func (r *Roster) addToCounts(m *Member, n int) {
	if m.Addr.IsValid() && m.Role <= Agent && m.State <= Left {
		r.counts[m.Role][m.State] += n
	}
}

// Count returns the number of members with the role and one of the states.
func (r *Roster) Count(role Role, states ...State) (n int) {
	for _, s := range states {
		n += r.counts[role][s]
	}
	return n
}

// updateAgentIndex keeps r.agents sorted when record m replaces old.
func (r *Roster) updateAgentIndex(old, m *Member) {
	if old.Addr.IsValid() && old.Role == m.Role && old.Service == m.Service {
		return
	}
	if old.Role == Agent {
		r.removeFromAgentIndex(old)
	}
	if m.Role == Agent {
		list := r.agents[m.Service]
		i, _ := slices.BinarySearchFunc(list, m.Addr, netip.AddrPort.Compare)
		r.agents[m.Service] = slices.Insert(list, i, m.Addr)
	}
}

func (r *Roster) removeFromAgentIndex(m *Member) {
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

func (r *Roster) queueTransmissions(e *entry) {
	if e.transmissionsLeft == 0 {
		r.transmitQueue = append(r.transmitQueue, e.member.Addr)
	}
	e.transmissionsLeft = r.transmitLimit()
}

// Fanout is the number of peers that each transmission of deltas is sent to.
const Fanout = 3

// transmitLimit returns the number of transmissions of a new record: with Fanout
// peers each, every member that learns the record sends it to about 2·log2(n)
// peers. Repair reaches the members that this misses.
func (r *Roster) transmitLimit() int {
	return (2*bits.Len(uint(len(r.entries))) + Fanout - 1) / Fanout
}

// Tick applies the timeouts of the members that self observes or awaits replies
// from, deletes expired records and returns the records that changed state.
func (r *Roster) Tick(now time.Time, self netip.AddrPort) []Member {
	r.updateMonitored(now, self)
	var changed []Member
	for _, a := range r.monitored {
		changed = append(changed, r.applyTimeout(now, a)...)
	}
	for _, a := range r.AwaitingReply() {
		changed = append(changed, r.applyTimeout(now, a)...)
	}
	return changed
}

// applyTimeout makes the state transition that is due for a member and returns
// its new record, or nil if nothing is due or the record was deleted.
func (r *Roster) applyTimeout(now time.Time, a netip.AddrPort) []Member {
	e := r.entries[a]
	if e == nil {
		return nil
	}
	next, due := r.dueTransition(now, e)
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
	r.queueTransmissions(e)
	return []Member{m}
}

// updateMonitored recomputes the members that are subject to timeouts: the
// agents that self observes and all members that are suspect, gone or left.
// These depend only on the records, so they are cached by version.
func (r *Roster) updateMonitored(now time.Time, self netip.AddrPort) {
	if r.monitoredVersion == r.version {
		return
	}
	r.monitored, r.monitoredVersion = r.monitored[:0], r.version
	for a, e := range r.entries {
		if a == self {
			continue
		}
		if e.member.Role == Agent && Live(&e.member) {
			r.updateObservation(now, e, self)
		}
		if !Live(&e.member) || !e.lastHeartbeat.IsZero() {
			r.monitored = append(r.monitored, a)
		}
	}
	slices.SortFunc(r.monitored, netip.AddrPort.Compare)
}

// ProbeCandidates returns the observed agents, as of the last Tick, that have sent
// no heartbeat for Timing.ProbeAfter.
func (r *Roster) ProbeCandidates(now time.Time) (overdue []Member) {
	for _, a := range r.monitored {
		e := r.entries[a]
		if e == nil || e.member.Role != Agent || e.member.State >= Gone || e.lastHeartbeat.IsZero() {
			continue
		}
		if now.Sub(e.lastHeartbeat) > r.timing.ProbeAfter {
			overdue = append(overdue, e.member)
		}
	}
	return overdue
}

// MarkEnded records proof that an incarnation of a member has ended. It reports
// whether that changed the member's record.
func (r *Roster) MarkEnded(now time.Time, a netip.AddrPort, incarnation uint64) bool {
	m, ok := r.Get(a)
	if !ok || m.Incarnation != incarnation {
		return false
	}
	m.State = Left
	return r.Apply(now, m)
}

// updateObservation starts the heartbeat timeout of an agent that self has begun
// to observe and stops that of an agent that self no longer observes.
func (r *Roster) updateObservation(now time.Time, e *entry, self netip.AddrPort) {
	observing := containsAddr(r.Observers(e.member.Service, r.timing.observers()), self)
	switch {
	case !observing:
		e.lastHeartbeat = time.Time{}
	case e.lastHeartbeat.IsZero():
		e.lastHeartbeat = now.Add(r.timing.ObserverGrace)
	}
}

// dueTransition returns the next state of a member and whether its timeout has
// expired. State zero means that the record is to be deleted.
func (r *Roster) dueTransition(now time.Time, e *entry) (State, bool) {
	age := now.Sub(e.changedAt)
	switch {
	case e.member.State >= Gone:
		return 0, age > r.timing.ForgetAfter
	case e.member.State == Suspect && e.member.PlannedRestart:
		return Gone, age > r.timing.GoneAfter+r.timing.RestartGrace
	case e.member.State == Suspect:
		return Gone, age > r.timing.GoneAfter && !r.heardRecently(now, e, &e.member)
	case !e.lastHeartbeat.IsZero():
		return Suspect, now.Sub(e.lastHeartbeat) > r.timing.SuspectAfter
	case !e.awaitingSince.IsZero():
		return Suspect, now.Sub(e.awaitingSince) > r.timing.SuspectAfter
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

// Agents returns the agents of a service in any state, sorted by address.
func (r *Roster) Agents(service uint16) []Member {
	list := make([]Member, 0, len(r.agents[service]))
	for _, a := range r.agents[service] {
		list = append(list, r.entries[a].member)
	}
	return list
}

func (r *Roster) forget(a netip.AddrPort, e *entry) {
	r.buckets[bucketOf(a)] ^= e.member.hash()
	r.addToCounts(&e.member, -1)
	if e.member.Role == Balancer {
		r.balancerSetVersion++
	} else {
		r.removeFromAgentIndex(&e.member)
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

// LastHeartbeat returns the time of the last heartbeat received from an observed
// agent, or the zero time. For an agent that this daemon has just begun to
// observe, it is the end of the grace period.
func (r *Roster) LastHeartbeat(a netip.AddrPort) time.Time {
	if e := r.entries[a]; e != nil {
		return e.lastHeartbeat
	}
	return time.Time{}
}

// Members returns the members for which keep returns true, sorted by address.
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

// Deltas returns up to n records that are queued for dissemination, those with
// the most remaining transmissions first, and counts one transmission of each.
func (r *Roster) Deltas(n int) []Member {
	r.transmitQueue = slices.DeleteFunc(r.transmitQueue, func(a netip.AddrPort) bool {
		e := r.entries[a]
		return e == nil || e.transmissionsLeft == 0
	})
	slices.SortStableFunc(r.transmitQueue, func(a, b netip.AddrPort) int {
		return cmp.Compare(r.entries[b].transmissionsLeft, r.entries[a].transmissionsLeft)
	})
	picked := r.transmitQueue[:min(n, len(r.transmitQueue))]
	deltas := make([]Member, len(picked))
	for i, a := range picked {
		r.entries[a].transmissionsLeft--
		deltas[i] = r.entries[a].member
	}
	return deltas
}

// Live reports whether the member is neither suspected nor ended, so that it can
// exchange control messages.
func Live(m *Member) bool { return m.State < Suspect }

// Balancers returns the live balancers, sorted by address. The caller must not
// modify the slice.
func (r *Roster) Balancers() []Member {
	if r.liveBalancers == nil || r.liveBalancersVersion != r.balancerSetVersion {
		r.liveBalancers = r.Members(func(m *Member) bool { return m.Role == Balancer && Live(m) })
		r.liveBalancersVersion = r.balancerSetVersion
	}
	return r.liveBalancers
}

// Peers returns up to n randomly chosen live balancers other than self.
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

// sample returns min(k, n) distinct random integers in [0, n).
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

// DefaultObservers is the default of Timing.Observers.
const DefaultObservers = 2

// Observers returns up to n live balancers that observe the targets of a
// service. They are selected by rendezvous hashing, one from each zone before a
// second one from any. The result is cached until the set of live balancers
// changes.
func (r *Roster) Observers(service uint16, n int) []Member {
	if r.observerCache == nil || r.observerCacheVersion != r.balancerSetVersion {
		r.observerCache, r.observerCacheVersion = make(map[uint16][]Member), r.balancerSetVersion
	}
	if c, ok := r.observerCache[service]; ok && len(c) <= n {
		return c
	}
	c := r.selectObservers(service, n)
	r.observerCache[service] = c
	return c
}

func (r *Roster) selectObservers(service uint16, n int) []Member {
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
			if newZone := !zones[m.Zone]; newZone == (pass == 0) && !containsAddr(chosen, m.Addr) {
				chosen = append(chosen, m)
				zones[m.Zone] = true
			}
		}
	}
	return chosen
}

func containsAddr(members []Member, a netip.AddrPort) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Addr == a })
}

// observerScore returns the rendezvous hash of a service and a balancer.
func observerScore(service uint16, m *Member) uint64 {
	a4 := m.Addr.Addr().As4()
	p := m.Addr.Port()
	return xxh3.Hash([]byte{a4[0], a4[1], a4[2], a4[3], byte(p >> 8), byte(p), byte(service >> 8), byte(service)})
}
