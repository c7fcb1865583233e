package request

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/go-quicktest/qt"
	"pgregory.net/rapid"
)

func TestEncodeAndParseBinding(t *testing.T) {
	key := []byte("key")
	want := Binding{Agent: netip.MustParseAddrPort("10.1.2.3:77"), Service: 17, Incarnation: 1 << 60, Issued: time.Minute}
	got, err := ParseBinding(want.Encode(key), key)
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.Equals(got, want))
	_, err = ParseBinding(want.Encode(key), []byte("other"))
	qt.Check(t, qt.ErrorMatches(err, ".*authentication tag does not match"))
	_, err = ParseBinding("x", key)
	qt.Check(t, qt.ErrorMatches(err, ".*malformed"))
}

func TestLedgerForgetsRequestsOfExpiredBindings(t *testing.T) {
	l := NewLedger(Limits{Entries: 2, Bytes: 1000, Body: 10, Lifetime: time.Minute})
	v, _ := l.Begin(time.Second, "a", time.Second)
	qt.Assert(t, qt.Equals(v, Run))
	l.Finish(2*time.Second, "a", Answer{Status: 200, Body: []byte("whole")})
	v, a := l.Begin(30*time.Second, "a", time.Second)
	qt.Check(t, qt.Equals(v, Replay))
	qt.Check(t, qt.Equals(string(a.Body), "whole"))

	v, _ = l.Begin(70*time.Second, "a", time.Second)
	qt.Check(t, qt.Equals(v, Expired)) // forgotten, but the binding has expired as well
	qt.Check(t, qt.Equals(l.Len(), 0))
	qt.Check(t, qt.Equals(l.answerBytes, 0))
}

func TestLedgerKeepsRequestsInProgress(t *testing.T) {
	l := NewLedger(Limits{Entries: 10, Bytes: 1000, Body: 10, Lifetime: time.Second})
	l.Begin(0, "slow", 0)
	v, _ := l.Begin(time.Hour, "slow", 0)
	qt.Check(t, qt.Equals(v, InProgress))
}

func TestFullLedgerFences(t *testing.T) {
	l := NewLedger(Limits{Entries: 1, Bytes: 1000, Body: 10, Lifetime: time.Minute})
	l.Begin(1, "a", 1)
	v, _ := l.Begin(2, "b", 1)
	qt.Check(t, qt.Equals(v, Fenced))
	l.Finish(3, "a", Answer{})
	v, _ = l.Begin(2*time.Minute, "c", 2*time.Minute)
	qt.Check(t, qt.Equals(v, Run)) // the entry of a has expired
	v, _ = l.Begin(2*time.Minute, "b", 1)
	qt.Check(t, qt.Equals(v, Expired))
}

func TestLargeAnswerIsDropped(t *testing.T) {
	l := NewLedger(Limits{Entries: 10, Bytes: 1000, Body: 3, Lifetime: time.Minute})
	l.Begin(1, "a", 1)
	l.Finish(2, "a", Answer{Status: 200, Body: []byte("long")})
	v, a := l.Begin(3, "a", 1)
	qt.Check(t, qt.Equals(v, Replay))
	qt.Check(t, qt.IsTrue(a.Dropped))
	qt.Check(t, qt.HasLen(a.Body, 0))
}

func newAdmissionRequest(t Ticket, session uint64, priority int, deadline time.Duration) AdmissionRequest {
	return AdmissionRequest{Ticket: t, Session: session, Priority: priority, Deadline: deadline}
}

func TestAdmissionQueueOrder(t *testing.T) {
	q := NewAdmissionQueue(AdmissionLimits{Slots: 1, Queue: 10})
	d, _ := q.Admit(0, newAdmissionRequest(1, 1, 0, time.Minute))
	qt.Assert(t, qt.Equals(d, Start))
	for _, o := range []AdmissionRequest{
		newAdmissionRequest(2, 1, 0, time.Minute), // of the session that holds the slot
		newAdmissionRequest(3, 2, 0, time.Minute),
		newAdmissionRequest(4, 1, 5, time.Minute), // of higher priority
	} {
		d, _ := q.Admit(0, o)
		qt.Assert(t, qt.Equals(d, Wait))
	}
	var order []Ticket
	session := uint64(1)
	for range 3 {
		started := q.Release(time.Second, session, time.Millisecond)
		qt.Assert(t, qt.HasLen(started, 1))
		order = append(order, started...)
		session = map[Ticket]uint64{2: 1, 3: 2, 4: 1}[started[0]]
	}
	qt.Check(t, qt.DeepEquals(order, []Ticket{4, 2, 3}))
}

func TestAdmissionQueueIsFairBetweenSessions(t *testing.T) {
	q := NewAdmissionQueue(AdmissionLimits{Slots: 2, Queue: 10})
	q.Admit(0, newAdmissionRequest(1, 1, 0, time.Minute))
	q.Admit(0, newAdmissionRequest(2, 1, 0, time.Minute))
	q.Admit(0, newAdmissionRequest(3, 1, 0, time.Minute))
	q.Admit(0, newAdmissionRequest(4, 2, 0, time.Minute))
	qt.Check(t, qt.DeepEquals(q.Release(1, 1, time.Millisecond), []Ticket{4}))
}

func TestAdmissionQueueRefusesUnreachableDeadline(t *testing.T) {
	q := NewAdmissionQueue(AdmissionLimits{Slots: 1, Queue: 100})
	q.Admit(0, newAdmissionRequest(1, 1, 0, time.Minute))
	d, retryAfter := q.Admit(0, newAdmissionRequest(2, 1, 0, initialServiceTime))
	qt.Check(t, qt.Equals(d, Refuse))
	qt.Check(t, qt.IsTrue(retryAfter > 0))
	d, _ = q.Admit(time.Second, newAdmissionRequest(3, 1, 0, time.Second))
	qt.Check(t, qt.Equals(d, Refuse))

	q.Admit(0, newAdmissionRequest(4, 1, 0, time.Minute))
	qt.Check(t, qt.DeepEquals(q.Expire(2*time.Minute), []Ticket{4}))
	qt.Check(t, qt.HasLen(q.Release(2*time.Minute, 1, time.Second), 0))
}

// TestAdmissionQueueInvariants checks in random sequences of Admit, Release and
// Expire that the occupied slots never exceed the limit and that each queued
// request either starts or expires exactly once.
func TestAdmissionQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := NewAdmissionQueue(AdmissionLimits{Slots: slots, Queue: rapid.IntRange(0, 5).Draw(t, "queue")})
		var running []uint64
		queued := make(map[Ticket]uint64) // session by ticket
		now := time.Duration(0)
		start := func(tickets []Ticket) {
			for _, tk := range tickets {
				s, ok := queued[tk]
				if !ok {
					t.Fatalf("ticket %d started but was not queued", tk)
				}
				delete(queued, tk)
				running = append(running, s)
			}
		}
		for n := range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				tk, s := Ticket(n+1), rapid.Uint64Range(1, 3).Draw(t, "session")
				d, _ := q.Admit(now, newAdmissionRequest(tk, s, rapid.IntRange(0, 1).Draw(t, "priority"), now+time.Second))
				if d == Start {
					running = append(running, s)
				} else if d == Wait {
					queued[tk] = s
				}
			case 2:
				if len(running) > 0 {
					s := running[0]
					running = running[1:]
					start(q.Release(now, s, time.Millisecond))
				}
			case 3:
				for _, tk := range q.Expire(now) {
					delete(queued, tk)
				}
			}
			if q.Busy() != len(running) || q.Busy() > slots || q.Queued() != len(queued) {
				t.Fatalf("busy %d of %d, queued %d; want %d and %d", q.Busy(), slots, q.Queued(), len(running), len(queued))
			}
		}
	})
}

// TestLedgerSchedules checks the safety properties of the model in random
// schedules of three requests that share two agents, with duplicated and delayed
// messages and killed agents.
func TestLedgerSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Entries: rapid.IntRange(0, 4).Draw(t, "entries"), Bytes: 1 << 12, Body: 64,
			Lifetime: time.Duration(rapid.IntRange(1, 20).Draw(t, "lifetime")) * time.Second,
		}
		shared := newSimulation(limits, true).agents
		var simulations []*simulation
		for i := range 3 {
			simulations = append(simulations, newSimulationWith(shared, fmt.Sprint("request ", i), limits, true))
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			s := simulations[rapid.IntRange(0, len(simulations)-1).Draw(t, "request")]
			s.step(rapid.IntRange(0, s.choices()-1).Draw(t, "event"))
			for i, s := range simulations {
				if violation := s.violation(); violation != "" {
					t.Fatalf("request %d %s", i, violation)
				}
			}
		}
	})
}

func ExampleLedger() {
	l := NewLedger(DefaultLimits)
	first, _ := l.Begin(1*time.Second, "hold-1", 0)
	l.Finish(2*time.Second, "hold-1", Answer{Status: 201})
	retry, answer := l.Begin(3*time.Second, "hold-1", 0)
	fmt.Println(first == Run, retry == Replay, answer.Status)
	// Output: true true 201
}

func BenchmarkLedger(b *testing.B) {
	l := NewLedger(Limits{Entries: 1 << 30, Bytes: 1 << 30, Body: 1000, Lifetime: time.Minute})
	now := time.Duration(0)
	keys := make([]string, 1<<16)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%026d", i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		now += time.Millisecond
		key := keys[i%len(keys)]
		l.Begin(now, key, now)
		l.Finish(now, key, Answer{Status: 200, Body: benchmarkBody[:100]})
		i++
	}
}

var benchmarkBody = slices.Repeat([]byte("x"), 200)
