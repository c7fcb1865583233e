package plan

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"skylarkturn/internal/roster"
	"skylarkturn/internal/service"
)

// Kinds of errors.
const (
	KindInvalid  = "invalid"
	KindStale    = "stale"
	KindForged   = "forged"
	KindCapacity = "capacity"
)

// Error reports the operation of package plan that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error formats the operation, the kind and the underlying error.
func (e *Error) Error() string { return fmt.Sprintf("plan: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Plan describes the effect of confirming a draft of a service.
type Plan struct {
	ID       string          `json:"id"`
	Service  string          `json:"service"`
	Base     uint32          `json:"base_generation"` // generation that the plan is based on; 0 creates the service
	Draft    service.Service `json:"draft"`
	Steps    []Step          `json:"steps"`
	Shares   []Share         `json:"shares"`
	Sessions uint32          `json:"moving_sessions"` // open sessions on targets that start draining
	Warnings []string        `json:"warnings,omitempty"`
	View     View            `json:"view"`
	Seal     string          `json:"seal"` // HMAC-SHA256 of ID, proves that a balancer made the plan
}

// View describes the members that a plan rests on.
type View struct {
	Balancer string `json:"balancer"` // that made the plan
	Targets  int    `json:"targets"`  // of the service that the balancer knows
	Complete bool   `json:"complete"` // the balancer knows all members
}

// Step is a change that takes effect once the plan is confirmed.
type Step struct {
	Action string `json:"action"` // create, drain, activate, share or settings
	Target string `json:"target,omitempty"`
	Detail string `json:"detail"`
}

// Share is the part of new flows that a target takes before and after the plan,
// from 0 to 1.
type Share struct {
	Target string  `json:"target"`
	Zone   string  `json:"zone"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// Make returns the plan that changes a service from current, which is nil for a new
// service, to the draft. The agents are the known agents of the service, and key
// seals the plan.
func Make(current *service.Service, draft service.Service, agents []roster.Member, key []byte) (*Plan, error) {
	p := &Plan{Service: draft.Name, Draft: draft}
	var before service.Intent
	if current != nil {
		if err := checkCompatible(current, &draft); err != nil {
			return nil, &Error{"make", KindInvalid, err}
		}
		p.Base = current.Generation
		before = current.Intent
	}
	p.Draft.Generation, p.Draft.PlanID, p.Draft.Past = p.Base+1, "", nil
	if err := p.Draft.Check(); err != nil {
		return nil, &Error{"make", KindInvalid, err}
	}
	if err := p.checkTargets(agents); err != nil {
		return nil, err
	}
	p.computeShares(current, &before, agents)
	if err := p.checkCapacity(agents); err != nil {
		return nil, err
	}
	p.addSteps(current, &before, agents)
	p.ID = p.hash()
	p.Seal = computeSeal(p.ID, key)
	return p, nil
}

// checkCompatible rejects a draft that changes the tenant or the number, neither of
// which may change during the life of a service.
func checkCompatible(current, draft *service.Service) error {
	if current.Tenant != draft.Tenant {
		return fmt.Errorf("tenant: service %q belongs to tenant %q, not %q", current.Name, current.Tenant, draft.Tenant)
	}
	if current.Number != draft.Number {
		return fmt.Errorf("number: service %q has number %d, which the connection IDs of open flows contain; it cannot change to %d", current.Name, current.Number, draft.Number)
	}
	return nil
}

// checkTargets returns an error if a rule of the draft selects none of the known agents.
func (p *Plan) checkTargets(agents []roster.Member) error {
	if r, ok := UnknownRule(&p.Draft.Intent, agents); ok {
		i := slices.Index(p.Draft.Intent.Rules, r)
		return &Error{"make", KindInvalid, fmt.Errorf(
			"intent.rules[%d]: target, host or zone %q is not known to service %q", i, r.Target+r.Host+r.Zone, p.Service)}
	}
	return nil
}

// UnknownRule returns the first rule of an intent that selects none of the known agents.
// Without known agents it finds none.
func UnknownRule(intent *service.Intent, agents []roster.Member) (r service.Rule, ok bool) {
	if len(agents) == 0 {
		return r, false
	}
	for _, r := range intent.Rules {
		if !slices.ContainsFunc(agents, func(m roster.Member) bool { return selects(&r, &m) }) {
			return r, true
		}
	}
	return r, false
}

func selects(r *service.Rule, m *roster.Member) bool {
	return r.Target == m.Name && r.Target != "" || r.Host == m.Host && r.Host != "" || r.Zone == m.Zone && r.Zone != ""
}

func (p *Plan) computeShares(current *service.Service, before *service.Intent, agents []roster.Member) {
	var sumBefore, sumAfter float64
	for _, m := range agents {
		b, _ := before.Share(m.Name, m.Host, m.Zone)
		if current == nil {
			b = 0
		}
		a, _ := p.Draft.Intent.Share(m.Name, m.Host, m.Zone)
		sumBefore += b
		sumAfter += a
		p.Shares = append(p.Shares, Share{m.Name, m.Zone, b, a})
	}
	for i := range p.Shares {
		p.Shares[i].Before = ratio(p.Shares[i].Before, sumBefore)
		p.Shares[i].After = ratio(p.Shares[i].After, sumAfter)
	}
}

func ratio(part, sum float64) float64 {
	if sum == 0 {
		return 0
	}
	return part / sum
}

// checkCapacity adds a warning if fewer than half of the targets would accept new
// work, and returns an error if none would.
func (p *Plan) checkCapacity(agents []roster.Member) error {
	if len(agents) == 0 {
		p.Warnings = append(p.Warnings, fmt.Sprintf("no target of service %q has announced itself", p.Service))
		return nil
	}
	accepting := 0
	for i := range p.Shares { // in the order of the agents
		if p.Shares[i].After > 0 && roster.Live(&agents[i]) {
			accepting++
		}
	}
	if accepting == 0 {
		return &Error{"make", KindCapacity, fmt.Errorf("intent: no target of service %q would accept new work", p.Service)}
	}
	if 2*accepting < len(agents) {
		p.Warnings = append(p.Warnings, fmt.Sprintf("only %d of %d targets would accept new work", accepting, len(agents)))
	}
	return nil
}

func (p *Plan) addSteps(current *service.Service, before *service.Intent, agents []roster.Member) {
	if current == nil {
		p.Steps = append(p.Steps, Step{"create", "", fmt.Sprintf("serve %v as number %d", p.Draft.Addresses, p.Draft.Number)})
		return
	}
	if !sameSettings(current, &p.Draft) {
		p.Steps = append(p.Steps, Step{"settings", "", "addresses or classes change"})
	}
	for _, m := range agents {
		p.addTargetStep(before, &m)
	}
}

func (p *Plan) addTargetStep(before *service.Intent, m *roster.Member) {
	if m.State == roster.Suspect {
		p.Warnings = append(p.Warnings, fmt.Sprintf("target %q has missed heartbeats, so its figures may be old", m.Name))
	}
	b, drained := before.Share(m.Name, m.Host, m.Zone)
	a, drain := p.Draft.Intent.Share(m.Name, m.Host, m.Zone)
	switch {
	case drain && !drained:
		p.Sessions += m.Sessions
		p.Steps = append(p.Steps, Step{"drain", m.Name, fmt.Sprintf("no new work accepted; %d sessions move to other targets", m.Sessions)})
	case drained && !drain:
		p.Steps = append(p.Steps, Step{"activate", m.Name, fmt.Sprintf("accepts work with share %g", a)})
	case a != b:
		p.Steps = append(p.Steps, Step{"share", m.Name, fmt.Sprintf("share changes from %g to %g", b, a)})
	}
}

func sameSettings(a, b *service.Service) bool {
	return slices.Equal(a.Addresses, b.Addresses) && slices.Equal(a.Classes, b.Classes)
}

// hash returns the ID of the plan, a truncated SHA-256 of the base generation and
// the draft in JSON. The field names Base and Draft are part of the hashed text, so
// renaming them would change the IDs.
func (p *Plan) hash() string {
	body, err := json.Marshal(struct {
		Base  uint32
		Draft service.Service
	}{p.Base, p.Draft})
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

func computeSeal(id string, key []byte) string {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(id))
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Verify returns an error of kind forged if the plan was not sealed with key or was
// altered afterwards.
func (p *Plan) Verify(key []byte) error {
	if p.ID == "" || p.ID != p.hash() || !hmac.Equal([]byte(p.Seal), []byte(computeSeal(p.ID, key))) {
		return &Error{"verify", KindForged, errors.New("plan was altered or not made by a balancer of this system")}
	}
	return nil
}

// Confirm returns the service that results from confirming the plan on top of
// current, which is nil for a new service; by names the operator. It returns current
// and done if the plan is already confirmed, and an error of kind stale if another
// plan was confirmed after the plan was made.
func (p *Plan) Confirm(current *service.Service, by string) (next service.Service, done bool, err error) {
	if current != nil && hasConfirmed(current, p.ID) {
		return *current, true, nil
	}
	generation := uint32(0)
	if current != nil {
		generation = current.Generation
	}
	if generation != p.Base {
		return service.Service{}, false, &Error{"confirm", KindStale, fmt.Errorf(
			"service %q is at generation %d, but the plan is based on generation %d: %s", p.Service, generation, p.Base, confirmedSince(current, p.Base))}
	}
	next = p.Draft
	next.PlanID = p.ID
	change := service.Change{Generation: next.Generation, PlanID: p.ID, By: by, Intent: next.Intent}
	next.Past = append([]service.Change{change}, history(current)...)
	next.Past = next.Past[:min(len(next.Past), service.MaxPast)]
	return next, false, nil
}

func hasConfirmed(s *service.Service, id string) bool {
	return slices.ContainsFunc(s.Past, func(c service.Change) bool { return c.PlanID == id })
}

func history(s *service.Service) []service.Change {
	if s == nil {
		return nil
	}
	return s.Past
}

// confirmedSince lists the plans that were confirmed after the generation base.
func confirmedSince(s *service.Service, base uint32) string {
	text := "confirmed since:"
	for _, c := range history(s) {
		if c.Generation > base {
			text += fmt.Sprintf(" plan %s by %s (generation %d)", c.PlanID, c.By, c.Generation)
		}
	}
	return text
}
