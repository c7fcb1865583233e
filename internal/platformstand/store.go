package platformstand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Outage is a failure mode of the store.
type Outage int

// Failure modes.
const (
	Healthy       Outage = iota
	Unavailable          // responds with status 503
	Unresponsive         // accepts calls and never responds
	Reset                // resets connections
	Slow                 // responds after slowResponseDelay
	LoseResponses        // applies writes and resets the connection in place of responding
)

const (
	slowResponseDelay = 300 * time.Millisecond // half of it before the call takes effect, half of it after
	epochHeader       = "Store-Era"
)

// meta is the name and revision of an object.
type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"`
}

// object is an object of the store on the wire.
type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// event is a change of an object, as watches return it.
type event struct {
	Object  object
	Deleted bool
	kind    string
}

// change is a write as Restore needs it.
type change struct {
	event
	at         time.Time
	byOperator bool // written again after a restore
}

// Store simulates the platform's object store.
type Store struct {
	mu           sync.Mutex
	changed      chan struct{}     // closed and replaced at each change or compaction
	objects      map[string]object // by KIND/NAME
	history      []event
	changes      []change // all changes since the start
	epoch        uint64   // rises with each Restore
	compactedRev uint64   // oldest revision that a watch may start from
	revision     uint64
	outage       Outage
	calls        int
	closed       chan struct{} // closed by Close
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{changed: make(chan struct{}), objects: make(map[string]object), revision: 1, epoch: 1, closed: make(chan struct{})}
}

// Close ends the calls that Unresponsive keeps waiting.
func (s *Store) Close() { close(s.closed) }

// SetOutage sets the failure mode; Healthy ends the failure.
func (s *Store) SetOutage(o Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = o
}

// Compact drops the history. Watches from revisions before the current one then fail
// with status 410 (gone).
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRev = nil, s.revision
	s.notifyWatchers()
}

// Put writes an object as an operator does, regardless of its revision.
func (s *Store) Put(kind, name string, spec any) error {
	b, err := json.Marshal(spec)
	if err != nil {
		return &Error{"put " + name, KindInvalid, err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, b, true)
	return nil
}

// PutOdd writes an object as another writer may leave it: spec need not be valid JSON, but
// its brackets match.
func (s *Store) PutOdd(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, json.RawMessage(spec), false)
}

// oddSpecs are contents that another writer may leave in the store.
var oddSpecs = []string{
	strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000),
	strconv.Quote(strings.Repeat("x", maxPageBytes-100)),
	`{"inner":` + strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000) + "}",
	`{"inner":"127.0.0.1:99999","epoch":1}`,
	`{"inner":"127.0.0.1:7400","epoch":1e400}`,
	`{"inner":"127.0.0.1:7400","epoch":` + strings.Repeat("9", 400) + "}",
	`{"inner":Infinity}`,
	"\"\xff\xfe\x01\"",
	`[null,7,"]"]`,
}

// Restore replaces the content by a copy of the given age. Revisions go on from that of
// the copy, the epoch rises by one, and what the operator has written since is written
// again.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restore(time.Now().Add(-age))
	s.notifyWatchers()
}

// restore implements Restore from the copy made at a time; called with mu held.
func (s *Store) restore(copied time.Time) {
	n := slices.IndexFunc(s.changes, func(c change) bool { return c.at.After(copied) })
	if n < 0 {
		n = len(s.changes)
	}
	lost := slices.Clone(s.changes[n:])
	s.changes = s.changes[:n]
	s.objects, s.history, s.revision = make(map[string]object), nil, 1
	for _, c := range s.changes {
		s.apply(c.event)
	}
	s.compactedRev = min(s.compactedRev, s.revision)
	s.epoch++
	for _, c := range lost {
		if c.byOperator {
			s.put(c.kind, c.Object.Meta.Name, c.Object.Spec, true)
		}
	}
}

// apply applies a change to objects, history and revision; called with mu held.
func (s *Store) apply(e event) {
	key := e.kind + "/" + e.Object.Meta.Name
	s.objects[key] = e.Object
	if e.Deleted {
		delete(s.objects, key)
	}
	s.revision = e.Object.Meta.Revision
	s.history = append(s.history, e)
}

// record applies a change at a new revision and wakes the watches; called with mu held.
func (s *Store) record(e event, byOperator bool) object {
	e.Object.Meta.Revision = s.revision + 1
	s.apply(e)
	s.changes = append(s.changes, change{e, time.Now(), byOperator})
	s.notifyWatchers()
	return e.Object
}

// Calls returns the number of calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// notifyWatchers wakes the waiting watches; called with mu held.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object at a new revision; called with mu held.
func (s *Store) put(kind, name string, spec json.RawMessage, byOperator bool) object {
	return s.record(event{object{meta{Name: name}, spec}, false, kind}, byOperator)
}

// ServeHTTP serves the calls of the daemons.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	outage := s.outage
	w.Header().Set(epochHeader, strconv.FormatUint(s.epoch, 10))
	s.mu.Unlock()
	switch outage {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Unresponsive:
		select {
		case <-r.Context().Done():
		case <-s.closed: // the server only notices that a caller has gone once it has read the body
		}
		return
	case Reset:
		panic(http.ErrAbortHandler)
	case Slow:
		time.Sleep(slowResponseDelay / 2)
	}
	status, response, epoch := s.call(r)
	w.Header().Set(epochHeader, strconv.FormatUint(epoch, 10))
	if outage == Slow {
		time.Sleep(slowResponseDelay / 2)
	}
	if outage == LoseResponses && r.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encode(response)) // the caller may have gone
}

// encode returns a response as JSON. It copies the content of objects, which another
// writer may have left in a form that encoders refuse.
func encode(response any) []byte {
	switch r := response.(type) {
	case object:
		return r.append(nil)
	case listResponse:
		return r.append(nil)
	}
	return []byte("null")
}

// append appends the encoded object to b.
func (o object) append(b []byte) []byte {
	name, _ := json.Marshal(o.Meta.Name) // can't fail for a string
	b = fmt.Appendf(b, `{"meta":{"name":%s,"revision":%d},"spec":`, name, o.Meta.Revision)
	if len(o.Spec) == 0 {
		b = append(b, "null"...)
	}
	return append(append(b, o.Spec...), '}')
}

// append appends the encoded list to b.
func (l listResponse) append(b []byte) []byte {
	b = append(b, `{"items":[`...)
	for i, o := range l.Items {
		if i > 0 {
			b = append(b, ',')
		}
		b = o.append(b)
	}
	b = append(b, `],"events":[`...)
	for i, e := range l.Events {
		if i > 0 {
			b = append(b, ',')
		}
		b = e.Object.append(append(b, `{"object":`...))
		b = fmt.Appendf(b, `,"deleted":%v}`, e.Deleted)
	}
	return fmt.Appendf(b, `],"has-more":%v,"current-rev":%d}`, l.More, l.Revision)
}

// call serves a call without faults and returns its status, its response and the epoch
// in which it took effect.
func (s *Store) call(r *http.Request) (status int, response any, epoch uint64) {
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	if r.Method == http.MethodGet && !named {
		return s.list(r, kind)
	}
	var body object
	if r.Method != http.MethodGet && r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			return http.StatusBadRequest, nil, 0
		}
	}
	if !named {
		name = body.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, response = s.callObject(r.Method, kind, name, &body)
	return status, response, s.epoch
}

// callObject serves a call for one object; called with mu held.
func (s *Store) callObject(method, kind, name string, body *object) (status int, response any) {
	old, exists := s.objects[kind+"/"+name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, old
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case method == http.MethodGet:
		return http.StatusOK, old
	case body.Meta.Revision != 0 && body.Meta.Revision != old.Meta.Revision:
		return http.StatusConflict, old
	case method == http.MethodDelete:
		s.record(event{old, true, kind}, false)
		return http.StatusOK, nil
	}
	return http.StatusOK, s.put(kind, name, body.Spec, false)
}

// listResponse is the response to a list or watch.
type listResponse struct {
	Items    []object
	Events   []event
	More     bool
	Revision uint64
}

// list returns the objects of a kind, sorted by name.
func (s *Store) list(r *http.Request, kind string) (status int, response any, epoch uint64) {
	q := r.URL.Query()
	if q.Has("watch") {
		return s.watch(r, kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := listResponse{Revision: s.revision}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") && o.Meta.Name > q.Get("after") {
			l.Items = append(l.Items, o)
		}
	}
	slices.SortFunc(l.Items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	l.cut()
	return http.StatusOK, l, s.epoch
}

// Limits of a page of a list, which has one object at least.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// cut leaves the objects of the first page in the list.
func (l *listResponse) cut() {
	size := 0
	for i, o := range l.Items {
		size += len(o.Spec)
		if i > 0 && (i == maxPageItems || size > maxPageBytes) {
			l.Items, l.More = l.Items[:i], true
			return
		}
	}
}

// watch returns the events of a kind after a revision, and waits for one if there are
// none. It fails with status 410 (gone) if the store does not have the revision, be it
// too old or not given out yet.
func (s *Store) watch(r *http.Request, kind string) (status int, response any, epoch uint64) {
	since, err1 := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err1 != nil || err2 != nil {
		return http.StatusBadRequest, nil, 0
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		l, gone, changed := listResponse{Revision: s.revision}, since < s.compactedRev || since > s.revision, s.changed
		epoch = s.epoch
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Revision > since {
				l.Events = append(l.Events, e)
			}
		}
		s.mu.Unlock()
		if gone {
			return http.StatusGone, nil, epoch
		}
		if len(l.Events) > 0 {
			return http.StatusOK, l, epoch
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, l, epoch
		case <-r.Context().Done():
			return http.StatusOK, l, epoch
		}
	}
}
