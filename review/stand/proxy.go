package main

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// proxy stands between the daemons and the store.
type proxy struct {
	ln    net.Listener
	store string

	mu       sync.Mutex
	conns    map[*proxied]bool
	starting *daemon // that opens connections now
	checker  *daemon // that sent the last check of the configuration
	checks   int
}

// proxied is one connection of a daemon.
type proxied struct {
	in, out net.Conn
	owner   *daemon
	waiting bool // for the answer of a watch
	silent  bool
}

func newProxy(store string) (*proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, store: store, conns: make(map[*proxied]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp4", p.store)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		c := &proxied{in: in, out: out, owner: p.starting}
		p.conns[c] = true
		p.mu.Unlock()
		go p.copy(c, c.out, c.in)
		go p.copy(c, c.in, c.out)
	}
}

// copy forwards bytes in one direction until the connection is closed. On a silent
// connection bytes and ends are lost.
func (p *proxy) copy(c *proxied, to io.Writer, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		silent := c.silent
		if from == c.in {
			c.waiting = strings.Contains(string(buf[:n]), watchRequest)
			if strings.Contains(string(buf[:n]), checkRequest) {
				p.checker = c.owner
				p.checks++
			}
		}
		p.mu.Unlock()
		if err != nil {
			p.mu.Lock()
			delete(p.conns, c)
			p.mu.Unlock()
			if !silent {
				_ = c.in.Close()
				_ = c.out.Close()
			}
			return
		}
		if !silent {
			_, _ = to.Write(buf[:n])
		}
	}
}

// setStarting sets the daemon that the next connections belong to. Daemons open theirs
// when they start, and keep them.
func (p *proxy) setStarting(d *daemon) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starting = d
}

// Parts of requests: of a watch that waits for long, and of a check of the configuration.
const (
	watchRequest = "wait-ms=20000&watch="
	checkRequest = "wait-ms=1&watch="
)

// awaitCheck waits for a check of the configuration and returns who makes it.
func (p *proxy) awaitCheck() *daemon {
	p.mu.Lock()
	before := p.checks
	p.mu.Unlock()
	for {
		p.mu.Lock()
		now, d := p.checks, p.checker
		p.mu.Unlock()
		if now != before {
			return d
		}
		time.Sleep(time.Millisecond)
	}
}

// silence makes open connections of a daemon silent for good: all, or only those on which
// it waits for a change. New ones work.
func (p *proxy) silence(d *daemon, onlyWatches bool) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.owner == d && !c.silent && (c.waiting || !onlyWatches) {
			c.silent = true
			n++
		}
	}
	return n
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.in.Close()
		_ = c.out.Close()
	}
}
