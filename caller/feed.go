package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"skylarkturn/internal/session"
)

const (
	maxEventLine = 64 << 10 // bytes
	feedBuffer   = 64       // events
)

// Event is one event of a feed.
type Event struct {
	ID   string // empty if the event has none
	Type string
	Data string // lines joined by newlines
}

// Feed is a stream of server-sent events. When its connection fails or its target
// drains, it resumes after the last event on another connection.
type Feed struct {
	events chan Event
	done   chan error // result of the forwarder; nil after Close
	cancel context.CancelFunc
	err    error // result that Close returned
}

// Feed opens the event stream at a path. It starts after the event with ID
// lastID, unless lastID is empty.
func (s *Session) Feed(ctx context.Context, path, lastID string) (*Feed, error) {
	first, err := s.openStream(ctx, path, lastID)
	if err != nil {
		return nil, err
	}
	feedCtx, cancel := context.WithCancel(s.ctx)
	f := &Feed{events: make(chan Event, feedBuffer), done: make(chan error, 1), cancel: cancel}
	fw := &forwarder{session: s, path: path, lastID: lastID, out: f.events}
	go func() {
		defer close(f.events)
		f.done <- fw.run(feedCtx, first)
	}()
	return f, nil
}

// Next waits for the next event. It returns io.EOF after the end of the feed.
func (f *Feed) Next(ctx context.Context) (Event, error) {
	select {
	case e, ok := <-f.events:
		if !ok {
			return Event{}, io.EOF
		}
		return e, nil
	case <-ctx.Done():
		return Event{}, ctx.Err()
	}
}

// Close ends the feed.
func (f *Feed) Close() error {
	f.cancel()
	if f.done != nil {
		f.err = <-f.done
		f.done = nil
	}
	return f.err
}

// stream is a feed's stream on one connection.
type stream struct {
	conn          *connection
	events        chan Event    // closed when the stream ends
	moveRequested chan struct{} // closed when the stream asks the session to move
	cancel        context.CancelFunc
}

// openStream opens a stream on the current connection, with retries until ctx is
// done.
func (s *Session) openStream(ctx context.Context, path, lastID string) (*stream, error) {
	for {
		st, err := s.tryStream(ctx, path, lastID)
		if err == nil {
			return st, nil
		}
		var e *Error
		if errors.As(err, &e) && (e.Kind == Refused || e.Kind == Closed) {
			return nil, err
		}
		var wait time.Duration
		if e != nil {
			wait = e.RetryAfter
		}
		if retryErr := s.waitRetry(ctx, wait); retryErr != nil && !errors.Is(retryErr, errRetryBudget) {
			return nil, &Error{Op: "feed " + path, Kind: Unavailable, Err: errors.Join(retryErr, err)}
		} else if retryErr != nil {
			sleepBackoff(ctx, maxBackoff)
		}
	}
}

// tryStream opens a stream on the current connection once.
func (s *Session) tryStream(ctx context.Context, path, lastID string) (*stream, error) {
	c, err := s.connection(ctx)
	if err != nil {
		return nil, err
	}
	streamCtx, cancel := context.WithCancel(s.ctx)
	stop := context.AfterFunc(ctx, cancel) // ctx bounds only the opening
	defer stop()
	req, err := http.NewRequestWithContext(streamCtx, http.MethodGet, "https://"+c.quic.ConnectionState().TLS.ServerName+path, nil)
	if err != nil {
		cancel()
		return nil, &Error{Op: "feed " + path, Kind: Refused, Err: err}
	}
	req.Header.Set("Accept", "text/event-stream")
	if lastID != "" {
		req.Header.Set("Last-Event-ID", lastID)
	}
	c.acquire()
	resp, err := c.http.RoundTrip(req)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = streamError(path, resp, c)
	}
	if err != nil {
		c.release()
		cancel()
		return nil, err
	}
	st := &stream{conn: c, events: make(chan Event, feedBuffer), moveRequested: make(chan struct{}), cancel: cancel}
	if !s.addBackground() {
		_ = resp.Body.Close() // the session was closed meanwhile
		c.release()
		cancel()
		return nil, &Error{Op: "feed " + path, Kind: Closed, Err: errClosed}
	}
	go func() {
		defer s.background.Done()
		defer c.release()
		defer close(st.events)
		defer cancel()
		st.readEvents(streamCtx, resp.Body)
	}()
	return st, nil
}

// streamError returns the error for a feed that the service refused to open.
func streamError(path string, resp *http.Response, c *connection) error {
	defer resp.Body.Close()
	if resp.Header.Get(session.HeaderMove) != "" {
		c.requestMove()
	}
	var res attemptResult
	res.readHeaders(resp.Header)
	kind := Unavailable
	if res.final || resp.StatusCode < http.StatusInternalServerError && res.outcome == "" {
		kind = Refused
	}
	return &Error{Op: "feed " + path, Kind: kind, RetryAfter: res.retryAfter, Err: fmt.Errorf("status %s", resp.Status)}
}

// readEvents parses events until the stream ends. An event that is cut off at the
// end is dropped.
func (st *stream) readEvents(ctx context.Context, body io.ReadCloser) {
	defer body.Close()
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 4096), maxEventLine)
	var e Event
	moveSeen := false
	for s.Scan() {
		line := s.Text()
		switch {
		case line == session.MoveComment && !moveSeen:
			moveSeen = true
			close(st.moveRequested)
		case line == "" && e != Event{}:
			select {
			case st.events <- e:
			case <-ctx.Done():
				return
			}
			e = Event{}
		default:
			e.setField(line)
		}
	}
}

// setField adds a line of the event stream to the event.
func (e *Event) setField(line string) {
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch name {
	case "id":
		e.ID = value
	case "event":
		e.Type = value
	case "data":
		if e.Data != "" {
			e.Data += "\n"
		}
		e.Data += value
	}
}

// forwarder delivers the events of successive streams, each of them once.
type forwarder struct {
	session         *Session
	path            string
	lastID          string
	out             chan<- Event
	duplicatesUntil string // events up to this ID were already delivered from the previous stream; empty if none were
}

// run forwards the stream and its successors until ctx is done. It returns an error
// if a successor cannot be opened.
func (fw *forwarder) run(ctx context.Context, st *stream) error {
	for {
		next, err := fw.forward(ctx, st)
		if err != nil || ctx.Err() != nil {
			return nil
		}
		if next == nil {
			fw.duplicatesUntil = ""
			if next, err = fw.session.openStream(ctx, fw.path, fw.lastID); err != nil {
				return err
			}
		}
		st = next
	}
}

// openResult is the outcome of opening a successor stream.
type openResult struct {
	stream *stream
	after  string // ID of the event after which the stream starts
	err    error
}

// forward delivers the events of a stream until it ends or its successor is open,
// and returns the successor. When the target asks for a move, in the stream or in a
// heartbeat response, forward opens the successor on another connection and goes on
// delivering events of the old stream until then.
func (fw *forwarder) forward(ctx context.Context, st *stream) (*stream, error) {
	defer st.cancel()
	var successor chan openResult
	streamMove, connMove := st.moveRequested, st.conn.moveRequested
	for {
		select {
		case e, ok := <-st.events:
			if !ok {
				return fw.awaitSuccessor(ctx, successor)
			}
			if err := fw.deliver(ctx, e); err != nil {
				cancelSuccessor(successor)
				return nil, err
			}
		case <-streamMove:
			streamMove = nil
			st.conn.requestMove()
		case <-connMove:
			connMove = nil
			successor = fw.openSuccessor(ctx, st.conn)
		case o := <-successor:
			return fw.switchTo(o), nil
		case <-ctx.Done():
			cancelSuccessor(successor)
			return nil, ctx.Err()
		}
	}
}

// switchTo returns the successor stream. Events that the old stream delivered
// after the successor was requested come again in it and are skipped. If the
// successor failed to open, the stream is nil and run opens another one after the
// last event.
func (fw *forwarder) switchTo(o openResult) *stream {
	fw.duplicatesUntil = ""
	if o.after != fw.lastID {
		fw.duplicatesUntil = fw.lastID
	}
	return o.stream
}

// openSuccessor opens a stream on a connection other than old, in the background.
func (fw *forwarder) openSuccessor(ctx context.Context, old *connection) chan openResult {
	ch := make(chan openResult, 1)
	lastID := fw.lastID
	go func() {
		if _, err := fw.session.connectionAfter(ctx, old); err != nil {
			ch <- openResult{err: err}
			return
		}
		st, err := fw.session.openStream(ctx, fw.path, lastID)
		ch <- openResult{st, lastID, err}
	}()
	return ch
}

// awaitSuccessor waits for the successor of a stream that has ended. It returns
// nil if none was requested.
func (fw *forwarder) awaitSuccessor(ctx context.Context, successor chan openResult) (*stream, error) {
	if successor == nil {
		return nil, nil
	}
	select {
	case o := <-successor:
		return fw.switchTo(o), nil
	case <-ctx.Done():
		cancelSuccessor(successor)
		return nil, ctx.Err()
	}
}

// cancelSuccessor closes the successor that was requested, if any.
func cancelSuccessor(successor chan openResult) {
	if successor == nil {
		return
	}
	if o := <-successor; o.stream != nil {
		o.stream.cancel()
	}
}

// deliver sends an event to the feed unless it was already delivered. It relies
// on all hosts of a service streaming the same events in the same order.
func (fw *forwarder) deliver(ctx context.Context, e Event) error {
	if fw.duplicatesUntil != "" && e.ID != "" {
		if e.ID == fw.duplicatesUntil {
			fw.duplicatesUntil = ""
		}
		return nil
	}
	select {
	case fw.out <- e:
	case <-ctx.Done():
		return ctx.Err()
	}
	if e.ID != "" {
		fw.lastID = e.ID
	}
	return nil
}
