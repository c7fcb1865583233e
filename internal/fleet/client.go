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
	KindUnavailable = "unavailable" // a daemon does not answer
	KindFormat      = "format"      // what it answers can't be read
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
	askTimeout = 2 * time.Second // a daemon that is up answers in milliseconds
	askAtOnce  = 32              // daemons asked at a time
	maxAnswer  = 16 << 20        // bytes; 5,000 members take some 1.5 MB
)

// Client asks daemons at their metrics addresses, and finds all of them by the
// members that a balancer knows.
type Client struct {
	at   []string
	http *http.Client
}

// NewClient returns a client that knows the metrics addresses of some balancers.
func NewClient(at ...string) *Client {
	return &Client{at, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: askTimeout}}
}

func (c *Client) get(ctx context.Context, addr, path string, q url.Values) ([]byte, error) {
	op := "ask " + addr
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.New(resp.Status)
	}
	if err != nil {
		return nil, &Error{op, KindUnavailable, err}
	}
	return body, nil
}

func (c *Client) decode(ctx context.Context, addr, path string, v any) error {
	body, err := c.get(ctx, addr, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return &Error{"ask " + addr, KindFormat, err}
	}
	return nil
}

// Members returns the members that the first balancer that answers knows.
func (c *Client) Members(ctx context.Context) (members []Member, err error) {
	for _, addr := range c.at {
		if err = c.decode(ctx, addr, MembersPath, &members); err == nil {
			return members, nil
		}
	}
	if err == nil {
		err = &Error{"members", KindUnavailable, errors.New("no address given")}
	}
	return nil, err
}

// Answer is a member and what it told, or why it did not.
type Answer[T any] struct {
	Member Member
	Value  T
	Err    error
}

// Statuses asks all members that are not gone for their status, ordered by name.
func (c *Client) Statuses(ctx context.Context) ([]Answer[Status], error) {
	return askAll(ctx, c, func(ctx context.Context, addr string) (s Status, err error) {
		err = c.decode(ctx, addr, StatusPath, &s)
		return s, err
	})
}

// StatusOf asks the daemon with the inner address for its status.
func (c *Client) StatusOf(ctx context.Context, inner string) (s Status, err error) {
	addr, err := opsAddr(inner)
	if err == nil {
		err = c.decode(ctx, addr, StatusPath, &s)
	}
	return s, err
}

// Views asks all balancers for the members that they know.
func (c *Client) Views(ctx context.Context) ([]Answer[[]Member], error) {
	answers, err := askAll(ctx, c, func(ctx context.Context, addr string) (m []Member, err error) {
		err = c.decode(ctx, addr, MembersPath, &m)
		return m, err
	}, RoleBalancer)
	return answers, err
}

// Flow asks all members for their decisions about a flow, the oldest first; the
// daemons' clocks may differ. Members that do not answer are in missing.
func (c *Client) Flow(ctx context.Context, flow string) (decisions []Decision, missing []Answer[[]Decision], err error) {
	answers, err := askAll(ctx, c, func(ctx context.Context, addr string) ([]Decision, error) {
		body, err := c.get(ctx, addr, FlowsPath, url.Values{"flow": {flow}})
		if err != nil {
			return nil, err
		}
		return decodeLines(addr, body)
	})
	for _, a := range answers {
		if a.Err != nil {
			missing = append(missing, a)
		}
		for _, d := range a.Value {
			d.Daemon = a.Member.Name
			decisions = append(decisions, d)
		}
	}
	slices.SortStableFunc(decisions, func(a, b Decision) int { return a.At.Compare(b.At) })
	return decisions, missing, err
}

func decodeLines(addr string, body []byte) (decisions []Decision, err error) {
	sc := bufio.NewScanner(strings.NewReader(string(body)))
	for sc.Scan() {
		var d Decision
		if err := json.Unmarshal(sc.Bytes(), &d); err != nil {
			return nil, &Error{"ask " + addr, KindFormat, err}
		}
		decisions = append(decisions, d)
	}
	return decisions, sc.Err()
}

// Asks all members of the roles, or of any, that may be up.
func askAll[T any](ctx context.Context, c *Client, ask func(ctx context.Context, addr string) (T, error), roles ...string) ([]Answer[T], error) {
	members, err := c.Members(ctx)
	if err != nil {
		return nil, err
	}
	var (
		mu      sync.Mutex
		answers []Answer[T]
		g       errgroup.Group
	)
	g.SetLimit(askAtOnce)
	for _, m := range members {
		if m.State == "gone" || m.State == "left" || len(roles) > 0 && !slices.Contains(roles, m.Role) {
			continue
		}
		g.Go(func() error {
			a := Answer[T]{Member: m}
			var addr string
			if addr, a.Err = opsAddr(m.Inner); a.Err == nil {
				a.Value, a.Err = ask(ctx, addr)
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
			return nil
		})
	}
	_ = g.Wait() // errors are in the answers
	slices.SortFunc(answers, func(a, b Answer[T]) int { return strings.Compare(a.Member.Name, b.Member.Name) })
	return answers, nil
}

// Returns the metrics address of the daemon with the inner address.
func opsAddr(inner string) (string, error) {
	a, err := netip.ParseAddrPort(inner)
	if err != nil {
		return "", &Error{"find metrics address", KindFormat, err}
	}
	return ops.AddrOf(a).String(), nil
}
