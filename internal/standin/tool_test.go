package standin_test

import (
	"errors"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/go-quicktest/qt"
)

// runCtl runs skylarkctl against the first balancer and returns its output and exit
// status.
func (d *operatorTest) runCtl(args ...string) (output string, status int) {
	d.t.Helper()
	files := d.Authority.Files()
	dir := filepath.Dir(files.CA)
	cmd := exec.CommandContext(d.ctx, filepath.Join(binDir, "skylarkctl"), args...)
	cmd.Env = []string{
		"SKYLARK_SERVER=" + d.balancers[0].AdminAddr, "SKYLARK_CA=" + files.CA,
		"SKYLARK_CERT=" + filepath.Join(dir, "operator.pem"), "SKYLARK_KEY=" + filepath.Join(dir, "operator.key"),
	}
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		d.t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

func TestSkylarkctl(t *testing.T) {
	d := newOperatorTest(t, 2, 2)
	file := filepath.Join(t.TempDir(), "plan.json")
	for _, c := range []struct {
		args   []string
		status int
		want   []string // patterns in the output
	}{
		{[]string{"services"}, 0, []string{`lensbridge +bookdesk +17 +1 `}},
		{[]string{"members"}, 0, []string{`bookdesk-1 +agent +ready +az2`, `balancer-1 +balancer +ready`}},
		{[]string{"plan", "bookdesk", "--target", "bookdesk-1", "--drain", "--out", file}, 0,
			[]string{`from generation 1`, `drain +bookdesk-1 +no new work`, `bookdesk-1 +az2 +50.0% +0.0%`}},
		{[]string{"status", "bookdesk"}, 0, []string{`generation 1, `}}, // nothing changed yet
		{[]string{"confirm", file}, 0, []string{`confirmed as generation 2`, `in force on 2 balancers`}},
		{[]string{"confirm", file}, 0, []string{`confirmed as generation 2`}},
		{[]string{"status", "bookdesk", "--json"}, 0, []string{`"generation": 2`, `"in_force": true`}},
		{[]string{"plan", "bookdesk", "--zone", "nowhere", "--drain"}, 3, []string{`zone "nowhere" is not known`}},
		{[]string{"plan", "bookdesk"}, 2, []string{`give --target, --host or --zone`}},
		{[]string{"undo", "bookdesk", "--confirm"}, 0, []string{`activate +bookdesk-1`, `confirmed as generation 3`}},
		{[]string{"explain", "00"}, 3, []string{`no agent issued this connection ID`}},
		{[]string{"status", "nothing"}, 3, []string{`"nothing" is not declared`}},
		{[]string{"confirm", "/dev/null"}, 2, []string{`holds no plan`}},
		{[]string{"bogus"}, 2, []string{`unexpected argument bogus`}},
	} {
		out, status := d.runCtl(c.args...)
		qt.Check(t, qt.Equals(status, c.status), qt.Commentf("%v: %s", c.args, out))
		for _, want := range c.want {
			qt.Check(t, qt.Matches(out, "(?s).*"+want+".*"), qt.Commentf("%v", c.args))
		}
	}
}
