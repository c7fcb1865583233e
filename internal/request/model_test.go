package request

import (
	"testing"
	"time"

	"github.com/go-quicktest/qt"
)

// The model checker explores, to a bounded depth, every sequence of events of one
// request that is not idempotent. Messages may be reordered, duplicated, delayed or
// lost. Each of the two agents may be killed and restart with an empty ledger. The
// caller may resolve the outcome of the request, and may bind it to the other agent
// only after the outcome not_run was reported.

type messageKind int

const (
	requestMessage messageKind = iota
	resolveMessage
	replyMessage
)

type message struct {
	kind           messageKind
	agent          int
	incarnation    int
	issued         time.Duration
	attempt        int // number of the binding that the message carries
	outcome        Outcome
	deliveriesLeft int // remaining deliveries
}

const (
	maxDeliveries = 2
	maxResolves   = 2
	maxKills      = 1
	maxAttempts   = 2
)

// agents holds the clock, ledgers and incarnations of the two agents. Several
// simulations may share them.
type agents struct {
	now         time.Duration
	ledgers     [2]*Ledger
	incarnation [2]int
}

// simulation is the state of one request, its caller and its messages in flight.
type simulation struct {
	*agents
	key      string
	inFlight []message
	runs     int     // executions by any host
	attempt  int     // number of the latest binding of the caller, from 1
	binding  message // agent, incarnation and time of the latest binding
	reported Outcome // to the caller for the latest binding
	resolves int
	kills    int
	limits   Limits
	fence    bool // whether Resolve fences the request
}

func newSimulation(limits Limits, fence bool) *simulation {
	return newSimulationWith(&agents{ledgers: [2]*Ledger{NewLedger(limits), NewLedger(limits)}}, "key", limits, fence)
}

func newSimulationWith(a *agents, key string, limits Limits, fence bool) *simulation {
	s := &simulation{agents: a, key: key, limits: limits, fence: fence}
	s.bind(0)
	return s
}

func (s *simulation) send(m message) {
	m.deliveriesLeft = maxDeliveries
	s.inFlight = append(s.inFlight, m)
}

func (s *simulation) bind(agent int) {
	s.attempt++
	s.binding = message{agent: agent, incarnation: s.incarnation[agent], issued: s.now, attempt: s.attempt}
	m := s.binding
	m.kind = requestMessage
	s.send(m)
}

// choices returns the number of events to choose from in step.
func (s *simulation) choices() int { return len(s.inFlight) + 4 }

// step performs the i-th event and reports whether it was possible.
func (s *simulation) step(i int) bool {
	s.now += time.Second
	if i < len(s.inFlight) {
		return s.deliver(i)
	}
	switch i - len(s.inFlight) {
	case 0: // the caller resolves the outcome
		if s.reported != "" || s.resolves == maxResolves {
			return false
		}
		s.resolves++
		m := s.binding
		m.kind = resolveMessage
		s.send(m)
	case 1: // after the outcome not_run, the caller binds the request to the other agent
		if s.reported != OutcomeNotRun || s.attempt == maxAttempts {
			return false
		}
		s.reported = ""
		s.bind(1 - s.binding.agent)
	default:
		return s.kill(i - len(s.inFlight) - 2)
	}
	return true
}

func (s *simulation) kill(agent int) bool {
	if s.kills == maxKills {
		return false
	}
	s.kills++
	s.incarnation[agent]++
	s.ledgers[agent] = NewLedger(s.limits)
	return true
}

func (s *simulation) deliver(i int) bool {
	if s.inFlight[i].deliveriesLeft == 0 {
		return false
	}
	s.inFlight[i].deliveriesLeft--
	m := s.inFlight[i]
	if m.kind == replyMessage {
		if m.attempt == s.attempt && s.reported == "" {
			s.reported = m.outcome
		}
		return true
	}
	outcome := OutcomeUnknown
	if m.incarnation == s.incarnation[m.agent] {
		outcome = s.outcome(s.verdict(m))
	}
	s.send(message{kind: replyMessage, attempt: m.attempt, outcome: outcome})
	return true
}

func (s *simulation) verdict(m message) Verdict {
	l := s.ledgers[m.agent]
	if m.kind == requestMessage {
		v, _ := l.Begin(s.now, s.key, m.issued)
		if v == Run {
			s.runs++
			l.Finish(s.now, s.key, Answer{Status: 200})
		}
		return v
	}
	if _, known := l.entries[s.key]; !known && !s.fence {
		return Fenced // reported, but not recorded
	}
	v, _ := l.Resolve(s.now, s.key, m.issued)
	return v
}

func (s *simulation) outcome(v Verdict) Outcome {
	switch v {
	case Run, Replay:
		return OutcomeRun
	case Fenced:
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// violation describes the safety property that the state violates, empty if none.
func (s *simulation) violation() string {
	switch {
	case s.runs > 1:
		return "ran more than once"
	case s.runs == 0 && s.reported == OutcomeRun:
		return "reported as run, but did not run"
	case s.runs > 0 && s.reported == OutcomeNotRun:
		return "reported as not run, but ran"
	}
	return ""
}

// explore runs all sequences of events up to the depth. It returns the number of
// states visited and the first violation with the events that led to it.
func explore(limits Limits, fence bool, depth int) (visited int, violation string, path []int) {
	var walk func(prefix []int) bool
	walk = func(prefix []int) bool {
		s := newSimulation(limits, fence)
		for _, i := range prefix {
			s.step(i)
		}
		if violation = s.violation(); violation != "" {
			path = append([]int(nil), prefix...)
			return false
		}
		visited++
		if len(prefix) == depth {
			return true
		}
		for i := range s.choices() {
			if !isPossible(limits, fence, prefix, i) {
				continue
			}
			if !walk(append(prefix[:len(prefix):len(prefix)], i)) {
				return false
			}
		}
		return true
	}
	walk(nil)
	return visited, violation, path
}

func isPossible(limits Limits, fence bool, prefix []int, next int) bool {
	s := newSimulation(limits, fence)
	for _, i := range prefix {
		s.step(i)
	}
	return s.step(next)
}

const modelDepth = 7

var modelLimits = []struct {
	name   string
	limits Limits
}{
	{"within limits", Limits{Entries: 10, Bytes: 1 << 10, Body: 100, Lifetime: time.Hour}},
	{"bindings expire", Limits{Entries: 10, Bytes: 1 << 10, Body: 100, Lifetime: 2 * time.Second}},
	{"full ledger", Limits{Entries: 0, Bytes: 1 << 10, Body: 100, Lifetime: time.Hour}},
}

func TestModelKeepsPromises(t *testing.T) {
	for _, c := range modelLimits {
		t.Run(c.name, func(t *testing.T) {
			visited, violation, path := explore(c.limits, true, modelDepth)
			qt.Check(t, qt.Equals(violation, ""), qt.Commentf("events %v", path))
			t.Logf("%d states", visited)
		})
	}
}

// TestModelWithoutFenceFails checks that the model detects the fault that fencing
// prevents: without it, a delayed copy runs after the outcome not_run was
// reported.
func TestModelWithoutFenceFails(t *testing.T) {
	_, violation, path := explore(modelLimits[0].limits, false, modelDepth)
	qt.Check(t, qt.Not(qt.Equals(violation, "")))
	t.Logf("%s after events %v", violation, path)
}
