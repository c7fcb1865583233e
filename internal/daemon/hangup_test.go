package daemon

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/go-quicktest/qt"
	"github.com/phuslu/log"
)

// drainingHelperVar selects the helper process of TestHangupDoesNotEndDrainingDaemon. Its
// value is the path of a settings file.
const drainingHelperVar = "SKYLARK_TEST_DRAINING_DAEMON"

// drainingDaemon copies its standard input to its standard output while it drains, until
// the input ends.
type drainingDaemon struct{}

func (drainingDaemon) Run(ctx context.Context) error {
	_, _ = os.Stdout.WriteString("running\n")
	<-ctx.Done()
	_, _ = os.Stdout.WriteString("draining\n")
	_, err := io.Copy(os.Stdout, os.Stdin)
	return err
}

func (drainingDaemon) Reload() error { return nil }

// TestHangupDoesNotEndDrainingDaemon guards against SIGHUP ending a daemon that drains
// after SIGTERM, as it did when the watch of the settings file had ended.
func TestHangupDoesNotEndDrainingDaemon(t *testing.T) {
	if path := os.Getenv(drainingHelperVar); path != "" {
		os.Exit(RunReloadable("helper", path, func(*log.Logger) (Reloadable, error) { return drainingDaemon{}, nil }))
	}
	path := filepath.Join(t.TempDir(), "settings.conf")
	qt.Assert(t, qt.IsNil(os.WriteFile(path, nil, 0o600)))
	cmd := exec.Command(os.Args[0], "-test.run=^TestHangupDoesNotEndDrainingDaemon$")
	cmd.Env = append(os.Environ(), drainingHelperVar+"="+path)
	stdin, err := cmd.StdinPipe()
	qt.Assert(t, qt.IsNil(err))
	stdout, err := cmd.StdoutPipe()
	qt.Assert(t, qt.IsNil(err))
	qt.Assert(t, qt.IsNil(cmd.Start()))
	lines := bufio.NewScanner(stdout)
	awaitLine(t, lines, "running")
	qt.Assert(t, qt.IsNil(cmd.Process.Signal(syscall.SIGTERM)))
	awaitLine(t, lines, "draining")
	for range 50 {
		qt.Assert(t, qt.IsNil(cmd.Process.Signal(syscall.SIGHUP)))
		_, _ = io.WriteString(stdin, "alive\n") // fails if the process has ended
		awaitLine(t, lines, "alive")
	}
	qt.Assert(t, qt.IsNil(stdin.Close()))
	_, _ = io.Copy(io.Discard, stdout)
	qt.Check(t, qt.IsNil(cmd.Wait()))
}

// awaitLine reads lines up to one that ends in text.
func awaitLine(t *testing.T, lines *bufio.Scanner, text string) {
	t.Helper()
	for lines.Scan() {
		if strings.HasSuffix(lines.Text(), text) {
			return
		}
	}
	t.Fatalf("output ended before %q: %v", text, lines.Err())
}
