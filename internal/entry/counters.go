package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"skylarkturn/internal/parcel"
	"skylarkturn/internal/steering"
)

type counters struct {
	actions     [steering.Drop + 1][steering.Causes]*metrics.Counter
	refused     [parcel.Reasons]*metrics.Counter
	forged      *metrics.Counter
	readErrors  *metrics.Counter
	storeErrors *metrics.Counter
	fetchErrors *metrics.Counter
}

// addGauges adds what is read when the metrics are.
func (b *Balancer) addGauges() {
	gauge := func(name string, read func() float64) {
		b.metrics.NewGauge(name, func() float64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return read()
		})
	}
	gauge(`skylark_config_version`, func() float64 { return float64(b.steer.Routes().Version()) })
	gauge(`skylark_config_age_seconds`, func() float64 { return time.Since(b.taken).Seconds() })
	gauge(`skylark_targets`, func() float64 { return float64(b.steer.TargetCount()) })
	gauge(`skylark_flows_remembered`, func() float64 { return float64(b.steer.Flows()) })
	gauge(`skylark_flows_pending`, func() float64 { return float64(b.steer.Pending()) })
	gauge(`skylark_flows_evicted`, func() float64 { return float64(b.steer.Evictions()) })
	gauge(`skylark_settled`, func() float64 { return number(b.settled) })
	gauge(`skylark_isolated`, func() float64 { return number(b.isolated) })
	b.metrics.NewGauge(`skylark_log_lines_dropped`, func() float64 { return float64(b.lines.Dropped()) })
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func newCounters(set *metrics.Set) counters {
	c := counters{
		forged:      set.NewCounter(`skylark_packets_forged_total`),
		readErrors:  set.NewCounter(`skylark_client_socket_errors_total`),
		storeErrors: set.NewCounter(`skylark_store_errors_total`),
		fetchErrors: set.NewCounter(`skylark_config_fetch_errors_total`),
	}
	for verb := steering.Send; verb <= steering.Drop; verb++ {
		for cause := range c.actions[verb] {
			name := fmt.Sprintf(`skylark_packets_total{action=%q,cause=%q}`, outcomes[verb], steering.Cause(cause))
			c.actions[verb][cause] = set.NewCounter(name)
		}
	}
	for reason := range c.refused {
		c.refused[reason] = set.NewCounter(fmt.Sprintf(`skylark_refusals_total{reason=%q}`, parcel.Reason(reason)))
	}
	return c
}
