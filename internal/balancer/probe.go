package balancer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"skylarkturn/internal/roster"
)

const (
	probeQueueLen     = 256
	maxParallelProbes = 16
	probeTimeout      = 500 * time.Millisecond
)

// queueProbes queues probes of the agents that have missed a heartbeat. It drops
// those that do not fit into the queue; they are selected again at the next tick.
// The caller must hold mu.
func (b *Balancer) queueProbes(now time.Time) {
	for _, m := range b.members.ProbeCandidates(now) {
		if b.pendingProbes[m.Addr] {
			continue
		}
		select {
		case b.probeQueue <- m:
			b.pendingProbes[m.Addr] = true
		default:
			return
		}
	}
}

// runProbes executes the queued probes until ctx is done.
func (b *Balancer) runProbes(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(maxParallelProbes)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case m := <-b.probeQueue:
			g.Go(func() error {
				b.probe(ctx, m)
				return nil
			})
		}
	}
}

// probe connects to an agent that has missed a heartbeat. A refused connection
// proves that the process has ended, since a frozen or unreachable process does
// not refuse connections. Only then are the flows of the agent reset immediately;
// mere suspicion must not affect them.
func (b *Balancer) probe(ctx context.Context, m roster.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", m.Addr.String())
	if err == nil {
		_ = conn.Close()
	}
	b.counters.probes.Inc()
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pendingProbes, m.Addr)
	if errors.Is(err, syscall.ECONNREFUSED) && b.members.MarkEnded(time.Now(), m.Addr, m.Incarnation) {
		b.rebuildTable()
		b.log.Info().Str("member", m.Name).Str("addr", m.Addr.String()).Msg("member process has exited")
	}
}
