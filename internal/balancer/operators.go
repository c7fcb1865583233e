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
	generationQueryTimeout = 700 * time.Millisecond
	maxParallelQueries     = 32
)

// Name returns the balancer's name.
func (b *Balancer) Name() string { return b.settings.Name }

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

// ApplyService applies a service that the platform has accepted.
func (b *Balancer) ApplyService(s service.Service) { b.applyService(s) }

// MembersComplete reports whether the balancer knows all members.
func (b *Balancer) MembersComplete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.completeness.Complete(time.Now())
}

// MembersCertain reports whether a member that the balancer does not know does not exist.
func (b *Balancer) MembersCertain() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.completeness.Certain(time.Now())
}

// CheckedAt returns the last time that the configuration was known to match the
// platform, or the zero time if it never was.
func (b *Balancer) CheckedAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.checkedAt
}

// InForce asks every balancer that is not gone, suspect ones included, whether it
// has applied the generation of a service or a newer one.
func (b *Balancer) InForce(ctx context.Context, number uint16, generation uint32) []admin.BalancerStatus {
	var balancers []roster.Member
	for _, m := range b.Members() {
		if m.Role == roster.Balancer && m.State < roster.Gone {
			balancers = append(balancers, m)
		}
	}
	statuses := make([]admin.BalancerStatus, len(balancers))
	var g errgroup.Group
	g.SetLimit(maxParallelQueries)
	for i, m := range balancers {
		g.Go(func() error {
			statuses[i] = b.queryInForce(ctx, &m, number, generation)
			return nil
		})
	}
	_ = g.Wait() // always nil, errors are in the statuses
	return statuses
}

// queryInForce asks one balancer whether it has applied a generation, by requesting
// the service if it is newer than the preceding generation.
func (b *Balancer) queryInForce(ctx context.Context, m *roster.Member, number uint16, generation uint32) admin.BalancerStatus {
	s := admin.BalancerStatus{Balancer: m.Name, Zone: m.Zone}
	if m.Addr == b.self {
		b.mu.Lock()
		s.InForce = b.catalog.Generation(number) >= generation
		b.mu.Unlock()
		return s
	}
	ctx, cancel := context.WithTimeout(ctx, generationQueryTimeout)
	defer cancel()
	newer, err := b.peers.Services(ctx, m.Addr, []control.Generation{{Service: number, Number: generation - 1}}, false)
	if err != nil {
		s.Problem = "no answer (" + m.State.String() + ")"
		return s
	}
	s.InForce = len(newer) > 0
	return s
}

// ExplainID returns the agent that a datagram with the connection ID is routed to
// and the reason.
func (b *Balancer) ExplainID(id []byte) (admin.Explanation, error) {
	var scratch [aes.BlockSize]byte
	plain, ok := b.credentials.FlowKeys().Decode(id, &scratch)
	if !ok {
		return admin.Explanation{}, errors.New("no agent issued this connection ID under a current key")
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
	key, err := flow.DeriveKey(b.credentials.RootSecret(), "plan key", 32)
	if err != nil {
		return err
	}
	var objects admin.ObjectStore
	if b.platform != nil {
		objects = b.platform
	}
	h := admin.New(b, objects, key, b.log)
	return ops.Serve(ctx, tls.NewListener(b.adminListener, b.credentials.ServerTLS()), h)
}

func (b *Balancer) serveOps(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", b.health)
	mux.Handle("GET /metrics", ops.MetricsHandler(b.metrics.WritePrometheus, ops.WriteProcessMetrics))
	ops.RegisterProfiles(mux)
	return ops.Serve(ctx, b.opsListener, mux)
}

// healthView is the response body of the health check.
type healthView struct {
	Name          string `json:"name"`
	Balancers     int    `json:"balancers"`      // balancers in the state starting, ready or draining
	Agents        int    `json:"agents"`         // agents in the state starting, ready or draining
	Ready         int    `json:"ready"`          // agents that take new flows
	Services      int    `json:"services"`       // confirmed services
	ConfigCurrent bool   `json:"config_current"` // known to match the platform at most currentConfigMaxAge ago
	ConfigDigest  string `json:"config_digest"`
}

// health always answers 200, since the process routes datagrams as long as it
// runs: a possibly outdated configuration is only reported in the body, so that
// the fabric keeps the balancer in service.
func (b *Balancer) health(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	v := healthView{
		Name:          b.settings.Name,
		Services:      b.catalog.Len(),
		ConfigCurrent: !b.checkedAt.IsZero() && time.Since(b.checkedAt) < currentConfigMaxAge,
	}
	v.ConfigDigest = fmt.Sprintf("%016x", b.catalog.Digest())
	v.Balancers = b.members.Count(roster.Balancer, roster.Starting, roster.Ready, roster.Draining)
	v.Agents = b.members.Count(roster.Agent, roster.Starting, roster.Ready, roster.Draining)
	v.Ready = b.members.Count(roster.Agent, roster.Ready)
	b.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
