package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"skylarkturn/internal/session"
)

const (
	initialPacketSize = 1350 // bytes; with the frame that a balancer adds, it fits a 1,500-byte link
	idleTimeout       = 30 * time.Second
	heartbeatPadLen   = 96 // bytes; see session.HeaderPad
	drainPollInterval = 50 * time.Millisecond
)

var heartbeatPad = strings.Repeat("0", heartbeatPadLen)

// connection is one QUIC connection of a session. Each has its own UDP socket,
// so that a new connection uses a new local port rather than a path that failed.
type connection struct {
	socket           net.PacketConn
	transport        *quic.Transport
	quic             *quic.Conn
	http             *http3.ClientConn
	heartbeatTimeout time.Duration
	moveRequested    chan struct{} // closed when the target asks the session to open another connection

	mu          sync.Mutex // guards the fields below
	info        session.Info
	bindingTime time.Time // when info.Binding was requested
	moving      bool
	uses        int // requests and feeds in progress
}

func dial(ctx context.Context, s *Session) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	addr, err := net.ResolveUDPAddr("udp", s.address)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: Refused, Err: err}
	}
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: Unavailable, Err: err}
	}
	c := &connection{
		socket:           socket,
		transport:        &quic.Transport{Conn: socket},
		heartbeatTimeout: s.heartbeatTimeout,
		moveRequested:    make(chan struct{}),
	}
	c.quic, err = c.transport.Dial(ctx, addr, s.tls, &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		InitialPacketSize:              initialPacketSize,
		DisablePathMTUDiscovery:        true,
		InitialStreamReceiveWindow:     64 << 10,
		InitialConnectionReceiveWindow: 128 << 10,
	})
	if err != nil {
		c.close()
		return nil, &Error{Op: "dial", Kind: Unavailable, Err: err}
	}
	c.http = (&http3.Transport{DisableCompression: true}).NewClientConn(c.quic)
	if err := c.sendHeartbeat(ctx); err != nil {
		c.abort()
		c.close()
		return nil, err
	}
	return c, nil
}

// sendHeartbeat requests a new binding. A response within the heartbeat timeout
// shows that the path works.
func (c *connection) sendHeartbeat(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.heartbeatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+c.quic.ConnectionState().TLS.ServerName+session.Path, nil)
	if err != nil {
		return &Error{Op: "heartbeat", Kind: Refused, Err: err}
	}
	req.Header.Set(session.HeaderPad, heartbeatPad)
	sentAt := time.Now()
	resp, err := c.http.RoundTrip(req)
	if err != nil {
		return &Error{Op: "heartbeat", Kind: Unavailable, Err: err}
	}
	defer resp.Body.Close()
	var info session.Info
	if err := json.NewDecoder(resp.Body).Decode(&info); err != nil || resp.StatusCode != http.StatusOK {
		return &Error{Op: "heartbeat", Kind: Unavailable, Err: errors.Join(err, fmt.Errorf("status %s", resp.Status))}
	}
	c.mu.Lock()
	c.info, c.bindingTime = info, sentAt
	c.mu.Unlock()
	if info.Moving {
		c.requestMove()
	}
	return nil
}

// currentBinding returns a binding that is recent enough for a new request.
func (c *connection) currentBinding(ctx context.Context) (string, error) {
	c.mu.Lock()
	binding, requested := c.info.Binding, c.bindingTime
	c.mu.Unlock()
	if time.Since(requested) < session.BindingMaxAge {
		return binding, nil
	}
	if err := c.sendHeartbeat(ctx); err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.info.Binding, nil
}

// setBinding stores the binding that a response carried.
func (c *connection) setBinding(binding string, sentAt time.Time) {
	if binding == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.info.Binding, c.bindingTime = binding, sentAt
}

func (c *connection) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.info.Target
}

// requestMove makes the session open another connection and drain this one.
func (c *connection) requestMove() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.moving {
		c.moving = true
		close(c.moveRequested)
	}
}

// done is closed when the QUIC connection has ended.
func (c *connection) done() <-chan struct{} { return c.quic.Context().Done() }

// acquire counts a request or feed that uses the connection until release.
func (c *connection) acquire() {
	c.mu.Lock()
	c.uses++
	c.mu.Unlock()
}

func (c *connection) release() {
	c.mu.Lock()
	c.uses--
	c.mu.Unlock()
}

func (c *connection) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.uses == 0
}

// drain closes the connection when no request or feed uses it any more, when
// ctx is done or when a heartbeat fails. Those still in progress then fail, and
// are retried on another connection.
func (c *connection) drain(ctx context.Context, heartbeatInterval time.Duration) {
	defer c.close()
	defer c.abort()
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	lastHeartbeat := time.Now()
	for !c.idle() {
		select {
		case now := <-t.C:
			if now.Sub(lastHeartbeat) < heartbeatInterval {
				continue
			}
			lastHeartbeat = now
			if c.sendHeartbeat(ctx) != nil {
				return
			}
		case <-ctx.Done():
			return
		case <-c.done():
			return
		}
	}
}

func (c *connection) abort() {
	_ = c.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "") // the peer may be gone
}

func (c *connection) close() {
	_ = c.transport.Close() // the connection has ended or failed to open
	_ = c.socket.Close()
}
