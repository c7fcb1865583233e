package balancer

import (
	"fmt"
	"time"

	"skylarkturn/internal/credential"
	"skylarkturn/internal/settings"
)

// Settings is the content of a balancer's TOML settings file.
type Settings struct {
	Name        string            `toml:"name"`
	Zone        string            `toml:"zone"`
	Region      string            `toml:"region"`
	Inner       string            `toml:"inner"`    // UDP and TCP address for agents and other balancers
	Admin       string            `toml:"admin"`    // TCP address of the administration API
	Ops         string            `toml:"ops"`      // loopback TCP address of metrics, health and profiles
	Entry       string            `toml:"entry"`    // address at which the fabric reaches any of the balancers
	Seeds       []string          `toml:"seeds"`    // inner addresses of some balancers, for discovery
	Platform    string            `toml:"platform"` // base URL of the object API
	Listen      []ListenAddress   `toml:"listen"`   // UDP addresses for callers
	Credentials credential.Files  `toml:"credentials"`
	Log         settings.Log      `toml:"log"`
	Tick        settings.Duration `toml:"tick"` // interval of gossip and other periodic work
}

// ListenAddress is an address on which the balancer receives the datagrams for one
// service.
type ListenAddress struct {
	Service string `toml:"service"` // name of the service
	Number  uint16 `toml:"number"`  // number of the service
	Address string `toml:"address"` // UDP address
}

const defaultTick = 200 * time.Millisecond

// Check returns an error for the first invalid value.
func (s *Settings) Check() error {
	if s.Name == "" {
		return settings.Invalidf("name", "a name is required")
	}
	if s.Zone == "" {
		return settings.Invalidf("zone", "the availability zone is required")
	}
	for _, a := range [][2]string{{"inner", s.Inner}, {"admin", s.Admin}, {"ops", s.Ops}} {
		if err := settings.CheckAddress(a[0], a[1]); err != nil {
			return err
		}
	}
	if s.Entry != "" {
		if err := settings.CheckAddress("entry", s.Entry); err != nil {
			return err
		}
	}
	for i, a := range s.Seeds {
		if err := settings.CheckAddress(fmt.Sprintf("seeds[%d]", i), a); err != nil {
			return err
		}
	}
	if err := s.Tick.CheckRange("tick", 50*time.Millisecond, time.Second); err != nil {
		return err
	}
	if err := s.checkListen(); err != nil {
		return err
	}
	if err := s.Credentials.Check(); err != nil {
		return err
	}
	return s.Log.Check()
}

func (s *Settings) checkListen() error {
	numbers := make(map[uint16]bool)
	for _, l := range s.Listen {
		if l.Service == "" || l.Number == 0 {
			return settings.Invalidf("listen.service", "each listen table names a service and its number from 1 to 65535")
		}
		if numbers[l.Number] {
			return settings.Invalidf("listen.number", "number %d is given twice", l.Number)
		}
		numbers[l.Number] = true
		if err := settings.CheckAddress("listen.address", l.Address); err != nil {
			return err
		}
	}
	return nil
}
