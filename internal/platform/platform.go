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
	KindConflict    Kind = "conflict"    // the precondition of a conditional update failed
	KindCompacted   Kind = "compacted"   // the history that a watch starts from has been compacted
	KindRestored    Kind = "restored"    // the platform was restored from an older copy during or before the call
	KindThrottled   Kind = "throttled"   // rate limit exceeded, see Error.RetryAfter
	KindUnavailable Kind = "unavailable" // no answer, or one that leaves open whether the call took effect
	KindRefused     Kind = "refused"     // the request is invalid and had no effect
)

// Error describes a failed call of the object API.
type Error struct {
	Op         string // failed operation, such as the HTTP method in lower case
	Kind       Kind
	RetryAfter time.Duration // delay that the platform asks for if Kind is KindThrottled; 0 if it gave none
	Err        error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("platform: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is or wraps an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

const (
	maxValueBytes      = 1 << 20         // of an object
	callTimeout        = 2 * time.Second // for all calls except watches
	watchTimeoutMargin = 5 * time.Second // added to the requested wait of a watch
	maxResponseBytes   = 64 << 20
)

// Object is a JSON value with its name and its version, an entity tag.
type Object struct {
	Name    string          `json:"name"`
	Version string          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// List is the result of a list or a watch as of a revision.
type List struct {
	Revision uint64   `json:"revision"`
	Items    []Object `json:"items"`
}

// HTTPClient makes HTTP calls to the platform, counts them and classifies their errors.
type HTTPClient struct {
	baseURL     string
	client      *http.Client
	callCounter *metrics.Counter
}

// NewHTTPClient returns a client of the HTTP API at the URL base.
func NewHTTPClient(base string, hc *http.Client) *HTTPClient {
	return &HTTPClient{
		baseURL:     strings.TrimSuffix(base, "/"),
		client:      hc,
		callCounter: metrics.GetOrCreateCounter(`skylark_platform_calls_total`),
	}
}

// Request is an HTTP call to the platform.
type Request struct {
	Method  string
	Path    string // path and query relative to the base URL
	Header  http.Header
	Body    []byte
	Timeout time.Duration // for the call, including reading the answer
}

// Response is the answer to a call. Body is set only if the call succeeded.
type Response struct {
	Header http.Header
	Body   []byte
}

// Client is a client of the object API.
type Client struct {
	http           *HTTPClient
	skippedCounter *metrics.Counter
}

// NewClient returns a client of the object API at the URL base.
func NewClient(base string, hc *http.Client) *Client {
	return &Client{NewHTTPClient(base, hc), metrics.GetOrCreateCounter(`skylark_platform_objects_skipped_total`)}
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	body, etag, err := c.call(ctx, callTimeout, http.MethodGet, "/v1/objects/"+kind+"/"+url.PathEscape(name), nil, nil)
	if err != nil {
		return Object{}, err
	}
	return Object{Name: name, Version: etag, Value: body}, nil
}

// Put replaces an object if its current version equals version and returns the new
// version. With an empty version it creates the object and fails if it exists. An
// error of KindUnavailable leaves open whether the write took effect.
func (c *Client) Put(ctx context.Context, kind, name, version string, value []byte) (newVersion string, err error) {
	if len(value) > maxValueBytes {
		return "", &Error{Op: "put", Kind: KindRefused, Err: fmt.Errorf("value of %d bytes exceeds the limit of %d bytes", len(value), maxValueBytes)}
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

// Watch waits for at most the duration wait for changes to the objects of a kind
// after the revision since, and returns the changed objects.
func (c *Client) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (List, error) {
	q := url.Values{"since": {strconv.FormatUint(since, 10)}, "wait": {wait.String()}}
	return c.list(ctx, wait+watchTimeoutMargin, "/v1/watch/"+kind+"?"+q.Encode())
}

// list executes a call that returns a List.
func (c *Client) list(ctx context.Context, timeout time.Duration, path string) (List, error) {
	body, _, err := c.call(ctx, timeout, http.MethodGet, path, nil, nil)
	if err != nil {
		return List{}, err
	}
	l, err := c.decodeList(body)
	if err != nil {
		return List{}, &Error{Op: "list", Kind: KindUnavailable, Err: err}
	}
	return l, nil
}

// decodeList decodes a List. It leaves out objects of another writer, whose name or
// version can't be decoded, and counts them.
func (c *Client) decodeList(body []byte) (l List, err error) {
	fields, err := SplitObject(body)
	if err != nil {
		return l, err
	}
	if err := DecodeField(fields, "revision", &l.Revision); err != nil {
		return l, err
	}
	items, err := SplitArray(fields["items"])
	for _, raw := range items {
		o, err := decodeObject(raw)
		if err != nil {
			c.skippedCounter.Inc()
			continue
		}
		l.Items = append(l.Items, o)
	}
	return l, err
}

// decodeObject decodes the name and version of an object and leaves its value undecoded.
func decodeObject(raw []byte) (o Object, err error) {
	fields, err := SplitObject(raw)
	if err == nil {
		err = DecodeField(fields, "name", &o.Name)
	}
	if err == nil {
		err = DecodeField(fields, "version", &o.Version)
	}
	o.Value = fields["value"]
	return o, err
}

// call executes a call and returns the body of the answer and its entity tag.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, h http.Header, body []byte) ([]byte, string, error) {
	resp, err := c.http.Do(ctx, Request{Method: method, Path: path, Header: h, Body: body, Timeout: timeout})
	if err != nil {
		return nil, "", err
	}
	return resp.Body, resp.Header.Get("ETag"), nil
}

// Do executes a call. Its errors are of type *Error. The response has a header
// whenever the platform answered, also with an error.
func (c *HTTPClient) Do(ctx context.Context, r Request) (Response, error) {
	op := strings.ToLower(r.Method)
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, c.baseURL+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, &Error{Op: op, Kind: KindRefused, Err: err}
	}
	for k, v := range r.Header {
		req.Header[k] = v
	}
	c.callCounter.Inc()
	resp, err := c.client.Do(req)
	if err != nil {
		return Response{}, &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return Response{}, &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	if err := checkStatus(op, resp, answer); err != nil {
		return Response{Header: resp.Header}, err
	}
	return Response{resp.Header, answer}, nil
}

// checkStatus returns an error for a status that does not mean success.
func checkStatus(op string, resp *http.Response, body []byte) error {
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
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // 0 if the field is absent or a date; the caller then chooses the delay
		e.RetryAfter = time.Duration(seconds) * time.Second
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		e.Kind = KindRefused
	default:
		e.Kind = KindUnavailable
	}
	return e
}
