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

// Error reports the listener that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ops: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	shutdownTimeout = time.Second
	headerTimeout   = 5 * time.Second
)

// Serve serves h on ln until ctx is done.
func Serve(ctx context.Context, ln net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if s.Shutdown(ctx) != nil {
			_ = s.Close() // what is left is cut
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

// Servers are HTTP servers of one daemon.
type Servers struct{ servers []server }

type server struct {
	ln net.Listener
	h  http.Handler
}

// Listen opens a listener for h.
func (s *Servers) Listen(addr netip.AddrPort, h http.Handler) error {
	ln, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return &Error{"listen " + addr.String(), KindServe, err}
	}
	s.servers = append(s.servers, server{ln, h})
	return nil
}

// Serve serves all of them until ctx is done.
func (s *Servers) Serve(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, v := range s.servers {
		g.Go(func() error { return Serve(ctx, v.ln, v.h) })
	}
	return g.Wait()
}

// Close closes the listeners; errors say nothing that matters at the end.
func (s *Servers) Close() {
	for _, v := range s.servers {
		_ = v.ln.Close()
	}
}

// Metrics answers with what the writers write; nil ones are left out.
func Metrics(writers ...func(io.Writer)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for _, write := range writers {
			if write != nil {
				write(w)
			}
		}
	})
}

// Process writes the metrics of the process itself.
func Process(w io.Writer) { metrics.WritePrometheus(w, true) }

// Gauges returns a function that adds gauges to set, which are read with mu held.
func Gauges(set *metrics.Set, mu sync.Locker) func(name string, read func() float64) {
	return func(name string, read func() float64) {
		set.NewGauge(name, func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return read()
		})
	}
}

// AddrOf returns the address of a daemon's metrics: the port after the one for
// datagrams between daemons.
func AddrOf(inner netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(inner.Addr(), inner.Port()+1)
}

// Profiles adds the profile endpoints, which answer on loopback only.
func Profiles(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", local(pprof.Index))
	mux.HandleFunc("GET /debug/pprof/profile", local(pprof.Profile))
}

func local(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a, err := netip.ParseAddrPort(r.RemoteAddr)
		if err != nil || !a.Addr().IsLoopback() {
			http.Error(w, "profiles are served on loopback only", http.StatusForbidden)
			return
		}
		h(w, r)
	}
}
