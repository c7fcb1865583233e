package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxPageItems  = 500
	maxPageBytes  = 1_000_000
	maxValueBytes = 1 << 20
	maxBodyBytes  = 2 << 20
)

// store is the platform's metadata store, without faults.
type store struct {
	mu       sync.Mutex
	objects  map[string]map[string]object // by kind and name
	history  []event
	revision uint64
	changed  chan struct{} // closed and replaced at each change
	closed   chan struct{}
}

type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
	at      uint64 // revision of the change
}

type listAnswer struct {
	Items    []object `json:"items"`
	Events   []event  `json:"events,omitempty"`
	More     bool     `json:"has-more"`
	Revision uint64   `json:"current-rev"`
}

func newStore() *store {
	return &store{objects: make(map[string]map[string]object), revision: 1, changed: make(chan struct{}), closed: make(chan struct{})}
}

// close ends the watches that wait.
func (s *store) close() { close(s.closed) }

// write writes an object as the operator or another writer does.
func (s *store) write(kind, name string, spec any) error {
	b, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, b)
	return nil
}

// set writes an object, unless that changes nothing; called with mu held.
func (s *store) set(kind, name string, spec json.RawMessage) object {
	old, exists := s.objects[kind][name]
	if exists && bytes.Equal(old.Spec, spec) {
		return old
	}
	o := object{meta{name, s.revision + 1}, spec}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.record(event{Object: o, kind: kind})
	return o
}

// record adds a change to the history; called with mu held.
func (s *store) record(e event) {
	s.revision++
	e.at = s.revision
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	var status int
	var answer any
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		status, answer = s.watch(r, kind)
	case r.Method == http.MethodGet && name == "":
		status, answer = s.list(kind, r.URL.Query().Get("after"))
	default:
		status, answer = s.one(r, kind, name)
	}
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer) // the caller may have gone
}

// one serves a call for one object.
func (s *store) one(r *http.Request, kind, name string) (int, any) {
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes)).Decode(&body); err != nil {
			return http.StatusBadRequest, err.Error()
		}
		if len(body.Spec) > maxValueBytes {
			return http.StatusRequestEntityTooLarge, "value is too long"
		}
	}
	if r.Method == http.MethodPost {
		name = body.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
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
		delete(s.objects[kind], name)
		s.record(event{Object: old, Deleted: true, kind: kind})
		return http.StatusOK, old
	}
	return http.StatusOK, s.set(kind, name, body.Spec)
}

// list returns a page of the objects of a kind, by name, of about 500 objects or 1 MB at
// most. The first object of a page is always on it.
func (s *store) list(kind, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := listAnswer{Items: []object{}, Revision: s.revision}
	for name, o := range s.objects[kind] {
		if name > after {
			l.Items = append(l.Items, o)
		}
	}
	slices.SortFunc(l.Items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	size := 0
	for i, o := range l.Items {
		if size += len(o.Spec); i > 0 && (size > maxPageBytes || i >= maxPageItems) {
			l.Items, l.More = l.Items[:i], true
			break
		}
	}
	return http.StatusOK, l
}

// watch returns the changes of a kind after a revision, and waits for one.
func (s *store) watch(r *http.Request, kind string) (int, any) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		l, changed := listAnswer{Items: []object{}, Revision: s.revision}, s.changed
		for _, e := range s.history {
			if e.kind == kind && e.at > since {
				l.Events = append(l.Events, e)
			}
		}
		s.mu.Unlock()
		if since > l.Revision {
			return http.StatusGone, nil
		}
		if len(l.Events) > 0 {
			return http.StatusOK, l
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, l
		case <-r.Context().Done():
			return http.StatusOK, l
		case <-s.closed:
			return http.StatusOK, l
		}
	}
}
