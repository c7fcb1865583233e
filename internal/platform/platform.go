package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindNotFound    Kind = "not_found"
	KindConflict    Kind = "conflict"    // the condition of an update did not hold
	KindCompacted   Kind = "compacted"   // the history that a watch asked for is gone
	KindThrottled   Kind = "throttled"   // too many calls, see Error.RetryAfter
	KindUnavailable Kind = "unavailable" // no answer, or one that says nothing of the effect
	KindRefused     Kind = "refused"
)

// Error reports the call of the object API that failed and why.
type Error struct {
	Op         string
	Kind       Kind
	RetryAfter time.Duration
	Err        error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("platform: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of the kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

const (
	maxValue     = 1 << 20         // bytes
	callTimeout  = 2 * time.Second // for a call that does not wait
	watchSlack   = 5 * time.Second // over the wait that a watch asks for
	maxListBytes = 64 << 20
)

// Object is one value with its version.
type Object struct {
	Name    string          `json:"name"`
	Version string          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// List is a set of objects of a kind as of a revision.
type List struct {
	Revision uint64   `json:"revision"`
	Items    []Object `json:"items"`
}

// Caller makes HTTP calls to a platform and classifies what goes wrong.
type Caller struct {
	base  string
	http  *http.Client
	calls *metrics.Counter
}

// NewCaller returns a caller of the HTTP API at base, an URL.
func NewCaller(base string, hc *http.Client) *Caller {
	return &Caller{
		base:  strings.TrimSuffix(base, "/"),
		http:  hc,
		calls: metrics.GetOrCreateCounter(`skylark_platform_calls_total`),
	}
}

// Request is one call.
type Request struct {
	Method  string
	Path    string // with query, below the base URL
	Header  http.Header
	Body    []byte
	Timeout time.Duration // for the whole call
}

// Response is the answer to a call that succeeded.
type Response struct {
	Header http.Header
	Body   []byte
}

// Client calls the object API at a base URL.
type Client struct{ caller *Caller }

// NewClient returns a client of the API at base.
func NewClient(base string, hc *http.Client) *Client { return &Client{NewCaller(base, hc)} }

// Get returns one object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	body, etag, err := c.call(ctx, callTimeout, http.MethodGet, "/v1/objects/"+kind+"/"+url.PathEscape(name), nil, nil)
	if err != nil {
		return Object{}, err
	}
	return Object{Name: name, Version: etag, Value: body}, nil
}

// Put writes an object if its version still is version; an empty version
// creates it and fails when it exists. An error of kind unavailable leaves open
// whether the write took effect.
func (c *Client) Put(ctx context.Context, kind, name, version string, value []byte) (newVersion string, err error) {
	if len(value) > maxValue {
		return "", &Error{Op: "put", Kind: KindRefused, Err: fmt.Errorf("value of %d bytes is above %d", len(value), maxValue)}
	}
	h := http.Header{}
	if version == "" {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", version)
	}
	_, etag, err := c.call(ctx, callTimeout, http.MethodPut, "/v1/objects/"+kind+"/"+url.PathEscape(name), h, value)
	return etag, err
}

// List returns all objects of a kind.
func (c *Client) List(ctx context.Context, kind string) (List, error) {
	return c.list(ctx, callTimeout, "/v1/objects/"+kind)
}

// Watch waits for changes of objects of a kind after a revision, at most for
// wait, and returns what changed.
func (c *Client) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (List, error) {
	q := url.Values{"since": {strconv.FormatUint(since, 10)}, "wait": {wait.String()}}
	return c.list(ctx, wait+watchSlack, "/v1/watch/"+kind+"?"+q.Encode())
}

func (c *Client) list(ctx context.Context, timeout time.Duration, path string) (List, error) {
	body, _, err := c.call(ctx, timeout, http.MethodGet, path, nil, nil)
	if err != nil {
		return List{}, err
	}
	var l List
	if err := json.Unmarshal(body, &l); err != nil {
		return List{}, &Error{Op: "list", Kind: KindUnavailable, Err: err}
	}
	return l, nil
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, h http.Header, body []byte) ([]byte, string, error) {
	resp, err := c.caller.Do(ctx, Request{Method: method, Path: path, Header: h, Body: body, Timeout: timeout})
	if err != nil {
		return nil, "", err
	}
	return resp.Body, resp.Header.Get("ETag"), nil
}

// Do makes a call; its errors are of type *Error.
func (c *Caller) Do(ctx context.Context, r Request) (Response, error) {
	op := strings.ToLower(r.Method)
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, &Error{Op: op, Kind: KindRefused, Err: err}
	}
	for k, v := range r.Header {
		req.Header[k] = v
	}
	c.calls.Inc()
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return Response{}, &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	if err := check(op, resp, answer); err != nil {
		return Response{}, err
	}
	return Response{resp.Header, answer}, nil
}

func check(op string, resp *http.Response, body []byte) error {
	e := &Error{Op: op, Err: fmt.Errorf("status %s: %.200s", resp.Status, body)}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		e.Kind = KindNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		e.Kind = KindConflict
	case http.StatusGone:
		e.Kind = KindCompacted
	case http.StatusTooManyRequests:
		e.Kind = KindThrottled
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // absent or a date: the caller's own delay holds
		e.RetryAfter = time.Duration(seconds) * time.Second
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		e.Kind = KindRefused
	default:
		e.Kind = KindUnavailable
	}
	return e
}
