package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sync/errgroup"

	"skylarkturn/caller"
	"skylarkturn/internal/agent"
	"skylarkturn/internal/balancer"
	"skylarkturn/internal/settings"
)

// ServiceOptions describes a service of a deployment.
type ServiceOptions struct {
	Tenant      string
	Name        string
	Number      uint16
	Hosts       int           // number of hosts, each with an agent
	Slots       int           // requests that a host serves at a time
	RequestTime time.Duration // time that a request takes in a slot
	ColdPeriod  time.Duration // period after a host's start during which requests take twice as long
}

// Options describes a deployment.
type Options struct {
	Dir       string // receives certificates and settings
	Bin       string // directory of the built programs; empty runs the daemons in this process
	Seed      uint64 // of the random choices of the fabric and the load
	Zones     []string
	Balancers int
	Services  []ServiceOptions
	Warmup    time.Duration // of agents; zero starts them warmed up
	Linger    time.Duration // of agents, see agent.Settings
	LogLevel  string
	LogWriter *os.File // standard error of processes; nil discards it
}

// Deployment is a running system on loopback: balancers, agents and the simulated
// systems around them.
type Deployment struct {
	opt       Options
	Authority *Authority
	Platform  *Platform
	Fabric    *Fabric
	Journal   *Journal
	Feeds     map[string]*FeedLog // by service

	group  *errgroup.Group
	ctx    context.Context
	cancel context.CancelFunc

	mu            sync.Mutex         // guards the fields below
	hosts         map[string]*Host   // by target
	agents        map[string]*Daemon // by target, the one started last
	balancers     map[string]*Daemon // by name
	allDaemons    []*Daemon          // ever started
	balancerCount int                // number of balancers ever started, used in their names
}

// NewDeployment starts the platform, the fabric, hosts, agents and balancers.
func NewDeployment(ctx context.Context, opt Options) (*Deployment, error) {
	d := &Deployment{
		opt:       opt,
		Journal:   NewJournal(),
		Feeds:     make(map[string]*FeedLog),
		hosts:     make(map[string]*Host),
		agents:    make(map[string]*Daemon),
		balancers: make(map[string]*Daemon),
	}
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.group, d.ctx = errgroup.WithContext(run)
	d.cancel = cancel
	if err := d.start(); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

func (d *Deployment) start() (err error) {
	if d.Authority, err = NewAuthority(d.opt.Dir); err != nil {
		return err
	}
	if d.Platform, err = NewPlatform(); err != nil {
		return err
	}
	var names []string
	for _, s := range d.opt.Services {
		names = append(names, s.Name)
		d.Feeds[s.Name] = NewFeedLog()
	}
	if d.Fabric, err = NewFabric(d.opt.Seed, names...); err != nil {
		return err
	}
	d.group.Go(func() error { return d.Platform.Run(d.ctx) })
	d.group.Go(func() error { return d.Fabric.Run(d.ctx) })
	for range d.opt.Balancers {
		if _, err := d.AddBalancer(); err != nil {
			return err
		}
	}
	for _, s := range d.opt.Services {
		for i := range s.Hosts {
			if _, err := d.AddTarget(s, i+1); err != nil {
				return err
			}
		}
	}
	return nil
}

// Close kills all daemons and stops the simulated systems.
func (d *Deployment) Close() error {
	var errs []error
	for _, m := range d.daemons() {
		errs = append(errs, m.Kill())
	}
	d.cancel()
	errs = append(errs, d.group.Wait())
	return errors.Join(errs...)
}

// daemons returns all daemons ever started, including replaced ones.
func (d *Deployment) daemons() []*Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Daemon(nil), d.allDaemons...)
}

func (d *Deployment) zone(i int) string { return d.opt.Zones[i%len(d.opt.Zones)] }

// AddBalancer starts another balancer and adds it to the fabric.
func (d *Deployment) AddBalancer() (*Daemon, error) {
	d.mu.Lock()
	d.balancerCount++
	n := d.balancerCount
	d.mu.Unlock()
	cfg := balancer.Settings{
		Name:        fmt.Sprintf("balancer-%d", n),
		Zone:        d.zone(n),
		Inner:       "127.0.0.1:0",
		Admin:       "127.0.0.1:0",
		Ops:         "127.0.0.1:0",
		Entry:       d.Fabric.Entry(),
		Platform:    d.Platform.URL(),
		Credentials: d.Authority.Files(),
		Log:         settings.Log{Level: d.opt.LogLevel},
	}
	for _, s := range d.opt.Services {
		cfg.Listen = append(cfg.Listen, balancer.ListenAddress{Service: s.Name, Number: s.Number, Address: "127.0.0.1:0"})
	}
	m, err := d.startBalancer(cfg)
	if err != nil {
		return nil, err
	}
	b, err := m.backend(cfg)
	if err != nil {
		return nil, err
	}
	d.Fabric.Add(b)
	d.mu.Lock()
	d.balancers[cfg.Name] = m
	d.allDaemons = append(d.allDaemons, m)
	d.mu.Unlock()
	return m, nil
}

// AddTarget starts the i-th host of a service and its agent.
func (d *Deployment) AddTarget(s ServiceOptions, i int) (*Daemon, error) {
	name := fmt.Sprintf("%s-%d", s.Name, i)
	h, err := NewHost(HostOptions{
		Name: name, Service: s.Name, Slots: s.Slots, RequestTime: s.RequestTime, Journal: d.Journal, Feed: d.Feeds[s.Name], ColdPeriod: s.ColdPeriod,
	})
	if err != nil {
		return nil, err
	}
	d.group.Go(func() error { return h.Run(d.ctx) })
	d.mu.Lock()
	d.hosts[name] = h
	d.mu.Unlock()
	return d.StartAgent(s, name, d.zone(i))
}

// StartAgent starts an agent for an existing host.
func (d *Deployment) StartAgent(s ServiceOptions, name, zone string) (*Daemon, error) {
	return d.StartAgentAt("127.0.0.1:0", s, name, zone)
}

// StartAgentAt starts an agent for an existing host, with the given inner address.
func (d *Deployment) StartAgentAt(inner string, s ServiceOptions, name, zone string) (*Daemon, error) {
	warmup := d.opt.Warmup
	if warmup == 0 {
		warmup = time.Millisecond
	}
	cfg := agent.Settings{
		Name:        name,
		Host:        "vm-" + name,
		Zone:        zone,
		Tenant:      s.Tenant,
		Service:     s.Name,
		Number:      s.Number,
		Inner:       inner,
		Ops:         "127.0.0.1:0",
		Entry:       d.Fabric.Entry(),
		HostURL:     d.Host(name).URL(),
		Slots:       s.Slots,
		Warmup:      settings.Duration(warmup),
		Linger:      settings.Duration(d.opt.Linger),
		Credentials: d.Authority.Files(),
		Log:         settings.Log{Level: d.opt.LogLevel},
	}
	m, err := d.startAgent(cfg)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.agents[name] = m
	d.allDaemons = append(d.allDaemons, m)
	d.mu.Unlock()
	return m, nil
}

// Host returns the host with the name.
func (d *Deployment) Host(name string) *Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hosts[name]
}

// Agent returns the most recently started agent of a target.
func (d *Deployment) Agent(name string) *Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.agents[name]
}

// Balancers returns the running balancers, by name.
func (d *Deployment) Balancers() map[string]*Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	running := make(map[string]*Daemon)
	for name, m := range d.balancers {
		if m.Running() {
			running[name] = m
		}
	}
	return running
}

// Dial opens a session with a service.
func (d *Deployment) Dial(ctx context.Context, service string, opts ...caller.Option) (*caller.Session, error) {
	opts = append([]caller.Option{caller.WithTLS(d.Authority.CallerTLS())}, opts...)
	return caller.Dial(ctx, d.Fabric.Address(service), opts...)
}

func (d *Deployment) writeSettings(name string, cfg any) (string, error) {
	var buf bytes.Buffer
	if err := toml.NewEncoder(&buf).Encode(cfg); err != nil {
		return "", &Error{"write settings", KindFiles, err}
	}
	path := filepath.Join(d.opt.Dir, name+".toml")
	if err := os.WriteFile(path, buf.Bytes(), 0o600); err != nil {
		return "", &Error{"write settings", KindFiles, err}
	}
	return path, nil
}
