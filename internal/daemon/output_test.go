package daemon

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-quicktest/qt"
)

// blockedWriter blocks all writes until it is released.
type blockedWriter struct {
	released chan struct{}
	buf      bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return w.buf.Write(p)
}

func TestOutputNeverBlocks(t *testing.T) {
	w := &blockedWriter{released: make(chan struct{})}
	o := NewAsyncWriter(w)
	const lines = 10 * outputQueueLen
	for i := range lines {
		n, err := o.Write(fmt.Appendf(nil, "line %d\n", i))
		qt.Assert(t, qt.IsNil(err))
		qt.Assert(t, qt.Not(qt.Equals(n, 0)))
	}
	close(w.released)
	o.Close()
	got := w.buf.String()
	qt.Check(t, qt.StringContains(got, "line 0\n"))
	qt.Check(t, qt.StringContains(got, `"event":"lines_dropped"`))
	written := strings.Count(got, "line ")
	qt.Check(t, qt.IsTrue(written >= outputQueueLen && written <= outputQueueLen+1), qt.Commentf("%d lines", written))
}

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
