package steering

import (
	"math"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	flowid "skylarkturn/internal/flow" // this package has a type named flow
	"skylarkturn/internal/packet"
	"skylarkturn/internal/route"
)

// Target is a balancer's view of an agent and its host.
type Target struct {
	Agent    netip.AddrPort
	Service  string  // service of the host
	Ready    bool    // accepts new flows
	Starting bool    // does not accept new flows yet
	Suspect  bool    // its heartbeats are overdue
	Weight   float64 // relative share of new flows: the host's slots
	Flows    uint32  // open flows at its last heartbeat

	AcceptsClass bool // the agent accepts the class of a flow with its packets
}

// maxCandidates is the number of targets, ranked by rendezvous hashing, of which
// the least loaded gets a new flow. The first wave of a lookup in a large fleet
// queries the same agents, so the number also bounds that wave.
const maxCandidates = 4

// target is a Target with the state that placement adds to it.
type target struct {
	Target
	hash          uint64                        // of the agent's address
	placed        uint32                        // flows placed here since the last heartbeat
	refusing      bool                          // has refused a new flow since the last heartbeat
	startingSince time.Time                     // when it was first reported as starting
	crowding      map[packet.Endpoint]*crowding // by route; missing for routes that it has not refused
}

// startupGrace is how long new flows wait for a starting target. A host that is
// starting reports to its agent within this time; the restart of a crashed host
// takes longer.
const startupGrace = 2 * time.Second

// starting reports whether the target may become ready within startupGrace.
func (t *target) starting(now time.Time) bool {
	return t.Starting && !t.Suspect && now.Sub(t.startingSince) < startupGrace
}

// load returns the load of the target with one more flow, relative to its weight.
func (t *target) load() float64 {
	return float64(t.Flows+t.placed+1) / t.Weight
}

// classOf returns the class of a flow's requests for the target's agent, or none if that
// does not accept it or if the target, a nil pointer, is not known.
func (t *target) classOf(f *flow) route.Class {
	if t == nil || !t.AcceptsClass {
		return route.Class{}
	}
	return f.class
}

// available reports whether the target accepts new flows, as far as the balancer
// knows.
func (t *target) available() bool { return t.Ready && !t.Suspect && !t.refusing && t.Weight > 0 }

func agentHash(a netip.AddrPort) uint64 { return packet.EndpointOf(a).Hash() }

// ranking holds the targets with the highest rendezvous scores for one flow, in
// descending order.
type ranking struct {
	targets [maxCandidates]*target
	n       int
}

// topScores collects the highest scores, in descending order, with the indexes of
// their targets. Indexes are cheaper to move than pointers.
type topScores struct {
	index [maxCandidates]int
	value [maxCandidates]uint64
	n     int
}

func (s *topScores) add(index int, value uint64) {
	i := min(s.n, maxCandidates-1)
	for ; i > 0 && s.value[i-1] < value; i-- {
		s.index[i], s.value[i] = s.index[i-1], s.value[i-1]
	}
	s.index[i], s.value[i] = index, value
	s.n = min(s.n+1, maxCandidates)
}

// targetGroup holds the targets of a service. Their hashes are stored in a
// separate parallel slice, because a ranking reads all of them.
type targetGroup struct {
	targets []*target
	hashes  []uint64
	waiting map[packet.Endpoint]*waitingFlows // by route
}

func (g *targetGroup) add(t *target) {
	g.targets = append(g.targets, t)
	g.hashes = append(g.hashes, t.hash)
}

func (g *targetGroup) remove(t *target) {
	i := slices.Index(g.targets, t)
	if i >= 0 {
		g.targets = slices.Delete(g.targets, i, i+1)
		g.hashes = slices.Delete(g.hashes, i, i+1)
	}
}

// pendingCapacity reports whether any target is starting, and whether any available
// target is throttled for flows of a route.
func (g *targetGroup) pendingCapacity(now time.Time, r packet.Endpoint) (starting, throttled bool) {
	if g == nil {
		return false, false
	}
	for _, n := range g.targets {
		starting = starting || n.starting(now)
		throttled = throttled || n.available() && n.crowding[r].throttled(now, n.Weight)
	}
	return starting, throttled
}

// rank ranks the targets for which keep returns true by rendezvous hashing.
func (g *targetGroup) rank(hash uint64, keep func(*target) bool) (r ranking) {
	if g == nil {
		return r
	}
	hash = bits.RotateLeft64(hash, 32)
	var best topScores
	for i, h := range g.hashes {
		score := flowid.Mix(hash ^ h)
		if score > best.value[maxCandidates-1] && keep(g.targets[i]) {
			best.add(i, score)
		}
	}
	for ; r.n < best.n; r.n++ {
		r.targets[r.n] = g.targets[best.index[r.n]]
	}
	return r
}

// leastLoaded returns the least loaded of the ranked targets, or nil.
func (r *ranking) leastLoaded() *target {
	var best *target
	least := math.Inf(1)
	for _, t := range r.targets[:r.n] {
		if load := t.load(); load < least {
			best, least = t, load
		}
	}
	return best
}
