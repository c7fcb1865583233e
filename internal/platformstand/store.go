package platformstand

import (
	"encoding/json"
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

const slowResponseDelay = 300 * time.Millisecond

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
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind string
}

// Store simulates the platform's object store.
type Store struct {
	mu           sync.Mutex
	changed      chan struct{}     // closed and replaced at each change or compaction
	objects      map[string]object // by KIND/NAME
	history      []event
	compactedRev uint64 // oldest revision that a watch may start from
	revision     uint64
	outage       Outage
	calls        int
	closed       chan struct{} // closed by Close
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{changed: make(chan struct{}), objects: make(map[string]object), revision: 1, closed: make(chan struct{})}
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
	s.put(kind, name, b)
	return nil
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
func (s *Store) put(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := object{meta{name, s.revision}, spec}
	s.objects[kind+"/"+name] = o
	s.history = append(s.history, event{o, false, kind})
	s.notifyWatchers()
	return o
}

// ServeHTTP serves the calls of the daemons.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	outage := s.outage
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
		time.Sleep(slowResponseDelay)
	}
	status, response := s.call(r)
	if outage == LoseResponses && r.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response) // the caller may have gone
}

// call serves a call without faults and returns its status and response.
func (s *Store) call(r *http.Request) (int, any) {
	path, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !ok {
		return http.StatusNotFound, nil
	}
	kind, name, named := strings.Cut(path, "/")
	if r.Method == http.MethodGet && !named {
		return s.list(r, kind)
	}
	var body object
	if r.Method != http.MethodGet && r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	if !named {
		name = body.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, old
	case r.Method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, old
	case body.Meta.Revision != 0 && body.Meta.Revision != old.Meta.Revision:
		return http.StatusConflict, old
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.objects, kind+"/"+name)
		s.history = append(s.history, event{old, true, kind})
		s.notifyWatchers()
		return http.StatusOK, nil
	}
	return http.StatusOK, s.put(kind, name, body.Spec)
}

// listResponse is the response to a list or watch.
type listResponse struct {
	Items    []object `json:"items,omitempty"`
	Events   []event  `json:"events"`
	More     bool     `json:"has-more"`
	Revision uint64   `json:"current-rev"`
}

// list returns the objects of a kind, sorted by name.
func (s *Store) list(r *http.Request, kind string) (int, any) {
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
	return http.StatusOK, l
}

// watch returns the events of a kind after a revision, and waits for one if there are
// none.
func (s *Store) watch(r *http.Request, kind string) (int, any) {
	since, err1 := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err1 != nil || err2 != nil {
		return http.StatusBadRequest, nil
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		l, gone, changed := listResponse{Revision: s.revision}, since < s.compactedRev, s.changed
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Revision > since {
				l.Events = append(l.Events, e)
			}
		}
		s.mu.Unlock()
		if gone {
			return http.StatusGone, nil
		}
		if len(l.Events) > 0 {
			return http.StatusOK, l
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, l
		case <-r.Context().Done():
			return http.StatusOK, l
		}
	}
}
