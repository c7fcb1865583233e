package backoff

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-quicktest/qt"
)

func TestExponentialGrowsToMax(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := Exponential{Min: 100 * time.Millisecond, Max: time.Second}
		for _, d := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
			start := time.Now()
			e.Sleep(t.Context())
			elapsed := time.Since(start)
			qt.Check(t, qt.IsTrue(elapsed >= d*time.Millisecond/2 && elapsed <= d*time.Millisecond*3/2), qt.Commentf("%v", elapsed))
		}
		e.Reset()
		start := time.Now()
		e.Sleep(t.Context())
		qt.Check(t, qt.IsTrue(time.Since(start) <= 150*time.Millisecond))
	})
}

func TestSleepReturnsWhenContextIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		Sleep(ctx, time.Hour)
		qt.Check(t, qt.Equals(time.Since(start), time.Second))
	})
}
