package packetagent

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"skylarkturn/internal/flowtable"
	"skylarkturn/internal/ops"
)

type counters struct {
	actions          [flowtable.Drop + 1][flowtable.NumCauses]*metrics.Counter // by operation and cause
	invalidPackets   *metrics.Counter
	hostSocketErrors *metrics.Counter
	storeErrors      *metrics.Counter
	storeRestores    *metrics.Counter
}

// addGauges registers the gauges that are computed when metrics are scraped.
func (a *Agent) addGauges() {
	gauge := ops.LockedGauges(a.metrics, &a.mu)
	gauge(`skylark_flows`, func() float64 { return float64(a.flows.Flows()) })
	gauge(`skylark_flows_busy`, func() float64 { return float64(a.flows.Busy()) })
	gauge(`skylark_flows_evicted`, func() float64 { return float64(a.flows.Evictions()) })
	gauge(`skylark_host_heartbeat_age_seconds`, func() float64 { return a.flows.ReportAge(time.Now()).Seconds() })
	gauge(`skylark_store_epoch`, func() float64 { return float64(a.storeEpoch()) })
	gauge(`skylark_observers`, func() float64 { return float64(a.members.ObserverCount()) })
	a.metrics.NewGauge(`skylark_log_lines_dropped`, func() float64 { return float64(a.flowLogLimit.Dropped()) })
}

func newCounters(set *metrics.Set) counters {
	c := counters{
		invalidPackets:   set.NewCounter(`skylark_packets_forged_total`),
		hostSocketErrors: set.NewCounter(`skylark_host_socket_errors_total`),
		storeErrors:      set.NewCounter(`skylark_store_errors_total`),
		storeRestores:    set.NewCounter(`skylark_store_restores_total`),
	}
	for op := flowtable.ToHost; op <= flowtable.Drop; op++ {
		for cause := range c.actions[op] {
			name := fmt.Sprintf(`skylark_packets_total{action=%q,cause=%q}`, outcomeNames[op], flowtable.Cause(cause))
			c.actions[op][cause] = set.NewCounter(name)
		}
	}
	return c
}
