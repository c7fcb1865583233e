package service

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// Catalog holds the latest confirmed configuration of each service that a daemon
// knows. The generation of a service never decreases. A Catalog is not safe for
// concurrent use.
type Catalog struct {
	services map[uint16]*Service
	digest   uint64
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog { return &Catalog{services: make(map[uint16]*Service)} }

// Apply stores a confirmed service and reports whether its generation is higher
// than the stored one. Otherwise the service is ignored.
func (c *Catalog) Apply(s Service) bool {
	old := c.services[s.Number]
	if old != nil && old.Generation >= s.Generation {
		return false
	}
	if old != nil {
		c.digest ^= hashGeneration(old)
	}
	c.services[s.Number] = &s
	c.digest ^= hashGeneration(&s)
	return true
}

// Digest returns a hash of the numbers and generations of all services that does
// not depend on the order in which they were applied.
func (c *Catalog) Digest() uint64 { return c.digest }

// Len returns the number of services.
func (c *Catalog) Len() int { return len(c.services) }

// Get returns the service with the number. The caller must not modify it.
func (c *Catalog) Get(number uint16) (*Service, bool) {
	s, ok := c.services[number]
	return s, ok
}

// ByName returns the service with the name. The caller must not modify it.
func (c *Catalog) ByName(name string) (*Service, bool) {
	for _, s := range c.services {
		if s.Name == name {
			return s, true
		}
	}
	return nil, false
}

// Generation returns the generation of a service, or 0 if it is unknown.
func (c *Catalog) Generation(number uint16) uint32 {
	if s := c.services[number]; s != nil {
		return s.Generation
	}
	return 0
}

// All returns the services in ascending order of their numbers. The caller must not
// modify them.
func (c *Catalog) All() []*Service {
	all := make([]*Service, 0, len(c.services))
	for _, s := range c.services {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Service) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

func hashGeneration(s *Service) uint64 {
	g := s.Generation
	return xxh3.Hash([]byte{byte(s.Number >> 8), byte(s.Number), byte(g >> 24), byte(g >> 16), byte(g >> 8), byte(g)})
}
