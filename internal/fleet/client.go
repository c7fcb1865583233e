package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"skylarkturn/internal/ops"
)

// Kinds of errors.
const (
	KindUnavailable = "unavailable" // no response from a daemon, or an HTTP error status
	KindFormat      = "format"      // invalid address or response
)

// Error reports the operation of package fleet that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("fleet: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	requestTimeout      = 2 * time.Second // a running daemon responds within milliseconds
	maxParallelRequests = 32              // daemons queried at the same time
	maxResponseBody     = 16 << 20        // bytes; 5,000 members take about 1.5 MB
)

// Client queries daemons at their metrics addresses. It discovers them through the
// membership list of a balancer.
type Client struct {
	addrs []string // metrics addresses of balancers
	http  *http.Client
}

// NewClient returns a client that discovers daemons through the balancers with the
// given metrics addresses.
func NewClient(addrs ...string) *Client {
	return &Client{addrs, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}}
}

func (c *Client) get(ctx context.Context, addr, path string, q url.Values) ([]byte, error) {
	op := "query " + addr
	u := url.URL{Scheme: "http", Host: addr, Path: path, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, &Error{op, KindFormat, err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &Error{op, KindUnavailable, err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBody))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.New(resp.Status)
	}
	if err != nil {
		return nil, &Error{op, KindUnavailable, err}
	}
	return body, nil
}

func (c *Client) getJSON(ctx context.Context, addr, path string, v any) error {
	body, err := c.get(ctx, addr, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return &Error{"query " + addr, KindFormat, err}
	}
	return nil
}

// Members returns the membership list of the first balancer that responds.
func (c *Client) Members(ctx context.Context) (members []Member, err error) {
	for _, addr := range c.addrs {
		if err = c.getJSON(ctx, addr, MembersPath, &members); err == nil {
			return members, nil
		}
	}
	if err == nil {
		err = &Error{"members", KindUnavailable, errors.New("no balancer address given")}
	}
	return nil, err
}

// Response is the response of a member, or the error in its place.
type Response[T any] struct {
	Member Member
	Value  T
	Err    error
}

// Statuses queries the status of all members that are neither gone nor left. The
// responses are ordered by name.
func (c *Client) Statuses(ctx context.Context) ([]Response[Status], error) {
	return queryAll(ctx, c, func(ctx context.Context, addr string) (s Status, err error) {
		err = c.getJSON(ctx, addr, StatusPath, &s)
		return s, err
	})
}

// StatusOf queries the status of the daemon with the given inner address.
func (c *Client) StatusOf(ctx context.Context, inner string) (s Status, err error) {
	addr, err := opsAddr(inner)
	if err == nil {
		err = c.getJSON(ctx, addr, StatusPath, &s)
	}
	return s, err
}

// MemberLists queries the membership lists of all balancers that are neither gone
// nor left.
func (c *Client) MemberLists(ctx context.Context) ([]Response[[]Member], error) {
	responses, err := queryAll(ctx, c, func(ctx context.Context, addr string) (m []Member, err error) {
		err = c.getJSON(ctx, addr, MembersPath, &m)
		return m, err
	}, RoleBalancer)
	return responses, err
}

// FlowDecisions queries all members that are neither gone nor left for their
// decisions about a flow. The decisions are ordered by time; the order is
// approximate, since the daemons' clocks may differ. missing has the members that
// failed to respond.
func (c *Client) FlowDecisions(ctx context.Context, flow string) (decisions []Decision, missing []Response[[]Decision], err error) {
	responses, err := queryAll(ctx, c, func(ctx context.Context, addr string) ([]Decision, error) {
		body, err := c.get(ctx, addr, FlowsPath, url.Values{"flow": {flow}})
		if err != nil {
			return nil, err
		}
		return decodeDecisions(addr, body)
	})
	for _, r := range responses {
		if r.Err != nil {
			missing = append(missing, r)
		}
		for _, d := range r.Value {
			d.Daemon = r.Member.Name
			decisions = append(decisions, d)
		}
	}
	slices.SortStableFunc(decisions, func(a, b Decision) int { return a.At.Compare(b.At) })
	return decisions, missing, err
}

// decodeDecisions decodes a response that has one JSON object per line.
func decodeDecisions(addr string, body []byte) (decisions []Decision, err error) {
	sc := bufio.NewScanner(strings.NewReader(string(body)))
	for sc.Scan() {
		var d Decision
		if err := json.Unmarshal(sc.Bytes(), &d); err != nil {
			return nil, &Error{"query " + addr, KindFormat, err}
		}
		decisions = append(decisions, d)
	}
	return decisions, sc.Err()
}

// queryAll queries all members that are neither gone nor left. If roles are given,
// it queries only members with one of them.
func queryAll[T any](ctx context.Context, c *Client, query func(ctx context.Context, addr string) (T, error), roles ...string) ([]Response[T], error) {
	members, err := c.Members(ctx)
	if err != nil {
		return nil, err
	}
	var (
		mu        sync.Mutex
		responses []Response[T]
		g         errgroup.Group
	)
	g.SetLimit(maxParallelRequests)
	for _, m := range members {
		if m.State == "gone" || m.State == "left" || len(roles) > 0 && !slices.Contains(roles, m.Role) {
			continue
		}
		g.Go(func() error {
			r := Response[T]{Member: m}
			var addr string
			if addr, r.Err = opsAddr(m.Inner); r.Err == nil {
				r.Value, r.Err = query(ctx, addr)
			}
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, r)
			return nil
		})
	}
	_ = g.Wait() // errors are in the responses
	slices.SortFunc(responses, func(a, b Response[T]) int { return strings.Compare(a.Member.Name, b.Member.Name) })
	return responses, nil
}

// opsAddr returns the metrics address of the daemon with the given inner address.
func opsAddr(inner string) (string, error) {
	a, err := netip.ParseAddrPort(inner)
	if err != nil {
		return "", &Error{"find metrics address", KindFormat, err}
	}
	return ops.AddrOf(a).String(), nil
}
