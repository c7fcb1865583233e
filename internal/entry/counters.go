package entry

import (
	"fmt"

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

func newCounters(set *metrics.Set) counters {
	c := counters{
		forged:      set.NewCounter(`skylark_packets_forged_total`),
		readErrors:  set.NewCounter(`skylark_client_socket_errors_total`),
		storeErrors: set.NewCounter(`skylark_store_errors_total`),
		fetchErrors: set.NewCounter(`skylark_config_fetch_errors_total`),
	}
	verbs := [...]string{steering.Send: "send", steering.Reset: "reset", steering.Drop: "drop"}
	for verb := steering.Send; verb <= steering.Drop; verb++ {
		for cause := range c.actions[verb] {
			name := fmt.Sprintf(`skylark_packets_total{action=%q,cause=%q}`, verbs[verb], steering.Cause(cause))
			c.actions[verb][cause] = set.NewCounter(name)
		}
	}
	for reason := range c.refused {
		c.refused[reason] = set.NewCounter(fmt.Sprintf(`skylark_refusals_total{reason=%q}`, parcel.Reason(reason)))
	}
	return c
}
