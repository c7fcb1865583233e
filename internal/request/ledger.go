package request

import (
	"container/heap"
	"time"
)

// Outcome is what a caller is told of a request that is not idempotent.
type Outcome string

// Outcomes of requests.
const (
	OutcomeRun     Outcome = "run"     // it ran; its answer may come with it
	OutcomeNotRun  Outcome = "not_run" // it did not run and never will under this binding
	OutcomeUnknown Outcome = "unknown" // its agent or host was lost in the middle
)

// Answer is the whole answer of a host, kept for retries.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	Dropped     bool   `cbor:"4,keyasint,omitempty"` // the body was too large to keep
}

func (a *Answer) size() int { return len(a.Body) + len(a.ContentType) + entryOverhead }

// Verdict is what the ledger says of a copy of a request.
type Verdict uint8

// Verdicts of Begin and Resolve.
const (
	Run        Verdict = iota + 1 // the copy is the first: run it, then Finish or Fail
	Replay                        // it ran: give the kept answer
	InProgress                    // another copy is running
	Fenced                        // it has not run and never will under this binding
	Expired                       // the binding is too old to tell: unknown
	Lost                          // the host was lost in the middle: unknown
)

// Limits bounds a Ledger.
type Limits struct {
	Entries  int           // requests remembered
	Bytes    int           // size of the kept answers
	Body     int           // largest body that is kept
	Lifetime time.Duration // of a binding, from its issue
}

// DefaultLimits bounds a ledger to some 8 MB.
var DefaultLimits = Limits{Entries: 20_000, Bytes: 6 << 20, Body: 16 << 10, Lifetime: 2 * time.Minute}

const entryOverhead = 96 // bytes an entry takes beside its body

type entry struct {
	key     string
	verdict Verdict // InProgress, Replay, Fenced or Lost
	answer  Answer
	fenced  time.Duration // when the fence was written
	until   time.Duration // when every binding that the entry speaks for has expired
	index   int           // in the expiry heap
}

// Ledger remembers, for one incarnation of an agent, the requests that are not
// idempotent until no copy of them can be taken for new. Times are those of
// the agent's own clock, since its start. It is not safe for concurrent use.
type Ledger struct {
	limits  Limits
	entries map[string]*entry
	expiry  expiryHeap
	bytes   int
	floor   time.Duration // bindings issued up to it are fenced for keys without an entry
}

// NewLedger returns an empty ledger.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{limits: limits, entries: make(map[string]*entry)}
}

// Len returns the number of requests remembered.
func (l *Ledger) Len() int { return len(l.entries) }

// Begin takes a copy of the request with the key, under a binding that this
// incarnation issued at the given time. A ledger without room fences, at one
// stroke, all bindings issued so far for keys that it does not hold.
func (l *Ledger) Begin(now time.Duration, key string, issued time.Duration) (Verdict, Answer) {
	l.expire(now)
	e := l.entries[key]
	if e != nil && !(e.verdict == Fenced && issued > e.fenced) {
		return e.verdict, e.answer
	}
	if v := l.judge(now, issued); v != 0 {
		return v, Answer{}
	}
	if e == nil && l.full() {
		l.floor = now
		return Fenced, Answer{}
	}
	l.put(now, key, InProgress)
	return Run, Answer{}
}

// Judges a binding by its age alone; zero lets it pass. What ran under a binding
// is remembered for as long as the binding lives, so not longer is "no entry" a
// proof that it has not run.
func (l *Ledger) judge(now, issued time.Duration) Verdict {
	switch {
	case now-issued > l.limits.Lifetime || issued > now:
		return Expired
	case l.floor > 0 && issued <= l.floor:
		return Fenced
	}
	return 0
}

// Finish keeps the answer of a request that ran.
func (l *Ledger) Finish(now time.Duration, key string, a Answer) {
	if len(a.Body) > l.limits.Body || l.bytes+a.size() > l.limits.Bytes {
		a.Body, a.Dropped = nil, true
	}
	e := l.put(now, key, Replay)
	e.answer = a
	l.bytes += a.size()
}

// Refuse fences a request that Begin let run but that was not started.
func (l *Ledger) Refuse(now time.Duration, key string) {
	l.put(now, key, Fenced).fenced = now
}

// Fail records that the host was lost while the request ran.
func (l *Ledger) Fail(now time.Duration, key string) {
	l.put(now, key, Lost)
}

// Resolve tells what became of a request that was bound at the given time, and
// fences it if it has not run.
func (l *Ledger) Resolve(now time.Duration, key string, issued time.Duration) (Verdict, Answer) {
	l.expire(now)
	if e := l.entries[key]; e != nil {
		return e.verdict, e.answer
	}
	if v := l.judge(now, issued); v != 0 {
		return v, Answer{}
	}
	if l.full() {
		l.floor = now
		return Fenced, Answer{}
	}
	l.put(now, key, Fenced).fenced = now
	return Fenced, Answer{}
}

func (l *Ledger) full() bool { return len(l.entries) >= l.limits.Entries }

// Sets the verdict of a key; it is remembered until every binding issued up to
// now has expired.
func (l *Ledger) put(now time.Duration, key string, v Verdict) *entry {
	e := l.entries[key]
	if e == nil {
		e = &entry{key: key}
		l.entries[key] = e
		e.until = now + l.limits.Lifetime
		heap.Push(&l.expiry, e)
	} else {
		l.bytes -= e.kept()
		e.until = now + l.limits.Lifetime
		heap.Fix(&l.expiry, e.index)
	}
	e.verdict = v
	e.answer = Answer{}
	return e
}

func (e *entry) kept() int {
	if e.verdict != Replay {
		return 0
	}
	return e.answer.size()
}

// A request in progress is never forgotten.
func (l *Ledger) expire(now time.Duration) {
	for len(l.expiry) > 0 && l.expiry[0].until < now {
		e := l.expiry[0]
		if e.verdict == InProgress {
			e.until = now + l.limits.Lifetime
			heap.Fix(&l.expiry, e.index)
			continue
		}
		l.bytes -= e.kept()
		heap.Pop(&l.expiry)
		delete(l.entries, e.key)
	}
}

type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].until < h[j].until }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
