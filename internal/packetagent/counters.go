package packetagent

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"skylarkturn/internal/flowtable"
	"skylarkturn/internal/ops"
	"skylarkturn/internal/tunnel"
)

type counters struct {
	set              *metrics.Set
	actions          [flowtable.Drop + 1][flowtable.NumCauses]*metrics.Counter // by operation and cause
	invalidPackets   *metrics.Counter
	hostSocketErrors *metrics.Counter
	storeErrors      *metrics.Counter
	storeRestores    *metrics.Counter
	heartbeats       [flowtable.NumVerdicts]*metrics.Counter  // of hosts, by verdict
	pauses           *metrics.Counter                         // of the agent
	presences        [flowtable.NumPresences]*metrics.Counter // changes of what is known of the host

	malformedHeartbeats *metrics.Counter
}

// addGauges registers the gauges that are computed when metrics are scraped.
func (a *Agent) addGauges() {
	gauge := ops.LockedGauges(a.metrics, &a.mu)
	gauge(`skylark_flows`, func() float64 { return float64(a.flows.Flows()) })
	gauge(`skylark_flows_busy`, func() float64 { return float64(a.flows.Busy()) })
	gauge(`skylark_requests_held`, func() float64 { return float64(a.flows.Held()) })
	gauge(`skylark_flows_evicted`, func() float64 { return float64(a.flows.Evictions()) })
	gauge(`skylark_host_heartbeat_age_seconds`, func() float64 { return a.flows.ReportAge(time.Now()).Seconds() })
	gauge(`skylark_store_epoch`, func() float64 { return float64(a.storeEpoch()) })
	gauge(`skylark_observers`, func() float64 { return float64(a.members.ObserverCount()) })
	a.metrics.NewGauge(`skylark_log_lines_dropped`, func() float64 { return float64(a.flowLogLimit.Dropped()) })
}

func newCounters(set *metrics.Set) counters {
	c := counters{
		set:              set,
		invalidPackets:   set.NewCounter(`skylark_packets_forged_total`),
		hostSocketErrors: set.NewCounter(`skylark_host_socket_errors_total`),
		storeErrors:      set.NewCounter(`skylark_store_errors_total`),
		pauses:           set.NewCounter(`skylark_pauses_total`),
		storeRestores:    set.NewCounter(`skylark_store_restores_total`),
	}
	heartbeatCounter := func(verdict string) *metrics.Counter {
		return set.NewCounter(fmt.Sprintf(`skylark_host_heartbeats_total{verdict=%q}`, verdict))
	}
	c.malformedHeartbeats = heartbeatCounter("malformed")
	for v := range c.heartbeats {
		c.heartbeats[v] = heartbeatCounter(flowtable.Verdict(v).String())
	}
	for p := range c.presences {
		c.presences[p] = set.NewCounter(fmt.Sprintf(`skylark_host_presence_changes_total{presence=%q}`, flowtable.Presence(p)))
	}
	for op := flowtable.ToHost; op <= flowtable.Drop; op++ {
		for cause := range c.actions[op] {
			name := fmt.Sprintf(`skylark_packets_total{action=%q,cause=%q}`, outcomeNames[op], flowtable.Cause(cause))
			c.actions[op][cause] = set.NewCounter(name)
		}
	}
	return c
}

// observeHold records how long a request was held before it was forwarded.
func (c *counters) observeHold(a *flowtable.Action) {
	if a.Cause == flowtable.Released {
		c.set.GetOrCreateHistogram(fmt.Sprintf(`skylark_request_hold_seconds{route=%q}`, a.Flow.Route.AddrPort())).Update(a.Waited.Seconds())
	}
}

// observeRefusal counts a new flow that was refused for the host's load.
func (c *counters) observeRefusal(a *flowtable.Action) {
	if reason := a.Header.Reason; a.Op == flowtable.Reply && (reason == tunnel.Crowded || reason == tunnel.Busy) {
		c.set.GetOrCreateCounter(fmt.Sprintf(`skylark_flows_refused_total{route=%q,reason=%q}`, a.Flow.Route.AddrPort(), reason)).Inc()
	}
}
