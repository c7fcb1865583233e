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
	packetSize  = 1350 // bytes; leaves room for the frames behind the balancers
	idleTimeout = 30 * time.Second
	padLen      = 96 // bytes
	finishCheck = 50 * time.Millisecond
)

var pad = strings.Repeat("0", padLen)

// connection is one QUIC connection of a session, on a socket of its own so
// that a path that was lost is not used again.
type connection struct {
	udp     net.PacketConn
	tr      *quic.Transport
	quic    *quic.Conn
	http    *http3.ClientConn
	silence time.Duration
	leave   chan struct{} // closed when the target asks to be left

	mu      sync.Mutex // guards what follows
	info    session.Info
	bound   time.Time // when info.Binding was asked for
	leaving bool
	users   int
}

func dial(ctx context.Context, s *Session) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	to, err := net.ResolveUDPAddr("udp", s.address)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: Refused, Err: err}
	}
	udp, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: Unavailable, Err: err}
	}
	c := &connection{
		udp:     udp,
		tr:      &quic.Transport{Conn: udp},
		silence: s.silence,
		leave:   make(chan struct{}),
	}
	c.quic, err = c.tr.Dial(ctx, to, s.tls, &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		InitialPacketSize:              packetSize,
		DisablePathMTUDiscovery:        true,
		InitialStreamReceiveWindow:     64 << 10,
		InitialConnectionReceiveWindow: 128 << 10,
	})
	if err != nil {
		c.close()
		return nil, &Error{Op: "dial", Kind: Unavailable, Err: err}
	}
	c.http = (&http3.Transport{DisableCompression: true}).NewClientConn(c.quic)
	if err := c.beat(ctx); err != nil {
		c.abort()
		c.close()
		return nil, err
	}
	return c, nil
}

// Asks for a fresh binding; an answer within the silence time shows that the
// path lives.
func (c *connection) beat(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.silence)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+c.quic.ConnectionState().TLS.ServerName+session.Path, nil)
	if err != nil {
		return &Error{Op: "heartbeat", Kind: Refused, Err: err}
	}
	req.Header.Set(session.HeaderPad, pad)
	asked := time.Now()
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
	c.info, c.bound = info, asked
	c.mu.Unlock()
	if info.Moving {
		c.move()
	}
	return nil
}

// binding returns a binding that is fresh enough for a new request.
func (c *connection) binding(ctx context.Context) (string, error) {
	c.mu.Lock()
	text, bound := c.info.Binding, c.bound
	c.mu.Unlock()
	if time.Since(bound) < session.BindingMaxAge {
		return text, nil
	}
	if err := c.beat(ctx); err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.info.Binding, nil
}

// rebind takes a binding that came with an answer.
func (c *connection) rebind(text string, asked time.Time) {
	if text == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.info.Binding, c.bound = text, asked
}

func (c *connection) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.info.Target
}

// move has the session open another connection and leave this one.
func (c *connection) move() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leaving {
		c.leaving = true
		close(c.leave)
	}
}

func (c *connection) lost() <-chan struct{} { return c.quic.Context().Done() }

// acquire counts a request or feed on the connection; release ends it.
func (c *connection) acquire() {
	c.mu.Lock()
	c.users++
	c.mu.Unlock()
}

func (c *connection) release() {
	c.mu.Lock()
	c.users--
	c.mu.Unlock()
}

func (c *connection) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.users == 0
}

// Closes the connection once nothing is in progress on it, or ctx is done. What
// is in progress is lost, and so tried elsewhere, when the path falls silent.
func (c *connection) finish(ctx context.Context, heartbeat time.Duration) {
	defer c.close()
	defer c.abort()
	t := time.NewTicker(finishCheck)
	defer t.Stop()
	beaten := time.Now()
	for !c.idle() {
		select {
		case now := <-t.C:
			if now.Sub(beaten) < heartbeat {
				continue
			}
			beaten = now
			if c.beat(ctx) != nil {
				return
			}
		case <-ctx.Done():
			return
		case <-c.lost():
			return
		}
	}
}

func (c *connection) abort() {
	_ = c.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "") // the peer may be gone
}

func (c *connection) close() {
	_ = c.tr.Close() // nothing is in progress
	_ = c.udp.Close()
}
