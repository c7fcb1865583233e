package agent

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counters holds the metrics that are updated while serving.
type counters struct {
	set              *metrics.Set
	tenant           string
	service          string
	forged           *metrics.Counter // frames and control messages that failed authentication or decoding, or frames in the wrong direction
	unknownDatagrams *metrics.Counter // neither a frame nor a control message
	foreign          *metrics.Counter // frames for another service or agent, or that are not QUIC
	fenced           *metrics.Counter // datagrams for an earlier incarnation
	orphans          *metrics.Counter // datagrams of callers whose agent is gone
	forwarded        *metrics.Counter // first datagrams of flows forwarded to other targets
	refusedFlows     *metrics.Counter // new flows neither accepted nor forwarded
	moveRequests     *metrics.Counter // sessions asked to move because of overload
	queueDrops       *metrics.Counter // datagrams dropped because the inbound queue was full
	sendErrors       *metrics.Counter
	controlInBytes   *metrics.Counter
	controlOutBytes  *metrics.Counter
	reloadErrors     *metrics.Counter

	mu        sync.Mutex                    // guards durations
	durations map[string]*metrics.Histogram // by full metric name
}

func newCounters(s *metrics.Set, tenant, service string) *counters {
	return &counters{
		set:              s,
		tenant:           tenant,
		service:          service,
		forged:           s.NewCounter("skylark_forged_total"),
		unknownDatagrams: s.NewCounter("skylark_unknown_datagrams_total"),
		foreign:          s.NewCounter("skylark_foreign_datagrams_total"),
		fenced:           s.NewCounter("skylark_fenced_datagrams_total"),
		orphans:          s.NewCounter("skylark_orphan_datagrams_total"),
		forwarded:        s.NewCounter("skylark_flows_handed_on_total"),
		moveRequests:     s.NewCounter("skylark_sessions_asked_to_move_total"),
		refusedFlows:     s.NewCounter("skylark_flows_refused_total"),
		queueDrops:       s.NewCounter("skylark_inbound_queue_drops_total"),
		sendErrors:       s.NewCounter("skylark_send_errors_total"),
		controlInBytes:   s.NewCounter("skylark_control_bytes_received_total"),
		controlOutBytes:  s.NewCounter("skylark_control_bytes_sent_total"),
		reloadErrors:     s.NewCounter("skylark_credential_reload_errors_total"),
		durations:        make(map[string]*metrics.Histogram),
	}
}

// observeRequest records the result and the duration of a request of the class.
func (c *counters) observeRequest(class, result string, d time.Duration) {
	name := fmt.Sprintf("skylark_request_seconds{tenant=%q,service=%q,class=%q,result=%q}", c.tenant, c.service, class, result)
	c.mu.Lock()
	h := c.durations[name]
	if h == nil {
		h = c.set.NewHistogram(name)
		c.durations[name] = h
	}
	c.mu.Unlock()
	h.Update(d.Seconds())
}
