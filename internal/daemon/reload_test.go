package daemon

import (
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-quicktest/qt"
)

// TestWatchFileSeesChanges checks that a change of the file is noticed without a
// signal, and only once.
func TestWatchFileSeesChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.conf")
	qt.Assert(t, qt.IsNil(os.WriteFile(path, []byte("a=1\n"), 0o600)))
	synctest.Test(t, func(t *testing.T) {
		var changes atomic.Int32
		go watchFile(t.Context(), path, nil, func() { changes.Add(1) })
		time.Sleep(3 * pollInterval)
		synctest.Wait()
		qt.Check(t, qt.Equals(changes.Load(), 0))
		qt.Assert(t, qt.IsNil(os.WriteFile(path, []byte("a=1\nb=2\n"), 0o600)))
		time.Sleep(2 * pollInterval)
		synctest.Wait()
		qt.Check(t, qt.Equals(changes.Load(), 1))
	})
}
