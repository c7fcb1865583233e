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
	KindInvalid     = "invalid"
	KindNotFound    = "not_found"
	KindForbidden   = "forbidden"
	KindConflict    = "conflict"
	KindUnavailable = "unavailable"
	KindUnknown     = "outcome_unknown"
)

// Error reports the operation that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("admin: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// System is the balancer behind the API.
type System interface {
	Name() string
	CatalogService(name string) (service.Service, bool)
	CatalogServices() []service.Service
	Members() []roster.Member
	Accept(s service.Service)
	Checked() time.Time // when the configuration was last known to be the platform's
	InForce(ctx context.Context, number uint16, generation uint32) []Standing
	ExplainID(id []byte) (Explanation, error)
}

// Standing tells whether a configuration is in force on one balancer.
type Standing struct {
	Balancer string `json:"balancer"`
	Zone     string `json:"zone"`
	InForce  bool   `json:"in_force"`
	Problem  string `json:"problem,omitempty"`
}

// Explanation tells where a connection ID leads and why.
type Explanation struct {
	Agent   netip.AddrPort `json:"agent"`
	Service uint16         `json:"service"`
	Member  string         `json:"member,omitempty"`
	State   string         `json:"state,omitempty"`
	Verdict string         `json:"verdict"`
}

// Objects is the part of the platform that the API uses.
type Objects interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind, name, version string, value []byte) (string, error)
}

// Handler serves the administration API.
type Handler struct {
	system  System
	objects Objects
	key     []byte
	log     *log.Logger
	mux     *http.ServeMux
}

// New returns a handler that seals plans with key; objects may be nil, then
// nothing can be confirmed.
func New(system System, objects Objects, key []byte, l *log.Logger) *Handler {
	h := &Handler{system: system, objects: objects, key: key, log: l, mux: http.NewServeMux()}
	h.handle("GET /v1/services", h.services)
	h.handle("GET /v1/services/{name}", h.service)
	h.handle("POST /v1/plans", h.makePlan)
	h.handle("POST /v1/confirmations", h.confirm)
	h.handle("GET /v1/services/{name}/status", h.status)
	h.handle("GET /v1/members", h.members)
	h.handle("GET /v1/explanations/{id}", h.explain)
	return h
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

type action func(r *http.Request, op operator) (any, error)

func (h *Handler) handle(pattern string, f action) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		op, err := operatorOf(r)
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
		_ = json.NewEncoder(w).Encode(v) // the operator's connection is gone
	})
}

// operator is who asks, as their certificate says.
type operator struct {
	name   string
	tenant string // empty for operators of the whole system
	viewer bool
}

const (
	systemOrganization = "skylarkturn-operators"
	viewerUnit         = "viewer"
)

func operatorOf(r *http.Request) (operator, error) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return operator{}, &Error{"authenticate", KindForbidden, errors.New("no client certificate")}
	}
	subject := r.TLS.PeerCertificates[0].Subject
	if len(subject.Organization) != 1 || subject.CommonName == "" {
		return operator{}, &Error{"authenticate", KindForbidden, errors.New("certificate names no operator and tenant")}
	}
	op := operator{
		name:   subject.CommonName,
		tenant: subject.Organization[0],
		viewer: slices.Contains(subject.OrganizationalUnit, viewerUnit),
	}
	if op.tenant == systemOrganization {
		op.tenant = ""
	}
	return op, nil
}

func (o operator) sees(tenant string) bool { return o.tenant == "" || o.tenant == tenant }

func (o operator) mayChange(tenant string) error {
	if !o.sees(tenant) {
		return &Error{"authorize", KindForbidden, fmt.Errorf("operator %q may not change tenant %q", o.name, tenant)}
	}
	if o.viewer {
		return &Error{"authorize", KindForbidden, fmt.Errorf("operator %q may only look", o.name)}
	}
	return nil
}

func (h *Handler) services(_ *http.Request, op operator) (any, error) {
	visible := []service.Service{}
	for _, s := range h.system.CatalogServices() {
		if op.sees(s.Tenant) {
			visible = append(visible, s)
		}
	}
	return visible, nil
}

func (h *Handler) visible(r *http.Request, op operator) (*service.Service, error) {
	name := r.PathValue("name")
	s, err := h.current(r.Context(), name)
	if err != nil {
		return nil, err
	}
	if s == nil || !op.sees(s.Tenant) {
		return nil, &Error{"find service", KindNotFound, fmt.Errorf("service %q is not declared", name)}
	}
	return s, nil
}

func (h *Handler) service(r *http.Request, op operator) (any, error) {
	return h.visible(r, op)
}

func (h *Handler) agents(number uint16) []roster.Member {
	return slices.DeleteFunc(h.system.Members(), func(m roster.Member) bool {
		return m.Role != roster.Agent || m.Service != number || !roster.Live(&m)
	})
}

const maxBody = 1 << 20 // bytes

func decode(r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &Error{"decode", KindInvalid, err}
	}
	return nil
}

func (h *Handler) makePlan(r *http.Request, op operator) (any, error) {
	var draft service.Service
	if err := decode(r, &draft); err != nil {
		return nil, err
	}
	if err := op.mayChange(draft.Tenant); err != nil {
		return nil, err
	}
	current, err := h.current(r.Context(), draft.Name)
	if err != nil {
		return nil, err
	}
	if current != nil {
		if err := op.mayChange(current.Tenant); err != nil {
			return nil, err
		}
	}
	return plan.Make(current, draft, h.agents(draft.Number), h.key)
}

// Returns the confirmed form of a service, nil when there is none. A balancer that
// does not know the configuration yet asks the platform, so that it neither denies
// nor plans to create what is there.
func (h *Handler) current(ctx context.Context, name string) (*service.Service, error) {
	if s, ok := h.system.CatalogService(name); ok {
		return &s, nil
	}
	if h.objects == nil || !h.system.Checked().IsZero() {
		return nil, nil
	}
	s, _, err := h.read(ctx, name)
	if err != nil {
		return nil, &Error{"find service", KindUnavailable, fmt.Errorf("this balancer does not know the configuration yet: %w", err)}
	}
	return s, nil
}

// Member is a balancer or target as the API shows it.
type Member struct {
	Name        string `json:"name"`
	Role        string `json:"role"`
	State       string `json:"state"`
	Zone        string `json:"zone"`
	Host        string `json:"host,omitempty"`
	Addr        string `json:"addr"`
	Service     uint16 `json:"service,omitempty"`
	Incarnation uint64 `json:"incarnation"`
	Warmth      uint8  `json:"warmth,omitempty"`
	Sessions    uint32 `json:"sessions"`
}

func (h *Handler) members(_ *http.Request, op operator) (any, error) {
	tenants := make(map[uint16]string)
	for _, s := range h.system.CatalogServices() {
		tenants[s.Number] = s.Tenant
	}
	views := []Member{}
	for _, m := range h.system.Members() {
		if m.Role == roster.Agent && !op.sees(tenants[m.Service]) {
			continue
		}
		views = append(views, Member{
			m.Name, m.Role.String(), m.State.String(), m.Zone, m.Host, m.Addr.String(), m.Service, m.Incarnation, m.Warmth, m.Sessions,
		})
	}
	return views, nil
}

// Status tells where the newest configuration of a service that the answering
// balancer knows is in force.
type Status struct {
	Service    string     `json:"service"`
	Generation uint32     `json:"generation"`
	PlanID     string     `json:"plan_id"`
	CheckedAgo string     `json:"checked_ago"` // since the configuration was known to be the platform's
	Balancers  []Standing `json:"balancers"`
}

func (h *Handler) status(r *http.Request, op operator) (any, error) {
	s, err := h.visible(r, op)
	if err != nil {
		return nil, err
	}
	ago := "never"
	if t := h.system.Checked(); !t.IsZero() {
		ago = time.Since(t).Round(time.Millisecond).String()
	}
	return Status{s.Name, s.Generation, s.PlanID, ago, h.system.InForce(r.Context(), s.Number, s.Generation)}, nil
}
