package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"skylarkturn/internal/admin"
	"skylarkturn/internal/service"
)

// readMetrics reads the metrics of a daemon, by name and labels.
func (m *Daemon) readMetrics(ctx context.Context) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.OpsAddr+"/metrics", nil)
	if err != nil {
		return nil, &Error{"read metrics", KindProcess, err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, &Error{"read metrics", KindProcess, err}
	}
	defer resp.Body.Close()
	counters := make(map[string]float64)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			counters[name] = v
		}
	}
	return counters, lines.Err()
}

const convergencePollInterval = 20 * time.Millisecond

type balancerHealth struct {
	Balancers    int    `json:"balancers"`
	Ready        int    `json:"ready"`
	Services     int    `json:"services"`
	ConfigDigest string `json:"config_digest"`
}

type agentHealth struct {
	State    string  `json:"state"`
	Sessions float64 `json:"sessions"`
}

// balancerHealth reads the health endpoint of a balancer.
func (m *Daemon) balancerHealth(ctx context.Context) (h balancerHealth, err error) {
	err = m.readHealth(ctx, &h)
	return h, err
}

// agentHealth reads the health endpoint of an agent.
func (m *Daemon) agentHealth(ctx context.Context) (h agentHealth, err error) {
	err = m.readHealth(ctx, &h)
	return h, err
}

func (m *Daemon) readHealth(ctx context.Context, v any) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.OpsAddr+"/healthz", nil)
	if err != nil {
		return &Error{"read health", KindProcess, err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &Error{"read health", KindProcess, err}
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		return &Error{"read health", KindProcess, err}
	}
	return nil
}

// WaitConverged waits until every balancer counts the given numbers of live balancers,
// ready agents and services, and all balancers have the same configuration.
func (d *Deployment) WaitConverged(ctx context.Context, balancers, agents, services int) error {
	var last string
	for {
		if last = d.convergenceProblem(ctx, balancers, agents, services); last == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{"wait for convergence", KindProcess, fmt.Errorf("%w: %s", ctx.Err(), last)}
		case <-time.After(convergencePollInterval):
		}
	}
}

// convergenceProblem describes the first balancer that has not converged, empty if all
// have.
func (d *Deployment) convergenceProblem(ctx context.Context, balancers, agents, services int) string {
	digest := ""
	for name, m := range d.Balancers() {
		h, err := m.balancerHealth(ctx)
		if err != nil {
			return name + ": " + err.Error()
		}
		if digest == "" {
			digest = h.ConfigDigest
		}
		if h.Balancers != balancers || h.Ready != agents || h.Services != services || h.ConfigDigest != digest {
			return fmt.Sprintf("%s: %+v", name, h)
		}
	}
	return ""
}

// DeclareAll declares every service of the deployment and waits until the
// configuration is in force on every balancer.
func (d *Deployment) DeclareAll(ctx context.Context, o *admin.Client) error {
	agents := 0
	for _, s := range d.opt.Services {
		if err := d.Apply(ctx, o, d.Declaration(s)); err != nil {
			return err
		}
		agents += s.Hosts
	}
	return d.WaitConverged(ctx, d.opt.Balancers, agents, len(d.opt.Services))
}

// Apply requests a plan for a draft from any balancer and confirms it.
func (d *Deployment) Apply(ctx context.Context, o *admin.Client, draft service.Service) error {
	for _, b := range d.Balancers() {
		p, err := o.ForServer(b.AdminAddr).Plan(ctx, draft)
		if err != nil {
			return err
		}
		_, err = o.ForServer(b.AdminAddr).Confirm(ctx, p)
		return err
	}
	return &Error{"apply configuration", KindProcess, errNoBalancer}
}

var errNoBalancer = fmt.Errorf("no balancer is running")

// Operator returns an administration client with the certificate of the system
// operator.
func (d *Deployment) Operator() (*admin.Client, error) { return d.Authority.OperatorClient("operator") }

// ConfirmedService returns the confirmed configuration of a service, from any balancer.
func (d *Deployment) ConfirmedService(ctx context.Context, o *admin.Client, name string) (service.Service, error) {
	for _, b := range d.Balancers() {
		return o.ForServer(b.AdminAddr).Service(ctx, name)
	}
	return service.Service{}, &Error{"read service", KindProcess, errNoBalancer}
}

// Drain replaces the intent of a service by one that drains the target, or by an
// empty one that activates all targets.
func (d *Deployment) Drain(ctx context.Context, o *admin.Client, name, target string, drain bool) error {
	s, err := d.ConfirmedService(ctx, o, name)
	if err != nil {
		return err
	}
	s.Intent = service.Intent{}
	if drain {
		s.Intent.Rules = []service.Rule{{Target: target, Drain: true}}
	}
	return d.Apply(ctx, o, s)
}
