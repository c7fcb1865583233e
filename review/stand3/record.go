package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one line each.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, start: time.Now()}, nil
}

// printf writes a line with the milliseconds since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%7d "+format+"\n", append([]any{time.Since(r.start).Milliseconds()}, args...)...)
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.f.Close()
}
