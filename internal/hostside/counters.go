package hostside

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"skylarkturn/internal/flowtable"
)

type counters struct {
	actions      [flowtable.Drop + 1][flowtable.Causes]*metrics.Counter
	forged       *metrics.Counter
	socketErrors *metrics.Counter
	storeErrors  *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	c := counters{
		forged:       set.NewCounter(`skylark_packets_forged_total`),
		socketErrors: set.NewCounter(`skylark_host_socket_errors_total`),
		storeErrors:  set.NewCounter(`skylark_store_errors_total`),
	}
	verbs := [...]string{flowtable.ToHost: "to_host", flowtable.ToClient: "to_client", flowtable.Reply: "reply", flowtable.Reset: "reset", flowtable.Drop: "drop"}
	for verb := flowtable.ToHost; verb <= flowtable.Drop; verb++ {
		for cause := range c.actions[verb] {
			name := fmt.Sprintf(`skylark_packets_total{action=%q,cause=%q}`, verbs[verb], flowtable.Cause(cause))
			c.actions[verb][cause] = set.NewCounter(name)
		}
	}
	return c
}
