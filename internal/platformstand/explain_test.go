package platformstand

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-quicktest/qt"
)

// logBuffer collects the output of the daemons, which write concurrently.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// lines returns the lines that contain all of the words.
func (b *logBuffer) lines(words ...string) (found []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.SplitSeq(b.buf.String(), "\n") {
		all := line != ""
		for _, w := range words {
			all = all && strings.Contains(line, w)
		}
		if all {
			found = append(found, line)
		}
	}
	return found
}

// await waits until a line contains all of the words and returns the first such.
func (b *logBuffer) await(t *testing.T, words ...string) string {
	t.Helper()
	for range 500 {
		if found := b.lines(words...); len(found) > 0 {
			return found[0]
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("no log line contains %q", words)
	return ""
}

// startSite starts a site with one balancer and hosts of one service, and returns it
// with the daemons' log. The TestExplain tests check the procedures of
// docs/OPERATIONS.md: each finds the cause of a user's failed flow from nothing but
// the daemons' log lines and HTTP endpoints.
func startSite(t *testing.T, hosts int) (*Site, *logBuffer) {
	log := &logBuffer{}
	s, err := NewSite(Options{Bin: buildDaemons(t), Dir: t.TempDir(), Log: log, Seed: 1})
	qt.Assert(t, qt.IsNil(err))
	t.Cleanup(s.Close)
	qt.Assert(t, qt.IsNil(s.Configure(map[string]string{"r0": "bookdesk"}, "r0")))
	_, err = s.AddBalancer()
	qt.Assert(t, qt.IsNil(err))
	for range hosts {
		_, err = s.AddHost("bookdesk")
		qt.Assert(t, qt.IsNil(err))
	}
	qt.Assert(t, qt.IsNil(s.WaitReady(1, startTimeout)))
	log.await(t, `"event":"target"`, `"state":"ready"`)
	return s, log
}

// flowField returns the value of the key flow of a log line.
func flowField(t *testing.T, line string) string {
	t.Helper()
	_, rest, ok := strings.Cut(line, `"flow":"`)
	qt.Assert(t, qt.IsTrue(ok))
	flow, _, _ := strings.Cut(rest, `"`)
	return strings.ReplaceAll(flow, `\u003e`, ">")
}

// get returns the response to a GET of a path at a daemon's metrics address.
func get(t *testing.T, v *VM, path string) string {
	t.Helper()
	resp, err := http.Get("http://" + v.metricsAddr().String() + path)
	qt.Assert(t, qt.IsNil(err))
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, qt.IsNil(err))
	return string(body)
}

// decisions returns the decisions about a flow that a daemon serves.
func decisions(t *testing.T, v *VM, flow string) string {
	t.Helper()
	return get(t, v, "/debug/flows?flow="+url.QueryEscape(flow))
}

// TestExplainResetOfLostHost checks that after a host crash the agent's log and
// decisions show that it owned the flow and reset it.
func TestExplainResetOfLostHost(t *testing.T) {
	s, log := startSite(t, 1)
	qt.Assert(t, qt.IsNil(s.StartClients(2)))
	for n := 0; n < 5; _, n = s.Checker.ServedShare(time.Time{}) {
		time.Sleep(20 * time.Millisecond)
	}
	host := s.VMs(false)[0]
	host.Host.Crash()
	line := log.await(t, `"event":"flow"`, `"outcome":"reset"`, `"cause":"host_ended"`)
	log.await(t, `"event":"host_checked"`, `"result":"absent"`)
	served := decisions(t, host, flowField(t, line))
	qt.Check(t, qt.StringContains(served, `"outcome":"own"`))
	qt.Check(t, qt.StringContains(served, `"outcome":"reset","cause":"host_ended"`))
}

// TestExplainRefusalOfFullService checks that when every host returns the SYN,
// the log and the balancer's decisions show both attempts and the reset.
func TestExplainRefusalOfFullService(t *testing.T) {
	s, log := startSite(t, 2)
	for _, v := range s.VMs(false) {
		v.Host.RejectNewFlows()
	}
	qt.Assert(t, qt.IsNil(s.StartClients(1)))
	line := log.await(t, `"event":"flow"`, `"outcome":"reset"`, `"cause":"all_refused"`)
	served := decisions(t, s.VMs(true)[0], flowField(t, line))
	qt.Check(t, qt.StringContains(served, `"outcome":"send","cause":"placed"`))
	qt.Check(t, qt.StringContains(served, `"outcome":"send","cause":"placed_again"`))
	log.await(t, `"outcome":"refuse"`, `"cause":"full"`, flowField(t, line)[:12])
}

// TestExplainSilenceOfDarkVM checks that a frozen VM is suspected, and that the flows
// that it held are reset with its address in the log line once it has been silent for
// longer than a pause may take.
func TestExplainSilenceOfDarkVM(t *testing.T) {
	s, log := startSite(t, 2)
	qt.Assert(t, qt.IsNil(s.StartClients(4)))
	for n := 0; n < 12; _, n = s.Checker.ServedShare(time.Time{}) {
		time.Sleep(20 * time.Millisecond)
	}
	host := s.VMs(false)[0]
	var frozen sync.WaitGroup
	frozen.Go(func() { host.Freeze(6 * time.Second) })
	line := log.await(t, `"event":"target"`, `"state":"suspect"`, host.Name)
	qt.Check(t, qt.StringContains(line, host.Addr.String()))
	line = log.await(t, `"event":"flow"`, `"outcome":"reset"`, `"cause":"owner_gone"`, host.Addr.String())
	served := decisions(t, s.VMs(true)[0], flowField(t, line))
	qt.Check(t, qt.StringContains(served, `"outcome":"send","cause":"placed","peer":"`+host.Addr.String()))
	frozen.Wait()
	log.await(t, `"event":"target"`, `"state":"ready"`, host.Name)
}
