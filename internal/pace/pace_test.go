package pace

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-quicktest/qt"
)

func TestBackoffGrowsToItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := Backoff{Min: 100 * time.Millisecond, Max: time.Second}
		for _, d := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
			began := time.Now()
			b.Sleep(t.Context())
			took := time.Since(began)
			qt.Check(t, qt.IsTrue(took >= d*time.Millisecond/2 && took <= d*time.Millisecond*3/2), qt.Commentf("%v", took))
		}
		b.Reset()
		began := time.Now()
		b.Sleep(t.Context())
		qt.Check(t, qt.IsTrue(time.Since(began) <= 150*time.Millisecond))
	})
}

func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		Sleep(ctx, time.Hour)
		qt.Check(t, qt.Equals(time.Since(began), time.Second))
	})
}
