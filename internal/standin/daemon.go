package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"skylarkturn/internal/agent"
	"skylarkturn/internal/balancer"
)

// Daemon is a balancer or an agent that was started, either as a process of its own
// or in this process.
type Daemon struct {
	Name        string
	Zone        string
	AdminAddr   string // address of the administration API; balancers only
	InnerAddr   string
	OpsAddr     string
	ListenAddrs map[string]string
	process     *os.Process
	stop        context.CancelFunc // planned stop when run in this process
	abort       func()             // abrupt end when run in this process
	done        chan struct{}
	exitErr     error // valid once done is closed
}

type addresses struct {
	Inner  string            `json:"inner"`
	Admin  string            `json:"admin"`
	Ops    string            `json:"ops"`
	Listen map[string]string `json:"listen"`
}

type readyLine struct {
	Ready     bool      `json:"ready"`
	Addresses addresses `json:"addresses"`
}

func (m *Daemon) backend(cfg balancer.Settings) (Backend, error) {
	b := Backend{Name: cfg.Name, ListenAddrs: make(map[string]netip.AddrPort), HealthURL: "http://" + m.OpsAddr + "/healthz"}
	var err error
	if b.InnerAddr, err = netip.ParseAddrPort(m.InnerAddr); err != nil {
		return b, &Error{"parse addresses", KindProcess, err}
	}
	for name, a := range m.ListenAddrs {
		if b.ListenAddrs[name], err = netip.ParseAddrPort(a); err != nil {
			return b, &Error{"parse addresses", KindProcess, err}
		}
	}
	return b, nil
}

func (d *Deployment) startBalancer(cfg balancer.Settings) (*Daemon, error) {
	if d.opt.Bin != "" {
		return d.startProcess("skylark-balancer", cfg.Name, cfg.Zone, cfg)
	}
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	b, err := balancer.New(cfg)
	if err != nil {
		return nil, err
	}
	a := b.Addresses()
	return d.startInProcess(&Daemon{Name: cfg.Name, Zone: cfg.Zone, AdminAddr: a.Admin, InnerAddr: a.Inner, OpsAddr: a.Ops, ListenAddrs: a.Listen, abort: b.Close}, b.Run), nil
}

func (d *Deployment) startAgent(cfg agent.Settings) (*Daemon, error) {
	if d.opt.Bin != "" {
		return d.startProcess("skylark-agent", cfg.Name, cfg.Zone, cfg)
	}
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	a, err := agent.New(cfg)
	if err != nil {
		return nil, err
	}
	at := a.Addresses()
	return d.startInProcess(&Daemon{Name: cfg.Name, Zone: cfg.Zone, InnerAddr: at.Inner, OpsAddr: at.Ops, abort: a.Close}, a.Run), nil
}

func (d *Deployment) startInProcess(m *Daemon, run func(context.Context) error) *Daemon {
	ctx, cancel := context.WithCancel(context.WithoutCancel(d.ctx))
	m.stop = cancel
	m.done = make(chan struct{})
	d.group.Go(func() error {
		defer cancel()
		defer close(m.done)
		m.exitErr = run(ctx)
		return m.exitErr
	})
	return m
}

const readyTimeout = 10 * time.Second

var errNotReady = errors.New("process did not report that it is ready")

// startProcess starts a program and waits until it reports its addresses in a ready
// line.
func (d *Deployment) startProcess(program, name, zone string, cfg any) (*Daemon, error) {
	path, err := d.writeSettings(name, cfg)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(d.opt.Bin, program), "--config", path)
	cmd.Stderr = d.opt.LogWriter
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, &Error{"start " + name, KindProcess, err}
	}
	if err := cmd.Start(); err != nil {
		return nil, &Error{"start " + name, KindProcess, err}
	}
	m := &Daemon{Name: name, Zone: zone, process: cmd.Process, done: make(chan struct{})}
	lines := make(chan readyLine, 1)
	d.group.Go(func() error {
		defer close(m.done)
		readReady(out, lines)
		m.exitErr = cmd.Wait()
		return nil
	})
	select {
	case line, ok := <-lines:
		if !ok {
			return nil, &Error{"start " + name, KindProcess, errNotReady}
		}
		m.AdminAddr, m.InnerAddr, m.OpsAddr, m.ListenAddrs = line.Addresses.Admin, line.Addresses.Inner, line.Addresses.Ops, line.Addresses.Listen
		return m, nil
	case <-time.After(readyTimeout):
		return nil, errors.Join(&Error{"start " + name, KindProcess, errNotReady}, m.Kill())
	}
}

// readReady reads the output of a process until it ends and sends the ready line.
// Reading on keeps the process from blocking on a full pipe.
func readReady(out io.Reader, lines chan<- readyLine) {
	defer close(lines)
	s := bufio.NewScanner(out)
	for s.Scan() {
		var line readyLine
		if json.Unmarshal(s.Bytes(), &line) == nil && line.Ready {
			select {
			case lines <- line:
			default:
			}
		}
	}
}

// Running reports whether the daemon has not ended yet.
func (m *Daemon) Running() bool {
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// Kill ends the daemon abruptly, as SIGKILL does, and waits for its end.
func (m *Daemon) Kill() error {
	if !m.Running() {
		return nil
	}
	if m.process == nil {
		m.abort()
		<-m.done
		return nil
	}
	err := m.process.Kill()
	<-m.done
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		return &Error{"kill " + m.Name, KindProcess, err}
	}
	return nil
}

// Stop begins a planned stop, as SIGTERM does, and does not wait for its end.
func (m *Daemon) Stop() error {
	if m.process == nil {
		m.stop()
		return nil
	}
	return m.signal(syscall.SIGTERM)
}

// Freeze suspends a process until Resume.
func (m *Daemon) Freeze() error { return m.signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (m *Daemon) Resume() error { return m.signal(syscall.SIGCONT) }

var errNoProcess = errors.New("daemon runs in this process and cannot be signaled")

func (m *Daemon) signal(s syscall.Signal) error {
	if m.process == nil {
		return &Error{"signal " + m.Name, KindProcess, errNoProcess}
	}
	if err := m.process.Signal(s); err != nil {
		return &Error{"signal " + m.Name, KindProcess, err}
	}
	return nil
}

// Wait waits until the daemon has ended and returns its error.
func (m *Daemon) Wait(ctx context.Context) error {
	select {
	case <-m.done:
		return m.exitErr
	case <-ctx.Done():
		return ctx.Err()
	}
}
