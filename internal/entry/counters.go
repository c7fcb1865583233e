package entry

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"skylarkturn/internal/ops"
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
	found       *metrics.Histogram // seconds from the first question about a flow to its owner's answer

	set    *metrics.Set
	mu     sync.Mutex // guards placed
	placed map[string]*metrics.Histogram
}

// Returns the histogram of the seconds that new flows of a service wait for a
// target.
func (c *counters) placedFor(service string) *metrics.Histogram {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.placed[service]
	if h == nil {
		h = c.set.GetOrCreateHistogram(fmt.Sprintf(`skylark_place_seconds{service=%q}`, service))
		c.placed[service] = h
	}
	return h
}

// Notes how long a flow waited for a decision.
func (c *counters) waited(a *steering.Action) {
	switch {
	case a.Cause == steering.Found:
		c.found.Update(a.Waited.Seconds())
	case a.Verb == steering.Send && a.Service != "" && a.Cause != steering.Known:
		c.placedFor(a.Service).Update(a.Waited.Seconds())
	}
}

// addGauges adds what is read when the metrics are.
func (b *Balancer) addGauges() {
	gauge := ops.Gauges(b.metrics, &b.mu)
	gauge(`skylark_config_version`, func() float64 { return float64(b.steer.Routes().Version()) })
	gauge(`skylark_config_age_seconds`, func() float64 { return time.Since(b.taken).Seconds() })
	gauge(`skylark_targets`, func() float64 { return float64(b.steer.TargetCount()) })
	gauge(`skylark_flows_remembered`, func() float64 { return float64(b.steer.Flows()) })
	gauge(`skylark_flows_pending`, func() float64 { return float64(b.steer.Pending()) })
	gauge(`skylark_flows_evicted`, func() float64 { return float64(b.steer.Evictions()) })
	gauge(`skylark_settled`, func() float64 { return number(b.settled) })
	gauge(`skylark_config_checked_age_seconds`, func() float64 {
		ago, _ := b.members.CheckedAgo(time.Now())
		return ago.Seconds()
	})
	gauge(`skylark_oldest_heartbeat_seconds`, func() float64 { return b.members.OldestHeartbeat(time.Now()).Seconds() })
	gauge(`skylark_isolated`, func() float64 { return number(b.isolated) })
	b.metrics.NewGauge(`skylark_log_lines_dropped`, func() float64 { return float64(b.lines.Dropped()) })
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		set:         set,
		placed:      make(map[string]*metrics.Histogram),
		found:       set.NewHistogram(`skylark_lookup_seconds`),
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
