package platformstand

import (
	"bufio"
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"

	"skylarkturn/internal/report"
)

// decisionPattern matches the counters of the daemons' actions on packets.
var decisionPattern = regexp.MustCompile(`^skylark_packets_total\{action="(reset|drop|send)",cause="(\w+)"\} (\d+)$`)

// Decisions returns the decisions of the running daemons, summed by cause since each
// daemon's start: flows reset, packets dropped, and flow owners looked up.
func (s *Site) Decisions() []report.Metric {
	totals := make(map[string]int)
	for _, balancers := range []bool{true, false} {
		for _, v := range s.VMs(balancers) {
			if err := v.addDecisions(totals); err != nil {
				totals["daemons that did not tell"]++
			}
		}
	}
	var figures []report.Metric
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		figures = append(figures, report.Metric{Name: name, Value: float64(totals[name])})
	}
	return figures
}

// addDecisions adds the decision counters of the VM's daemon to totals.
func (v *VM) addDecisions(totals map[string]int) error {
	resp, err := http.Get("http://" + v.metricsAddr().String() + "/metrics")
	if err != nil {
		return &Error{"read decisions", KindNetwork, err}
	}
	defer resp.Body.Close()
	for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
		m := decisionPattern.FindStringSubmatch(sc.Text())
		if m == nil || m[1] == "send" && m[2] != "looked_up" {
			continue
		}
		n, err := strconv.Atoi(m[3])
		if err != nil {
			return &Error{"read decisions", KindNetwork, err}
		}
		if n > 0 {
			totals[fmt.Sprintf("%s: %s", m[1], m[2])] += n
		}
	}
	return nil
}
