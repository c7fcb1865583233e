package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"skylarkturn/internal/session"
)

const (
	defaultTimeout = 10 * time.Second
	maxAnswer      = 64 << 20 // bytes
)

// Request is one request of a session.
type Request struct {
	Method     string // GET when empty
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool // may run more than once whatever its method
}

// Answer is the whole answer to a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a request and returns its whole answer. It retries until ctx is done,
// ten seconds if it has no deadline, within the session's retry budget. A request
// that is not idempotent runs at most once; its errors are of kind NotRun or
// Unknown.
func (s *Session) Do(ctx context.Context, r Request) (*Answer, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	if r.Method == "" {
		r.Method = http.MethodGet
	}
	if r.Idempotent || idempotentMethod(r.Method) {
		return s.doIdempotent(ctx, r)
	}
	return s.doOnce(ctx, r)
}

func idempotentMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// result is what one attempt brought.
type result struct {
	answer     *Answer
	err        error // no whole answer came
	outcome    Kind  // empty for an answer of the host
	final      bool
	retryAfter time.Duration
}

var errBudget = errors.New("retry budget spent")

func (s *Session) doIdempotent(ctx context.Context, r Request) (*Answer, error) {
	for {
		res := s.attempt(ctx, r, "", "")
		if res.err == nil && res.outcome == "" {
			return res.answer, nil
		}
		if res.final {
			return nil, &Error{Op: r.Method + " " + r.Path, Kind: Refused, Err: res.cause()}
		}
		if err := s.pause(ctx, res.retryAfter); err != nil {
			return nil, &Error{Op: r.Method + " " + r.Path, Kind: Unavailable, RetryAfter: res.retryAfter, Err: errors.Join(err, res.cause())}
		}
	}
}

func (r *result) cause() error {
	if r.err != nil {
		return r.err
	}
	return fmt.Errorf("status %d: %.200s", r.answer.Status, r.answer.Body)
}

// Waits before a retry; an error says that there is none.
func (s *Session) pause(ctx context.Context, retryAfter time.Duration) error {
	deadline, ok := ctx.Deadline()
	if ok && time.Until(deadline) <= retryAfter {
		return errors.New("no time left for a retry")
	}
	if !s.spend() {
		return errBudget
	}
	wait := max(retryAfter, minRedial)
	t := time.NewTimer(wait + jitter(wait/4))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Sends a request that is not idempotent: under one binding until the outcome is
// known, and under a new binding only after it was told that it did not run.
func (s *Session) doOnce(ctx context.Context, r Request) (*Answer, error) {
	key := rand.Text()
	op := r.Method + " " + r.Path
	binding, known := "", NotRun // what is certain: nothing has been sent yet
	for {
		if binding == "" {
			b, err := s.freshBinding(ctx)
			if err != nil {
				return nil, &Error{Op: op, Kind: known, Err: err}
			}
			binding = b
		}
		res := s.attempt(ctx, r, key, binding)
		switch {
		case res.err == nil && res.outcome == "":
			return res.answer, nil
		case res.err == nil && res.outcome == NotRun:
			binding, known = "", NotRun
		default:
			known = Unknown
		}
		if res.final {
			return nil, &Error{Op: op, Kind: known, Err: res.cause()}
		}
		if err := s.pause(ctx, res.retryAfter); err != nil {
			return nil, &Error{Op: op, Kind: known, RetryAfter: res.retryAfter, Err: errors.Join(err, res.cause())}
		}
	}
}

func (s *Session) freshBinding(ctx context.Context) (string, error) {
	for {
		c, err := s.connection(ctx)
		if err != nil {
			return "", err
		}
		b, err := c.binding(ctx)
		if err == nil {
			return b, nil
		}
		if err := s.pause(ctx, 0); err != nil {
			return "", err
		}
	}
}

// Makes one attempt on the connection in use.
func (s *Session) attempt(ctx context.Context, r Request, key, binding string) result {
	c, err := s.connection(ctx)
	if err != nil {
		return result{err: err}
	}
	c.acquire()
	defer c.release()
	req, err := newRequest(ctx, c, r, key, binding)
	if err != nil {
		return result{err: err, final: true}
	}
	asked := time.Now()
	resp, err := c.http.RoundTrip(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err == nil {
		err = whole(resp, body, key)
	}
	if err != nil {
		return result{err: err}
	}
	if resp.Header.Get(session.HeaderMove) != "" {
		c.move()
	}
	res := result{answer: &Answer{resp.StatusCode, resp.Header, body}}
	res.read(resp.Header)
	if res.outcome == NotRun {
		c.rebind(resp.Header.Get(session.HeaderBinding), asked)
		if resp.Header.Get(session.HeaderMove) != "" {
			_, _ = s.other(ctx, c) // the next attempt tells
		}
	}
	return res
}

func newRequest(ctx context.Context, c *connection, r Request, key, binding string) (*http.Request, error) {
	host := c.quic.ConnectionState().TLS.ServerName
	req, err := http.NewRequestWithContext(ctx, r.Method, "https://"+host+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	for k, v := range r.Header {
		req.Header[k] = v
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(session.HeaderTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	if key != "" {
		req.Header.Set(session.HeaderKey, key)
		req.Header.Set(session.HeaderBinding, binding)
	}
	return req, nil
}

// Reports an error unless the answer is whole and the one to this request.
func whole(resp *http.Response, body []byte, key string) error {
	if resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength && resp.Request.Method != http.MethodHead {
		return fmt.Errorf("answer has %d bytes of %d", len(body), resp.ContentLength)
	}
	if got := resp.Header.Get(session.HeaderKey); key != "" && got != key {
		return fmt.Errorf("answer is to request %q, not %q", got, key)
	}
	return nil
}

// Reads what the agent says of the request's outcome.
func (r *result) read(h http.Header) {
	switch h.Get(session.HeaderOutcome) {
	case "not_run":
		r.outcome = NotRun
	case "unknown":
		r.outcome = Unknown
	}
	r.final = r.outcome != "" && h.Get(session.HeaderFinal) != ""
	if seconds, err := strconv.Atoi(h.Get("Retry-After")); err == nil && r.outcome != "" {
		r.retryAfter = time.Duration(seconds) * time.Second
	}
}
