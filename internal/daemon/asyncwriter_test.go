package daemon

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

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

func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{released: make(chan struct{})}
	w := NewAsyncWriter(out)
	const lines = 10 * maxQueuedLines
	for i := range lines {
		n, err := w.Write(fmt.Appendf(nil, "line %d\n", i))
		qt.Assert(t, qt.IsNil(err))
		qt.Assert(t, qt.Not(qt.Equals(n, 0)))
	}
	close(out.released)
	w.Close()
	got := out.buf.String()
	qt.Check(t, qt.StringContains(got, "line 0\n"))
	qt.Check(t, qt.StringContains(got, `"event":"lines_dropped"`))
	written := strings.Count(got, "line ")
	qt.Check(t, qt.IsTrue(written >= maxQueuedLines && written <= maxQueuedLines+1), qt.Commentf("%d lines", written))
}
