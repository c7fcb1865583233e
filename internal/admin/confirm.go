package admin

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"skylarkturn/internal/plan"
	"skylarkturn/internal/platform"
	"skylarkturn/internal/service"
)

const (
	serviceKind         = "service"
	claimKind           = "claim"
	notReadyRetryDelay  = time.Second // balancers learn of all members within seconds
	maxReadBackAttempts = 4
	readBackRetryDelay  = 250 * time.Millisecond
)

// Confirmation is the response to the confirmation of a plan.
type Confirmation struct {
	Service    string `json:"service"`
	PlanID     string `json:"plan_id"`
	Generation uint32 `json:"generation"`
	Repeated   bool   `json:"repeated,omitempty"` // the plan had already been confirmed
}

// confirm applies a plan that the client sends back.
func (h *Handler) confirm(r *http.Request, op operator) (any, error) {
	var p plan.Plan
	if err := decode(r, &p); err != nil {
		return nil, err
	}
	if err := op.authorizeChange(p.Draft.Tenant); err != nil {
		return nil, err
	}
	if err := p.Verify(h.planKey); err != nil {
		return nil, err
	}
	if h.objects == nil {
		return nil, &Error{"confirm", KindUnavailable, errors.New("no platform is configured on this balancer")}
	}
	c, err := h.commit(r.Context(), &p, op)
	if err != nil {
		return nil, err
	}
	h.log.Info().Str("audit", "confirm").Str("operator", op.name).Str("service", c.Service).
		Str("plan", c.PlanID).Uint32("generation", c.Generation).Bool("repeated", c.Repeated).Msg("plan confirmed")
	return c, nil
}

// commit writes the confirmed service by a single conditional update. If the answer
// is lost, it reads the service back to determine whether the update took effect.
func (h *Handler) commit(ctx context.Context, p *plan.Plan, op operator) (*Confirmation, error) {
	current, version, err := h.readService(ctx, p.Service)
	if err != nil {
		return nil, &Error{"confirm", KindUnavailable, fmt.Errorf("nothing was changed: %w", err)}
	}
	next, done, err := p.Confirm(current, op.name)
	if err != nil {
		return nil, err
	}
	if done {
		return h.applyConfirmed(next, p.ID, true), nil
	}
	if err := h.claimResources(ctx, &next); err != nil {
		return nil, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return nil, &Error{"confirm", KindInvalid, err}
	}
	_, err = h.objects.Put(ctx, serviceKind, p.Service, version, value)
	switch {
	case err == nil:
		return h.applyConfirmed(next, p.ID, false), nil
	case platform.IsKind(err, platform.KindThrottled), platform.IsKind(err, platform.KindRefused):
		return nil, &Error{"confirm", KindUnavailable, fmt.Errorf("nothing was changed: %w", err)}
	}
	return h.readBack(ctx, p, op, err)
}

// applyConfirmed applies a confirmed service to the balancer and returns the response.
func (h *Handler) applyConfirmed(s service.Service, id string, repeated bool) *Confirmation {
	h.backend.ApplyService(s)
	return &Confirmation{Service: s.Name, PlanID: id, Generation: s.Generation, Repeated: repeated}
}

// readService reads a service and its version from the platform. It returns nil and an
// empty version if the service does not exist.
func (h *Handler) readService(ctx context.Context, name string) (*service.Service, string, error) {
	o, err := h.objects.Get(ctx, serviceKind, name)
	if platform.IsKind(err, platform.KindNotFound) {
		return nil, "", nil
	}
	if err != nil {
		return nil, "", err
	}
	s := new(service.Service)
	if err := json.Unmarshal(o.Value, s); err != nil {
		return nil, "", err
	}
	return s, o.Version, nil
}

// readBack determines the outcome of a conditional update whose answer was lost or
// that conflicted with another update.
func (h *Handler) readBack(ctx context.Context, p *plan.Plan, op operator, cause error) (*Confirmation, error) {
	for range maxReadBackAttempts {
		current, _, err := h.readService(ctx, p.Service)
		if err != nil {
			cause = err
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(readBackRetryDelay):
			}
			continue
		}
		next, done, err := p.Confirm(current, op.name)
		if done {
			return h.applyConfirmed(next, p.ID, false), nil
		}
		if err != nil {
			return nil, err
		}
		return nil, &Error{"confirm", KindUnavailable, fmt.Errorf("nothing was changed, confirm the same plan again: %w", cause)}
	}
	return nil, &Error{"confirm", KindOutcomeUnknown, fmt.Errorf("confirm the same plan again to learn the outcome: %w", cause)}
}

// claimValue is the value of a platform object that reserves a number or an address.
type claimValue struct {
	Service string `json:"service"`
}

// claimResources reserves the number and the addresses of a service, each of which
// may belong to only one service. A reservation left by an earlier attempt for the
// same service is reused.
func (h *Handler) claimResources(ctx context.Context, s *service.Service) error {
	names := []string{fmt.Sprintf("number-%d", s.Number)}
	for _, a := range s.Addresses {
		names = append(names, "address-"+a)
	}
	value, err := json.Marshal(claimValue{s.Name})
	if err != nil {
		return &Error{"claim", KindInvalid, err}
	}
	for _, name := range names {
		if err := h.claimOne(ctx, name, s.Name, value); err != nil {
			return err
		}
	}
	return nil
}

// claimOne reserves one number or address for the service owner. It returns an error of
// KindConflict if another service holds it.
func (h *Handler) claimOne(ctx context.Context, name, owner string, value []byte) error {
	o, err := h.objects.Get(ctx, claimKind, name)
	if platform.IsKind(err, platform.KindNotFound) {
		if _, err = h.objects.Put(ctx, claimKind, name, "", value); err == nil {
			return nil
		}
		o, err = h.objects.Get(ctx, claimKind, name)
	}
	if err != nil {
		return &Error{"claim", KindUnavailable, fmt.Errorf("nothing was changed: %w", err)}
	}
	var existing claimValue
	if err := json.Unmarshal(o.Value, &existing); err != nil {
		return &Error{"claim", KindInvalid, err}
	}
	if existing.Service != owner {
		return &Error{"claim", KindConflict, fmt.Errorf("%s belongs to service %q", name, existing.Service)}
	}
	return nil
}

func (h *Handler) explain(r *http.Request, op operator) (any, error) {
	id, err := hex.DecodeString(r.PathValue("id"))
	if err != nil {
		return nil, &Error{"explain", KindInvalid, errors.New("connection ID is not hexadecimal")}
	}
	e, err := h.backend.ExplainID(id)
	if err != nil {
		return nil, &Error{"explain", KindNotFound, err}
	}
	for _, s := range h.backend.CatalogServices() {
		if s.Number == e.Service && !op.canView(s.Tenant) {
			return nil, &Error{"explain", KindNotFound, errors.New("connection ID is unknown or belongs to another tenant")}
		}
	}
	return e, nil
}

func writeProblem(w http.ResponseWriter, err error) {
	p := Problem{Title: KindUnavailable, Status: http.StatusServiceUnavailable, Detail: err.Error()}
	var adminErr *Error
	var planErr *plan.Error
	var serviceErr *service.Error
	switch {
	case errors.As(err, &planErr):
		p.Title = planErr.Kind
		p.Status = map[string]int{plan.KindStale: http.StatusConflict}[planErr.Kind]
		if p.Status == 0 {
			p.Status = http.StatusUnprocessableEntity
		}
	case errors.As(err, &serviceErr):
		p.Title, p.Status = serviceErr.Kind, http.StatusUnprocessableEntity
	case errors.As(err, &adminErr):
		p.Title = adminErr.Kind
		p.Status = httpStatus(adminErr.Kind)
	}
	p.Type = "urn:skylarkturn:problem:" + p.Title
	if p.Title == KindNotReady {
		w.Header().Set("Retry-After", strconv.Itoa(int(notReadyRetryDelay/time.Second)))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // fails only if the client has disconnected
}

func httpStatus(kind string) int {
	switch kind {
	case KindInvalid:
		return http.StatusBadRequest
	case KindNotFound:
		return http.StatusNotFound
	case KindForbidden:
		return http.StatusForbidden
	case KindConflict:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}
