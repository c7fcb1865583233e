package request

import (
	"container/heap"
	"time"
)

// Outcome is the reported outcome of a request that is not idempotent.
type Outcome string

// Outcomes of requests.
const (
	OutcomeRun     Outcome = "run"     // it ran; the response may be included
	OutcomeNotRun  Outcome = "not_run" // it did not run and never will under this binding
	OutcomeUnknown Outcome = "unknown" // its agent or host was lost while it may have been running
)

// Answer is the complete response of a host, kept for retries.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	Dropped     bool   `cbor:"4,keyasint,omitempty"` // the body exceeded the limits and was not kept
}

func (a *Answer) size() int { return len(a.Body) + len(a.ContentType) + entryOverhead }

// Verdict is the ledger's decision on a copy of a request.
type Verdict uint8

// Verdicts returned by Begin and Resolve.
const (
	Run        Verdict = iota + 1 // first copy: run it, then call Finish, Fence or Fail
	Replay                        // it has run: return the kept answer
	InProgress                    // another copy is in progress
	Fenced                        // it has not run and never will under this binding
	Expired                       // the binding has expired: the outcome is unknown
	Lost                          // the host was lost during the run: the outcome is unknown
)

// Limits holds the limits of a Ledger.
type Limits struct {
	Entries  int           // maximum number of requests remembered
	Bytes    int           // maximum total size of the kept answers
	Body     int           // largest response body that is kept, in bytes
	Lifetime time.Duration // validity of a binding, from its issue
}

// DefaultLimits keeps the memory of a ledger at about 8 MB.
var DefaultLimits = Limits{Entries: 20_000, Bytes: 6 << 20, Body: 16 << 10, Lifetime: 2 * time.Minute}

const entryOverhead = 96 // estimated bytes of an entry beside its answer

type entry struct {
	key       string
	verdict   Verdict // InProgress, Replay, Fenced or Lost
	answer    Answer
	fencedAt  time.Duration // time at which the request was fenced
	expiresAt time.Duration // time at which every binding issued up to the last change has expired
	index     int           // in the expiry heap
}

// Ledger deduplicates the requests of one incarnation of an agent that are not
// idempotent. It remembers a request until every binding under which a copy of it
// could arrive has expired. Times are on the agent's clock, since its start. It is
// not safe for concurrent use.
type Ledger struct {
	limits        Limits
	entries       map[string]*entry
	expiry        expiryHeap
	answerBytes   int
	fencedThrough time.Duration // bindings issued up to this time are fenced for keys without an entry
}

// NewLedger returns an empty ledger.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{limits: limits, entries: make(map[string]*entry)}
}

// Len returns the number of remembered requests.
func (l *Ledger) Len() int { return len(l.entries) }

// Begin decides on a copy of the request with the key, under a binding that this
// incarnation issued at the given time. If the ledger is full, it fences all
// bindings issued so far for keys without an entry.
func (l *Ledger) Begin(now time.Duration, key string, issued time.Duration) (Verdict, Answer) {
	l.expire(now)
	e := l.entries[key]
	if e != nil && !(e.verdict == Fenced && issued > e.fencedAt) {
		return e.verdict, e.answer
	}
	if v := l.checkBinding(now, issued); v != 0 {
		return v, Answer{}
	}
	if e == nil && l.full() {
		l.fencedThrough = now
		return Fenced, Answer{}
	}
	l.setVerdict(now, key, InProgress)
	return Run, Answer{}
}

// checkBinding returns Expired or Fenced if a binding issued at the given time may
// not be used for a key without an entry, and 0 otherwise. Entries are kept for the
// lifetime of a binding; after that, the absence of an entry no longer proves that
// the request has not run.
func (l *Ledger) checkBinding(now, issued time.Duration) Verdict {
	switch {
	case now-issued > l.limits.Lifetime || issued > now:
		return Expired
	case l.fencedThrough > 0 && issued <= l.fencedThrough:
		return Fenced
	}
	return 0
}

// Finish records that the request has run and keeps its answer, without the body
// if that exceeds the limits.
func (l *Ledger) Finish(now time.Duration, key string, a Answer) {
	if len(a.Body) > l.limits.Body || l.answerBytes+a.size() > l.limits.Bytes {
		a.Body, a.Dropped = nil, true
	}
	e := l.setVerdict(now, key, Replay)
	e.answer = a
	l.answerBytes += a.size()
}

// Fence fences a request for which Begin returned Run but which was not started.
func (l *Ledger) Fence(now time.Duration, key string) {
	l.setVerdict(now, key, Fenced).fencedAt = now
}

// Fail records that the host was lost while the request was running.
func (l *Ledger) Fail(now time.Duration, key string) {
	l.setVerdict(now, key, Lost)
}

// Resolve returns the verdict on a request whose binding was issued at the given
// time, and fences the request if it has not run.
func (l *Ledger) Resolve(now time.Duration, key string, issued time.Duration) (Verdict, Answer) {
	l.expire(now)
	if e := l.entries[key]; e != nil {
		return e.verdict, e.answer
	}
	if v := l.checkBinding(now, issued); v != 0 {
		return v, Answer{}
	}
	if l.full() {
		l.fencedThrough = now
		return Fenced, Answer{}
	}
	l.setVerdict(now, key, Fenced).fencedAt = now
	return Fenced, Answer{}
}

func (l *Ledger) full() bool { return len(l.entries) >= l.limits.Entries }

// setVerdict sets the verdict of a key and keeps the entry until every binding
// issued up to now has expired.
func (l *Ledger) setVerdict(now time.Duration, key string, v Verdict) *entry {
	e := l.entries[key]
	if e == nil {
		e = &entry{key: key}
		l.entries[key] = e
		e.expiresAt = now + l.limits.Lifetime
		heap.Push(&l.expiry, e)
	} else {
		l.answerBytes -= e.answerSize()
		e.expiresAt = now + l.limits.Lifetime
		heap.Fix(&l.expiry, e.index)
	}
	e.verdict = v
	e.answer = Answer{}
	return e
}

func (e *entry) answerSize() int {
	if e.verdict != Replay {
		return 0
	}
	return e.answer.size()
}

// expire removes expired entries. The lifetime of a request in progress is
// extended instead, since its outcome isn't recorded yet.
func (l *Ledger) expire(now time.Duration) {
	for len(l.expiry) > 0 && l.expiry[0].expiresAt < now {
		e := l.expiry[0]
		if e.verdict == InProgress {
			e.expiresAt = now + l.limits.Lifetime
			heap.Fix(&l.expiry, e.index)
			continue
		}
		l.answerBytes -= e.answerSize()
		heap.Pop(&l.expiry)
		delete(l.entries, e.key)
	}
}

// expiryHeap implements heap.Interface, ordered by expiresAt.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
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
