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
	defaultHeartbeat = 5 * time.Second
	defaultSilence   = 4 * time.Second
	defaultBudget    = 10
	dialTimeout      = 3 * time.Second
	minRedial        = 50 * time.Millisecond
	maxRedial        = 2 * time.Second
	budgetEvery      = time.Second // earns one retry
)

// Session is a caller's open session with a service.
type Session struct {
	address   string
	tls       *tls.Config
	heartbeat time.Duration
	silence   time.Duration
	budgetMax float64

	ctx    context.Context
	cancel context.CancelFunc
	done   chan error // reports the end of the goroutine that keeps the connection

	mu      sync.Mutex // guards what follows
	current *connection
	ready   chan struct{} // closed while current is set
	retire  sync.WaitGroup
	budget  float64
	earned  time.Time
	stats   Stats
}

// Stats counts what a session went through.
type Stats struct {
	Connections int // opened
	Broken      int // lost without notice: silent, reset or cut
	Moves       int // left on request
	Retries     int
}

// Option changes how Dial opens a session.
type Option func(*Session)

// WithTLS sets the TLS configuration, with the authorities to trust and the
// name to expect.
func WithTLS(cfg *tls.Config) Option { return func(s *Session) { s.tls = cfg } }

// WithHeartbeat sets the time between heartbeats.
func WithHeartbeat(d time.Duration) Option { return func(s *Session) { s.heartbeat = d } }

// WithSilence sets the time that a heartbeat's answer may take before the path
// counts as silent.
func WithSilence(d time.Duration) Option { return func(s *Session) { s.silence = d } }

// WithRetryBudget sets the number of retries that may be made at once; one more
// is earned each second.
func WithRetryBudget(n int) Option { return func(s *Session) { s.budgetMax = float64(n) } }

// Dial opens a session with the service at a UDP address.
func Dial(ctx context.Context, address string, opts ...Option) (*Session, error) {
	s := &Session{
		address:   address,
		tls:       &tls.Config{MinVersion: tls.VersionTLS13},
		heartbeat: defaultHeartbeat,
		silence:   defaultSilence,
		budgetMax: defaultBudget,
		done:      make(chan error, 1),
		ready:     make(chan struct{}),
		earned:    time.Now(),
	}
	for _, o := range opts {
		o(s)
	}
	s.budget = s.budgetMax
	s.tls = s.tls.Clone()
	s.tls.NextProtos = []string{http3.NextProtoH3}
	s.ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	go func() { s.done <- s.keep(s.ctx) }()
	if _, err := s.connection(ctx); err != nil {
		_ = s.Close() // the error says why
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

// Stats returns the counts so far.
func (s *Session) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Target returns the name of the target that the session is open with.
func (s *Session) Target() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return ""
	}
	return s.current.target()
}

// Keeps a connection open until ctx is done.
func (s *Session) keep(ctx context.Context) error {
	defer s.retire.Wait()
	defer s.drop(nil)
	pause := minRedial
	for ctx.Err() == nil {
		c, err := dial(ctx, s)
		if err != nil {
			pause = sleep(ctx, pause)
			continue
		}
		pause = minRedial
		s.use(c)
		s.watch(ctx, c)
	}
	return nil
}

// Waits with jitter and returns the next, longer wait.
func sleep(ctx context.Context, d time.Duration) time.Duration {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	return min(2*d, maxRedial)
}

func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d)
}

// Counts a goroutine that Close waits for, unless the session has ended. The
// lock keeps it apart from the end of the connection's keeper.
func (s *Session) enlist() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.retire.Add(1)
	return true
}

// Makes c the connection for new requests. The one before ends once nothing is
// in progress on it.
func (s *Session) use(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current
	s.current = c
	s.stats.Connections++
	if old == nil {
		close(s.ready)
		return
	}
	s.retireLocked(old)
}

func (s *Session) retireLocked(c *connection) {
	s.retire.Add(1)
	go func() {
		defer s.retire.Done()
		c.finish(s.ctx, s.heartbeat)
	}()
}

// Takes the connection out of use; with nil, whichever is in use.
func (s *Session) drop(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || c != nil && s.current != c {
		return
	}
	s.retireLocked(s.current)
	s.current = nil
	s.ready = make(chan struct{})
}

// Sends heartbeats over c until it breaks or has to be left. When it is to be
// left, it stays in use until the next one is open.
func (s *Session) watch(ctx context.Context, c *connection) {
	t := time.NewTimer(s.jittered())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.lost():
			s.broke(c)
			return
		case <-c.leave:
			s.count(func(st *Stats) { st.Moves++ })
			return
		case <-t.C:
		}
		if err := c.beat(ctx); err != nil && ctx.Err() == nil {
			s.broke(c)
			return
		}
		t.Reset(s.jittered())
	}
}

func (s *Session) jittered() time.Duration {
	return s.heartbeat*3/4 + rand.N(s.heartbeat/2)
}

func (s *Session) broke(c *connection) {
	s.count(func(st *Stats) { st.Broken++ })
	c.abort()
	s.drop(c)
}

func (s *Session) count(f func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.stats)
}

var errClosed = errors.New("session closed")

// Returns the connection for new requests, waiting for one to be open.
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

// Returns the connection for new requests once it is another than old, or old
// itself when no other opens in time.
func (s *Session) other(ctx context.Context, old *connection) (*connection, error) {
	for {
		c, err := s.connection(ctx)
		if err != nil || c != old {
			return c, err
		}
		select {
		case <-time.After(minRedial):
		case <-ctx.Done():
			return nil, &Error{Op: "connect", Kind: Unavailable, Err: ctx.Err()}
		case <-s.ctx.Done():
			return nil, &Error{Op: "connect", Kind: Closed, Err: errClosed}
		}
	}
}

// Takes one retry from the budget if there is one.
func (s *Session) spend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.budget = min(s.budgetMax, s.budget+now.Sub(s.earned).Seconds()/budgetEvery.Seconds())
	s.earned = now
	if s.budget < 1 {
		return false
	}
	s.budget--
	s.stats.Retries++
	return true
}
