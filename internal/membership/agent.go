package membership

import (
	"net/netip"
	"slices"
	"time"

	"skylarkturn/internal/control"
	"skylarkturn/internal/roster"
)

// DiscoveryTickInterval is the interval at which Tick is to be called while the
// agent is Discovering.
const DiscoveryTickInterval = 50 * time.Millisecond

const (
	ackInterval    = 1200 * time.Millisecond // between requests for an Ack from an observer
	observerTTL    = 4 * time.Second         // time without confirmation after which an observer is dropped
	ackTimeout     = 2 * time.Second         // time without an Ack after which heartbeats go to the seeds again
	discoveryPhase = 3 * time.Second         // maximum time after the start in which the agent is Discovering
)

// observer is a balancer that the agent sends heartbeats to.
type observer struct {
	addr           netip.AddrPort
	confirmedAt    time.Time // when the last Ack that came from it or listed it was received
	ackRequestedAt time.Time // when the last heartbeat that requested an Ack was sent to it
}

// Agent is the agent's side of the membership protocol. It is not safe for
// concurrent use.
type Agent struct {
	self          roster.Member
	seeds         []netip.AddrPort
	observers     []observer
	lastAck       time.Time // when the last Ack was received
	startedAt     time.Time
	lastHeartbeat time.Time // when heartbeats were last sent
	fleetSize     int       // number of members according to the last Ack
	storeEpoch    uint64    // newest known epoch of the store; 0 if none is known
}

// NewAgent returns the state of an agent that starts now and contacts balancers
// at the seeds.
func NewAgent(now time.Time, self roster.Member, seeds []netip.AddrPort) *Agent {
	self.Role, self.State, self.Seq = roster.Agent, roster.Starting, 1
	a := &Agent{self: self, startedAt: now}
	a.AddSeeds(seeds)
	return a
}

// AddSeeds adds addresses at which balancers may be reached.
func (a *Agent) AddSeeds(seeds []netip.AddrPort) { a.seeds = addSeeds(a.seeds, a.self.Addr, seeds) }

// ObserverCount returns the number of balancers that the agent sends heartbeats to.
func (a *Agent) ObserverCount() int { return len(a.observers) }

// FleetSize returns the number of members that the last Ack reported, or 0 before
// the first Ack.
func (a *Agent) FleetSize() int { return a.fleetSize }

// SetStoreEpoch sets the newest epoch of the store, which heartbeats announce.
func (a *Agent) SetStoreEpoch(e uint64) { a.storeEpoch = max(a.storeEpoch, e) }

// Disconnected reports whether the agent has no observers or has received no Ack
// for some time.
func (a *Agent) Disconnected(now time.Time) bool {
	return len(a.observers) == 0 || now.Sub(a.lastAck) >= ackTimeout
}

// Discovering reports whether the agent has started recently and has no observers
// yet. Tick is then to be called every DiscoveryTickInterval.
func (a *Agent) Discovering(now time.Time) bool {
	return len(a.observers) == 0 && now.Sub(a.startedAt) < discoveryPhase
}

// Update changes the agent's record. If any field but the load has changed, it
// returns heartbeats that announce the change immediately.
func (a *Agent) Update(now time.Time, change func(self *roster.Member)) []Outgoing {
	old := a.self
	change(&a.self)
	withOldLoad := a.self
	withOldLoad.Sessions, withOldLoad.Busy = old.Sessions, old.Busy
	if withOldLoad == old {
		return nil
	}
	a.self.Seq++
	return a.heartbeats(now)
}

// Tick returns the heartbeats that are due.
func (a *Agent) Tick(now time.Time) []Outgoing {
	a.observers = slices.DeleteFunc(a.observers, func(o observer) bool { return now.Sub(o.confirmedAt) > observerTTL })
	interval := heartbeatInterval
	if len(a.observers) == 0 {
		interval = TickInterval
	}
	if a.Discovering(now) {
		interval = DiscoveryTickInterval
	}
	if now.Sub(a.lastHeartbeat) < interval {
		return nil
	}
	return a.heartbeats(now)
}

// heartbeats returns heartbeats to all observers and, if the agent has lost
// contact with them, to the seeds.
func (a *Agent) heartbeats(now time.Time) (out []Outgoing) {
	a.lastHeartbeat = now
	for i := range a.observers {
		o := &a.observers[i]
		requestAck := now.Sub(o.ackRequestedAt) >= ackInterval
		if requestAck {
			o.ackRequestedAt = now
		}
		out = append(out, Outgoing{o.addr, a.newHeartbeat(requestAck)})
	}
	if !a.Disconnected(now) {
		return out
	}
	for _, s := range a.seeds {
		if !a.isObserver(s) {
			out = append(out, Outgoing{s, a.newHeartbeat(true)})
		}
	}
	return out
}

func (a *Agent) isObserver(s netip.AddrPort) bool {
	return slices.ContainsFunc(a.observers, func(o observer) bool { return o.addr == s })
}

func (a *Agent) newHeartbeat(requestAck bool) *control.Message {
	m := &control.Message{Kind: control.Heartbeat, From: a.self, WantReply: requestAck, StoreEpoch: a.storeEpoch}
	for i := range a.observers {
		m.Digest ^= roster.AddrHash(a.observers[i].addr)
	}
	return m
}

// Receive handles a message from a balancer. It returns heartbeats if the
// balancer's record of the agent is wrong or the agent has new observers.
func (a *Agent) Receive(now time.Time, m *control.Message) []Outgoing {
	if m.Kind != control.Ack {
		return nil
	}
	a.lastAck, a.fleetSize = now, m.MemberCount
	added := a.confirmObserver(now, m.From.Addr)
	for _, o := range m.Observers {
		added = a.confirmObserver(now, o) || added
	}
	if refuteRecord(&a.self, m.KnownIncarnation, m.KnownState) || added {
		return a.heartbeats(now)
	}
	return nil
}

// confirmObserver records that a balancer observes the agent and reports whether
// it is a new observer.
func (a *Agent) confirmObserver(now time.Time, addr netip.AddrPort) bool {
	for i := range a.observers {
		if a.observers[i].addr == addr {
			a.observers[i].confirmedAt = now
			return false
		}
	}
	a.observers = append(a.observers, observer{addr: addr, confirmedAt: now})
	return true
}

// Leave returns the messages that announce to observers that the agent is
// stopping, either permanently or for a planned restart while its host keeps
// running.
func (a *Agent) Leave(now time.Time, permanent bool) []Outgoing {
	a.self.Seq++
	a.self.State, a.self.PlannedRestart = roster.Starting, true
	if permanent {
		a.self.State, a.self.PlannedRestart = roster.Left, false
	}
	return a.heartbeats(now)
}
