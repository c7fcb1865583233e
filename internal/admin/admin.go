package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/phuslu/log"

	"skylarkturn/internal/plan"
	"skylarkturn/internal/platform"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/service"
)

// Kinds of errors.
const (
	KindInvalid        = "invalid"
	KindNotFound       = "not_found"
	KindForbidden      = "forbidden"
	KindConflict       = "conflict"
	KindUnavailable    = "unavailable"
	KindNotReady       = "not_ready"       // the balancer has just started; another one may answer
	KindOutcomeUnknown = "outcome_unknown" // the change may or may not have taken effect
)

// Error describes a failed operation of the API or its client.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("admin: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Backend is the interface of the balancer that serves the API.
type Backend interface {
	Name() string
	CatalogService(name string) (service.Service, bool)
	CatalogServices() []service.Service
	Members() []roster.Member
	ApplyService(s service.Service)
	MembersComplete() bool // whether the balancer knows all members, as far as can be expected
	MembersCertain() bool  // whether a member that it does not know does not exist
	CheckedAt() time.Time  // last time that the configuration was known to match the platform, zero if never
	InForce(ctx context.Context, number uint16, generation uint32) []BalancerStatus
	ExplainID(id []byte) (Explanation, error)
}

// BalancerStatus reports whether one balancer has applied a configuration.
type BalancerStatus struct {
	Balancer string `json:"balancer"`
	Zone     string `json:"zone"`
	InForce  bool   `json:"in_force"`
	Problem  string `json:"problem,omitempty"`
}

// Explanation reports how datagrams with a connection ID are routed.
type Explanation struct {
	Agent   netip.AddrPort `json:"agent"`            // agent that the datagrams are sent to
	Service uint16         `json:"service"`          // number of the service
	Member  string         `json:"member,omitempty"` // name of the agent that issued the connection ID
	State   string         `json:"state,omitempty"`  // state of that agent
	Verdict string         `json:"verdict"`          // routing decision, see flow.Verdict
}

// ObjectStore is the part of the platform's object API that the handler uses.
type ObjectStore interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind, name, version string, value []byte) (string, error)
}

// Handler serves the administration API.
type Handler struct {
	backend Backend
	objects ObjectStore
	planKey []byte // MAC key of plans
	log     *log.Logger
	mux     *http.ServeMux
}

// New returns a handler that authenticates plans with key. If objects is nil, plans
// cannot be confirmed.
func New(backend Backend, objects ObjectStore, key []byte, l *log.Logger) *Handler {
	h := &Handler{backend: backend, objects: objects, planKey: key, log: l, mux: http.NewServeMux()}
	h.handle("GET /v1/services", h.services)
	h.handle("GET /v1/services/{name}", h.service)
	h.handle("POST /v1/plans", h.createPlan)
	h.handle("POST /v1/confirmations", h.confirm)
	h.handle("GET /v1/services/{name}/status", h.status)
	h.handle("GET /v1/members", h.members)
	h.handle("GET /v1/explanations/{id}", h.explain)
	return h
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// endpoint serves one API operation. The result is encoded as the JSON response.
type endpoint func(r *http.Request, op operator) (any, error)

func (h *Handler) handle(pattern string, f endpoint) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		op, err := authenticate(r)
		if err != nil {
			writeProblem(w, err)
			return
		}
		v, err := f(r, op)
		if err != nil {
			writeProblem(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
	})
}

// operator is the client of a request, identified by its certificate.
type operator struct {
	name     string
	tenant   string // empty for operators of the whole installation
	readOnly bool   // may view but not change
}

const (
	systemOrganization = "skylarkturn-operators"
	viewerUnit         = "viewer"
)

func authenticate(r *http.Request) (operator, error) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return operator{}, &Error{"authenticate", KindForbidden, errors.New("no client certificate")}
	}
	subject := r.TLS.PeerCertificates[0].Subject
	if len(subject.Organization) != 1 || subject.CommonName == "" {
		return operator{}, &Error{"authenticate", KindForbidden, errors.New("certificate must have a common name and exactly one organization")}
	}
	op := operator{
		name:     subject.CommonName,
		tenant:   subject.Organization[0],
		readOnly: slices.Contains(subject.OrganizationalUnit, viewerUnit),
	}
	if op.tenant == systemOrganization {
		op.tenant = ""
	}
	return op, nil
}

func (o operator) canView(tenant string) bool { return o.tenant == "" || o.tenant == tenant }

func (o operator) authorizeChange(tenant string) error {
	if !o.canView(tenant) {
		return &Error{"authorize", KindForbidden, fmt.Errorf("operator %q is not authorized for tenant %q", o.name, tenant)}
	}
	if o.readOnly {
		return &Error{"authorize", KindForbidden, fmt.Errorf("operator %q has read-only access", o.name)}
	}
	return nil
}

func (h *Handler) services(_ *http.Request, op operator) (any, error) {
	visible := []service.Service{}
	for _, s := range h.backend.CatalogServices() {
		if op.canView(s.Tenant) {
			visible = append(visible, s)
		}
	}
	return visible, nil
}

// visibleService returns the service named in the path, or an error of KindNotFound if
// it does not exist or the operator must not view it.
func (h *Handler) visibleService(r *http.Request, op operator) (*service.Service, error) {
	name := r.PathValue("name")
	s, err := h.findService(r.Context(), name)
	if err != nil {
		return nil, err
	}
	if s == nil || !op.canView(s.Tenant) {
		return nil, &Error{"find service", KindNotFound, fmt.Errorf("service %q is not declared", name)}
	}
	return s, nil
}

func (h *Handler) service(r *http.Request, op operator) (any, error) {
	return h.visibleService(r, op)
}

// agents returns the agents of a service that are not known to have ended. Those whose
// heartbeats are overdue are among them, since they may be slow.
func (h *Handler) agents(number uint16) []roster.Member {
	return slices.DeleteFunc(h.backend.Members(), func(m roster.Member) bool {
		return m.Role != roster.Agent || m.Service != number || m.State > roster.Suspect
	})
}

const maxBodyBytes = 1 << 20 // of a request

func decode(r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &Error{"decode", KindInvalid, err}
	}
	return nil
}

func (h *Handler) createPlan(r *http.Request, op operator) (any, error) {
	var draft service.Service
	if err := decode(r, &draft); err != nil {
		return nil, err
	}
	if err := op.authorizeChange(draft.Tenant); err != nil {
		return nil, err
	}
	current, err := h.findService(r.Context(), draft.Name)
	if err != nil {
		return nil, err
	}
	if current != nil {
		if err := op.authorizeChange(current.Tenant); err != nil {
			return nil, err
		}
	}
	return h.makePlan(current, draft)
}

// makePlan returns the plan for a draft. A plan for an existing service needs all
// members: it would otherwise lack targets, or refuse rules for them. A new service may
// have none yet.
func (h *Handler) makePlan(current *service.Service, draft service.Service) (*plan.Plan, error) {
	view := plan.View{Balancer: h.backend.Name(), Complete: h.backend.MembersComplete()}
	if current != nil && !view.Complete {
		return nil, &Error{"make plan", KindNotReady, errors.New("this balancer has just started and does not know all members yet; try again")}
	}
	agents := h.agents(draft.Number)
	if r, ok := plan.UnknownRule(&draft.Intent, agents); ok && !h.backend.MembersCertain() {
		return nil, &Error{"make plan", KindNotReady, fmt.Errorf("target, host or zone %q is not known to this balancer, which may not know all members yet; try again", r.Target+r.Host+r.Zone)}
	}
	p, err := plan.Make(current, draft, agents, h.planKey)
	if err != nil {
		return nil, err
	}
	view.Targets = len(agents)
	p.View = view
	return p, nil
}

// findService returns the confirmed service with the name, or nil if there is none.
// A balancer that does not know the configuration yet reads the service from the
// platform, since it would otherwise report an existing service as missing or plan
// to create it again.
func (h *Handler) findService(ctx context.Context, name string) (*service.Service, error) {
	if s, ok := h.backend.CatalogService(name); ok {
		return &s, nil
	}
	if h.objects == nil || !h.backend.CheckedAt().IsZero() {
		return nil, nil
	}
	s, _, err := h.readService(ctx, name)
	if err != nil {
		return nil, &Error{"find service", KindUnavailable, fmt.Errorf("this balancer does not know the configuration yet: %w", err)}
	}
	return s, nil
}

// Member is a balancer or target as returned by the API.
type Member struct {
	Name        string `json:"name"`
	Role        string `json:"role"`
	State       string `json:"state"`
	Zone        string `json:"zone"`
	Host        string `json:"host,omitempty"`
	Addr        string `json:"addr"`
	Service     uint16 `json:"service,omitempty"`
	Incarnation uint64 `json:"incarnation"`
	Warmth      uint8  `json:"warmth,omitempty"` // percent of its full weight that the target may receive
	Sessions    uint32 `json:"sessions"`         // open sessions
}

func (h *Handler) members(_ *http.Request, op operator) (any, error) {
	tenants := make(map[uint16]string)
	for _, s := range h.backend.CatalogServices() {
		tenants[s.Number] = s.Tenant
	}
	views := []Member{}
	for _, m := range h.backend.Members() {
		if m.Role == roster.Agent && !op.canView(tenants[m.Service]) {
			continue
		}
		views = append(views, Member{
			m.Name, m.Role.String(), m.State.String(), m.Zone, m.Host, m.Addr.String(), m.Service, m.Incarnation, m.Warmth, m.Sessions,
		})
	}
	return views, nil
}

// Status reports which balancers have applied the newest configuration of a service
// that the answering balancer knows.
type Status struct {
	Service    string           `json:"service"`
	Generation uint32           `json:"generation"`  // newest known generation of the configuration
	PlanID     string           `json:"plan_id"`     // plan whose confirmation produced it
	CheckedAgo string           `json:"checked_ago"` // time since the configuration was known to match the platform, or "never"
	Balancers  []BalancerStatus `json:"balancers"`
}

func (h *Handler) status(r *http.Request, op operator) (any, error) {
	s, err := h.visibleService(r, op)
	if err != nil {
		return nil, err
	}
	ago := "never"
	if t := h.backend.CheckedAt(); !t.IsZero() {
		ago = time.Since(t).Round(time.Millisecond).String()
	}
	return Status{s.Name, s.Generation, s.PlanID, ago, h.backend.InForce(r.Context(), s.Number, s.Generation)}, nil
}
