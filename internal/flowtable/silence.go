package flowtable

import (
	"time"

	"skylarkturn/internal/parcel"
)

// silence counts what has been given to the host since it last sent anything.
type silence struct {
	since   time.Time // first packet without an answer
	packets int
}

// silentAfter is the time without any packet from the host, while it is given
// some, after which the agent checks whether it still runs.
const silentAfter = 400 * time.Millisecond

// Given counts a packet that was given to the host.
func (t *Table) Given(now time.Time) {
	if t.silence.packets == 0 {
		t.silence.since = now
	}
	t.silence.packets++
}

// Suspicious reports whether the host may have ended: it has been silent for some
// time while packets for it arrived, or it has never been heard of while
// balancers ask for its flows.
func (t *Table) Suspicious(now time.Time) bool {
	if t.host.ID == "" && len(t.questions) > 0 {
		return true
	}
	return t.silence.packets >= silenceBounds && now.Sub(t.silence.since) >= silentAfter
}

// Checked takes the result of a connection attempt to the host: ended is true
// when nothing listens there, which ends all its flows.
func (t *Table) Checked(ended bool, out []Action) []Action {
	t.silence = silence{}
	if !ended {
		return out
	}
	t.registered = false
	t.complete = true
	for k, q := range t.questions {
		out = append(out, refusal(k, q.from, parcel.Ask, parcel.NotHeld, nil))
	}
	return t.endAll(HostEnded, out)
}
