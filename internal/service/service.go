package service

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

// Kinds of errors.
const (
	KindInvalid = "invalid"
	KindClash   = "clash"
)

// Error reports the operation of package service that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("service: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Service is a declared service with its confirmed intent.
type Service struct {
	Name       string   `json:"name" toml:"name"`
	Tenant     string   `json:"tenant" toml:"tenant"`
	Number     uint16   `json:"number" toml:"number"`
	Addresses  []string `json:"addresses" toml:"addresses"` // IPv4 address and port each
	Classes    []Class  `json:"classes" toml:"classes"`
	Intent     Intent   `json:"intent" toml:"intent"`
	Generation uint32   `json:"generation" toml:"-"` // rises by one with each confirmed plan
	PlanID     string   `json:"plan_id,omitempty" toml:"-"`
	Past       []Change `json:"past,omitempty" toml:"-"` // last confirmed plans, newest first
}

// Class groups requests of a service that are treated alike.
type Class struct {
	Name       string `json:"name" toml:"name"`
	PathPrefix string `json:"path_prefix" toml:"path_prefix"`
	Idempotent bool   `json:"idempotent" toml:"idempotent"`
	Stream     bool   `json:"stream" toml:"stream"`     // answers are event streams without end
	Priority   int    `json:"priority" toml:"priority"` // higher goes first when slots are short
}

// Change is one confirmed plan of a service's history.
type Change struct {
	Generation uint32 `json:"generation"`
	PlanID     string `json:"plan_id"`
	By         string `json:"by"`
	Intent     Intent `json:"intent"`
}

// Intent says which targets may take work and in which share.
type Intent struct {
	Rules []Rule `json:"rules" toml:"rules"`
}

// Rule sets the state and share of the targets it selects; exactly one of
// Target, Host and Zone is given.
type Rule struct {
	Target string   `json:"target,omitempty" toml:"target"`
	Host   string   `json:"host,omitempty" toml:"host"`
	Zone   string   `json:"zone,omitempty" toml:"zone"`
	Drain  bool     `json:"drain,omitempty" toml:"drain"`
	Share  *float64 `json:"share,omitempty" toml:"share"` // relative, 0 to MaxShare; 1 when absent
}

// Limits on services.
const (
	MaxShare     = 100.0
	MaxAddresses = 16
	MaxClasses   = 32
	MaxRules     = 1000
	MaxPast      = 10
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Check reports the first thing wrong with the declaration, naming its place.
func (s *Service) Check() error {
	if err := s.check(); err != nil {
		return &Error{"check " + s.Name, KindInvalid, err}
	}
	return nil
}

func (s *Service) check() error {
	if !namePattern.MatchString(s.Name) {
		return fmt.Errorf("name %q: want lower-case letters, digits and hyphens, at most 63", s.Name)
	}
	if !namePattern.MatchString(s.Tenant) {
		return fmt.Errorf("tenant %q: want lower-case letters, digits and hyphens, at most 63", s.Tenant)
	}
	if s.Number == 0 {
		return errors.New("number: want 1 to 65535")
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	if err := s.checkClasses(); err != nil {
		return err
	}
	return s.Intent.check()
}

func (s *Service) checkAddresses() error {
	if len(s.Addresses) == 0 || len(s.Addresses) > MaxAddresses {
		return fmt.Errorf("addresses: have %d, want 1 to %d", len(s.Addresses), MaxAddresses)
	}
	seen := make(map[string]bool)
	for i, a := range s.Addresses {
		ap, err := netip.ParseAddrPort(a)
		if err != nil || !ap.Addr().Is4() || ap.Port() == 0 {
			return fmt.Errorf("addresses[%d]: %q is not an IPv4 address with a port", i, a)
		}
		if seen[a] {
			return fmt.Errorf("addresses[%d]: %q is given twice", i, a)
		}
		seen[a] = true
	}
	return nil
}

func (s *Service) checkClasses() error {
	if len(s.Classes) > MaxClasses {
		return fmt.Errorf("classes: have %d, want at most %d", len(s.Classes), MaxClasses)
	}
	prefixes := make(map[string]string)
	for i, c := range s.Classes {
		if !namePattern.MatchString(c.Name) {
			return fmt.Errorf("classes[%d].name: %q is not a name", i, c.Name)
		}
		if !strings.HasPrefix(c.PathPrefix, "/") {
			return fmt.Errorf("classes[%d].path_prefix: %q does not begin with /", i, c.PathPrefix)
		}
		if other, ok := prefixes[c.PathPrefix]; ok {
			return fmt.Errorf("classes[%d].path_prefix: %q is that of class %q, too", i, c.PathPrefix, other)
		}
		prefixes[c.PathPrefix] = c.Name
	}
	return nil
}

func (in *Intent) check() error {
	if len(in.Rules) > MaxRules {
		return fmt.Errorf("intent.rules: have %d, want at most %d", len(in.Rules), MaxRules)
	}
	seen := make(map[string]bool)
	for i, r := range in.Rules {
		key, err := r.selector()
		if err != nil {
			return fmt.Errorf("intent.rules[%d]: %w", i, err)
		}
		if seen[key] {
			return fmt.Errorf("intent.rules[%d]: %s is selected twice", i, key)
		}
		seen[key] = true
		if r.Share != nil && (*r.Share < 0 || *r.Share > MaxShare) {
			return fmt.Errorf("intent.rules[%d].share: %g is not within 0 to %g", i, *r.Share, MaxShare)
		}
		if r.Share != nil && r.Drain && *r.Share > 0 {
			return fmt.Errorf("intent.rules[%d]: drain clashes with share %g", i, *r.Share)
		}
	}
	return nil
}

func (r *Rule) selector() (string, error) {
	var found []string
	for _, s := range [][2]string{{"target", r.Target}, {"host", r.Host}, {"zone", r.Zone}} {
		if s[1] != "" {
			found = append(found, s[0]+" "+s[1])
		}
	}
	if len(found) != 1 {
		return "", fmt.Errorf("want one of target, host and zone, have %d", len(found))
	}
	return found[0], nil
}

// Share returns the share of a target under the intent, 0 when it drains. A
// rule for the target goes before one for its host, and that before its zone.
func (in *Intent) Share(target, host, zone string) (share float64, drain bool) {
	share, rank := 1.0, 0
	for _, r := range in.Rules {
		n := r.matches(target, host, zone)
		if n <= rank {
			continue
		}
		rank, share, drain = n, 1.0, r.Drain
		if r.Share != nil {
			share = *r.Share
		}
	}
	if drain {
		share = 0
	}
	return share, drain
}

func (r *Rule) matches(target, host, zone string) int {
	switch {
	case r.Target != "" && r.Target == target:
		return 3
	case r.Host != "" && r.Host == host:
		return 2
	case r.Zone != "" && r.Zone == zone:
		return 1
	}
	return 0
}

// ClassOf returns the class of a request path, by longest prefix. Requests
// outside all classes count as not idempotent.
func (s *Service) ClassOf(path string) Class {
	best := Class{Name: "other"}
	for _, c := range s.Classes {
		if strings.HasPrefix(path, c.PathPrefix) && len(c.PathPrefix) > len(best.PathPrefix) {
			best = c
		}
	}
	return best
}
