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
	maxEvent  = 64 << 10 // bytes of a line
	feedQueue = 64       // events read ahead
)

// Event is one event of a feed.
type Event struct {
	ID   string
	Type string
	Data string
}

// Feed is an event stream that is resumed after its last event whenever its
// connection breaks or its target leaves.
type Feed struct {
	events chan Event
	done   chan error
	cancel context.CancelFunc
	err    error
}

// Feed opens the event stream at a path, after the event with the given ID if it
// is not empty.
func (s *Session) Feed(ctx context.Context, path, lastID string) (*Feed, error) {
	first, err := s.openStream(ctx, path, lastID)
	if err != nil {
		return nil, err
	}
	run, cancel := context.WithCancel(s.ctx)
	f := &Feed{events: make(chan Event, feedQueue), done: make(chan error, 1), cancel: cancel}
	p := &pump{session: s, path: path, lastID: lastID, out: f.events}
	go func() {
		defer close(f.events)
		f.done <- p.run(run, first)
	}()
	return f, nil
}

// Next waits for the next event. After the feed's end it returns io.EOF.
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
	conn   *connection
	events chan Event // closed at its end
	move   chan struct{}
	cancel context.CancelFunc
}

// Opens the stream on the connection in use; it is tried again until ctx is done.
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
		if perr := s.pause(ctx, wait); perr != nil && !errors.Is(perr, errBudget) {
			return nil, &Error{Op: "feed " + path, Kind: Unavailable, Err: errors.Join(perr, err)}
		} else if perr != nil {
			sleep(ctx, maxRedial)
		}
	}
}

func (s *Session) tryStream(ctx context.Context, path, lastID string) (*stream, error) {
	c, err := s.connection(ctx)
	if err != nil {
		return nil, err
	}
	run, cancel := context.WithCancel(s.ctx)
	stop := context.AfterFunc(ctx, cancel) // until the stream is open
	defer stop()
	req, err := http.NewRequestWithContext(run, http.MethodGet, "https://"+c.quic.ConnectionState().TLS.ServerName+path, nil)
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
		err = refusedStream(path, resp, c)
	}
	if err != nil {
		c.release()
		cancel()
		return nil, err
	}
	st := &stream{conn: c, events: make(chan Event, feedQueue), move: make(chan struct{}), cancel: cancel}
	if !s.enlist() {
		_ = resp.Body.Close() // the session has ended
		c.release()
		cancel()
		return nil, &Error{Op: "feed " + path, Kind: Closed, Err: errClosed}
	}
	go func() {
		defer s.retire.Done()
		defer c.release()
		defer close(st.events)
		defer cancel()
		st.read(run, resp.Body)
	}()
	return st, nil
}

func refusedStream(path string, resp *http.Response, c *connection) error {
	defer resp.Body.Close()
	if resp.Header.Get(session.HeaderMove) != "" {
		c.move()
	}
	var res result
	res.read(resp.Header)
	kind := Unavailable
	if res.final || resp.StatusCode < http.StatusInternalServerError && res.outcome == "" {
		kind = Refused
	}
	return &Error{Op: "feed " + path, Kind: kind, RetryAfter: res.retryAfter, Err: fmt.Errorf("status %s", resp.Status)}
}

// Reads events until the stream ends; only whole events are passed on.
func (st *stream) read(ctx context.Context, body io.ReadCloser) {
	defer body.Close()
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 4096), maxEvent)
	var e Event
	asked := false
	for s.Scan() {
		line := s.Text()
		switch {
		case line == session.MoveComment && !asked:
			asked = true
			close(st.move)
		case line == "" && e != Event{}:
			select {
			case st.events <- e:
			case <-ctx.Done():
				return
			}
			e = Event{}
		default:
			e.field(line)
		}
	}
}

func (e *Event) field(line string) {
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

// pump passes events of one stream after the other on, without gap or repeat.
type pump struct {
	session *Session
	path    string
	lastID  string
	out     chan<- Event
	repeats string // ID up to which the stream repeats what was passed on; empty for none
}

func (p *pump) run(ctx context.Context, st *stream) error {
	for {
		next, err := p.follow(ctx, st)
		if err != nil || ctx.Err() != nil {
			return nil
		}
		if next == nil {
			p.repeats = ""
			if next, err = p.session.openStream(ctx, p.path, p.lastID); err != nil {
				return err
			}
		}
		st = next
	}
}

// opened is a successor that was opened after the event with an ID.
type opened struct {
	stream *stream
	after  string
	err    error
}

// Passes on the events of a stream until it ends, or until its successor is open
// after the target asked to be left, in the stream or at a heartbeat; the successor
// is opened while events of the old stream still flow.
func (p *pump) follow(ctx context.Context, st *stream) (*stream, error) {
	defer st.cancel()
	var successor chan opened
	move, leave := st.move, st.conn.leave
	for {
		select {
		case e, ok := <-st.events:
			if !ok {
				return p.await(ctx, successor)
			}
			if err := p.pass(ctx, e); err != nil {
				discard(successor)
				return nil, err
			}
		case <-move:
			move = nil
			st.conn.move()
		case <-leave:
			leave = nil
			successor = p.openElsewhere(ctx, st.conn)
		case o := <-successor:
			return p.adopt(o), nil
		case <-ctx.Done():
			discard(successor)
			return nil, ctx.Err()
		}
	}
}

// Takes over a successor. It repeats the events that the old stream brought after
// it was asked for. A stream that never opened is tried anew, after the last event.
func (p *pump) adopt(o opened) *stream {
	p.repeats = ""
	if o.after != p.lastID {
		p.repeats = p.lastID
	}
	return o.stream
}

func (p *pump) openElsewhere(ctx context.Context, old *connection) chan opened {
	ch := make(chan opened, 1)
	lastID := p.lastID
	go func() {
		if _, err := p.session.other(ctx, old); err != nil {
			ch <- opened{err: err}
			return
		}
		st, err := p.session.openStream(ctx, p.path, lastID)
		ch <- opened{st, lastID, err}
	}()
	return ch
}

// The old stream ended by itself; its successor, if one was asked for, goes on.
func (p *pump) await(ctx context.Context, successor chan opened) (*stream, error) {
	if successor == nil {
		return nil, nil
	}
	select {
	case o := <-successor:
		return p.adopt(o), nil
	case <-ctx.Done():
		discard(successor)
		return nil, ctx.Err()
	}
}

// Ends the successor that was asked for, if any.
func discard(successor chan opened) {
	if successor == nil {
		return
	}
	if o := <-successor; o.stream != nil {
		o.stream.cancel()
	}
}

// Passes an event on unless it repeats one; hosts of a service stream the same
// events in the same order.
func (p *pump) pass(ctx context.Context, e Event) error {
	if p.repeats != "" && e.ID != "" {
		if e.ID == p.repeats {
			p.repeats = ""
		}
		return nil
	}
	select {
	case p.out <- e:
	case <-ctx.Done():
		return ctx.Err()
	}
	if e.ID != "" {
		p.lastID = e.ID
	}
	return nil
}
