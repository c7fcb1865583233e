package route

import (
	"fmt"
	"time"

	"skylarkturn/internal/packet"
)

// Share is the share of a route's new flows that a service gets.
type Share struct {
	Service string `cbor:"1,keyasint"`
	Weight  uint32 `cbor:"2,keyasint"` // relative to the route's other shares
}

// Class describes the requests that the flows of a route carry. The zero value is the
// class of requests of which nothing is known.
type Class struct {
	Priority  uint8         `cbor:"1,keyasint,omitempty"` // 0 is the most urgent
	Objective time.Duration `cbor:"2,keyasint,omitempty"` // latency objective
	Timeout   time.Duration `cbor:"3,keyasint,omitempty"` // clients wait no longer
}

// Known reports whether anything is known of the requests.
func (c Class) Known() bool { return c.Objective > 0 && c.Timeout > 0 }

// Route divides the new flows to one address and port between services.
type Route struct {
	Name   string          `cbor:"1,keyasint"`
	Listen packet.Endpoint `cbor:"2,keyasint"` // address and port that clients send to
	Shares []Share         `cbor:"3,keyasint"`
	Class  Class           `cbor:"4,keyasint,omitempty"`
}

// Service returns the service for a flow with the given hash; ok is false when
// the route's weights add up to zero.
func (r *Route) Service(hash uint64) (service string, ok bool) {
	var total uint64
	for _, s := range r.Shares {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return "", false
	}
	// The high bits select the share. Placement among targets mixes the hash again,
	// so the two selections are independent.
	offset := (hash >> 32) * total >> 32
	for _, s := range r.Shares {
		if offset < uint64(s.Weight) {
			return s.Service, true
		}
		offset -= uint64(s.Weight)
	}
	return "", false
}

// Config is one version of the configuration.
type Config struct {
	Version uint64  `cbor:"1,keyasint"` // increases with each change
	Routes  []Route `cbor:"2,keyasint"`
}

// KindInvalid is the Error kind for an invalid configuration.
const KindInvalid = "invalid"

// Error reports the operation of package route that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("route: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Table finds routes by address. It is immutable. A nil Table has no routes.
type Table struct {
	cfg      Config
	byListen map[packet.Endpoint]*Route
}

// NewTable returns a table of the routes in cfg. It fails if two routes listen on
// the same address and port.
func NewTable(cfg Config) (*Table, error) {
	t := &Table{cfg: cfg, byListen: make(map[packet.Endpoint]*Route, len(cfg.Routes))}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if other, ok := t.byListen[r.Listen]; ok {
			err := fmt.Errorf("routes %q and %q both listen on %v", other.Name, r.Name, r.Listen.AddrPort())
			return nil, &Error{"new table", KindInvalid, err}
		}
		t.byListen[r.Listen] = r
	}
	return t, nil
}

// Config returns the configuration that the table was built from.
func (t *Table) Config() Config { return t.cfg }

// Version returns the version of the table's configuration, or 0 for a nil table.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.cfg.Version
}

// Lookup returns the route that listens on an address and port, or nil.
func (t *Table) Lookup(listen packet.Endpoint) *Route {
	if t == nil {
		return nil
	}
	return t.byListen[listen]
}
