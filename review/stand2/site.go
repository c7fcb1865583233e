package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"skylarkturn/internal/platformstand"
)

const zoneName = "dublin-docks"

// ports are the same on all machines.
type ports struct{ data, ready, control, outbound, app, inner uint16 }

// site is a small deployment on loopback addresses.
type site struct {
	dir    string
	prefix [2]byte
	ports  ports
	store  *platformstand.Store
	server *http.Server
	at     string // address of the store
	rec    *recorder
	router *router
	logs   io.Writer

	mu        sync.Mutex
	vms       []*vm
	bootstrap bool
}

// vm is a machine with its daemon and, for an agent, its host.
type vm struct {
	site    *site
	name    string
	addr    netip.Addr
	service string // of the host; empty for a balancer

	mu        sync.Mutex
	host      *host
	process   *os.Process
	exited    chan struct{}
	disturbed time.Time // last signal to the daemon, or start of it
}

func newSite(dir string, rec *recorder) (*site, error) {
	logs, err := os.Create(filepath.Join(dir, "daemons.log"))
	if err != nil {
		return nil, err
	}
	s := &site{
		dir: dir, prefix: [2]byte{byte(1 + rand.IntN(120)), byte(rand.IntN(256))},
		store: platformstand.NewStore(), rec: rec, logs: logs, bootstrap: true,
	}
	if err := s.choosePorts(); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", netip.AddrPortFrom(s.vmAddr(200), 0).String())
	if err != nil {
		return nil, err
	}
	s.at = ln.Addr().String()
	s.server = &http.Server{Handler: s.store}
	go func() { _ = s.server.Serve(ln) }()
	s.router = &router{site: s}
	go s.router.probe()
	return s, nil
}

func (s *site) vmAddr(n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.prefix[0], s.prefix[1], n})
}

func (s *site) clientAddr(n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.prefix[0] | 0x80, s.prefix[1], n})
}

// choosePorts lets the kernel choose ports that are free for TCP and UDP.
func (s *site) choosePorts() error {
	var held []io.Closer
	defer func() {
		for _, c := range held {
			_ = c.Close()
		}
	}()
	hold := func(port uint16) (uint16, error) {
		ln, err := net.Listen("tcp4", netip.AddrPortFrom(s.vmAddr(250), port).String())
		if err != nil {
			return 0, err
		}
		held = append(held, ln)
		got := ln.Addr().(*net.TCPAddr).AddrPort()
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(got))
		if err != nil {
			return 0, err
		}
		held = append(held, conn)
		return got.Port(), nil
	}
	var err error
	for _, p := range []*uint16{&s.ports.data, &s.ports.ready, &s.ports.control, &s.ports.outbound, &s.ports.app} {
		if *p, err = hold(0); err != nil {
			return err
		}
	}
	for range 50 {
		if s.ports.inner, err = hold(0); err != nil {
			continue
		}
		if _, err = hold(s.ports.inner + 1); err == nil {
			return nil
		}
	}
	return err
}

// configure writes a configuration with one route to a service.
func (s *site) configure(version int, route endpoint, service string) error {
	err := s.store.Put("config", "main", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r1", "hostname": netip.AddrFrom4(route.ip).String(), "path-prefix": fmt.Sprintf("/%d/", route.port),
			"service": service, "type": "idempotent", "timeout-ms": 3000, "latency-target-ms": 500, "priority": 1, "attempts": 2,
		}},
		"services": []map[string]any{{"name": service, "health-path": "/health"}},
		"limits":   map[string]any{"idle-timeout-ms": 15000},
	})
	s.rec.add("configuration %d is acknowledged", version)
	return err
}

// add adds a machine; service is empty for a balancer.
func (s *site) add(service string) *vm {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.vms) + 1
	v := &vm{site: s, name: fmt.Sprintf("side-%d", n), addr: s.vmAddr(byte(n)), service: service}
	if service == "" {
		v.name = fmt.Sprintf("edge-%d", n)
		s.router.add(v)
	}
	s.vms = append(s.vms, v)
	return v
}

// settings returns the settings file of the machine's daemon.
func (v *vm) settings() string {
	s := v.site
	at := func(port uint16) string { return netip.AddrPortFrom(v.addr, port).String() }
	s.mu.Lock()
	defer s.mu.Unlock()
	var seeds []string
	for _, o := range s.vms {
		if o.service == "" && len(seeds) < 3 {
			seeds = append(seeds, netip.AddrPortFrom(o.addr, s.ports.control).String())
		}
	}
	role, class, serves := "balancer", "edge", "edge,control"
	if v.service != "" {
		role, class, serves = "agent", "side", "side"
	}
	lines := []string{
		"node-name=" + v.name, "role=" + role, "machine-class=" + class, "serves=" + serves,
		"ip=" + v.addr.String(), "zone=" + zoneName, "region=leinster", "zones." + zoneName + "=leinster",
		"listen.datagram-addr=" + at(s.ports.data), "listen.readiness-addr=" + at(s.ports.ready), "listen.control=" + at(s.ports.control),
		fmt.Sprintf("port-range=%d,%d", s.ports.inner, s.ports.inner+1), "seeds=" + strings.Join(seeds, ","),
		fmt.Sprint("bootstrap=", s.bootstrap), "limits.cpu-quota=0.4", "limits.cores=1", "limits.memory-mb=284", "limits.max-fds=4100",
		"discovery=local", "entry=announce", fmt.Sprint("heartbeat-ms=", heartbeatInterval.Milliseconds()),
		"contracts=base,drain,config,cost,recover,flows,platform", "fault-tolerance.machines=2",
		"bounds.reuse-after-s=2", "bounds.stable-window-ms=4000", "bounds.ack-ms=5000", "bounds.drain-ms=3000", "bounds.grace-s=6",
		"bounds.config-ms=3000", "bounds.recover-s=12", "bounds.flow-ms=2000", "bounds.flow-max-s=60",
		"flow-hash=mod", "proxy-mode=agent", "platform.address=" + s.at, "platform.proxy-mode=objects",
		"platform.writes-per-s=400", "platform.reads-per-s=2000", "platform.history-s=20", "platform.value-bytes=1048576",
	}
	if v.service != "" {
		lines = append(lines, "listen.outbound="+at(s.ports.outbound), "app="+at(s.ports.app), "service="+v.service)
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the machine's daemon with the command of the deploy file.
func (v *vm) start() error {
	path := filepath.Join(v.site.dir, v.name+".conf")
	if err := os.WriteFile(path, []byte(v.settings()), 0o600); err != nil {
		return err
	}
	program := "target/skylark-balancer"
	if v.service != "" {
		program = "target/skylark-agent"
	}
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SKYLARKTURN_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = v.site.logs, v.site.logs
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.process, v.exited, v.disturbed = cmd.Process, exited, time.Now()
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	v.site.rec.add("daemon of %s starts", v.name)
	return nil
}

// startHost starts the machine's host.
func (v *vm) startHost() error {
	h, err := startHost(v)
	if err != nil {
		return err
	}
	v.mu.Lock()
	v.host = h
	v.mu.Unlock()
	return nil
}

// signal sends a signal to the daemon.
func (v *vm) signal(sig syscall.Signal) {
	v.site.rec.add("%v to the daemon of %s", sig, v.name)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disturbed = time.Now()
	_ = v.process.Signal(sig)
}

// inTouch reports whether a machine and all balancers have been undisturbed for the
// stable window.
func (s *site) inTouch(v *vm) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.vms {
		o.mu.Lock()
		calm := time.Since(o.disturbed) > stableWindow
		o.mu.Unlock()
		if !calm && (o == v || o.service == "") {
			return false
		}
	}
	return true
}

// waitExit waits until the daemon has exited, at most for a time.
func (v *vm) waitExit(within time.Duration) error {
	select {
	case <-v.exited:
		v.site.rec.add("daemon of %s has exited", v.name)
		return nil
	case <-time.After(within):
		return fmt.Errorf("daemon of %s still runs after %v", v.name, within)
	}
}

// close ends all daemons and hosts.
func (s *site) close() {
	s.mu.Lock()
	vms := append([]*vm{}, s.vms...)
	s.mu.Unlock()
	for _, v := range vms {
		if v.host != nil {
			v.host.end()
		}
		if v.process != nil {
			_ = v.process.Signal(syscall.SIGCONT)
			_ = v.process.Kill()
			<-v.exited
		}
	}
	_ = s.server.Close()
	s.store.Close()
}

// startFleet starts balancers and machines with hosts of a service as those of a new
// deployment, and waits until all serve.
func (s *site) startFleet(balancers, hosts int, service string) (edge, side []*vm, err error) {
	for range balancers {
		edge = append(edge, s.add(""))
	}
	for range hosts {
		side = append(side, s.add(service))
	}
	for _, v := range append(append([]*vm{}, edge...), side...) {
		err = errors.Join(err, v.start())
	}
	if err != nil {
		return nil, nil, err
	}
	time.Sleep(300 * time.Millisecond)
	for _, v := range side {
		err = errors.Join(err, v.startHost())
	}
	if err != nil {
		return nil, nil, err
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ok := s.router.ready() == balancers
		for _, v := range side {
			ok = ok && v.host.acknowledged() > 0
		}
		if ok {
			break
		}
		if time.Now().After(end) {
			return nil, nil, errors.New("the deployment is not ready")
		}
	}
	s.mu.Lock()
	s.bootstrap = false
	s.mu.Unlock()
	return edge, side, nil
}
