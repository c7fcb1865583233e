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
	defaultTimeout  = 10 * time.Second
	maxResponseBody = 64 << 20 // bytes
)

// Request is one request of a session.
type Request struct {
	Method     string // GET when empty
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool // may run more than once, regardless of the method
}

// Response is the complete response to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a request and returns the complete response. It retries until ctx is
// done, or for ten seconds if ctx has no deadline, within the session's retry
// budget. A request that is not idempotent runs at most once; its errors are of
// kind NotRun or Unknown.
func (s *Session) Do(ctx context.Context, r Request) (*Response, error) {
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
	return s.doNonIdempotent(ctx, r)
}

func idempotentMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	response   *Response
	err        error // no complete response arrived
	outcome    Kind  // reported by the agent; empty if the host responded
	final      bool  // a retry cannot change the outcome
	retryAfter time.Duration
}

var errRetryBudget = errors.New("retry budget exhausted")

func (s *Session) doIdempotent(ctx context.Context, r Request) (*Response, error) {
	for {
		res := s.attempt(ctx, r, "", "")
		if res.err == nil && res.outcome == "" {
			return res.response, nil
		}
		if res.final {
			return nil, &Error{Op: r.Method + " " + r.Path, Kind: Refused, Err: res.cause()}
		}
		if err := s.waitRetry(ctx, res.retryAfter); err != nil {
			return nil, &Error{Op: r.Method + " " + r.Path, Kind: Unavailable, RetryAfter: res.retryAfter, Err: errors.Join(err, res.cause())}
		}
	}
}

func (r *attemptResult) cause() error {
	if r.err != nil {
		return r.err
	}
	return fmt.Errorf("status %d: %.200s", r.response.Status, r.response.Body)
}

// waitRetry takes a retry from the budget and waits before it. It returns an error
// if the deadline or the budget allows no retry.
func (s *Session) waitRetry(ctx context.Context, retryAfter time.Duration) error {
	deadline, ok := ctx.Deadline()
	if ok && time.Until(deadline) <= retryAfter {
		return errors.New("deadline is before the next retry")
	}
	if !s.takeRetry() {
		return errRetryBudget
	}
	wait := max(retryAfter, minBackoff)
	t := time.NewTimer(wait + jitter(wait/4))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// doNonIdempotent sends a request that is not idempotent. It retries with the
// same binding until the outcome is known, and takes a new binding only after a
// response has stated that the request did not run.
func (s *Session) doNonIdempotent(ctx context.Context, r Request) (*Response, error) {
	key := rand.Text()
	op := r.Method + " " + r.Path
	binding, outcome := "", NotRun // nothing has been sent yet
	for {
		if binding == "" {
			b, err := s.newBinding(ctx)
			if err != nil {
				return nil, &Error{Op: op, Kind: outcome, Err: err}
			}
			binding = b
		}
		res := s.attempt(ctx, r, key, binding)
		switch {
		case res.err == nil && res.outcome == "":
			return res.response, nil
		case res.err == nil && res.outcome == NotRun:
			binding, outcome = "", NotRun
		default:
			outcome = Unknown
		}
		if res.final {
			return nil, &Error{Op: op, Kind: outcome, Err: res.cause()}
		}
		if err := s.waitRetry(ctx, res.retryAfter); err != nil {
			return nil, &Error{Op: op, Kind: outcome, RetryAfter: res.retryAfter, Err: errors.Join(err, res.cause())}
		}
	}
}

// newBinding returns a recent binding of the current connection, with retries.
func (s *Session) newBinding(ctx context.Context) (string, error) {
	for {
		c, err := s.connection(ctx)
		if err != nil {
			return "", err
		}
		b, err := c.currentBinding(ctx)
		if err == nil {
			return b, nil
		}
		if err := s.waitRetry(ctx, 0); err != nil {
			return "", err
		}
	}
}

// attempt sends the request once, on the current connection.
func (s *Session) attempt(ctx context.Context, r Request, key, binding string) attemptResult {
	c, err := s.connection(ctx)
	if err != nil {
		return attemptResult{err: err}
	}
	c.acquire()
	defer c.release()
	req, err := newHTTPRequest(ctx, c, r, key, binding)
	if err != nil {
		return attemptResult{err: err, final: true}
	}
	sentAt := time.Now()
	resp, err := c.http.RoundTrip(req)
	if err != nil {
		return attemptResult{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBody))
	if err == nil {
		err = checkResponse(resp, body, key)
	}
	if err != nil {
		return attemptResult{err: err}
	}
	if resp.Header.Get(session.HeaderMove) != "" {
		c.requestMove()
	}
	res := attemptResult{response: &Response{resp.StatusCode, resp.Header, body}}
	res.readHeaders(resp.Header)
	if res.outcome == NotRun {
		c.setBinding(resp.Header.Get(session.HeaderBinding), sentAt)
		if resp.Header.Get(session.HeaderMove) != "" {
			_, _ = s.connectionAfter(ctx, c) // the next attempt reports the error
		}
	}
	return res
}

func newHTTPRequest(ctx context.Context, c *connection, r Request, key, binding string) (*http.Request, error) {
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

// checkResponse returns an error if the body is truncated or the response belongs
// to another request.
func checkResponse(resp *http.Response, body []byte, key string) error {
	if resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength && resp.Request.Method != http.MethodHead {
		return fmt.Errorf("response body has %d bytes, want %d", len(body), resp.ContentLength)
	}
	if got := resp.Header.Get(session.HeaderKey); key != "" && got != key {
		return fmt.Errorf("response is for request key %q, want %q", got, key)
	}
	return nil
}

// readHeaders sets the outcome from the headers that an agent adds to its own
// responses. Retry-After counts only with them: a host may send it too.
func (r *attemptResult) readHeaders(h http.Header) {
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
