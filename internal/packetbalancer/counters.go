package packetbalancer

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"skylarkturn/internal/ops"
	"skylarkturn/internal/steering"
	"skylarkturn/internal/tunnel"
)

type counters struct {
	actions            [steering.Drop + 1][steering.NumCauses]*metrics.Counter // by operation and cause
	refusals           [tunnel.NumReasons]*metrics.Counter                     // agents' refusals by reason
	invalidPackets     *metrics.Counter
	clientSocketErrors *metrics.Counter
	storeErrors        *metrics.Counter
	storeRestores      *metrics.Counter
	fetchErrors        *metrics.Counter
	lookupSeconds      *metrics.Histogram // seconds from the first query about a flow to its owner's answer

	set          *metrics.Set
	mu           sync.Mutex                    // guards placeSeconds
	placeSeconds map[string]*metrics.Histogram // by service
}

// placeSecondsOf returns the histogram of the seconds that new flows of a service
// wait for a target, and creates it on first use.
func (c *counters) placeSecondsOf(service string) *metrics.Histogram {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.placeSeconds[service]
	if h == nil {
		h = c.set.GetOrCreateHistogram(fmt.Sprintf(`skylark_place_seconds{service=%q}`, service))
		c.placeSeconds[service] = h
	}
	return h
}

// observeWait records how long a flow waited for its owner to be found or for a
// target.
func (c *counters) observeWait(a *steering.Action) {
	switch {
	case a.Cause == steering.Found:
		c.lookupSeconds.Update(a.Waited.Seconds())
	case a.Op == steering.Send && a.Service != "" && a.Cause != steering.Known:
		c.placeSecondsOf(a.Service).Update(a.Waited.Seconds())
	}
}

// addGauges registers the gauges that are computed when metrics are scraped.
func (b *Balancer) addGauges() {
	gauge := ops.LockedGauges(b.metrics, &b.mu)
	gauge(`skylark_config_version`, func() float64 { return float64(b.steering.Routes().Version()) })
	gauge(`skylark_store_epoch`, func() float64 { return float64(b.storeEpoch()) })
	gauge(`skylark_config_age_seconds`, func() float64 { return time.Since(b.configAppliedAt).Seconds() })
	gauge(`skylark_targets`, func() float64 { return float64(b.steering.TargetCount()) })
	gauge(`skylark_flows_remembered`, func() float64 { return float64(b.steering.FlowCount()) })
	gauge(`skylark_flows_pending`, func() float64 { return float64(b.steering.PendingCount()) })
	gauge(`skylark_flows_evicted`, func() float64 { return float64(b.steering.Evictions()) })
	gauge(`skylark_settled`, func() float64 { return boolToFloat(b.settled) })
	gauge(`skylark_config_checked_age_seconds`, func() float64 {
		ago, _ := b.members.CheckAge(time.Now())
		return ago.Seconds()
	})
	gauge(`skylark_oldest_heartbeat_seconds`, func() float64 { return b.members.OldestHeartbeatAge(time.Now()).Seconds() })
	gauge(`skylark_isolated`, func() float64 { return boolToFloat(b.isolated) })
	b.metrics.NewGauge(`skylark_log_lines_dropped`, func() float64 { return float64(b.flowLogLimit.Dropped()) })
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		set:                set,
		placeSeconds:       make(map[string]*metrics.Histogram),
		lookupSeconds:      set.NewHistogram(`skylark_lookup_seconds`),
		invalidPackets:     set.NewCounter(`skylark_packets_forged_total`),
		clientSocketErrors: set.NewCounter(`skylark_client_socket_errors_total`),
		storeErrors:        set.NewCounter(`skylark_store_errors_total`),
		storeRestores:      set.NewCounter(`skylark_store_restores_total`),
		fetchErrors:        set.NewCounter(`skylark_config_fetch_errors_total`),
	}
	for op := steering.Send; op <= steering.Drop; op++ {
		for cause := range c.actions[op] {
			name := fmt.Sprintf(`skylark_packets_total{action=%q,cause=%q}`, outcomeNames[op], steering.Cause(cause))
			c.actions[op][cause] = set.NewCounter(name)
		}
	}
	for reason := range c.refusals {
		c.refusals[reason] = set.NewCounter(fmt.Sprintf(`skylark_refusals_total{reason=%q}`, tunnel.Reason(reason)))
	}
	return c
}
