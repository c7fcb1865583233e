package platformstand

import (
	"encoding/json"
	"errors"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-quicktest/qt"
)

// ctl runs skylarkctl with the site's first balancer and returns its output and exit
// status.
func ctl(t *testing.T, s *Site, args ...string) (output string, status int) {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), filepath.Join(s.bin, "skylarkctl"), args...)
	cmd.Env = []string{"SKYLARK_FLEET=" + s.VMs(true)[0].metricsAddr().String()}
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

func TestSkylarkctlFleet(t *testing.T) {
	s, log := startSite(t, 2)
	qt.Assert(t, qt.IsNil(s.StartClients(2)))
	for n := 0; n < 5; _, n = s.Checker.ServedShare(time.Time{}) {
		time.Sleep(20 * time.Millisecond)
	}
	balancer, agent := s.VMs(true)[0], s.VMs(false)[0]
	for _, c := range []struct {
		args   []string
		status int
		want   []string // regular expressions that match part of the output
	}{
		{[]string{"fleet", "status"}, 0, []string{
			balancer.Name + ` +balancer +z1 .* configuration \d+, checked .* ago, 2 targets`,
			agent.Name + ` +agent .* host \S+ of bookdesk ready, heard .* ago, busy \d+ of \d+ slots, 1 observers`,
		}},
		{[]string{"fleet", "members"}, 0, []string{
			agent.Name + ` +agent +z1 +` + agent.Addr.String() + `:\d+ +ready +bookdesk`, balancer.Name + ` +balancer .* ready .* 0s ago`,
		}},
		{[]string{"fleet", "target", agent.Name}, 0, []string{
			`^` + agent.Name + `, up .*: host \S+ of bookdesk ready`, balancer.Name + ` +ready +\d+ +bookdesk`,
		}},
		{[]string{"fleet", "target", "nobody"}, 2, nil},
		{[]string{"fleet", "flow", "100.64.0.1:1>198.18.0.1:2"}, 0, []string{`no daemon remembers`}},
		{[]string{"fleet", "--at", "127.0.0.1:1", "status"}, 4, nil},
		{[]string{"members"}, 2, []string{`missing flag --server`}},
	} {
		output, status := ctl(t, s, c.args...)
		qt.Check(t, qt.Equals(status, c.status), qt.Commentf("%q:\n%s", c.args, output))
		for _, w := range c.want {
			qt.Check(t, qt.Matches(output, `(?ms).*`+w+`.*`), qt.Commentf("%q", c.args))
		}
	}
	agent.Host.Crash()
	flow := flowField(t, log.await(t, `"event":"flow"`, `"outcome":"reset"`))
	output, status := ctl(t, s, "--json", "fleet", "flow", flow)
	qt.Check(t, qt.Equals(status, 0))
	var a struct {
		Flow      string
		Decisions []struct{ Daemon, Outcome, Cause string }
	}
	qt.Assert(t, qt.IsNil(json.Unmarshal([]byte(output), &a)))
	qt.Check(t, qt.Equals(a.Flow, flow))
	seen := make(map[string]bool)
	for _, d := range a.Decisions {
		seen[d.Daemon+" "+d.Outcome] = true
	}
	qt.Check(t, qt.IsTrue(seen[balancer.Name+" send"]), qt.Commentf("%s", output))
	qt.Check(t, qt.IsTrue(seen[agent.Name+" own"]), qt.Commentf("%s", output))
}

func TestDaemonMetrics(t *testing.T) {
	s, _ := startSite(t, 2)
	qt.Assert(t, qt.IsNil(s.StartClients(2)))
	for n := 0; n < 5; _, n = s.Checker.ServedShare(time.Time{}) {
		time.Sleep(20 * time.Millisecond)
	}
	for _, c := range []struct {
		vm   *VM
		want []string
	}{
		{s.VMs(true)[0], []string{
			`skylark_place_seconds_count{service="bookdesk"}`, `skylark_store_call_seconds_count{kind="config",call="get",result="ok"}`,
			`skylark_config_checked_age_seconds`, `skylark_oldest_heartbeat_seconds`, `skylark_refusals_total{reason="crowded"}`,
			`skylark_control_bytes_total{direction="in"}`,
		}},
		{s.VMs(false)[0], []string{
			`skylark_store_call_seconds_count{kind="skylark-agents",call="post",result="ok"}`, `skylark_host_heartbeat_age_seconds`, `skylark_flows_busy`,
		}},
	} {
		body := get(t, c.vm, "/metrics")
		for _, w := range c.want {
			qt.Check(t, qt.StringContains(body, w))
		}
	}
}
