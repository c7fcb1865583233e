package main

import (
	"context"
	"errors"
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

	"skylarkturn/internal/packet"
)

const zone = "jkt-cakung"

// site is a small deployment on loopback addresses.
type site struct {
	rec    *record
	store  *store
	server *httptest.Server
	http   *http.Client
	dir    string // settings files and logs
	log    io.WriteCloser
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	ports  ports
	prefix [2]byte // second and third byte of the VMs' addresses
	held   []io.Closer

	mu        sync.Mutex
	vms       []*vm
	bootstrap bool
	version   int
	allowed   map[packet.Endpoint][]string // services that a route may lead to
	opened    map[packet.Key]*host         // hosts of open flows
	sent      map[string]time.Time         // when requests were made, by id
	answered  map[string]bool              // ids of requests with an answer
	run       map[string]int               // runs by request
	broken    map[string]int               // by rule
	onReset   func(packet.Key, *host)      // called for a reset of the system on an open flow
	noService bool                         // settings leave the key service empty
}

// ports are the same on all VMs.
type ports struct{ packets, ready, control, outbound, app, inner uint16 }

// vm is a VM with its daemon.
type vm struct {
	site    *site
	name    string
	addr    netip.Addr
	service string // of the host; empty for a balancer
	cmd     *exec.Cmd
	exited  chan struct{}
	started time.Time
	misses  int // readiness probes missed in a row
	ready   bool
}

func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "daemons.log"))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{
		rec: rec, store: newStore(), dir: dir, log: log, ctx: ctx, cancel: cancel, bootstrap: true,
		http:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		prefix: [2]byte{byte(1 + rand.IntN(100)), byte(rand.IntN(250))}, allowed: make(map[packet.Endpoint][]string),
		opened: make(map[packet.Key]*host), sent: make(map[string]time.Time), answered: make(map[string]bool), run: make(map[string]int), broken: make(map[string]int),
		onReset: func(packet.Key, *host) {},
	}
	s.server = httptest.NewServer(s.store)
	for _, p := range []*uint16{&s.ports.packets, &s.ports.ready, &s.ports.control, &s.ports.outbound, &s.ports.app} {
		if *p, err = s.reserve(0); err != nil {
			return s, err
		}
	}
	for range 100 {
		if s.ports.inner, err = s.reserve(0); err != nil {
			continue
		}
		if _, err = s.reserve(s.ports.inner + 1); err == nil {
			return s, nil
		}
	}
	return s, err
}

// reserve reserves a port for UDP and TCP on an address that no VM has.
func (s *site) reserve(port uint16) (uint16, error) {
	at := netip.AddrPortFrom(s.vmAddr(250), port)
	ln, err := net.Listen("tcp4", at.String())
	if err != nil {
		return 0, err
	}
	s.held = append(s.held, ln)
	got := ln.Addr().(*net.TCPAddr).AddrPort()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(got))
	if err != nil {
		return 0, err
	}
	s.held = append(s.held, conn)
	return got.Port(), nil
}

func (s *site) vmAddr(n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.prefix[0], s.prefix[1], n + 1})
}

func (s *site) clientAddr(n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.prefix[0] + 100, s.prefix[1], n + 1})
}

// routeAddr returns the address of a route by its number.
func routeAddr(n int) packet.Endpoint { return packet.Endpoint{IP: 0xc6120001, Port: uint16(8000 + n)} }

// configure writes a configuration in which each route, by number, leads to a service.
func (s *site) configure(services ...string) error {
	s.mu.Lock()
	s.version += 1 + rand.IntN(3)
	var routes []map[string]any
	for i, service := range services {
		at := routeAddr(i)
		s.allowed[at] = append(s.allowed[at], service)
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("r", i), "hostname": at.Addr().String(), "path-prefix": fmt.Sprintf("/%d/", at.Port), "service": service,
			"type": "idempotent", "timeout-ms": 1500, "latency-target-ms": 150, "priority": 2,
		})
	}
	spec := map[string]any{
		"version": s.version, "limits": map[string]int{"idle-timeout-ms": 15000}, "routes": routes,
		"services": []map[string]any{{"name": "bookdesk", "health-path": "/healthz"}, {"name": "kitdocs", "health-path": "/healthz"}},
	}
	version := s.version
	s.mu.Unlock()
	if err := s.store.write("config", "main", spec); err != nil {
		return err
	}
	s.rec.printf("configuration %d: routes lead to %v", version, services)
	return nil
}

// addVM adds a VM with a balancer, or with an agent for a host of a service.
func (s *site) addVM(service string) *vm {
	s.mu.Lock()
	defer s.mu.Unlock()
	role := "edge"
	if service != "" {
		role = "side"
	}
	v := &vm{site: s, name: fmt.Sprintf("%s-%s-%d", role, zone, len(s.vms)+1), addr: s.vmAddr(byte(len(s.vms))), service: service}
	s.vms = append(s.vms, v)
	return v
}

// writeSettings writes the settings file as the platform does, whole.
func (v *vm) writeSettings() error {
	s, p := v.site, v.site.ports
	at := func(port uint16) string { return netip.AddrPortFrom(v.addr, port).String() }
	s.mu.Lock()
	var seeds []string
	for _, o := range s.vms {
		if o.service == "" && len(seeds) < 3 {
			seeds = append(seeds, netip.AddrPortFrom(o.addr, p.control).String())
		}
	}
	lines := []string{
		"node-name=" + v.name, "zone=" + zone, "region=jkt", "zones." + zone + "=jkt", "ip=" + v.addr.String(),
		"listen.datagram-addr=" + at(p.packets), "listen.readiness-addr=" + at(p.ready), "listen.control=" + at(p.control),
		fmt.Sprintf("port-range=%d,%d", p.inner, p.inner+15), "seeds=" + strings.Join(seeds, ","), fmt.Sprint("bootstrap=", s.bootstrap),
		"limits.memory-mb=284", "limits.max-fds=4100", "discovery=local", "entry=announce", "heartbeat-ms=1200",
		"bounds.reuse-after-s=2", "bounds.stable-window-ms=4000", "bounds.drain-ms=3000", "bounds.grace-s=6", "bounds.config-ms=3000",
		"flow-hash=mod", "proxy-mode=agent", "platform.address=" + strings.TrimPrefix(s.server.URL, "http://"),
		"platform.proxy-mode=objects", "platform.writes-per-s=400", "platform.reads-per-s=2000", "platform.history-s=20", "platform.value-bytes=1048576",
	}
	s.mu.Unlock()
	if v.service != "" {
		lines = append(lines, "machine-class=side", "serves=side", "listen.outbound="+at(p.outbound), "app="+at(p.app))
		if s.noService {
			lines = append(lines, "service=")
		} else {
			lines = append(lines, "service="+v.service)
		}
	} else {
		lines = append(lines, "machine-class=edge", "serves=edge,control")
	}
	path := v.settingsPath()
	if err := os.WriteFile(path+".new", []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func (v *vm) settingsPath() string { return filepath.Join(v.site.dir, v.name+".conf") }

// start starts the VM's daemon with the command of the deploy file.
func (v *vm) start() error {
	if err := v.writeSettings(); err != nil {
		return err
	}
	program := "target/skylark-balancer"
	if v.service != "" {
		program = "target/skylark-agent"
	}
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SKYLARKTURN_CONFIG=" + v.settingsPath()}
	cmd.Stdout, cmd.Stderr = v.site.log, v.site.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.cmd, v.exited, v.started = cmd, exited, time.Now()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	v.site.rec.printf("%s starts at %v", v.name, v.addr)
	return nil
}

// signal sends a signal to the daemon.
func (v *vm) signal(sig syscall.Signal) {
	v.site.rec.printf("%s gets the signal %q", v.name, sig)
	_ = v.cmd.Process.Signal(sig) // it may have ended
}

// probe probes the readiness of the balancers twice a second, as the routers do.
func (s *site) probe() {
	for s.ctx.Err() == nil {
		for _, v := range s.balancers() {
			ok := s.isReady(v)
			s.mu.Lock()
			v.misses++
			if ok {
				v.misses = 0
			}
			v.ready = v.misses < 2 && (v.ready || ok)
			s.mu.Unlock()
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (s *site) balancers() []*vm {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.vms), func(v *vm) bool { return v.service != "" })
}

func (s *site) isReady(v *vm) bool {
	ctx, cancel := context.WithTimeout(s.ctx, 400*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%v/-/readyz", netip.AddrPortFrom(v.addr, s.ports.ready)), nil)
	if err != nil {
		return false
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until n balancers are in rotation.
func (s *site) waitReady(n int) error {
	for range 200 {
		s.mu.Lock()
		ready := 0
		for _, v := range s.vms {
			if v.ready {
				ready++
			}
		}
		s.mu.Unlock()
		if ready >= n {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("balancers are not ready")
}

// route sends a client's packet to a balancer in rotation, chosen by the hash of the flow.
func (s *site) route(conn *net.UDPConn, k packet.Key, b []byte) {
	s.mu.Lock()
	var all, in []netip.Addr
	for _, v := range s.vms {
		if v.service != "" {
			continue
		}
		all = append(all, v.addr)
		if v.ready {
			in = append(in, v.addr)
		}
	}
	s.mu.Unlock()
	if 2*len(in) < len(all) {
		in = all
	}
	to := in[k.Hash()>>7%uint64(len(in))]
	_, _ = conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(to, s.ports.packets))
}

// close ends all processes and simulations.
func (s *site) close() {
	s.cancel()
	for _, v := range s.vms {
		if v.cmd != nil {
			_ = v.cmd.Process.Kill()
			<-v.exited
		}
	}
	s.store.close()
	s.server.CloseClientConnections()
	s.server.Close()
	for _, c := range s.held {
		_ = c.Close()
	}
	_ = s.log.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("daemons' logs:", s.dir)
	}
}

// fail records that a rule was broken.
func (s *site) fail(rule, format string, args ...any) {
	s.mu.Lock()
	s.broken[rule]++
	s.mu.Unlock()
	s.rec.printf("BROKEN "+rule+": "+format, args...)
}

// flowOpened records the host that a flow has opened at.
func (s *site) flowOpened(k packet.Key, h *host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened[k] = h
}

// flowReset records that a client has got a reset of an open flow.
func (s *site) flowReset(k packet.Key, own bool) {
	s.mu.Lock()
	h, onReset := s.opened[k], s.onReset
	s.mu.Unlock()
	s.rec.printf("flow %v is reset, by the system: %v", k, own)
	if own {
		onReset(k, h)
	}
}

// requestMade records that a client is to send a request.
func (s *site) requestMade(id string) {
	s.rec.printf("request %s is made", id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[id] = time.Now()
}

// requestAnswered records that a client has got the answer to a request.
func (s *site) requestAnswered(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered[id] = true
}

// served returns how many of the requests made in an interval were answered, and how many
// there were.
func (s *site) served(from, to time.Time) (served, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.sent {
		if at.Before(from) || at.After(to) {
			continue
		}
		all++
		if s.answered[id] {
			served++
		}
	}
	return served, all
}

// requestRun records that a host begins to work on a request, and judges ROUTE and UNASKED.
func (s *site) requestRun(id string, k packet.Key, h *host) {
	s.mu.Lock()
	_, asked := s.sent[id]
	allowed := slices.Contains(s.allowed[k.Route], h.service)
	s.run[id]++
	s.mu.Unlock()
	s.rec.printf("request %s to route %v runs at host %s of %s", id, k.Route.AddrPort(), h.id, h.service)
	if !asked {
		s.fail("UNASKED", "request %s was not sent by a client", id)
	}
	if !allowed {
		s.fail("ROUTE", "request %s to route %v was run by service %s, to which no configuration lets it go", id, k.Route.AddrPort(), h.service)
	}
}

// count returns how often a rule was broken.
func (s *site) count(rule string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken[rule]
}
