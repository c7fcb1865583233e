package platformstand

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"skylarkturn/internal/ops"
	"skylarkturn/internal/packet"
	"skylarkturn/platform"
)

// Site is a deployment on loopback: daemons as processes, each with a loopback
// address as its VM, and simulations of everything around them.
type Site struct {
	Store   *Store
	Checker *Checker

	bin, dir    string
	log         io.Writer
	ports       ports
	reserved    []io.Closer // sockets that keep the ports reserved
	storeServer *httptest.Server
	storeProxy  *proxy // between the daemons and the store
	fabric      *fabric
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	rand        *rand.Rand

	mu            sync.Mutex
	vms           []*VM
	addrPrefix    [2]byte // second and third byte of the VMs' addresses
	nextVM        byte
	configVersion int
	activeRoutes  []packet.Endpoint // that clients use
	allow         map[packet.Endpoint][]string
	bootstrap     bool // daemons start as those of a new deployment
	withoutSeeds  bool // daemons find each other only in the store

	longPauses float64 // as in client
}

// ports are the ports of daemons and hosts, the same on every VM.
type ports struct {
	packets  uint16 // UDP packets from clients to balancers and from daemons to clients
	ready    uint16 // readiness checks of a balancer
	control  uint16 // an agent's API for its host
	outbound uint16 // UDP packets from a host to its agent
	app      uint16 // the host: UDP packets, and TCP connections that check that it listens
	inner    uint16 // messages between daemons; the next port serves metrics and debug pages
}

// VM is a VM with its daemon and, if that is an agent, its host.
type VM struct {
	Name string
	Addr netip.Addr
	Host *Host

	site    *Site
	mu      sync.Mutex
	service string // of the host; "" for a balancer
	process *os.Process
	exited  chan struct{}
	removed bool // stopped for good
}

// Options configures a Site.
type Options struct {
	Bin  string    // directory of the built programs
	Dir  string    // directory for the daemons' settings files
	Log  io.Writer // receives the daemons' output
	Seed uint64    // of the random choices
}

// NewSite returns a site without daemons.
func NewSite(o Options) (*Site, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Site{
		Store: NewStore(), Checker: NewChecker(DefaultBounds), bin: o.Bin, dir: o.Dir, log: o.Log,
		ctx: ctx, cancel: cancel, rand: rand.New(rand.NewPCG(o.Seed, o.Seed)), bootstrap: true,
		addrPrefix: [2]byte{byte(64 + os.Getpid()%128), byte(rand.IntN(256))}, allow: make(map[packet.Endpoint][]string),
	}
	err := s.reservePorts()
	if err == nil {
		s.fabric, err = newFabric(s.ports.packets, s.ports.ready)
	}
	if err != nil {
		s.releasePorts()
		cancel()
		return nil, err
	}
	s.storeServer = httptest.NewServer(s.Store)
	if s.storeProxy, err = newProxy(s.storeServer.Listener.Addr().String(), rand.New(rand.NewPCG(o.Seed, 2))); err != nil {
		s.storeServer.Close()
		_ = s.fabric.conn.Close() // nothing was sent
		s.releasePorts()
		cancel()
		return nil, err
	}
	s.wg.Go(func() { s.fabric.probeLoop(ctx) })
	return s, nil
}

// reservedVM is the number of an address that no VM gets. The site keeps sockets open
// on its ports there, so that the kernel assigns none of them to a socket of another
// program or test that listens on all addresses.
const reservedVM = 253

// maxReserveAttempts bounds the attempts to find a port that is free for both TCP and
// UDP, or two such ports in a row.
const maxReserveAttempts = 100

// reservePorts has the kernel choose the ports, which are the same on all VMs. They
// are free on the VMs' addresses because processes use different addresses.
func (s *Site) reservePorts() error {
	var err error
	for _, port := range []*uint16{&s.ports.packets, &s.ports.ready, &s.ports.control, &s.ports.outbound, &s.ports.app} {
		if *port, err = s.reserveFreePort(); err != nil {
			return err
		}
	}
	for range maxReserveAttempts {
		if s.ports.inner, err = s.reserveFreePort(); err != nil {
			return err
		}
		if _, err = s.reservePort(s.ports.inner + 1); err == nil {
			return nil
		}
	}
	return err
}

// reserveFreePort reserves a port that is free for both UDP and TCP.
func (s *Site) reserveFreePort() (port uint16, err error) {
	for range maxReserveAttempts {
		if port, err = s.reservePort(0); err == nil {
			return port, nil
		}
	}
	return 0, err
}

// reservePort reserves a port for UDP and TCP until the site is closed; 0 stands for
// any port.
func (s *Site) reservePort(port uint16) (uint16, error) {
	addr := netip.AddrPortFrom(s.vmAddr(reservedVM), port)
	ln, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return 0, &Error{"reserve port", KindNetwork, err}
	}
	s.reserved = append(s.reserved, ln)
	chosen := ln.Addr().(*net.TCPAddr).AddrPort()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(chosen))
	if err != nil {
		return 0, &Error{"reserve port", KindNetwork, err}
	}
	s.reserved = append(s.reserved, conn)
	return chosen.Port(), nil
}

// releasePorts releases the reserved ports.
func (s *Site) releasePorts() {
	for _, c := range s.reserved {
		_ = c.Close() // nothing was sent
	}
}

// vmAddr returns the address of the VM with a number.
func (s *Site) vmAddr(n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.addrPrefix[0], s.addrPrefix[1], n + 1})
}

// clientAddr returns the address of the client with a number.
func (s *Site) clientAddr(n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.addrPrefix[0] ^ 0x80, s.addrPrefix[1], n + 1})
}

// Configure writes a configuration that maps each route to a service. Clients use the
// active routes.
func (s *Site) Configure(routes map[string]string, active ...string) error {
	s.mu.Lock()
	s.configVersion += 1 + s.rand.IntN(3)
	spec := map[string]any{"version": s.configVersion, "limits": map[string]int{"idle-timeout-ms": 15000}}
	allow := make(map[packet.Endpoint][]string)
	var list []map[string]any
	var endpoints []packet.Endpoint
	for name, service := range routes {
		at := routeEndpoint(name)
		list = append(list, map[string]any{
			"name": name, "hostname": at.Addr().String(), "path-prefix": fmt.Sprintf("/%d/", at.Port), "service": service,
		})
		allow[at] = []string{service}
		if slices.Contains(active, name) {
			endpoints = append(endpoints, at)
		}
	}
	spec["routes"] = list
	s.activeRoutes = endpoints
	s.mu.Unlock()
	if err := s.Store.Put("config", "main", spec); err != nil {
		return err
	}
	s.Checker.AddConfig(allow)
	return nil
}

// routeEndpoint returns the endpoint of a route, named r0 to r9.
func routeEndpoint(name string) packet.Endpoint {
	return packet.Endpoint{IP: 0xc6120001, Port: 8000 + uint16(name[1])}
}

// routes returns the routes that clients use.
func (s *Site) routes() []packet.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeRoutes
}

// AddBalancer starts a balancer on a new VM.
func (s *Site) AddBalancer() (*VM, error) {
	v := s.newVM("edge", "")
	s.fabric.add(v.Addr)
	return v, v.Start()
}

// AddHost starts an agent and a host of a service on a new VM.
func (s *Site) AddHost(service string) (*VM, error) {
	v := s.newVM("side", service)
	if err := v.Start(); err != nil {
		return v, err
	}
	return v, v.StartHost()
}

// newVM registers a VM with the next address.
func (s *Site) newVM(role, service string) *VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &VM{Name: fmt.Sprintf("%s-%d", role, s.nextVM), Addr: s.vmAddr(s.nextVM), service: service, site: s}
	s.nextVM++
	s.vms = append(s.vms, v)
	return v
}

// VMs returns the VMs of balancers, or those of hosts, that have not been stopped
// for good, oldest first.
func (s *Site) VMs(balancers bool) (vms []*VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.vms {
		if v.isBalancer() == balancers && !v.isRemoved() {
			vms = append(vms, v)
		}
	}
	return vms
}

// EndBootstrap ends the bootstrap: daemons started from now on join a running
// deployment.
func (s *Site) EndBootstrap() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootstrap = false
}

// StartClients starts n clients, which send requests until the site is closed.
func (s *Site) StartClients(n int) error {
	for i := range n {
		at := netip.AddrPortFrom(s.clientAddr(byte(i)), s.ports.packets)
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
		if err != nil {
			return &Error{"start client", KindNetwork, err}
		}
		c := &client{
			name: fmt.Sprint("user-", i), conn: conn, fabric: s.fabric, checker: s.Checker, routes: s.routes,
			rand: rand.New(rand.NewPCG(s.rand.Uint64(), uint64(i))), longPauses: s.longPauses,
		}
		s.wg.Go(func() {
			c.run(s.ctx)
			_ = conn.Close() // late packets may be lost
		})
	}
	return nil
}

// WaitReady waits until n balancers are in rotation.
func (s *Site) WaitReady(n int, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s.fabric.readyCount() >= n {
			return nil
		}
	}
	return &Error{"wait for balancers", KindProcess, fmt.Errorf("%d of %d balancers are ready after %v", s.fabric.readyCount(), n, within)}
}

// SetLoss makes the fabric drop a share of the clients' packets to balancers.
func (s *Site) SetLoss(share float64) { s.fabric.setLoss(share) }

// SetStoreFault injects a network fault into a share of the open and new connections
// to the store; NoFault ends it.
func (s *Site) SetStoreFault(f Fault, share float64) { s.storeProxy.setFault(f, share) }

// Close stops clients, hosts and daemons.
func (s *Site) Close() {
	s.cancel()
	s.mu.Lock()
	vms := append([]*VM{}, s.vms...)
	s.mu.Unlock()
	for _, v := range vms {
		v.Remove()
	}
	s.wg.Wait()
	s.storeProxy.close()
	s.Store.Close()
	s.storeServer.CloseClientConnections()
	s.storeServer.Close()
	_ = s.fabric.conn.Close() // the clients have stopped
	s.releasePorts()
	http.DefaultClient.CloseIdleConnections()
}

// settings returns the content of the daemon's settings file.
func (v *VM) settings() string {
	s, p := v.site, v.site.ports
	at := func(port uint16) string { return netip.AddrPortFrom(v.Addr, port).String() }
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := []string{
		"node-name=" + v.Name, "zone=" + zone, "ip=" + v.Addr.String(),
		"listen.datagram-addr=" + at(p.packets), "listen.readiness-addr=" + at(p.ready), "listen.control=" + at(p.control),
		fmt.Sprintf("port-range=%d,%d", p.inner, p.inner+1),
		fmt.Sprint("bootstrap=", s.bootstrap), "bounds.grace-s=6",
		fmt.Sprintf("bounds.reuse-after-s=%g", reuseDelay.Seconds()), fmt.Sprintf("heartbeat-ms=%d", heartbeatInterval.Milliseconds()),
		"platform.address=" + s.storeProxy.addr(),
	}
	if !s.withoutSeeds {
		lines = append(lines, fmt.Sprintf("seeds=%v:%d,%v:%d", s.vmAddr(0), p.control, s.vmAddr(1), p.control))
	}
	if !v.isBalancer() {
		lines = append(lines, "listen.outbound="+at(p.outbound), "app="+at(p.app), "service="+v.Service())
	}
	return strings.Join(lines, "\n") + "\n"
}

// isBalancer reports whether the VM has a balancer, and no host.
func (v *VM) isBalancer() bool { return v.Service() == "" }

// Service returns the service of the VM's host, or "" for a balancer.
func (v *VM) Service() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.service
}

// settingsPath returns the path of the daemon's settings file.
func (v *VM) settingsPath() string { return filepath.Join(v.site.dir, v.Name+".conf") }

// writeSettings replaces the daemon's settings file.
func (v *VM) writeSettings() error {
	next := v.settingsPath() + ".new"
	err := os.WriteFile(next, []byte(v.settings()), 0o600)
	if err == nil {
		err = os.Rename(next, v.settingsPath())
	}
	if err != nil {
		return &Error{"write settings of " + v.Name, KindProcess, err}
	}
	return nil
}

// Start starts the VM's daemon.
func (v *VM) Start() error {
	if err := v.writeSettings(); err != nil {
		return err
	}
	program := "skylark-agent"
	if v.isBalancer() {
		program = "skylark-balancer"
	}
	cmd := exec.Command(filepath.Join(v.site.bin, program))
	cmd.Env = append(os.Environ(), platform.SettingsEnvVar+"="+v.settingsPath())
	cmd.Stdout, cmd.Stderr = v.site.log, v.site.log
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.removed {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return &Error{"start " + v.Name, KindProcess, err}
	}
	exited := make(chan struct{})
	v.process, v.exited = cmd.Process, exited
	go func() {
		defer close(exited)
		_ = cmd.Wait() // the daemon logs why it exits
	}()
	return nil
}

// StartHost starts the VM's host.
func (v *VM) StartHost() error {
	p := v.site.ports
	h, err := startHost(v.Addr, v.Service(), p.app, p.outbound, p.control, v.site.Checker)
	if err != nil {
		return err
	}
	v.mu.Lock()
	v.Host = h
	v.mu.Unlock()
	return nil
}

// currentHost returns the VM's host, or nil if none has started.
func (v *VM) currentHost() *Host {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.Host
}

// isRemoved reports whether the VM was stopped for good.
func (v *VM) isRemoved() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.removed
}

// signal sends a signal to the daemon.
func (v *VM) signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Signal(sig) // it may have exited
	}
}

// metricsAddr returns the address of the daemon's metrics.
func (v *VM) metricsAddr() netip.AddrPort {
	return ops.AddrOf(netip.AddrPortFrom(v.Addr, v.site.ports.inner))
}

// Kill sends the daemon SIGKILL and waits until it has exited.
func (v *VM) Kill() {
	v.markDisrupted(0)
	v.signal(syscall.SIGKILL)
	v.waitExit()
}

// Stop sends the daemon SIGTERM and waits until it has exited.
func (v *VM) Stop() {
	v.markDisrupted(0)
	v.signal(syscall.SIGTERM)
	v.waitExit()
}

// Freeze suspends the daemon for a time with SIGSTOP and SIGCONT.
func (v *VM) Freeze(d time.Duration) {
	v.markDisrupted(d)
	v.signal(syscall.SIGSTOP)
	time.Sleep(d)
	v.signal(syscall.SIGCONT)
	v.markDisrupted(0)
}

// Reload sends the daemon SIGHUP, on which it reloads its settings.
func (v *VM) Reload() { v.signal(syscall.SIGHUP) }

// Restart starts the daemon again after a pause.
func (v *VM) Restart(pause time.Duration) error {
	time.Sleep(pause)
	err := v.Start()
	v.markDisrupted(0)
	return err
}

// reuseDelay is the time from the end of a host until one of another service has its address.
const reuseDelay = 2 * time.Second

// Reassign has the host fall silent for good, and gives its address to a host of another
// service. The settings name the service some time after that has started.
func (v *VM) Reassign(service string, settingsDelay time.Duration) error {
	old := v.currentHost()
	old.FallSilent()
	time.Sleep(reuseDelay)
	old.Crash()
	v.mu.Lock()
	v.service = service
	v.mu.Unlock()
	if err := v.StartHost(); err != nil {
		return err
	}
	time.Sleep(settingsDelay)
	return v.writeSettings()
}

// Remove crashes the host and kills the daemon for good.
func (v *VM) Remove() {
	v.mu.Lock()
	v.removed = true
	v.mu.Unlock()
	if h := v.currentHost(); h != nil {
		h.Crash()
	}
	v.Kill()
}

// DrainAndStop drains and stops the host, and then stops the daemon for good.
func (v *VM) DrainAndStop(drain time.Duration) {
	v.mu.Lock()
	v.removed = true
	v.mu.Unlock()
	if h := v.currentHost(); h != nil {
		h.Shutdown(drain)
	}
	v.Stop()
}

// waitExit waits until the daemon has exited.
func (v *VM) waitExit() {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// markDisrupted records that the VM is disrupted for a time from now.
func (v *VM) markDisrupted(d time.Duration) { v.site.Checker.MarkDisrupted(v.Addr, time.Now().Add(d)) }
