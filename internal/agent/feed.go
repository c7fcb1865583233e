package agent

import (
	"bufio"
	"context"
	"net/http"
	"time"

	"skylarkturn/internal/session"
)

const (
	maxFeedLineLen = 64 << 10 // bytes
	feedQueueLen   = 16       // lines read ahead
)

// serveFeed relays an event stream of the host. When the target begins to drain, the
// agent inserts session.MoveComment between two events, which asks the caller to
// resume the stream on another target. The stream continues until the caller closes
// it, so that the caller misses no event.
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
	f := &feed{w: x.w, flusher: flusher, lines: make(chan []byte, feedQueueLen)}
	readResult := make(chan error, 1)
	go func() { readResult <- f.read(ctx, resp) }()
	f.write(ctx, a.draining)
	cancel()
	_ = resp.Body.Close() // unblocks f.read
	err := <-readResult
	a.counters.observeRequest(x.class.Name, "feed_ended", time.Since(x.started))
	if err != nil {
		panic(http.ErrAbortHandler) // the host's stream was cut off; reset the caller's stream too
	}
}

// feed relays the lines of an event stream from the host to the caller.
type feed struct {
	w       http.ResponseWriter
	flusher http.Flusher
	lines   chan []byte
}

// read passes the lines of the response on to write until the host ends the stream or
// ctx is done. It returns an error if the stream was cut off rather than ended.
func (f *feed) read(ctx context.Context, resp *http.Response) error {
	defer close(f.lines)
	s := bufio.NewScanner(resp.Body)
	s.Buffer(make([]byte, 0, 4096), maxFeedLineLen)
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

// write writes the lines to the caller and inserts session.MoveComment at the next
// end of an event once the target drains.
func (f *feed) write(ctx context.Context, draining *condition) {
	f.flush()
	betweenEvents, moveSent := true, false
	for {
		on, move := draining.get()
		moveSent = moveSent && on
		if !betweenEvents || moveSent {
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
			betweenEvents = len(line) == 1
			if betweenEvents {
				f.flush()
			}
		case <-move:
			if _, err := f.w.Write([]byte(session.MoveComment + "\n\n")); err != nil {
				return
			}
			f.flush()
			moveSent = true
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
