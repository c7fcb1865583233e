package pace

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d, or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Backoff is a delay that doubles with each failure, up to a bound.
type Backoff struct {
	Min, Max time.Duration

	next time.Duration
}

// Sleep waits for the delay with jitter, between half of it and one and a half.
func (b *Backoff) Sleep(ctx context.Context) {
	d := max(b.next, b.Min)
	Sleep(ctx, d/2+rand.N(d))
	b.next = min(2*d, b.Max)
}

// Reset notes a success.
func (b *Backoff) Reset() { b.next = 0 }
