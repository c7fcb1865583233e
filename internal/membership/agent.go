package membership

import (
	"net/netip"
	"slices"
	"time"

	"skylarkturn/internal/control"
	"skylarkturn/internal/roster"
)

// SeekEvery is the interval at which Tick is to be called while Seeking.
const SeekEvery = 50 * time.Millisecond

const (
	answerEvery = 1200 * time.Millisecond // time between answers that an agent asks an observer for
	listedFor   = 4 * time.Second         // time that an observer is kept without being named or answering
	loneAfter   = 2 * time.Second         // without an answer, after which seeds are asked again
	seekFor     = 3 * time.Second         // time after the start that balancers are sought so often
)

type observer struct {
	addr  netip.AddrPort
	named time.Time // last answer from it, or last answer that named it
	asked time.Time // last heartbeat that asked it for an answer
}

// Agent is the membership of an agent. It is not safe for concurrent use.
type Agent struct {
	me        roster.Member
	seeds     []netip.AddrPort
	observers []observer
	answered  time.Time // last answer of an observer
	started   time.Time
	beaten    time.Time
	fleet     int // daemons that the last answer told of
}

// NewAgent returns the membership of an agent that starts now.
func NewAgent(now time.Time, me roster.Member, seeds []netip.AddrPort) *Agent {
	me.Role, me.State, me.Seq = roster.Agent, roster.Starting, 1
	a := &Agent{me: me, started: now}
	a.AddSeeds(seeds)
	return a
}

// AddSeeds adds addresses at which balancers may be found.
func (a *Agent) AddSeeds(seeds []netip.AddrPort) { a.seeds = addSeeds(a.seeds, a.me.Addr, seeds) }

// Observers returns the number of balancers that heartbeats go to.
func (a *Agent) Observers() int { return len(a.observers) }

// Fleet returns the number of daemons that balancers know, 0 before any has
// answered.
func (a *Agent) Fleet() int { return a.fleet }

// Lone reports whether no balancer observes the agent, or none has answered for
// some time.
func (a *Agent) Lone(now time.Time) bool {
	return len(a.observers) == 0 || now.Sub(a.answered) >= loneAfter
}

// Seeking reports whether the agent has just started and no balancer has answered
// yet, so that Tick is to be called more often.
func (a *Agent) Seeking(now time.Time) bool {
	return len(a.observers) == 0 && now.Sub(a.started) < seekFor
}

// Update changes the agent's record and, when that changes what others act on,
// returns heartbeats that tell so at once.
func (a *Agent) Update(now time.Time, change func(me *roster.Member)) []Outgoing {
	old := a.me
	change(&a.me)
	unannounced := a.me
	unannounced.Sessions, unannounced.Busy = old.Sessions, old.Busy
	if unannounced == old {
		return nil
	}
	a.me.Seq++
	return a.beat(now)
}

// Tick returns the heartbeats that are due.
func (a *Agent) Tick(now time.Time) []Outgoing {
	a.observers = slices.DeleteFunc(a.observers, func(o observer) bool { return now.Sub(o.named) > listedFor })
	interval := beatEvery
	if len(a.observers) == 0 {
		interval = TickEvery
	}
	if a.Seeking(now) {
		interval = SeekEvery
	}
	if now.Sub(a.beaten) < interval {
		return nil
	}
	return a.beat(now)
}

func (a *Agent) beat(now time.Time) (out []Outgoing) {
	a.beaten = now
	for i := range a.observers {
		o := &a.observers[i]
		ask := now.Sub(o.asked) >= answerEvery
		if ask {
			o.asked = now
		}
		out = append(out, Outgoing{o.addr, a.heartbeat(ask)})
	}
	if !a.Lone(now) {
		return out
	}
	for _, s := range a.seeds {
		if !a.observes(s) {
			out = append(out, Outgoing{s, a.heartbeat(true)})
		}
	}
	return out
}

func (a *Agent) observes(s netip.AddrPort) bool {
	return slices.ContainsFunc(a.observers, func(o observer) bool { return o.addr == s })
}

func (a *Agent) heartbeat(ask bool) *control.Message {
	m := &control.Message{Kind: control.Heartbeat, From: a.me, Unknown: ask}
	for i := range a.observers {
		m.Digest ^= roster.AddrHash(a.observers[i].addr)
	}
	return m
}

// Receive takes a balancer's answer and returns what it gives rise to.
func (a *Agent) Receive(now time.Time, m *control.Message) []Outgoing {
	if m.Kind != control.Ack {
		return nil
	}
	a.answered, a.fleet = now, m.Count
	fresh := a.name(now, m.From.Addr)
	for _, o := range m.Observers {
		fresh = a.name(now, o) || fresh
	}
	if refute(&a.me, m.Known, m.Believed) || fresh {
		return a.beat(now)
	}
	return nil
}

// Notes that a balancer observes the agent; reports whether that is new.
func (a *Agent) name(now time.Time, addr netip.AddrPort) bool {
	for i := range a.observers {
		if a.observers[i].addr == addr {
			a.observers[i].named = now
			return false
		}
	}
	a.observers = append(a.observers, observer{addr: addr, named: now})
	return true
}

// Farewell returns the messages that tell observers that the agent ends: for
// good, or to start again beside a host that lives.
func (a *Agent) Farewell(now time.Time, forGood bool) []Outgoing {
	a.me.Seq++
	a.me.State, a.me.Back = roster.Starting, true
	if forGood {
		a.me.State, a.me.Back = roster.Left, false
	}
	return a.beat(now)
}
