package platformstand

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Fault is a network fault that a proxy injects into connections.
type Fault int

// Network faults.
const (
	NoFault       Fault = iota
	Delay               // data is delayed by proxyDelay
	ResetConns          // open and new connections are reset
	DropResponses       // data from the server is dropped
	Blackhole           // data is dropped in both directions, and connections stay open
	BlackholeOpen       // as Blackhole, only for connections that are already open
	numFaults
)

var faultNames = [...]string{"no harm", "delay", "reset", "no answers", "silence", "silence of open connections"}

// String returns the name of the fault.
func (f Fault) String() string { return faultNames[f] }

// proxyDelay is the delay that Delay adds to each read of data.
const proxyDelay = 150 * time.Millisecond

// proxy forwards TCP connections on loopback and injects faults into a share of
// them.
type proxy struct {
	ln       net.Listener
	upstream string
	wg       sync.WaitGroup

	mu    sync.Mutex
	rand  *rand.Rand
	fault Fault
	share float64 // of the connections that get the fault
	conns map[*proxiedConn]bool
}

// proxiedConn is a client's connection and the connection to the upstream server.
type proxiedConn struct {
	client, server net.Conn
	fault          Fault
	blackholed     bool // drop all data until the connection is closed
}

// newProxy starts a proxy to an upstream address; random chooses the connections that
// get a fault.
func newProxy(upstream string, random *rand.Rand) (*proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, &Error{"start proxy", KindNetwork, err}
	}
	p := &proxy{ln: ln, upstream: upstream, rand: random, conns: make(map[*proxiedConn]bool)}
	p.wg.Go(p.accept)
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

// setFault injects a fault into a share of the open and new connections. It replaces
// the fault set before; NoFault ends it.
func (p *proxy) setFault(f Fault, share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.share = f, share
	for c := range p.conns {
		p.drawFault(c, true)
	}
}

// drawFault decides at random whether a connection gets the proxy's fault; called
// with mu held.
func (p *proxy) drawFault(c *proxiedConn, open bool) {
	c.fault = NoFault
	if p.fault == NoFault || p.rand.Float64() >= p.share {
		return
	}
	switch c.fault = p.fault; p.fault {
	case ResetConns:
		c.reset()
	case BlackholeOpen:
		c.blackholed = c.blackholed || open
	}
}

// close stops the proxy and resets its connections.
func (p *proxy) close() {
	_ = p.ln.Close() // no new connections are wanted
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

// serve forwards one connection until it is closed.
func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp4", p.upstream)
	if err != nil {
		_ = client.Close() // as if nothing listened
		return
	}
	c := &proxiedConn{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	p.drawFault(c, false)
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(c, server, client, false) })
	wg.Go(func() { p.forward(c, client, server, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// forward copies data from one end to the other until either is closed.
func (p *proxy) forward(c *proxiedConn, to, from net.Conn, fromServer bool) {
	defer c.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		drop, delay := p.dataFault(c, fromServer)
		if drop {
			continue
		}
		time.Sleep(delay)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// dataFault returns what the connection's fault does to data that has just been read.
func (p *proxy) dataFault(c *proxiedConn, fromServer bool) (drop bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.blackholed:
		return true, 0
	case c.fault == Blackhole, c.fault == DropResponses && fromServer:
		c.blackholed = true // after a gap, later data would be misread
		return true, 0
	case c.fault == Delay:
		return false, proxyDelay
	}
	return false, 0
}

// close closes both ends.
func (c *proxiedConn) close() {
	_, _ = c.client.Close(), c.server.Close() // also ends the other direction's forward
}

// reset closes both ends and sends the client a TCP reset.
func (c *proxiedConn) reset() {
	if t, ok := c.client.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // Close then sends RST in place of FIN
	}
	c.close()
}
