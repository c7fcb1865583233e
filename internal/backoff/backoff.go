package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep sleeps for d or until ctx is done, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Exponential is an exponential backoff with jitter. The delay starts at Min and
// doubles with each Sleep up to Max.
type Exponential struct {
	Min, Max time.Duration // bounds of the delay before jitter

	next time.Duration // delay of the next Sleep; zero for Min
}

// Sleep sleeps between half and one and a half times the current delay, or until ctx
// is done.
func (e *Exponential) Sleep(ctx context.Context) {
	d := max(e.next, e.Min)
	Sleep(ctx, d/2+rand.N(d))
	e.next = min(2*d, e.Max)
}

// Reset sets the delay to Min, for use after a success.
func (e *Exponential) Reset() { e.next = 0 }
