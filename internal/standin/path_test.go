package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/caller"
	"skylarkturn/internal/standin"
)

var binDir string // directory of the programs that TestMain builds

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "skylark")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	for _, name := range []string{"skylark-balancer", "skylark-agent", "skylarkctl"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), "skylarkturn/cmd/"+name).CombinedOutput()
		if err != nil {
			fmt.Fprintf(os.Stderr, "%v: %s", err, out)
			return 1
		}
	}
	return m.Run()
}

var bookdesk = standin.ServiceOptions{Tenant: "lensbridge", Name: "bookdesk", Number: 17, Hosts: 1, Slots: 4, RequestTime: 2 * time.Millisecond}

func deploy(t *testing.T, opt standin.Options) *standin.Deployment {
	t.Helper()
	opt.Dir, opt.Bin, opt.Seed = t.TempDir(), binDir, 1
	opt.Zones = []string{"az1", "az2", "az3"}
	opt.Linger = 10 * time.Millisecond
	if os.Getenv("SKYLARK_TEST_LOG") != "" {
		opt.LogWriter, opt.LogLevel = os.Stderr, "debug"
	}
	d, err := standin.NewDeployment(t.Context(), opt)
	qt.Assert(t, qt.IsNil(err))
	t.Cleanup(func() { qt.Check(t, qt.IsNil(d.Close())) })
	return d
}

func TestWholePath(t *testing.T) {
	d := deploy(t, standin.Options{Balancers: 1, Services: []standin.ServiceOptions{bookdesk}})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	o, err := d.Operator()
	qt.Assert(t, qt.IsNil(err))
	qt.Assert(t, qt.IsNil(d.DeclareAll(ctx, o)))
	s, err := d.Dial(ctx, "bookdesk")
	qt.Assert(t, qt.IsNil(err))
	defer s.Close()

	a, err := s.Do(ctx, caller.Request{Path: "/sheets/lens"})
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.Equals(string(a.Body), string(standin.Sheet("bookdesk", "lens"))))

	a, err = s.Do(ctx, caller.Request{Method: "POST", Path: "/holds", Body: []byte("hold 1")})
	qt.Assert(t, qt.IsNil(err))
	var got standin.HostResponse
	qt.Assert(t, qt.IsNil(json.Unmarshal(a.Body, &got)))
	qt.Check(t, qt.Equals(got.Body, "hold 1"))
	qt.Check(t, qt.DeepEquals(d.Journal.CountByBody(), map[string]int{"hold 1": 1}))
}
