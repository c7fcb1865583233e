package balancer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"skylarkturn/internal/flow"
)

// counters holds the metrics that are updated while serving.
type counters struct {
	inwardByVerdict  [flow.DropNoTarget + 1]*metrics.Counter
	outwardDatagrams *metrics.Counter
	authErrors       *metrics.Counter // frames and control messages that failed authentication or decoding, or frames in the wrong direction
	unknownDatagrams *metrics.Counter // neither a frame nor a control message, or a frame of a service without a listen address
	tooLarge         *metrics.Counter // datagrams of callers above flow.MaxDatagram bytes
	sendErrors       *metrics.Counter
	heartbeats       *metrics.Counter
	controlIn        *metrics.Counter
	controlInBytes   *metrics.Counter
	controlOut       *metrics.Counter
	controlOutBytes  *metrics.Counter
	fetchErrors      *metrics.Counter // failed fetches of services or members from other daemons
	probes           *metrics.Counter
	platformErrors   *metrics.Counter // failed lists and watches of the service objects
	badObjects       *metrics.Counter // service objects ignored as invalid
	reloadErrors     *metrics.Counter // failed reloads of the credentials
}

func newCounters(s *metrics.Set) counters {
	c := counters{
		outwardDatagrams: s.NewCounter("skylark_datagrams_outward_total"),
		authErrors:       s.NewCounter("skylark_forged_total"),
		unknownDatagrams: s.NewCounter("skylark_unknown_datagrams_total"),
		tooLarge:         s.NewCounter("skylark_too_large_total"),
		sendErrors:       s.NewCounter("skylark_send_errors_total"),
		heartbeats:       s.NewCounter("skylark_heartbeats_total"),
		controlIn:        s.NewCounter("skylark_control_messages_received_total"),
		controlInBytes:   s.NewCounter("skylark_control_bytes_received_total"),
		controlOut:       s.NewCounter("skylark_control_messages_sent_total"),
		controlOutBytes:  s.NewCounter("skylark_control_bytes_sent_total"),
		probes:           s.NewCounter("skylark_probes_total"),
		fetchErrors:      s.NewCounter("skylark_fetch_errors_total"),
		platformErrors:   s.NewCounter("skylark_platform_errors_total"),
		badObjects:       s.NewCounter("skylark_bad_objects_total"),
		reloadErrors:     s.NewCounter("skylark_credential_reload_errors_total"),
	}
	for v := range c.inwardByVerdict {
		c.inwardByVerdict[v] = s.NewCounter(fmt.Sprintf("skylark_datagrams_inward_total{verdict=%q}", flow.Verdict(v)))
	}
	return c
}
