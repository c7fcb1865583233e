package ops

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
)

// KindServe is the kind of errors of servers.
const KindServe = "serve"

// Error reports the operation of package ops that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns a message with the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ops: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	shutdownTimeout   = time.Second     // for active requests at shutdown
	readHeaderTimeout = 5 * time.Second // for a client to send the header of a request
)

// Serve serves h on ln until ctx is done. It then waits up to shutdownTimeout for
// active requests before it closes their connections.
func Serve(ctx context.Context, ln net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if s.Shutdown(ctx) != nil {
			_ = s.Close() // closes the remaining connections
		}
	})
	err := s.Serve(ln)
	if !stop() {
		<-stopped
	}
	if !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		return &Error{"serve " + ln.Addr().String(), KindServe, err}
	}
	return nil
}

// Servers is the set of HTTP servers of one daemon.
type Servers struct{ servers []server }

// server is a listener and the handler that it serves.
type server struct {
	ln net.Listener
	h  http.Handler
}

// Listen adds a server for h that listens on addr.
func (s *Servers) Listen(addr netip.AddrPort, h http.Handler) error {
	ln, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return &Error{"listen " + addr.String(), KindServe, err}
	}
	s.servers = append(s.servers, server{ln, h})
	return nil
}

// Serve runs all servers until ctx is done or one of them fails.
func (s *Servers) Serve(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, srv := range s.servers {
		g.Go(func() error { return Serve(ctx, srv.ln, srv.h) })
	}
	return g.Wait()
}

// Close closes the listeners. It ignores errors, which have no effect at shutdown.
func (s *Servers) Close() {
	for _, srv := range s.servers {
		_ = srv.ln.Close()
	}
}

// MetricsHandler returns a handler that responds with the metrics from all writers.
// Nil writers are skipped.
func MetricsHandler(writers ...func(io.Writer)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for _, write := range writers {
			if write != nil {
				write(w)
			}
		}
	})
}

// WriteProcessMetrics writes the metrics of the global set and of the process, such
// as memory and CPU time.
func WriteProcessMetrics(w io.Writer) { metrics.WritePrometheus(w, true) }

// LockedGauges returns a function that adds a gauge to set. The gauge's read
// function is called with mu locked.
func LockedGauges(set *metrics.Set, mu sync.Locker) func(name string, read func() float64) {
	return func(name string, read func() float64) {
		set.NewGauge(name, func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return read()
		})
	}
}

// AddrOf returns a daemon's HTTP address for metrics and status. Its port follows
// that of inner, the daemon's address for datagrams between daemons.
func AddrOf(inner netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(inner.Addr(), inner.Port()+1)
}

// RegisterProfiles adds the pprof endpoints to mux. They accept requests from
// loopback addresses only.
func RegisterProfiles(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", loopbackOnly(pprof.Index))
	mux.HandleFunc("GET /debug/pprof/profile", loopbackOnly(pprof.Profile))
}

// loopbackOnly rejects requests from other than loopback addresses.
func loopbackOnly(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a, err := netip.ParseAddrPort(r.RemoteAddr)
		if err != nil || !a.Addr().IsLoopback() {
			http.Error(w, "profiles are served to loopback clients only", http.StatusForbidden)
			return
		}
		h(w, r)
	}
}
