package admission

import (
	"math"
	"time"
)

const (
	demandWindow = time.Second       // time over which demand is averaged
	demandExpiry = 10 * demandWindow // a class without requests for that long is forgotten
	minDemand    = 0.05              // in slots; a class with less is left out of the sharing
)

// classDemand is the work that requests of a class have brought lately.
type classDemand struct {
	priority int
	work     float64 // seconds of execution time, earlier work counts for less
	at       time.Duration
}

// add adds the work of a request that arrives now.
func (d *classDemand) add(now, work time.Duration) {
	d.work = d.rate(now)*demandWindow.Seconds() + work.Seconds()
	d.at = now
}

// rate returns the work that arrives per unit of time, which is the number of slots that
// it occupies on average.
func (d *classDemand) rate(now time.Duration) float64 {
	return d.work * math.Exp(-(now-d.at).Seconds()/demandWindow.Seconds()) / demandWindow.Seconds()
}

// CanSustain reports whether the given slots can do the work that arrives lately of a
// priority and higher ones. If they can't, a class may still have its fair share of what
// the higher priorities leave, together with the other classes of its priority.
func (q *Queue) CanSustain(now time.Duration, class uint64, priority int, slots float64) bool {
	var same float64 // demand of the priority
	sharers := 1
	for c, d := range q.demand {
		rate := d.rate(now)
		switch {
		case d.priority > priority:
			slots -= rate
		case d.priority == priority:
			same += rate
			if c != class && rate >= minDemand {
				sharers++
			}
		}
	}
	own := 0.0
	if d := q.demand[class]; d != nil {
		own = d.rate(now)
	}
	return same <= slots || own <= slots/float64(sharers)
}

// recordDemand records a request that arrives now.
func (q *Queue) recordDemand(now time.Duration, r *Request) {
	d := q.demand[r.Class]
	if d == nil {
		q.forgetDemand(now)
		d = &classDemand{at: now}
		q.demand[r.Class] = d
	}
	d.priority = r.Priority
	d.add(now, q.Work(r.Class))
}

// forgetDemand removes classes without recent requests.
func (q *Queue) forgetDemand(now time.Duration) {
	for c, d := range q.demand {
		if now-d.at > demandExpiry {
			delete(q.demand, c)
		}
	}
}
