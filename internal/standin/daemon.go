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

// Daemon is a balancer or an agent that was started: a process of its own, or a
// part of this one.
type Daemon struct {
	Name      string
	Zone      string
	Admin     string // address of the administration API; balancers only
	Inner     string
	Ops       string
	Listen    map[string]string
	process   *os.Process
	stop      context.CancelFunc // in this process: a planned stop
	close     func()             // in this process: an abrupt end
	ended     chan struct{}
	endResult error // set before ended is closed
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
	b := Backend{Name: cfg.Name, Listen: make(map[string]netip.AddrPort), Health: "http://" + m.Ops + "/healthz"}
	var err error
	if b.Inner, err = netip.ParseAddrPort(m.Inner); err != nil {
		return b, &Error{"addresses", KindProcess, err}
	}
	for name, a := range m.Listen {
		if b.Listen[name], err = netip.ParseAddrPort(a); err != nil {
			return b, &Error{"addresses", KindProcess, err}
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
	return d.startHere(&Daemon{Name: cfg.Name, Zone: cfg.Zone, Admin: a.Admin, Inner: a.Inner, Ops: a.Ops, Listen: a.Listen, close: b.Close}, b.Run), nil
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
	return d.startHere(&Daemon{Name: cfg.Name, Zone: cfg.Zone, Inner: at.Inner, Ops: at.Ops, close: a.Close}, a.Run), nil
}

func (d *Deployment) startHere(m *Daemon, run func(context.Context) error) *Daemon {
	ctx, cancel := context.WithCancel(context.WithoutCancel(d.ctx))
	m.stop = cancel
	m.ended = make(chan struct{})
	d.group.Go(func() error {
		defer cancel()
		defer close(m.ended)
		m.endResult = run(ctx)
		return m.endResult
	})
	return m
}

const readyTimeout = 10 * time.Second

var errNotReady = errors.New("process did not say that it is ready")

// Starts a program and waits for its ready line.
func (d *Deployment) startProcess(program, name, zone string, cfg any) (*Daemon, error) {
	path, err := d.settingsFile(name, cfg)
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
	m := &Daemon{Name: name, Zone: zone, process: cmd.Process, ended: make(chan struct{})}
	lines := make(chan readyLine, 1)
	d.group.Go(func() error {
		defer close(m.ended)
		readReady(out, lines)
		m.endResult = cmd.Wait()
		return nil
	})
	select {
	case line, ok := <-lines:
		if !ok {
			return nil, &Error{"start " + name, KindProcess, errNotReady}
		}
		m.Admin, m.Inner, m.Ops, m.Listen = line.Addresses.Admin, line.Addresses.Inner, line.Addresses.Ops, line.Addresses.Listen
		return m, nil
	case <-time.After(readyTimeout):
		return nil, errors.Join(&Error{"start " + name, KindProcess, errNotReady}, m.Kill())
	}
}

// Reads the ready line and then whatever else the process prints.
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

// Running reports whether the daemon has not ended.
func (m *Daemon) Running() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// Kill ends the daemon without warning, as SIGKILL does.
func (m *Daemon) Kill() error {
	if !m.Running() {
		return nil
	}
	if m.process == nil {
		m.close()
		<-m.ended
		return nil
	}
	err := m.process.Kill()
	<-m.ended
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		return &Error{"kill " + m.Name, KindProcess, err}
	}
	return nil
}

// Stop begins a planned stop, as SIGTERM does.
func (m *Daemon) Stop() error {
	if m.process == nil {
		m.stop()
		return nil
	}
	return m.signal(syscall.SIGTERM)
}

// Freeze stops a process until Resume.
func (m *Daemon) Freeze() error { return m.signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (m *Daemon) Resume() error { return m.signal(syscall.SIGCONT) }

var errNoProcess = errors.New("only a process of its own can be signaled")

func (m *Daemon) signal(s syscall.Signal) error {
	if m.process == nil {
		return &Error{"signal " + m.Name, KindProcess, errNoProcess}
	}
	if err := m.process.Signal(s); err != nil {
		return &Error{"signal " + m.Name, KindProcess, err}
	}
	return nil
}

// Wait waits for the daemon's end and returns its error.
func (m *Daemon) Wait(ctx context.Context) error {
	select {
	case <-m.ended:
		return m.endResult
	case <-ctx.Done():
		return ctx.Err()
	}
}
