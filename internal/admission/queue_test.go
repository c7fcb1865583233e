package admission

import (
	"testing"
	"time"

	"github.com/go-quicktest/qt"
	"pgregory.net/rapid"
)

func newRequest(t Ticket, session uint64, priority int, deadline time.Duration) Request {
	return Request{Ticket: t, Session: session, Priority: priority, Deadline: deadline}
}

func TestQueueOrder(t *testing.T) {
	q := NewQueue(Limits{Slots: 1, Queue: 10})
	d, _ := q.Admit(0, newRequest(1, 1, 0, time.Minute))
	qt.Assert(t, qt.Equals(d, Start))
	for _, o := range []Request{
		newRequest(2, 1, 0, time.Minute), // of the session that holds the slot
		newRequest(3, 2, 0, time.Minute),
		newRequest(4, 1, 5, time.Minute), // of higher priority
	} {
		d, _ := q.Admit(0, o)
		qt.Assert(t, qt.Equals(d, Wait))
	}
	var order []Ticket
	session := uint64(1)
	for range 3 {
		started := q.Release(time.Second, session)
		qt.Assert(t, qt.HasLen(started, 1))
		order = append(order, started...)
		session = map[Ticket]uint64{2: 1, 3: 2, 4: 1}[started[0]]
	}
	qt.Check(t, qt.DeepEquals(order, []Ticket{4, 2, 3}))
}

func TestQueueIsFairBetweenSessions(t *testing.T) {
	q := NewQueue(Limits{Slots: 2, Queue: 10})
	q.Admit(0, newRequest(1, 1, 0, time.Minute))
	q.Admit(0, newRequest(2, 1, 0, time.Minute))
	q.Admit(0, newRequest(3, 1, 0, time.Minute))
	q.Admit(0, newRequest(4, 2, 0, time.Minute))
	qt.Check(t, qt.DeepEquals(q.Release(1, 1), []Ticket{4}))
}

func TestQueueRefusesUnreachableDeadline(t *testing.T) {
	q := NewQueue(Limits{Slots: 1, Queue: 100})
	q.Admit(0, newRequest(1, 1, 0, time.Minute))
	d, retryAfter := q.Admit(0, newRequest(2, 1, 0, initialWork))
	qt.Check(t, qt.Equals(d, Refuse))
	qt.Check(t, qt.IsTrue(retryAfter > 0))
	d, _ = q.Admit(time.Second, newRequest(3, 1, 0, time.Second))
	qt.Check(t, qt.Equals(d, Refuse))

	q.Admit(0, newRequest(4, 1, 0, time.Minute))
	qt.Check(t, qt.DeepEquals(q.Expire(2*time.Minute), []Ticket{4}))
	qt.Check(t, qt.HasLen(q.Release(2*time.Minute, 1), 0))
}

// TestQueueInvariants checks in random sequences of Admit, Release and
// Expire that the occupied slots never exceed the limit and that each queued
// request either starts or expires exactly once.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := NewQueue(Limits{Slots: slots, Queue: rapid.IntRange(0, 5).Draw(t, "queue")})
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
				d, _ := q.Admit(now, newRequest(tk, s, rapid.IntRange(0, 1).Draw(t, "priority"), now+time.Second))
				if d == Start {
					running = append(running, s)
				} else if d == Wait {
					queued[tk] = s
				}
			case 2:
				if len(running) > 0 {
					s := running[0]
					running = running[1:]
					start(q.Release(now, s))
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
