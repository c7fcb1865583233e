package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
)

const (
	maxPageItems = 500
	maxPageBytes = 1_000_000
)

// pagedStore is a store whose lists come in pages, by name, of about 500 objects or 1 MB
// at most. The first object of a page is always on it.
type pagedStore struct{ http.Handler }

// listPage is the answer to a list call.
type listPage struct {
	Items    []json.RawMessage `json:"items"`
	Events   []json.RawMessage `json:"events"`
	More     bool              `json:"has-more"`
	Revision uint64            `json:"current-rev"`
}

func (p pagedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind := strings.TrimPrefix(r.URL.Path, "/-/objects/")
	if r.Method != http.MethodGet || strings.Contains(kind, "/") || r.URL.Query().Has("watch") {
		p.Handler.ServeHTTP(w, r)
		return
	}
	whole := httptest.NewRecorder()
	p.Handler.ServeHTTP(whole, r)
	var l listPage
	if err := json.Unmarshal(whole.Body.Bytes(), &l); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	size := 0
	for i, item := range l.Items {
		if size += len(item); i > 0 && (size > maxPageBytes || i >= maxPageItems) {
			l.Items, l.More = l.Items[:i], true
			break
		}
	}
	body, err := json.Marshal(l)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	for name, values := range whole.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(whole.Code)
	_, _ = w.Write(body)
}
