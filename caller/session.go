package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/quic-go/quic-go/http3"
)

const (
	defaultHeartbeatInterval = 5 * time.Second
	defaultHeartbeatTimeout  = 4 * time.Second
	defaultRetryBudget       = 10
	dialTimeout              = 3 * time.Second
	minBackoff               = 50 * time.Millisecond
	maxBackoff               = 2 * time.Second
	retryRefillInterval      = time.Second // adds one retry to the budget
)

// Session is a client session with a service. It keeps one connection open for
// new requests and replaces it when it fails or its target drains.
type Session struct {
	address           string
	tls               *tls.Config
	heartbeatInterval time.Duration
	heartbeatTimeout  time.Duration
	retryBudget       float64 // maximum of retryTokens

	ctx    context.Context
	cancel context.CancelFunc
	done   chan error // result of maintain

	mu          sync.Mutex // guards the fields below
	current     *connection
	ready       chan struct{} // closed while current is set
	background  sync.WaitGroup
	retryTokens float64 // retries left, with the accrued fraction of the next one
	lastRefill  time.Time
	stats       Stats
}

// Stats holds the counters of a session.
type Stats struct {
	Connections int // connections opened
	Lost        int // connections lost: no heartbeat response, reset or closed
	Moves       int // connections replaced at the target's request
	Retries     int
}

// Option changes how Dial opens a session.
type Option func(*Session)

// WithTLS sets the TLS configuration, with the root certificates and the server
// name.
func WithTLS(cfg *tls.Config) Option { return func(s *Session) { s.tls = cfg } }

// WithHeartbeatInterval sets the time between heartbeats.
func WithHeartbeatInterval(d time.Duration) Option {
	return func(s *Session) { s.heartbeatInterval = d }
}

// WithHeartbeatTimeout sets the time to wait for the response to a heartbeat
// before the connection is considered lost.
func WithHeartbeatTimeout(d time.Duration) Option { return func(s *Session) { s.heartbeatTimeout = d } }

// WithRetryBudget sets the maximum number of retries in a burst. The budget
// refills by one retry a second.
func WithRetryBudget(n int) Option { return func(s *Session) { s.retryBudget = float64(n) } }

// Dial opens a session with the service at a UDP address.
func Dial(ctx context.Context, address string, opts ...Option) (*Session, error) {
	s := &Session{
		address:           address,
		tls:               &tls.Config{MinVersion: tls.VersionTLS13},
		heartbeatInterval: defaultHeartbeatInterval,
		heartbeatTimeout:  defaultHeartbeatTimeout,
		retryBudget:       defaultRetryBudget,
		done:              make(chan error, 1),
		ready:             make(chan struct{}),
		lastRefill:        time.Now(),
	}
	for _, o := range opts {
		o(s)
	}
	s.retryTokens = s.retryBudget
	s.tls = s.tls.Clone()
	s.tls.NextProtos = []string{http3.NextProtoH3}
	s.ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	go func() { s.done <- s.maintain(s.ctx) }()
	if _, err := s.connection(ctx); err != nil {
		_ = s.Close() // err is the cause
		return nil, err
	}
	return s, nil
}

// Close ends the session and its feeds.
func (s *Session) Close() error {
	s.cancel()
	err := <-s.done
	s.done <- err
	return err
}

// Stats returns the current counters.
func (s *Session) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Target returns the name of the target of the current connection, or "" if there
// is none.
func (s *Session) Target() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return ""
	}
	return s.current.target()
}

// maintain keeps a connection open until ctx is done.
func (s *Session) maintain(ctx context.Context) error {
	defer s.background.Wait()
	defer s.clearCurrent(nil)
	backoff := minBackoff
	for ctx.Err() == nil {
		c, err := dial(ctx, s)
		if err != nil {
			backoff = sleepBackoff(ctx, backoff)
			continue
		}
		backoff = minBackoff
		s.setCurrent(c)
		s.monitor(ctx, c)
	}
	return nil
}

// sleepBackoff waits for d with jitter and returns the next, longer backoff.
func sleepBackoff(ctx context.Context, d time.Duration) time.Duration {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	return min(2*d, maxBackoff)
}

func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d)
}

// addBackground adds a goroutine that Close waits for. It reports false if the
// session has ended. The lock keeps Add from running after the Wait in maintain
// has begun.
func (s *Session) addBackground() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.background.Add(1)
	return true
}

// setCurrent makes c the connection for new requests and drains the previous one.
func (s *Session) setCurrent(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current
	s.current = c
	s.stats.Connections++
	if old == nil {
		close(s.ready)
		return
	}
	s.drainLocked(old)
}

func (s *Session) drainLocked(c *connection) {
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		c.drain(s.ctx, s.heartbeatInterval)
	}()
}

// clearCurrent drains the current connection if it is c or c is nil.
func (s *Session) clearCurrent(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || c != nil && s.current != c {
		return
	}
	s.drainLocked(s.current)
	s.current = nil
	s.ready = make(chan struct{})
}

// monitor sends heartbeats on c until it is lost or its target requests a move.
// After a request to move, c stays current until the next connection is open.
func (s *Session) monitor(ctx context.Context, c *connection) {
	t := time.NewTimer(s.nextHeartbeat())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.done():
			s.connectionLost(c)
			return
		case <-c.moveRequested:
			s.updateStats(func(st *Stats) { st.Moves++ })
			return
		case <-t.C:
		}
		if err := c.sendHeartbeat(ctx); err != nil && ctx.Err() == nil {
			s.connectionLost(c)
			return
		}
		t.Reset(s.nextHeartbeat())
	}
}

// nextHeartbeat returns the time until the next heartbeat: the interval, varied at
// random by up to a quarter.
func (s *Session) nextHeartbeat() time.Duration {
	return s.heartbeatInterval*3/4 + rand.N(s.heartbeatInterval/2)
}

func (s *Session) connectionLost(c *connection) {
	s.updateStats(func(st *Stats) { st.Lost++ })
	c.abort()
	s.clearCurrent(c)
}

func (s *Session) updateStats(f func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.stats)
}

var errClosed = errors.New("session closed")

// connection returns the current connection, and waits for one if there is none.
func (s *Session) connection(ctx context.Context) (*connection, error) {
	for {
		s.mu.Lock()
		c, ready := s.current, s.ready
		s.mu.Unlock()
		if c != nil {
			return c, nil
		}
		select {
		case <-ready:
		case <-ctx.Done():
			return nil, &Error{Op: "connect", Kind: Unavailable, Err: ctx.Err()}
		case <-s.ctx.Done():
			return nil, &Error{Op: "connect", Kind: Closed, Err: errClosed}
		}
	}
}

// connectionAfter waits until the current connection is not old and returns it.
func (s *Session) connectionAfter(ctx context.Context, old *connection) (*connection, error) {
	for {
		c, err := s.connection(ctx)
		if err != nil || c != old {
			return c, err
		}
		select {
		case <-time.After(minBackoff):
		case <-ctx.Done():
			return nil, &Error{Op: "connect", Kind: Unavailable, Err: ctx.Err()}
		case <-s.ctx.Done():
			return nil, &Error{Op: "connect", Kind: Closed, Err: errClosed}
		}
	}
}

// takeRetry takes one retry from the budget and reports whether there was one.
func (s *Session) takeRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.retryTokens = min(s.retryBudget, s.retryTokens+now.Sub(s.lastRefill).Seconds()/retryRefillInterval.Seconds())
	s.lastRefill = now
	if s.retryTokens < 1 {
		return false
	}
	s.retryTokens--
	s.stats.Retries++
	return true
}
