package loadmodel

import (
	"container/heap"
	"time"

	"skylarkturn/internal/settings"
)

// event is something that happens at a time.
type event struct {
	at    time.Time
	order uint64 // of scheduling, for events at the same time
	run   func()
}

// eventQueue is a heap of events, earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// clock runs events in virtual time.
type clock struct {
	now   time.Time
	queue eventQueue
	order uint64
}

// after schedules run after a delay.
func (c *clock) after(d time.Duration, run func()) {
	c.order++
	heap.Push(&c.queue, event{c.now.Add(d), c.order, run})
}

// runUntil runs all events up to a time.
func (c *clock) runUntil(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

func seconds(d settings.Duration) float64 { return time.Duration(d).Seconds() }
