package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"skylarkturn/internal/plan"
	"skylarkturn/internal/service"
)

const (
	requestTimeout      = 15 * time.Second
	tlsHandshakeTimeout = 2 * time.Second
	minRetryDelay       = 200 * time.Millisecond // of a balancer that is not ready
)

// Client calls the administration API. It tries its balancers in order until one
// is available.
type Client struct {
	servers []string // host and port
	http    *http.Client
}

// LoadTLS returns a TLS configuration with the certificate of an operator and the CA
// that issued the certificates of the balancers. The files are in PEM format.
func LoadTLS(caFile, certFile, keyFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, &Error{"load certificate", KindInvalid, err}
	}
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return nil, &Error{"load CA", KindInvalid, err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, &Error{"load CA", KindInvalid, fmt.Errorf("%s contains no PEM certificate", caFile)}
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// NewClient returns a client of the balancers at the given addresses.
func NewClient(cfg *tls.Config, servers ...string) *Client {
	return &Client{servers, &http.Client{
		Timeout:   requestTimeout,
		Transport: &http.Transport{TLSClientConfig: cfg, TLSHandshakeTimeout: tlsHandshakeTimeout},
	}}
}

// ForServer returns a client that calls only the given balancer, with the same certificate.
func (c *Client) ForServer(server string) *Client { return &Client{[]string{server}, c.http} }

// Services returns the services that the operator may see.
func (c *Client) Services(ctx context.Context) (s []service.Service, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/services", nil, &s)
	return s, err
}

// Service returns a confirmed service.
func (c *Client) Service(ctx context.Context, name string) (s service.Service, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/services/"+url.PathEscape(name), nil, &s)
	return s, err
}

// Plan returns the plan for a draft without changing anything.
func (c *Client) Plan(ctx context.Context, draft service.Service) (p *plan.Plan, err error) {
	p = new(plan.Plan)
	err = c.call(ctx, http.MethodPost, "/v1/plans", draft, p)
	return p, err
}

// Confirm confirms a plan; confirming it again has no further effect.
func (c *Client) Confirm(ctx context.Context, p *plan.Plan) (done Confirmation, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/confirmations", p, &done)
	return done, err
}

// Status reports which balancers have applied the configuration of a service.
func (c *Client) Status(ctx context.Context, name string) (s Status, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/services/"+url.PathEscape(name)+"/status", nil, &s)
	return s, err
}

// Members returns the balancers, and the targets that the operator may see.
func (c *Client) Members(ctx context.Context) (m []Member, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/members", nil, &m)
	return m, err
}

// Explain reports how datagrams with a connection ID, in hexadecimal, are routed.
func (c *Client) Explain(ctx context.Context, id string) (e Explanation, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/explanations/"+url.PathEscape(id), nil, &e)
	return e, err
}

// Problem is an error response of the API (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"` // kind of the error
	Status int    `json:"status"`
	Detail string `json:"detail"`

	retryAfter time.Duration // if Title is KindNotReady
}

// Error returns the kind and the detail.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

// call tries the balancers until one answers. While balancers are not ready, it waits for
// the time that they ask for and tries again, as long as ctx allows.
func (c *Client) call(ctx context.Context, method, path string, body, v any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return &Error{"encode", KindInvalid, err}
		}
	}
	for {
		retryAfter, err := c.callAny(ctx, method, path, encoded, v)
		if retryAfter == 0 {
			return err
		}
		timer := time.NewTimer(retryAfter)
		select {
		case <-ctx.Done():
			timer.Stop()
			return err
		case <-timer.C:
		}
	}
}

// callAny tries the balancers in order until one answers with anything but
// KindUnavailable or KindNotReady. Trying another one is safe, since every call can be
// repeated. If one was not ready and none answered, it returns the time to wait before
// the next attempt.
func (c *Client) callAny(ctx context.Context, method, path string, body []byte, v any) (retryAfter time.Duration, err error) {
	var failed []error
	for _, server := range c.servers {
		err := c.callOne(ctx, method, "https://"+server+path, body, v)
		var p *Problem
		if err == nil || errors.As(err, &p) && p.Title != KindUnavailable && p.Title != KindNotReady {
			return 0, err
		}
		if p != nil {
			retryAfter = max(retryAfter, p.retryAfter)
		}
		failed = append(failed, err)
	}
	if p := (*Problem)(nil); len(failed) == 1 && errors.As(failed[0], &p) {
		return retryAfter, p
	}
	return retryAfter, &Error{"call", KindUnavailable, errors.Join(failed...)}
}

func (c *Client) callOne(ctx context.Context, method, url string, body []byte, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusOK {
		return json.Unmarshal(answer, v)
	}
	p := &Problem{Title: resp.Status, Status: resp.StatusCode, Detail: string(answer)}
	_ = json.Unmarshal(answer, p) // if the response is not a problem document, Detail keeps its text
	if p.Title == KindNotReady {
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // 0 if the field is absent
		p.retryAfter = max(time.Duration(seconds)*time.Second, minRetryDelay)
	}
	return p
}
