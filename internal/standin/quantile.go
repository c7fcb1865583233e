package standin

import (
	"slices"
	"time"
)

// quantileMillis returns the q-quantile of durations, in milliseconds.
func quantileMillis(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	i := min(int(q*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[i].Microseconds()) / 1000
}
