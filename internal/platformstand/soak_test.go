package platformstand

import (
	"context"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/go-quicktest/qt"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// buildDaemons builds the daemons and returns their directory.
func buildDaemons(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "skylarkturn/cmd/skylark-balancer", "skylarkturn/cmd/skylark-agent", "skylarkturn/cmd/skylarkctl").CombinedOutput()
	qt.Assert(t, qt.IsNil(err), qt.Commentf("%s", out))
	return bin
}

func TestSoakWithFixedSeed(t *testing.T) {
	s := Soak{Bin: buildDaemons(t), Dir: t.TempDir(), Seed: 1, Length: 8 * time.Second, Balancers: 3, Hosts: 2, Users: 12, Out: os.Stderr}
	r, err := s.Run(context.Background())
	qt.Assert(t, qt.IsNil(err))
	t.Logf("%d requests, %.3f served, %.3f after; failures %v", r.Requests, r.ServedShare, r.RecoveredShare, r.Failures)
	qt.Check(t, qt.HasLen(r.Violations, 0))
}
