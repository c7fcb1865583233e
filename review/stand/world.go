package main

import (
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
	"strings"
	"sync"
	"syscall"
	"time"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/platformstand"
)

// Settings of the deployment, as in the settings file of a small site in DEPLOY.md.
const (
	heartbeatInterval = 1200 * time.Millisecond
	graceSeconds      = 6
	idleTimeout       = 15 * time.Second
	storeDelay        = 4 * time.Millisecond // of an answer of the store, on average
)

// ports are the same on all machines.
type ports struct{ datagram, ready, control, outbound, app, inner uint16 }

// world is a deployment with its stand-ins.
type world struct {
	label    string // of its lines in the record, where a case plays several
	trouble  bool   // false leaves out the disruption
	start    time.Time
	dir      string // temporary folder
	store    *platformstand.Store
	storeSrv *httptest.Server
	proxy    *proxy // between the daemons and the store
	ports    ports
	prefix   [2]byte

	mu        sync.Mutex
	record    io.Writer
	daemons   []*daemon
	hosts     []*host
	clients   []*client
	reserved  []io.Closer
	closed    bool
	bootstrap bool
}

func newWorld(label string, record io.Writer, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		label: label, trouble: trouble, start: time.Now(), dir: dir, record: record, store: platformstand.NewStore(), bootstrap: true,
		prefix: [2]byte{byte(32 + rand.IntN(90)), byte(rand.IntN(250))},
	}
	if err := w.reservePorts(); err != nil {
		return nil, err
	}
	w.storeSrv = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay/2 + rand.N(storeDelay))
		w.store.ServeHTTP(rw, r)
	}))
	if w.proxy, err = newProxy(w.storeSrv.Listener.Addr().String()); err != nil {
		return nil, err
	}
	go w.probe()
	w.logf("disruption: %v; store at %s", trouble, w.storeSrv.Listener.Addr().String())
	return w, nil
}

// reservePorts picks free ports. It keeps sockets on them at an address that no machine
// has, so that the kernel gives them to nobody else.
func (w *world) reservePorts() error {
	for range 50 {
		p := uint16(20000 + rand.IntN(12000))
		free := true
		for i := range uint16(8) {
			addr := net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.addr(250), p+i))
			u, err := net.ListenUDP("udp4", addr)
			if err != nil {
				free = false
				break
			}
			w.reserved = append(w.reserved, u)
			l, err := net.Listen("tcp4", addr.String())
			if err != nil {
				free = false
				break
			}
			w.reserved = append(w.reserved, l)
		}
		if free {
			w.ports = ports{p, p + 1, p + 2, p + 3, p + 4, p + 5}
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

// addr returns the address of a machine, and clientAddr that of a client.
func (w *world) addr(n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.prefix[0], w.prefix[1], n})
}

func (w *world) clientAddr(n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.prefix[0] + 100, w.prefix[1], n})
}

// logf writes a line with the seconds since the start to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s%s\n", time.Since(w.start).Seconds(), w.label, fmt.Sprintf(format, args...))
}

// close ends all processes and stand-ins.
func (w *world) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	daemons, hosts, clients := w.daemons, w.hosts, w.clients
	w.mu.Unlock()
	for _, c := range clients {
		c.stop()
	}
	for _, h := range hosts {
		h.crash()
	}
	for _, d := range daemons {
		d.kill()
	}
	w.proxy.close()
	w.store.Close()
	w.storeSrv.CloseClientConnections()
	w.storeSrv.Close()
	for _, c := range w.reserved {
		_ = c.Close()
	}
	_ = os.RemoveAll(w.dir)
}

// configure writes the configuration: routes, given as address and service.
func (w *world) configure(version int, routes map[packet.Endpoint]string) error {
	var list []map[string]any
	services := map[string]any{}
	for at, service := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r%d", at.Port), "hostname": at.Addr().String(), "path-prefix": fmt.Sprintf("/%d/", at.Port), "service": service,
			"type": "non_idempotent", "timeout-ms": 2000, "latency-target-ms": 200, "priority": 1, "attempts": 1,
		})
		services[service] = map[string]any{"health-path": "/healthz"}
	}
	spec := map[string]any{"version": version, "routes": list, "services": services, "limits": map[string]any{"idle-timeout-ms": idleTimeout.Milliseconds()}}
	w.logf("operator writes config version %d with %d routes", version, len(routes))
	return w.store.Put("config", "main", spec)
}

// daemon is a process of the project on a machine.
type daemon struct {
	w       *world
	name    string
	addr    netip.Addr
	program string
	service string // of the host beside it; empty on edge machines

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	missed int // readiness checks in a row
}

// addDaemon starts the program of a role on a new machine: a balancer if service is
// empty.
func (w *world) addDaemon(n byte, service string) (*daemon, error) {
	d := &daemon{w: w, name: fmt.Sprintf("edge-%d", n), addr: w.addr(n), program: "target/skylark-balancer", service: service}
	if service != "" {
		d.name, d.program = fmt.Sprintf("side-%d", n), "target/skylark-agent"
	}
	w.mu.Lock()
	w.daemons = append(w.daemons, d)
	w.mu.Unlock()
	return d, d.run()
}

// settings returns the settings file, in the platform's format.
func (d *daemon) settings() string {
	w, p := d.w, d.w.ports
	at := func(port uint16) string { return netip.AddrPortFrom(d.addr, port).String() }
	class, serves := "edge", "edge,control"
	if d.service != "" {
		class, serves = "side", "side"
	}
	lines := []string{
		"node-name=" + d.name, "role=" + class, "machine-class=" + class, "serves=" + serves, "ip=" + d.addr.String(),
		"zone=z1", "region=r1", "zones.z1=r1",
		"listen.datagram-addr=" + at(p.datagram), "listen.readiness-addr=" + at(p.ready), "listen.control=" + at(p.control),
		fmt.Sprintf("port-range=%d,%d", p.inner, p.inner+1),
		fmt.Sprintf("seeds=%v:%d,%v:%d", w.addr(1), p.control, w.addr(2), p.control),
		fmt.Sprint("bootstrap=", w.bootstrap), fmt.Sprint("heartbeat-ms=", heartbeatInterval.Milliseconds()),
		"bounds.stable-window-ms=4000", "bounds.drain-ms=3000", fmt.Sprint("bounds.grace-s=", graceSeconds),
		"bounds.flow-ms=2000", "bounds.flow-max-s=60", "bounds.config-ms=3000", "bounds.recover-s=12",
		"flow-hash=mod", "proxy-mode=agent",
		"platform.address=" + w.proxy.addr(), "platform.proxy-mode=objects",
		"platform.writes-per-s=400", "platform.reads-per-s=2000", "platform.history-s=20",
	}
	if d.service != "" {
		lines = append(lines, "listen.outbound="+at(p.outbound), "app="+at(p.app), "service="+d.service)
	}
	return strings.Join(lines, "\n") + "\n"
}

// run starts the process with the command of the deploy file.
func (d *daemon) run() error {
	path := filepath.Join(d.w.dir, d.name+".conf")
	if err := os.WriteFile(path, []byte(d.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(d.w.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close() // the process has its own copy
	cmd := exec.Command(d.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.w.dir, "LANG=C", platformSettings + "=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	d.w.proxy.setStarting(d)
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited = cmd, exited
	d.mu.Unlock()
	d.w.logf("%s at %v: process %d starts", d.name, d.addr, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		d.w.logf("%s: process %d ended (%v)", d.name, cmd.Process.Pid, err)
		close(exited)
	}()
	return nil
}

const platformSettings = "SKYLARKTURN_CONFIG"

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		d.w.logf("%s: process %d gets %v", d.name, d.cmd.Process.Pid, s)
		_ = d.cmd.Process.Signal(s)
	}
}

// wait waits until the process has ended.
func (d *daemon) wait() {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.wait()
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after the grace
// time.
func (d *daemon) terminate() {
	d.signal(syscall.SIGTERM)
	t := time.AfterFunc(graceSeconds*time.Second, func() { d.signal(syscall.SIGKILL) })
	d.wait()
	t.Stop()
}

// ready reports whether the readiness check succeeds.
func (d *daemon) ready() bool {
	c := http.Client{Timeout: 400 * time.Millisecond}
	resp, err := c.Get("http://" + netip.AddrPortFrom(d.addr, d.w.ports.ready).String() + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// probeInterval is the interval of the platform's readiness checks. After two misses a
// daemon is out of rotation.
const (
	probeInterval = 500 * time.Millisecond
	maxMisses     = 2
)

// probe checks the readiness of the daemons at the edge until the world is closed.
func (w *world) probe() {
	for ; ; time.Sleep(probeInterval) {
		w.mu.Lock()
		daemons, closed := append([]*daemon{}, w.daemons...), w.closed
		w.mu.Unlock()
		if closed {
			return
		}
		for _, d := range daemons {
			if d.service != "" {
				continue
			}
			ok := d.ready()
			d.mu.Lock()
			d.missed++
			if ok {
				d.missed = 0
			}
			d.mu.Unlock()
		}
	}
}

// inRotation reports whether the platform sends packets to the daemon.
func (d *daemon) inRotation() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.missed < maxMisses
}

// awaitReady waits until the daemons are ready.
func (w *world) awaitReady(within time.Duration, daemons ...*daemon) error {
	end := time.Now().Add(within)
	for _, d := range daemons {
		for !d.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", d.name, within)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
