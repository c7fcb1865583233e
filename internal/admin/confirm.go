package admin

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"skylarkturn/internal/plan"
	"skylarkturn/internal/platform"
	"skylarkturn/internal/service"
)

const (
	serviceKind   = "service"
	claimKind     = "claim"
	readBackTries = 4
	readBackPause = 250 * time.Millisecond
)

// Confirmation is the answer to a confirmed plan.
type Confirmation struct {
	Service    string `json:"service"`
	PlanID     string `json:"plan_id"`
	Generation uint32 `json:"generation"`
	Repeated   bool   `json:"repeated,omitempty"` // the plan had been confirmed before
}

func (h *Handler) confirm(r *http.Request, op operator) (any, error) {
	var p plan.Plan
	if err := decode(r, &p); err != nil {
		return nil, err
	}
	if err := op.mayChange(p.Draft.Tenant); err != nil {
		return nil, err
	}
	if err := p.Verify(h.key); err != nil {
		return nil, err
	}
	if h.objects == nil {
		return nil, &Error{"confirm", KindUnavailable, errors.New("this balancer has no platform in its settings")}
	}
	c, err := h.write(r.Context(), &p, op)
	if err != nil {
		return nil, err
	}
	h.log.Info().Str("audit", "confirm").Str("operator", op.name).Str("service", c.Service).
		Str("plan", c.PlanID).Uint32("generation", c.Generation).Bool("repeated", c.Repeated).Msg("plan confirmed")
	return c, nil
}

// Confirms by one conditional update. When its answer is lost, reading back
// tells whether it took effect.
func (h *Handler) write(ctx context.Context, p *plan.Plan, op operator) (*Confirmation, error) {
	current, version, err := h.read(ctx, p.Service)
	if err != nil {
		return nil, &Error{"confirm", KindUnavailable, fmt.Errorf("nothing was changed: %w", err)}
	}
	next, done, err := p.Confirm(current, op.name)
	if err != nil {
		return nil, err
	}
	if done {
		return h.confirmed(next, p.ID, true), nil
	}
	if err := h.claim(ctx, &next); err != nil {
		return nil, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return nil, &Error{"confirm", KindInvalid, err}
	}
	_, err = h.objects.Put(ctx, serviceKind, p.Service, version, value)
	switch {
	case err == nil:
		return h.confirmed(next, p.ID, false), nil
	case platform.IsKind(err, platform.KindThrottled), platform.IsKind(err, platform.KindRefused):
		return nil, &Error{"confirm", KindUnavailable, fmt.Errorf("nothing was changed: %w", err)}
	}
	return h.readBack(ctx, p, op, err)
}

func (h *Handler) confirmed(s service.Service, id string, repeated bool) *Confirmation {
	h.system.Accept(s)
	return &Confirmation{Service: s.Name, PlanID: id, Generation: s.Generation, Repeated: repeated}
}

func (h *Handler) read(ctx context.Context, name string) (*service.Service, string, error) {
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

// Settles a conditional update whose answer was lost or that met another one.
func (h *Handler) readBack(ctx context.Context, p *plan.Plan, op operator, cause error) (*Confirmation, error) {
	for range readBackTries {
		current, _, err := h.read(ctx, p.Service)
		if err != nil {
			cause = err
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(readBackPause):
			}
			continue
		}
		next, done, err := p.Confirm(current, op.name)
		if done {
			return h.confirmed(next, p.ID, false), nil
		}
		if err != nil {
			return nil, err
		}
		return nil, &Error{"confirm", KindUnavailable, fmt.Errorf("nothing was changed, confirm the same plan again: %w", cause)}
	}
	return nil, &Error{"confirm", KindUnknown, fmt.Errorf("confirm the same plan again to learn the outcome: %w", cause)}
}

type claimObject struct {
	Service string `json:"service"`
}

// Claims the number and addresses of a service, which belong to one service at
// a time. A claim left behind by a try of the same service is taken up again.
func (h *Handler) claim(ctx context.Context, s *service.Service) error {
	names := []string{fmt.Sprintf("number-%d", s.Number)}
	for _, a := range s.Addresses {
		names = append(names, "address-"+a)
	}
	value, err := json.Marshal(claimObject{s.Name})
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
	var held claimObject
	if err := json.Unmarshal(o.Value, &held); err != nil {
		return &Error{"claim", KindInvalid, err}
	}
	if held.Service != owner {
		return &Error{"claim", KindConflict, fmt.Errorf("%s belongs to service %q", name, held.Service)}
	}
	return nil
}

func (h *Handler) explain(r *http.Request, op operator) (any, error) {
	id, err := hex.DecodeString(r.PathValue("id"))
	if err != nil {
		return nil, &Error{"explain", KindInvalid, errors.New("the connection ID is not hexadecimal")}
	}
	e, err := h.system.ExplainID(id)
	if err != nil {
		return nil, &Error{"explain", KindNotFound, err}
	}
	for _, s := range h.system.CatalogServices() {
		if s.Number == e.Service && !op.sees(s.Tenant) {
			return nil, &Error{"explain", KindNotFound, errors.New("no flow of yours has this ID")}
		}
	}
	return e, nil
}

func writeProblem(w http.ResponseWriter, err error) {
	p := Problem{Title: KindUnavailable, Status: http.StatusServiceUnavailable, Detail: err.Error()}
	var mine *Error
	var planned *plan.Error
	var declared *service.Error
	switch {
	case errors.As(err, &planned):
		p.Title = planned.Kind
		p.Status = map[string]int{plan.KindStale: http.StatusConflict}[planned.Kind]
		if p.Status == 0 {
			p.Status = http.StatusUnprocessableEntity
		}
	case errors.As(err, &declared):
		p.Title, p.Status = declared.Kind, http.StatusUnprocessableEntity
	case errors.As(err, &mine):
		p.Title = mine.Kind
		p.Status = statusOf(mine.Kind)
	}
	p.Type = "urn:skylarkturn:problem:" + p.Title
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // the operator's connection is gone
}

func statusOf(kind string) int {
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
