package agent

import (
	"bufio"
	"context"
	"net/http"
	"time"

	"skylarkturn/internal/session"
)

const (
	maxFeedLine = 64 << 10 // bytes
	feedQueue   = 16       // lines read ahead
)

// Serves an event stream. When the target leaves, a comment between two events
// asks the caller to resume elsewhere; the stream goes on until the caller ends
// it, so that nothing is missed.
func (a *Agent) serveFeed(x *exchange) {
	if a.refuseWhileDraining(x) {
		return
	}
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	resp, ok := a.openResponse(ctx, x)
	if !ok {
		return
	}
	defer resp.Body.Close()
	copyHeader(x.w.Header(), resp.Header)
	x.w.WriteHeader(resp.StatusCode)
	flusher, _ := x.w.(http.Flusher)
	f := &feed{w: x.w, flusher: flusher, lines: make(chan []byte, feedQueue)}
	ended := make(chan error, 1)
	go func() { ended <- f.read(ctx, resp) }()
	f.write(ctx, a.draining)
	cancel()
	_ = resp.Body.Close() // wakes the reader
	err := <-ended
	a.counters.observeRequest(x.class.Name, "feed_ended", time.Since(x.started))
	if err != nil {
		panic(http.ErrAbortHandler) // the host broke off: no clean end
	}
}

type feed struct {
	w       http.ResponseWriter
	flusher http.Flusher
	lines   chan []byte
}

// Reads lines until the host ends the stream; an error is a stream that broke
// off rather than ended.
func (f *feed) read(ctx context.Context, resp *http.Response) error {
	defer close(f.lines)
	s := bufio.NewScanner(resp.Body)
	s.Buffer(make([]byte, 0, 4096), maxFeedLine)
	for s.Scan() {
		line := append(append([]byte(nil), s.Bytes()...), '\n')
		select {
		case f.lines <- line:
		case <-ctx.Done():
			return nil
		}
	}
	if ctx.Err() != nil {
		return nil
	}
	return s.Err()
}

func (f *feed) write(ctx context.Context, leaving *condition) {
	f.flush()
	between, asked := true, false
	for {
		on, move := leaving.get()
		asked = asked && on
		if !between || asked {
			move = nil
		}
		select {
		case line, ok := <-f.lines:
			if !ok {
				return
			}
			if _, err := f.w.Write(line); err != nil {
				return
			}
			between = len(line) == 1
			if between {
				f.flush()
			}
		case <-move:
			if _, err := f.w.Write([]byte(session.MoveComment + "\n\n")); err != nil {
				return
			}
			f.flush()
			asked = true
		case <-ctx.Done():
			return
		}
	}
}

func (f *feed) flush() {
	if f.flusher != nil {
		f.flusher.Flush()
	}
}
