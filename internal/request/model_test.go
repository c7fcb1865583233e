package request

import (
	"testing"
	"time"

	"github.com/go-quicktest/qt"
)

// The model explores every order of events, to a bounded depth, of one request
// that is not idempotent: messages are delivered in any order, twice, late or
// never; the two agents may be killed and start anew with an empty ledger; the
// caller may ask what became of the request, and bind it anew to the other agent
// only after it was told that it did not run.

type messageKind int

const (
	requestMessage messageKind = iota
	resolveMessage
	replyMessage
)

type message struct {
	kind        messageKind
	agent       int
	incarnation int
	issued      time.Duration
	attempt     int
	outcome     Outcome
	left        int // deliveries that may still happen
}

const (
	deliveries = 2
	maxAsks    = 2
	maxKills   = 1
	maxBinds   = 2
)

// agents are the two agents, which worlds may share.
type agents struct {
	now         time.Duration
	ledgers     [2]*Ledger
	incarnation [2]int
}

// world is what becomes of one request.
type world struct {
	*agents
	key      string
	inFlight []message
	runs     int
	attempt  int // of the caller; -1 once it has an outcome
	bound    message
	told     Outcome
	asks     int
	kills    int
	limits   Limits
	fence    bool
}

func newWorld(limits Limits, fence bool) *world {
	return newWorldAt(&agents{ledgers: [2]*Ledger{NewLedger(limits), NewLedger(limits)}}, "key", limits, fence)
}

func newWorldAt(a *agents, key string, limits Limits, fence bool) *world {
	w := &world{agents: a, key: key, limits: limits, fence: fence}
	w.bind(0)
	return w
}

func (w *world) send(m message) {
	m.left = deliveries
	w.inFlight = append(w.inFlight, m)
}

func (w *world) bind(agent int) {
	w.attempt++
	w.bound = message{agent: agent, incarnation: w.incarnation[agent], issued: w.now, attempt: w.attempt}
	m := w.bound
	m.kind = requestMessage
	w.send(m)
}

// Returns the number of events that are possible.
func (w *world) choices() int { return len(w.inFlight) + 4 }

// Performs the i-th event and reports whether it was possible.
func (w *world) step(i int) bool {
	w.now += time.Second
	if i < len(w.inFlight) {
		return w.deliver(i)
	}
	switch i - len(w.inFlight) {
	case 0: // the caller asks what became of the request
		if w.told != "" || w.asks == maxAsks {
			return false
		}
		w.asks++
		m := w.bound
		m.kind = resolveMessage
		w.send(m)
	case 1: // the caller was told that it did not run, and binds it anew
		if w.told != OutcomeNotRun || w.attempt == maxBinds {
			return false
		}
		w.told = ""
		w.bind(1 - w.bound.agent)
	default:
		return w.kill(i - len(w.inFlight) - 2)
	}
	return true
}

func (w *world) kill(agent int) bool {
	if w.kills == maxKills {
		return false
	}
	w.kills++
	w.incarnation[agent]++
	w.ledgers[agent] = NewLedger(w.limits)
	return true
}

func (w *world) deliver(i int) bool {
	if w.inFlight[i].left == 0 {
		return false
	}
	w.inFlight[i].left--
	m := w.inFlight[i]
	if m.kind == replyMessage {
		if m.attempt == w.attempt && w.told == "" {
			w.told = m.outcome
		}
		return true
	}
	outcome := OutcomeUnknown
	if m.incarnation == w.incarnation[m.agent] {
		outcome = w.outcome(w.verdict(m))
	}
	w.send(message{kind: replyMessage, attempt: m.attempt, outcome: outcome})
	return true
}

func (w *world) verdict(m message) Verdict {
	l := w.ledgers[m.agent]
	if m.kind == requestMessage {
		v, _ := l.Begin(w.now, w.key, m.issued)
		if v == Run {
			w.runs++
			l.Finish(w.now, w.key, Answer{Status: 200})
		}
		return v
	}
	if _, known := l.entries[w.key]; !known && !w.fence {
		return Fenced // told, and not written down
	}
	v, _ := l.Resolve(w.now, w.key, m.issued)
	return v
}

func (w *world) outcome(v Verdict) Outcome {
	switch v {
	case Run, Replay:
		return OutcomeRun
	case Fenced:
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// broken tells which promise the world breaks.
func (w *world) broken() string {
	switch {
	case w.runs > 1:
		return "ran more than once"
	case w.runs == 0 && w.told == OutcomeRun:
		return "told to have run, and has not"
	case w.runs > 0 && w.told == OutcomeNotRun:
		return "told not to have run, and has"
	}
	return ""
}

// Explores all sequences of events up to the depth and returns the first broken
// promise with the events that led to it.
func explore(limits Limits, fence bool, depth int) (visited int, broken string, path []int) {
	var walk func(prefix []int) bool
	walk = func(prefix []int) bool {
		w := newWorld(limits, fence)
		for _, i := range prefix {
			w.step(i)
		}
		if broken = w.broken(); broken != "" {
			path = append([]int(nil), prefix...)
			return false
		}
		visited++
		if len(prefix) == depth {
			return true
		}
		for i := range w.choices() {
			if !possible(limits, fence, prefix, i) {
				continue
			}
			if !walk(append(prefix[:len(prefix):len(prefix)], i)) {
				return false
			}
		}
		return true
	}
	walk(nil)
	return visited, broken, path
}

func possible(limits Limits, fence bool, prefix []int, next int) bool {
	w := newWorld(limits, fence)
	for _, i := range prefix {
		w.step(i)
	}
	return w.step(next)
}

const modelDepth = 7

var modelLimits = []struct {
	name   string
	limits Limits
}{
	{"roomy", Limits{Entries: 10, Bytes: 1 << 10, Body: 100, Lifetime: time.Hour}},
	{"bindings expire", Limits{Entries: 10, Bytes: 1 << 10, Body: 100, Lifetime: 2 * time.Second}},
	{"no room", Limits{Entries: 0, Bytes: 1 << 10, Body: 100, Lifetime: time.Hour}},
}

func TestModelKeepsPromises(t *testing.T) {
	for _, c := range modelLimits {
		t.Run(c.name, func(t *testing.T) {
			visited, broken, path := explore(c.limits, true, modelDepth)
			qt.Check(t, qt.Equals(broken, ""), qt.Commentf("events %v", path))
			t.Logf("%d states", visited)
		})
	}
}

// Without the fence a late copy runs after the caller was told that it had not.
func TestModelWithoutFenceFails(t *testing.T) {
	_, broken, path := explore(modelLimits[0].limits, false, modelDepth)
	qt.Check(t, qt.Not(qt.Equals(broken, "")))
	t.Logf("%s after events %v", broken, path)
}
