package admission

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/script"
)

// TestScripts runs the scripts in testdata on a queue. Requests are named r1, r2 and so
// on; times are milliseconds.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(t *testing.T) func(script.Command) []string {
		r := &runner{t: t, requests: make(map[Ticket]Request)}
		return r.run
	})
}

type runner struct {
	t        *testing.T
	now      time.Duration
	queue    *Queue
	requests map[Ticket]Request
}

func (r *runner) ms(c script.Command, name string) time.Duration {
	return time.Duration(c.Int(r.t, name)) * time.Millisecond
}

func ticketOf(t *testing.T, name string) Ticket {
	n, err := strconv.ParseUint(name[1:], 10, 64)
	qt.Assert(t, qt.IsNil(err))
	return Ticket(n)
}

func (r *runner) run(c script.Command) []string {
	switch c.Name {
	case "queue": // queue slots=N limit=N
		r.queue = NewQueue(Limits{Slots: c.Int(r.t, "slots"), Queue: c.Int(r.t, "limit")})
		return nil
	case "wait": // wait DURATION
		r.now += c.Duration(r.t, 0)
		return nil
	case "enqueue", "admit": // enqueue|admit r1 [session=N] [class=N] [priority=N] [objective=MS] [start-by=MS] [deadline=MS]
		return r.add(c)
	case "end": // end r1 [work=MS]: the request ends, after it has held a slot for that time
		q := r.requests[ticketOf(r.t, c.Arg(0))]
		if work := r.ms(c, "work"); work > 0 {
			r.queue.RecordWork(q.Class, work)
		}
		return names("start", r.queue.Release(r.now, q.Session))
	case "cancel":
		return []string{fmt.Sprint(r.queue.Cancel(ticketOf(r.t, c.Arg(0))))}
	case "overdue":
		return names("start", r.queue.StartOverdue(r.now))
	case "expire":
		return names("expire", r.queue.Expire(r.now))
	case "estimate": // estimate [priority=N] [session=N] [expected=N]
		q := Request{Priority: c.Int(r.t, "priority"), Session: uint64(c.Int(r.t, "session"))}
		return []string{fmt.Sprint(r.queue.EstimateWait(&q, c.Int(r.t, "expected")))}
	case "sustains": // sustains class=N [priority=N]: with as many slots as the queue has
		return []string{fmt.Sprint(r.queue.CanSustain(r.now, uint64(c.Int(r.t, "class")), c.Int(r.t, "priority"), float64(r.queue.limits.Slots)))}
	case "arrivals": // arrivals N every=MS [class=N] [priority=N] work=MS: requests that are answered at once
		return r.arrive(c)
	case "total": // total [expected=N]
		return []string{fmt.Sprint(r.queue.TotalWait(c.Int(r.t, "expected")))}
	case "counts":
		return []string{fmt.Sprintf("busy=%d queued=%d", r.queue.Busy(), r.queue.Queued())}
	}
	return script.UnknownCommand(r.t, c)
}

func (r *runner) add(c script.Command) []string {
	q := Request{
		Ticket: ticketOf(r.t, c.Arg(0)), Session: uint64(c.Int(r.t, "session")), Class: uint64(c.Int(r.t, "class")), Priority: c.Int(r.t, "priority"),
		Deadline: r.now + time.Minute,
	}
	for name, at := range map[string]*time.Duration{"objective": &q.Objective, "start-by": &q.StartBy, "deadline": &q.Deadline} {
		if _, ok := c.Options[name]; ok {
			*at = r.now + r.ms(c, name)
		}
	}
	r.requests[q.Ticket] = q
	decisions := map[Decision]string{Start: "start", Wait: "wait", Refuse: "refuse"}
	if c.Name == "enqueue" {
		return []string{decisions[r.queue.Enqueue(r.now, q)]}
	}
	d, retryAfter := r.queue.Admit(r.now, q)
	if d == Refuse {
		return []string{fmt.Sprintf("refuse, retry after %v", retryAfter)}
	}
	return []string{decisions[d]}
}

// arrive enqueues requests one after the other, each of which ends at once.
func (r *runner) arrive(c script.Command) []string {
	n, err := strconv.Atoi(c.Arg(0))
	qt.Assert(r.t, qt.IsNil(err))
	q := Request{Class: uint64(c.Int(r.t, "class")), Priority: c.Int(r.t, "priority"), Deadline: time.Hour}
	for range n {
		r.now += r.ms(c, "every")
		r.queue.Enqueue(r.now, q)
		r.queue.RecordWork(q.Class, r.ms(c, "work"))
		r.queue.Release(r.now, q.Session)
	}
	return nil
}

// names returns a line for each ticket.
func names(what string, tickets []Ticket) (lines []string) {
	for _, t := range tickets {
		lines = append(lines, fmt.Sprintf("%s r%d", what, t))
	}
	return lines
}
