package standin

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"skylarkturn/internal/plan"
	"skylarkturn/internal/service"
)

// KindAnswer is the kind of errors that the administration API answered.
const KindAnswer = "answer"

const operatorTimeout = 10 * time.Second

// Operator calls the administration API as skylarkctl does.
type Operator struct{ http *http.Client }

// Operator returns an operator with the certificate of the name.
func (a *Authority) OperatorClient(name string) (*Operator, error) {
	cert, err := tls.LoadX509KeyPair(a.path(name+".pem"), a.path(name+".key"))
	if err != nil {
		return nil, &Error{"operator", KindFiles, err}
	}
	ca, err := os.ReadFile(a.path("ca.pem"))
	if err != nil {
		return nil, &Error{"operator", KindFiles, err}
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca)
	return &Operator{&http.Client{
		Timeout: operatorTimeout,
		Transport: &http.Transport{TLSClientConfig: &tls.Config{
			Certificates: []tls.Certificate{cert}, RootCAs: pool, MinVersion: tls.VersionTLS13,
		}},
	}}, nil
}

// Plan asks a balancer for the plan of a draft.
func (o *Operator) Plan(ctx context.Context, b *Daemon, draft service.Service) (*plan.Plan, error) {
	p := new(plan.Plan)
	return p, o.call(ctx, b, http.MethodPost, "/v1/plans", draft, p)
}

// Confirm confirms a plan at a balancer and returns the generation.
func (o *Operator) Confirm(ctx context.Context, b *Daemon, p *plan.Plan) (uint32, error) {
	var c struct {
		Generation uint32 `json:"generation"`
	}
	err := o.call(ctx, b, http.MethodPost, "/v1/confirmations", p, &c)
	return c.Generation, err
}

// Get reads a resource of the API into v.
func (o *Operator) Get(ctx context.Context, b *Daemon, path string, v any) error {
	return o.call(ctx, b, http.MethodGet, path, nil, v)
}

// AnswerError is a problem that the API answered.
type AnswerError struct {
	Status int
	Body   string
}

// Error returns the status and the body.
func (e *AnswerError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

func (o *Operator) call(ctx context.Context, b *Daemon, method, path string, body, v any) error {
	var buf bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&buf).Encode(body); err != nil {
			return &Error{"call", KindAnswer, err}
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "https://"+b.Admin+path, &buf)
	if err != nil {
		return &Error{"call", KindAnswer, err}
	}
	resp, err := o.http.Do(req)
	if err != nil {
		return &Error{"call", KindAnswer, err}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return &Error{"call", KindAnswer, err}
	}
	if resp.StatusCode != http.StatusOK {
		return &Error{"call " + path, KindAnswer, &AnswerError{resp.StatusCode, string(answer)}}
	}
	if err := json.Unmarshal(answer, v); err != nil {
		return &Error{"call", KindAnswer, err}
	}
	return nil
}

// Declaration returns the draft that declares a service of the deployment.
func (d *Deployment) Declaration(s ServiceOptions) service.Service {
	return service.Service{
		Name:      s.Name,
		Tenant:    s.Tenant,
		Number:    s.Number,
		Addresses: []string{d.Fabric.Address(s.Name)},
		Classes: []service.Class{
			{Name: "feed", PathPrefix: "/feed", Idempotent: true, Stream: true, Priority: 1},
			{Name: "sheets", PathPrefix: "/sheets/", Idempotent: true},
			{Name: "holds", PathPrefix: "/holds", Priority: 2},
			{Name: "orders", PathPrefix: "/orders", Priority: 2},
		},
	}
}
