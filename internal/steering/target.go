package steering

import (
	"math"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	flowid "skylarkturn/internal/flow" // steering has flows of its own
	"skylarkturn/internal/packet"
)

// Target is an agent with its host, as the balancer knows it.
type Target struct {
	Agent   netip.AddrPort
	Service string
	Ready   bool    // takes new flows
	Coming  bool    // does not take new flows yet
	Silent  bool    // its heartbeats are overdue
	Weight  float64 // relative share of the service's flows
	Flows   uint32  // open at its last heartbeat
	Busy    uint32  // requests in progress at its last heartbeat
}

// choices is the number of targets that compete for a new flow by load. Four
// leave the fullest of ten targets within a few percent of the mean, and bound
// the first question for the owner of an unknown flow to four agents.
const choices = 4

type target struct {
	Target
	hash     uint64    // of the agent's address
	placed   uint32    // flows placed here since its last heartbeat
	refusing bool      // has refused a new flow since its last heartbeat
	since    time.Time // since when it has been coming
	crowd    crowd
}

const (
	minCrowdPause = 50 * time.Millisecond  // first pause of a crowded target; it ends some requests in it
	maxCrowdPause = 400 * time.Millisecond // an agent's next heartbeat tells its load by then
	crowdingFor   = 500 * time.Millisecond // after the last refusal, or twice the pause, a target gets flows as before
	crowdedWait   = 600 * time.Millisecond // that a new flow waits at most for a crowded service
)

// crowd tells how a target that has refused new flows for its load gets others: one
// for each slot in a pause, which doubles while they are refused, too. A fleet of
// many balancers thus does not keep agents busy with refusals.
type crowd struct {
	refused time.Time // last refusal
	pause   time.Duration
	began   time.Time // of the current pause
	given   float64   // flows since then
}

// Reports whether the target is to get no new flow now, but soon.
func (t *target) crowded(now time.Time) bool {
	c := &t.crowd
	if c.refused.IsZero() {
		return false
	}
	since := now.Sub(c.refused)
	switch {
	case since < c.pause:
		return true
	case since >= max(crowdingFor, 2*c.pause):
		return false
	}
	return now.Sub(c.began) < c.pause && c.given >= t.Weight
}

// Counts a new flow given to the target.
func (t *target) give(now time.Time) {
	t.placed++
	c := &t.crowd
	if c.refused.IsZero() {
		return
	}
	if now.Sub(c.began) >= c.pause {
		c.began, c.given = now, 0
	}
	c.given++
}

// Notes that the target has refused a flow for its load.
func (t *target) refuseCrowded(now time.Time) {
	c := &t.crowd
	since := now.Sub(c.refused)
	switch {
	case c.refused.IsZero() || since >= max(crowdingFor, 2*c.pause):
		c.pause = minCrowdPause
	case since >= c.pause:
		c.pause = min(2*c.pause, maxCrowdPause)
	}
	c.refused = now
}

// Notes that the target has taken a flow.
func (t *target) accept() { t.crowd.pause = max(t.crowd.pause/2, minCrowdPause) }

// comingFor is the time that a target which does not take new flows yet is waited
// for: hosts that start report within it, and those that have crashed take longer.
const comingFor = 2 * time.Second

func (t *target) coming(now time.Time) bool {
	return t.Coming && !t.Silent && now.Sub(t.since) < comingFor
}

// busyWeight is the number of flows that a request in progress counts as. With 2,
// a burst of twice the usual load led to an eighth fewer rejections by hosts than
// without; requests alone sent too many flows to hosts that were idle for a moment.
const busyWeight = 2

// Returns the load of the target if it took one more flow, relative to its share.
func (t *target) load() float64 {
	return float64(t.Flows+busyWeight*t.Busy+t.placed+1) / t.Weight
}

func (t *target) open() bool { return t.Ready && !t.Silent && !t.refusing && t.Weight > 0 }

func agentHash(a netip.AddrPort) uint64 { return packet.EndpointOf(a).Hash() }

// ranking holds the targets with the highest rendezvous scores for one flow, in
// falling order.
type ranking struct {
	targets [choices]*target
	n       int
}

// scores are the highest scores of a ranking in the making, with the positions of
// their targets; positions are cheaper to move than pointers.
type scores struct {
	at    [choices]int
	value [choices]uint64
	n     int
}

func (s *scores) add(at int, value uint64) {
	i := min(s.n, choices-1)
	for ; i > 0 && s.value[i-1] < value; i-- {
		s.at[i], s.value[i] = s.at[i-1], s.value[i-1]
	}
	s.at[i], s.value[i] = at, value
	s.n = min(s.n+1, choices)
}

// group holds the targets of a service, and their hashes side by side, since a
// ranking reads all of them.
type group struct {
	targets []*target
	hashes  []uint64
}

func (g *group) add(t *target) {
	g.targets = append(g.targets, t)
	g.hashes = append(g.hashes, t.hash)
}

func (g *group) remove(t *target) {
	i := slices.Index(g.targets, t)
	if i >= 0 {
		g.targets = slices.Delete(g.targets, i, i+1)
		g.hashes = slices.Delete(g.hashes, i, i+1)
	}
}

// Reports whether targets are coming, and whether crowded ones will take new
// flows.
func (g *group) prospects(now time.Time) (coming, crowded bool) {
	if g == nil {
		return false, false
	}
	for _, n := range g.targets {
		coming = coming || n.coming(now)
		crowded = crowded || n.open() && n.crowded(now)
	}
	return coming, crowded
}

// Ranks the targets for which keep is true.
func (g *group) rank(hash uint64, keep func(*target) bool) (r ranking) {
	if g == nil {
		return r
	}
	hash = bits.RotateLeft64(hash, 32)
	var best scores
	for i, h := range g.hashes {
		score := flowid.Mix(hash ^ h)
		if score > best.value[choices-1] && keep(g.targets[i]) {
			best.add(i, score)
		}
	}
	for ; r.n < best.n; r.n++ {
		r.targets[r.n] = g.targets[best.at[r.n]]
	}
	return r
}

// Returns the least loaded of the ranked targets, nil when there is none.
func (r *ranking) lightest() *target {
	var best *target
	least := math.Inf(1)
	for _, t := range r.targets[:r.n] {
		if load := t.load(); load < least {
			best, least = t, load
		}
	}
	return best
}
