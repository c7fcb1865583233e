package balancer

import (
	"context"
	"crypto/aes"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"skylarkturn/internal/admin"
	"skylarkturn/internal/control"
	"skylarkturn/internal/flow"
	"skylarkturn/internal/ops"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/service"
)

const (
	inForceTimeout  = 700 * time.Millisecond
	inForceParallel = 32
)

// Name returns the balancer's name.
func (b *Balancer) Name() string { return b.cfg.Name }

// CatalogService returns the confirmed service with the name.
func (b *Balancer) CatalogService(name string) (service.Service, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.catalog.ByName(name)
	if !ok {
		return service.Service{}, false
	}
	return *s, true
}

// CatalogServices returns all confirmed services.
func (b *Balancer) CatalogServices() []service.Service {
	return b.Services(nil, true)
}

// Accept puts a service that the platform has accepted in force.
func (b *Balancer) Accept(s service.Service) { b.accept(s) }

// Checked returns when the configuration was last known to be the platform's.
func (b *Balancer) Checked() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.checked
}

// InForce asks every live balancer whether it has the generation of a service.
func (b *Balancer) InForce(ctx context.Context, number uint16, generation uint32) []admin.Standing {
	var balancers []roster.Member
	for _, m := range b.Members() {
		if m.Role == roster.Balancer && m.State < roster.Gone {
			balancers = append(balancers, m)
		}
	}
	standings := make([]admin.Standing, len(balancers))
	var g errgroup.Group
	g.SetLimit(inForceParallel)
	for i, m := range balancers {
		g.Go(func() error {
			standings[i] = b.standing(ctx, &m, number, generation)
			return nil
		})
	}
	_ = g.Wait() // the calls report in their standing
	return standings
}

func (b *Balancer) standing(ctx context.Context, m *roster.Member, number uint16, generation uint32) admin.Standing {
	s := admin.Standing{Balancer: m.Name, Zone: m.Zone}
	if m.Addr == b.self {
		b.mu.Lock()
		s.InForce = b.catalog.Generation(number) >= generation
		b.mu.Unlock()
		return s
	}
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	newer, err := b.peers.Services(ctx, m.Addr, []control.Generation{{Service: number, Number: generation - 1}}, false)
	if err != nil {
		s.Problem = "no answer (" + m.State.String() + ")"
		return s
	}
	s.InForce = len(newer) > 0
	return s
}

// ExplainID tells where a connection ID leads.
func (b *Balancer) ExplainID(id []byte) (admin.Explanation, error) {
	var scratch [aes.BlockSize]byte
	plain, ok := b.creds.Keys().Decode(id, &scratch)
	if !ok {
		return admin.Explanation{}, errors.New("no agent issued this connection ID under a key in use")
	}
	datagram := append([]byte{0}, id...)
	var router flow.Router
	verdict, agent := router.Route(b.table.Load(), plain.Service, datagram)
	e := admin.Explanation{Agent: agent, Service: plain.Service, Verdict: verdict.String()}
	b.mu.Lock()
	defer b.mu.Unlock()
	if m, ok := b.members.Get(plain.Agent); ok {
		e.Member, e.State = m.Name, m.State.String()
	}
	return e, nil
}

func (b *Balancer) serveAdmin(ctx context.Context) error {
	key, err := flow.DeriveKey(b.creds.Root(), "plan key", 32)
	if err != nil {
		return err
	}
	var objects admin.Objects
	if b.platform != nil {
		objects = b.platform
	}
	h := admin.New(b, objects, key, b.log)
	return ops.Serve(ctx, tls.NewListener(b.admin, b.creds.Server()), h)
}

func (b *Balancer) serveOps(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", b.health)
	mux.Handle("GET /metrics", ops.MetricsHandler(b.metrics.WritePrometheus, ops.WriteProcessMetrics))
	ops.RegisterProfiles(mux)
	return ops.Serve(ctx, b.ops, mux)
}

type healthView struct {
	Name          string `json:"name"`
	Balancers     int    `json:"balancers"`
	Agents        int    `json:"agents"`
	Ready         int    `json:"ready"` // agents that take new flows
	Services      int    `json:"services"`
	ConfigCurrent bool   `json:"config_current"` // known to be the platform's within the last minute
	ConfigDigest  string `json:"config_digest"`
}

// Answers 200 as long as datagrams are routed: a configuration that may be old
// is said in the body and does not take the balancer out of the fabric.
func (b *Balancer) health(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	v := healthView{
		Name:          b.cfg.Name,
		Services:      b.catalog.Len(),
		ConfigCurrent: !b.checked.IsZero() && time.Since(b.checked) < currentFor,
	}
	v.ConfigDigest = fmt.Sprintf("%016x", b.catalog.Digest())
	v.Balancers = b.members.Count(roster.Balancer, roster.Starting, roster.Ready, roster.Draining)
	v.Agents = b.members.Count(roster.Agent, roster.Starting, roster.Ready, roster.Draining)
	v.Ready = b.members.Count(roster.Agent, roster.Ready)
	b.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the prober's connection is gone
}
