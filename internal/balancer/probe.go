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
	probeQueue    = 256
	probeParallel = 16
	probeTimeout  = 500 * time.Millisecond
)

// Queues probes of the agents that have missed a heartbeat; called with mu held.
// A full queue drops them: they are quiet at the next tick, too.
func (b *Balancer) wantProbes(now time.Time) {
	for _, m := range b.members.ProbeCandidates(now) {
		if b.probing[m.Addr] {
			continue
		}
		select {
		case b.probes <- m:
			b.probing[m.Addr] = true
		default:
			return
		}
	}
}

// Makes the probes.
func (b *Balancer) probeAgents(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(probeParallel)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case m := <-b.probes:
			g.Go(func() error {
				b.probe(ctx, m)
				return nil
			})
		}
	}
}

// Connects to a quiet agent. A connection that is refused shows that its process
// has ended: one that is frozen or cut off refuses none. Then its callers can be
// told at once, where suspicion alone must leave their flows alone.
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
	delete(b.probing, m.Addr)
	if errors.Is(err, syscall.ECONNREFUSED) && b.members.MarkEnded(time.Now(), m.Addr, m.Incarnation) {
		b.rebuild()
		b.log.Info().Str("member", m.Name).Str("addr", m.Addr.String()).Msg("process of member has ended")
	}
}
