package plan

import (
	"errors"
	"testing"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/roster"
	"skylarkturn/internal/service"
)

var planKey = []byte("plan key")

func newService(rules ...service.Rule) service.Service {
	return service.Service{
		Name: "bookdesk", Tenant: "lensbridge", Number: 17, Addresses: []string{"192.0.2.1:443"},
		Intent: service.Intent{Rules: rules},
	}
}

func newServiceAt(generation uint32, rules ...service.Rule) *service.Service {
	s := newService(rules...)
	s.Generation = generation
	return &s
}

func newAgents() []roster.Member {
	return []roster.Member{
		{Name: "a", Host: "vm-a", Zone: "az1", Sessions: 10},
		{Name: "b", Host: "vm-b", Zone: "az2", Sessions: 20},
		{Name: "c", Host: "vm-c", Zone: "az2", Sessions: 30},
	}
}

func sharePtr(f float64) *float64 { return &f }

func kindOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

func TestMake(t *testing.T) {
	for _, c := range []struct {
		name     string
		current  *service.Service
		draft    service.Service
		kind     string // of the expected error
		actions  []string
		sessions uint32
		after    []float64
		warnings int
	}{
		{"new service", nil, newService(), "", []string{"create"}, 0, []float64{1. / 3, 1. / 3, 1. / 3}, 0},
		{"drain", newServiceAt(3), newService(service.Rule{Target: "b", Drain: true}), "", []string{"drain"}, 20, []float64{.5, 0, .5}, 0},
		{"drain a zone", newServiceAt(3), newService(service.Rule{Zone: "az2", Drain: true}), "", []string{"drain", "drain"}, 50, []float64{1, 0, 0}, 1},
		{"activate", newServiceAt(3, service.Rule{Host: "vm-b", Drain: true}), newService(), "", []string{"activate"}, 0, []float64{1. / 3, 1. / 3, 1. / 3}, 0},
		{"share", newServiceAt(3), newService(service.Rule{Target: "a", Share: sharePtr(2)}), "", []string{"share"}, 0, []float64{.5, .25, .25}, 0},
		{"target before zone", newServiceAt(3), newService(service.Rule{Zone: "az2", Drain: true}, service.Rule{Target: "c"}), "", []string{"drain"}, 20, []float64{.5, 0, .5}, 0},
		{"no change", newServiceAt(3), newService(), "", nil, 0, []float64{1. / 3, 1. / 3, 1. / 3}, 0},
		{"no target left", newServiceAt(3), newService(service.Rule{Zone: "az1", Drain: true}, service.Rule{Zone: "az2", Share: sharePtr(0)}), KindCapacity, nil, 0, nil, 0},
		{"unknown target", newServiceAt(3), newService(service.Rule{Target: "x", Drain: true}), KindInvalid, nil, 0, nil, 0},
		{"two selectors", newServiceAt(3), newService(service.Rule{Target: "a", Zone: "az1"}), KindInvalid, nil, 0, nil, 0},
		{"share out of range", newServiceAt(3), newService(service.Rule{Target: "a", Share: sharePtr(-1)}), KindInvalid, nil, 0, nil, 0},
		{"another tenant", &service.Service{Name: "bookdesk", Tenant: "other", Number: 17}, newService(), KindInvalid, nil, 0, nil, 0},
		{"another number", &service.Service{Name: "bookdesk", Tenant: "lensbridge", Number: 18}, newService(), KindInvalid, nil, 0, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, err := Make(c.current, c.draft, newAgents(), planKey)
			qt.Assert(t, qt.Equals(kindOf(err), c.kind), qt.Commentf("%v", err))
			if c.kind != "" {
				return
			}
			var actions []string
			for _, s := range p.Steps {
				actions = append(actions, s.Action)
			}
			qt.Check(t, qt.DeepEquals(actions, c.actions))
			qt.Check(t, qt.Equals(p.Sessions, c.sessions))
			qt.Check(t, qt.HasLen(p.Warnings, c.warnings))
			for i, s := range p.Shares {
				qt.Check(t, qt.Equals(s.After, c.after[i]))
			}
			qt.Check(t, qt.IsNil(p.Verify(planKey)))
			qt.Check(t, qt.Equals(kindOf(p.Verify([]byte("other"))), KindForged))
		})
	}
}

func TestConfirm(t *testing.T) {
	current := newServiceAt(3)
	p, err := Make(current, newService(service.Rule{Target: "a", Drain: true}), newAgents(), planKey)
	qt.Assert(t, qt.IsNil(err))
	other, err := Make(current, newService(service.Rule{Target: "b", Drain: true}), newAgents(), planKey)
	qt.Assert(t, qt.IsNil(err))

	next, done, err := p.Confirm(current, "ada")
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.IsFalse(done))
	qt.Check(t, qt.Equals(next.Generation, uint32(4)))

	again, done, err := p.Confirm(&next, "ada")
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.IsTrue(done))
	qt.Check(t, qt.Equals(again.Generation, uint32(4)))

	_, _, err = other.Confirm(&next, "bob")
	qt.Check(t, qt.Equals(kindOf(err), KindStale))
	qt.Check(t, qt.ErrorMatches(err, ".*generation 4.*by ada.*"))
}

func TestHistoryIsBounded(t *testing.T) {
	current := newServiceAt(1)
	for range 2 * service.MaxPast {
		draft := *current
		p, err := Make(current, draft, newAgents(), planKey)
		qt.Assert(t, qt.IsNil(err))
		next, _, err := p.Confirm(current, "ada")
		qt.Assert(t, qt.IsNil(err))
		current = &next
	}
	qt.Check(t, qt.HasLen(current.Past, service.MaxPast))
	qt.Check(t, qt.Equals(current.Past[0].Generation, current.Generation))
}
