package platformstand

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Harm is what a proxy does to connections.
type Harm int

// Harms.
const (
	NoHarm      Harm = iota
	Late             // every piece of data arrives later
	ResetConns       // connections are reset, new ones too
	NoAnswers        // requests arrive and answers do not
	SilenceAll       // nothing arrives, and no connection ends
	SilenceOpen      // nothing arrives on open connections; new ones work
	numFaults
)

var faultNames = [...]string{"no harm", "delay", "reset", "no answers", "silence", "silence of open connections"}

// String returns the harm in words.
func (h Harm) String() string { return faultNames[h] }

// proxyDelay is what Late adds to each piece of data on its way.
const proxyDelay = 150 * time.Millisecond

// proxy forwards TCP connections on loopback, and does harm to some of them.
type proxy struct {
	ln       net.Listener
	upstream string
	wg       sync.WaitGroup

	mu    sync.Mutex
	rand  *rand.Rand
	fault Harm
	share float64 // of the connections that harm is done to
	conns map[*proxiedConn]bool
}

// proxiedConn is a connection and its continuation.
type proxiedConn struct {
	client, server net.Conn
	fault          Harm
	blackholed     bool // for good
}

func newProxy(to string, source *rand.Rand) (*proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, &Error{"start proxy", KindNetwork, err}
	}
	p := &proxy{ln: ln, upstream: to, rand: source, conns: make(map[*proxiedConn]bool)}
	p.wg.Go(p.accept)
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

// setFault starts a harm to a share of the connections, open and new ones, or ends the
// one before with NoHarm.
func (p *proxy) setFault(h Harm, share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.share = h, share
	for c := range p.conns {
		p.drawFault(c, true)
	}
}

// Draws what is done to a connection; called with mu held.
func (p *proxy) drawFault(c *proxiedConn, open bool) {
	c.fault = NoHarm
	if p.fault == NoHarm || p.rand.Float64() >= p.share {
		return
	}
	switch c.fault = p.fault; p.fault {
	case ResetConns:
		c.reset()
	case SilenceOpen:
		c.blackholed = c.blackholed || open
	}
}

func (p *proxy) close() {
	_ = p.ln.Close() // nobody connects any more
	p.mu.Lock()
	for c := range p.conns {
		c.reset()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *proxy) accept() {
	for {
		conn, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.serve(conn) })
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp4", p.upstream)
	if err != nil {
		_ = client.Close() // the client sees that there is nothing behind
		return
	}
	c := &proxiedConn{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	p.drawFault(c, false)
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(c, server, client, false) })
	both.Go(func() { p.forward(c, client, server, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// Forwards what one end sends until an end has closed.
func (p *proxy) forward(c *proxiedConn, to, from net.Conn, answers bool) {
	defer c.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		drop, wait := p.dataFault(c, answers)
		if drop {
			continue
		}
		time.Sleep(wait)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) dataFault(c *proxiedConn, answers bool) (drop bool, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.blackholed:
		return true, 0
	case c.fault == SilenceAll, c.fault == NoAnswers && answers:
		c.blackholed = true // what was dropped would be missed in the middle
		return true, 0
	case c.fault == Late:
		return false, proxyDelay
	}
	return false, 0
}

func (c *proxiedConn) close() {
	_, _ = c.client.Close(), c.server.Close() // the other direction ends, too
}

func (c *proxiedConn) reset() {
	if t, ok := c.client.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a reset in place of an orderly end
	}
	c.close()
}
