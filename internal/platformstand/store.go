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

// Outage is a way in which the store fails.
type Outage int

// Outages.
const (
	Healthy Outage = iota
	Busy           // answers 503
	Silent         // does not answer
	Reset          // cuts connections
	Slow           // answers after slowAnswer
	Losing         // does what it is asked to and cuts the connection in place of answering
)

const slowResponseDelay = 300 * time.Millisecond

type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"`
}

type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind string
}

// Store is a stand-in of the platform's object store.
type Store struct {
	mu           sync.Mutex
	changed      chan struct{} // closed and replaced at each change
	objects      map[string]object
	history      []event
	compactedRev uint64 // oldest revision that a watch may start from
	revision     uint64
	outage       Outage
	calls        int
	closed       chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{changed: make(chan struct{}), objects: make(map[string]object), revision: 1, closed: make(chan struct{})}
}

// Close ends the calls that wait.
func (s *Store) Close() { close(s.closed) }

// Fail makes the store fail from now on; Healthy ends that.
func (s *Store) Fail(o Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = o
}

// Compact drops the history and cuts the watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRev = nil, s.revision
	s.notifyWatchers()
}

// Put replaces an object as the operator does, whatever its revision.
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

// Calls returns how many calls the store has had.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := object{meta{name, s.revision}, spec}
	s.objects[kind+"/"+name] = o
	s.history = append(s.history, event{o, false, kind})
	s.notifyWatchers()
	return o
}

// ServeHTTP answers the calls of daemons.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	outage := s.outage
	s.mu.Unlock()
	switch outage {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		select {
		case <-r.Context().Done():
		case <-s.closed: // the end of a caller whose body was not read goes unnoticed
		}
		return
	case Reset:
		panic(http.ErrAbortHandler)
	case Slow:
		time.Sleep(slowResponseDelay)
	}
	status, answer := s.call(r)
	if outage == Losing && r.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer) // the caller may have gone
}

func (s *Store) call(r *http.Request) (int, any) {
	path, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !ok {
		return http.StatusNotFound, nil
	}
	kind, name, named := strings.Cut(path, "/")
	if r.Method == http.MethodGet && !named {
		return s.list(r, kind)
	}
	var sent object
	if r.Method != http.MethodGet && r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	if !named {
		name = sent.Meta.Name
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
	case sent.Meta.Revision != 0 && sent.Meta.Revision != old.Meta.Revision:
		return http.StatusConflict, old
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.objects, kind+"/"+name)
		s.history = append(s.history, event{old, true, kind})
		s.notifyWatchers()
		return http.StatusOK, nil
	}
	return http.StatusOK, s.put(kind, name, sent.Spec)
}

type listResponse struct {
	Items    []object `json:"items,omitempty"`
	Events   []event  `json:"events"`
	More     bool     `json:"has-more"`
	Revision uint64   `json:"current-rev"`
}

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
