package agent

import (
	"fmt"
	"net/url"
	"time"

	"skylarkturn/internal/credential"
	"skylarkturn/internal/settings"
)

// Settings holds the settings of an agent, which are read from its TOML file.
type Settings struct {
	Name        string            `toml:"name"` // name of the target
	Host        string            `toml:"host"` // VM that the target runs on
	Zone        string            `toml:"zone"`
	Region      string            `toml:"region"`
	Tenant      string            `toml:"tenant"`
	Service     string            `toml:"service"`
	Number      uint16            `toml:"number"` // number of the service
	Inner       string            `toml:"inner"`  // UDP and TCP address for traffic of balancers and other agents
	Ops         string            `toml:"ops"`    // TCP address that serves metrics, health and, to loopback clients only, profiles
	Entry       string            `toml:"entry"`  // address at which the fabric reaches any balancer
	Seeds       []string          `toml:"seeds"`  // inner addresses of some balancers
	HostURL     string            `toml:"host_url"`
	Slots       int               `toml:"slots"`        // maximum number of requests in progress at the host
	Queue       int               `toml:"queue"`        // maximum number of requests that wait for a slot
	MaxSessions int               `toml:"max_sessions"` // maximum number of open sessions
	MaxBody     int64             `toml:"max_body"`     // maximum size of a request body in bytes
	Warmup      settings.Duration `toml:"warmup"`       // time from the start until the target takes its full share
	Timeout     settings.Duration `toml:"timeout"`      // timeout of requests that carry none
	DrainLimit  settings.Duration `toml:"drain_limit"`  // time for sessions to move before a graceful shutdown closes them
	Linger      settings.Duration `toml:"linger"`       // time after the last session in which other agents can still resolve requests whose responses were lost
	Overload    float64           `toml:"overload"`     // fraction above the fair share of sessions from which new flows are forwarded
	Credentials credential.Files  `toml:"credentials"`
	Log         settings.Log      `toml:"log"`
}

const (
	defaultQueue       = 64
	defaultMaxSessions = 20_000
	defaultMaxBody     = 1 << 20
	defaultWarmup      = 10 * time.Second
	defaultTimeout     = 10 * time.Second
	defaultDrainLimit  = 10 * time.Minute
	defaultLinger      = 2 * time.Second
	defaultOverload    = 0.02
)

// Check returns an error for the first invalid setting. It sets defaults for those that
// are absent.
func (s *Settings) Check() error {
	for _, f := range [][2]string{{"name", s.Name}, {"host", s.Host}, {"zone", s.Zone}, {"tenant", s.Tenant}, {"service", s.Service}} {
		if f[1] == "" {
			return settings.Invalidf(f[0], "a value is required")
		}
	}
	if s.Number == 0 {
		return settings.Invalidf("number", "the number of the service, 1 to 65535, is required")
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	if s.Slots < 1 || s.Slots > 10_000 {
		return settings.Invalidf("slots", "%d is not within 1 to 10000", s.Slots)
	}
	if s.Queue < 0 || s.MaxSessions < 0 || s.MaxBody < 0 {
		return settings.Invalidf("queue", "queue, max_sessions and max_body must not be negative")
	}
	if s.Overload < 0 || s.Overload > 1 {
		return settings.Invalidf("overload", "%g is not within 0 to 1", s.Overload)
	}
	if err := s.checkDurations(); err != nil {
		return err
	}
	if err := s.Credentials.Check(); err != nil {
		return err
	}
	if s.Credentials.CallerCert == "" {
		return settings.Invalidf("credentials.caller_cert_file", "a file name is required")
	}
	s.setDefaults()
	return s.Log.Check()
}

func (s *Settings) checkAddresses() error {
	for _, a := range [][2]string{{"inner", s.Inner}, {"ops", s.Ops}} {
		if err := settings.CheckAddress(a[0], a[1]); err != nil {
			return err
		}
	}
	if s.Entry == "" && len(s.Seeds) == 0 {
		return settings.Invalidf("entry", "entry or seeds is required to find balancers")
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
	u, err := url.Parse(s.HostURL)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return settings.Invalidf("host_url", "%q is not a URL such as \"http://127.0.0.1:8080\"", s.HostURL)
	}
	return nil
}

func (s *Settings) checkDurations() error {
	if err := s.Warmup.CheckRange("warmup", time.Millisecond, time.Hour); err != nil {
		return err
	}
	if err := s.Timeout.CheckRange("timeout", 10*time.Millisecond, 10*time.Minute); err != nil {
		return err
	}
	if err := s.Linger.CheckRange("linger", time.Millisecond, 10*time.Minute); err != nil {
		return err
	}
	return s.DrainLimit.CheckRange("drain_limit", time.Second, 24*time.Hour)
}

func (s *Settings) setDefaults() {
	if s.Queue == 0 {
		s.Queue = defaultQueue
	}
	if s.MaxSessions == 0 {
		s.MaxSessions = defaultMaxSessions
	}
	if s.MaxBody == 0 {
		s.MaxBody = defaultMaxBody
	}
	if s.Overload == 0 {
		s.Overload = defaultOverload
	}
}
