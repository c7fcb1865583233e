package loadmodel

import (
	"fmt"

	"skylarkturn/internal/settings"
)

// Scenario describes a site, its load and its faults.
type Scenario struct {
	Length    settings.Duration `toml:"length"` // of the load; outstanding requests then finish
	Balancers int               `toml:"balancers"`
	Clients   int               `toml:"clients"`    // addresses; each has Users users
	Users     int               `toml:"users"`      // of a client without a burst; each keeps a flow per class that reuses them
	ClientLag settings.Duration `toml:"client_lag"` // one way, between clients and daemons
	DaemonLag settings.Duration `toml:"daemon_lag"` // one way, between daemons
	Services  []Service         `toml:"service"`
	Classes   []Class           `toml:"class"`
	Bursts    []Burst           `toml:"burst"`
	Outages   []Outage          `toml:"outage"`
}

// Service describes the hosts of a service.
type Service struct {
	Name  string `toml:"name"`
	Hosts int    `toml:"hosts"`
	Slots int    `toml:"slots"` // requests that a host runs concurrently
	Queue int    `toml:"queue"` // further requests that it queues; it rejects the rest

	ColdTime   settings.Duration `toml:"cold_time"`   // after a restart, in which requests take longer
	ColdFactor float64           `toml:"cold_factor"` // by how much
}

// Class describes the requests of one route.
type Class struct {
	Name       string            `toml:"name"`
	Service    string            `toml:"service"`
	Rate       float64           `toml:"rate"`      // requests per second without a burst
	Work       settings.Duration `toml:"work"`      // mean execution time
	Spread     float64           `toml:"spread"`    // standard deviation of the execution time relative to the mean
	Objective  settings.Duration `toml:"objective"` // a response within this time is worth Worth
	Deadline   settings.Duration `toml:"deadline"`  // a later response is worth nothing
	Worth      float64           `toml:"worth"`
	LateWorth  float64           `toml:"late_worth"` // of a response between objective and deadline
	Priority   int               `toml:"priority"`   // 0 is the most urgent
	Retries    int               `toml:"retries"`
	Idempotent bool              `toml:"idempotent"`
	FlowLife   settings.Duration `toml:"flow_life"` // mean life of a user's flow; 0 opens a flow for each request
}

// Burst multiplies the users of all classes, or of one.
type Burst struct {
	At     settings.Duration `toml:"at"`
	Length settings.Duration `toml:"length"`
	Factor float64           `toml:"factor"`
	Class  string            `toml:"class"` // empty for all
}

// Outage is a fault of hosts.
type Outage struct {
	At      settings.Duration `toml:"at"`
	Length  settings.Duration `toml:"length"`
	Service string            `toml:"service"`
	Hosts   int               `toml:"hosts"`
	Silent  bool              `toml:"silent"` // packets are lost; otherwise the host restarts without its flows
}

// String describes the burst.
func (b Burst) String() string {
	if b.Class == "" {
		return fmt.Sprintf("%g times the users", b.Factor)
	}
	return fmt.Sprintf("%g times the users of %s", b.Factor, b.Class)
}

// String describes the outage.
func (o Outage) String() string {
	if o.Silent {
		return fmt.Sprintf("%d hosts of %s are silent", o.Hosts, o.Service)
	}
	return fmt.Sprintf("%d hosts of %s restart", o.Hosts, o.Service)
}

// Check returns an error for the first invalid value.
func (s *Scenario) Check() error {
	if s.Length <= 0 || s.Balancers < 1 || s.Clients < 1 || s.Users < 1 {
		return settings.Invalidf("length", "length, balancers, clients and users must be positive")
	}
	services := make(map[string]bool)
	for _, svc := range s.Services {
		if svc.Hosts < 1 || svc.Slots < 1 || svc.Queue < 0 {
			return settings.Invalidf("service", "service %q: hosts and slots must be positive", svc.Name)
		}
		services[svc.Name] = true
	}
	for _, c := range s.Classes {
		if !services[c.Service] {
			return settings.Invalidf("class.service", "class %q: no service is named %q", c.Name, c.Service)
		}
		if c.Rate <= 0 || c.Work <= 0 {
			return settings.Invalidf("class.rate", "class %q: rate and work must be positive", c.Name)
		}
	}
	for _, o := range s.Outages {
		if !services[o.Service] {
			return settings.Invalidf("outage.service", "no service is named %q", o.Service)
		}
	}
	return nil
}

// factor returns by how much the users of a class exceed the usual number at a time in
// seconds.
func (s *Scenario) factor(c *Class, at float64) float64 {
	factor := 1.0
	for _, b := range s.Bursts {
		from := seconds(b.At)
		if at >= from && at < from+seconds(b.Length) && (b.Class == "" || b.Class == c.Name) {
			factor *= b.Factor
		}
	}
	return factor
}

// Load reads a scenario from a TOML file.
func Load(path string) (*Scenario, error) {
	s := new(Scenario)
	if err := settings.Load(path, s); err != nil {
		return nil, err
	}
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}
