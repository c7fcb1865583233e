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
	"time"

	"skylarkturn/internal/plan"
	"skylarkturn/internal/service"
)

const (
	requestTimeout      = 15 * time.Second
	tlsHandshakeTimeout = 2 * time.Second
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
}

// Error returns the kind and the detail.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

// call tries the balancers in order until one answers with anything but
// KindUnavailable. Trying another one is safe, since every call can be repeated.
func (c *Client) call(ctx context.Context, method, path string, body, v any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return &Error{"encode", KindInvalid, err}
		}
	}
	var failed []error
	for _, server := range c.servers {
		err := c.callOne(ctx, method, "https://"+server+path, encoded, v)
		var p *Problem
		if err == nil || errors.As(err, &p) && p.Title != KindUnavailable {
			return err
		}
		if p != nil && len(c.servers) == 1 {
			return err
		}
		failed = append(failed, err)
	}
	return &Error{"call", KindUnavailable, errors.Join(failed...)}
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
	return p
}
