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
