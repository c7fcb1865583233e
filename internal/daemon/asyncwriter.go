package daemon

import (
	"fmt"
	"io"
	"os"
	"sync/atomic"

	"github.com/phuslu/log"
)

// maxQueuedLines is the number of log lines that are buffered for a slow writer;
// further lines are dropped.
const maxQueuedLines = 1024

// AsyncWriter writes log lines from a queue in a separate goroutine, so that a
// blocked reader of the log never blocks the daemon. Lines are dropped while the
// queue is full; the next line that is written is preceded by a line with their
// number.
type AsyncWriter struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64 // lines dropped since the last line written
	stop    chan struct{} // closed by Close
	done    chan struct{} // closed when the goroutine has ended
}

// NewAsyncWriter returns an AsyncWriter that writes to out until Close is called.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, queue: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		case <-w.stop:
			w.flush()
			return
		}
	}
}

// flush writes all queued lines.
func (w *AsyncWriter) flush() {
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line, and before it a warning if lines were dropped. It
// ignores errors, since there is no other place to report them.
func (w *AsyncWriter) writeLine(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"event\":\"lines_dropped\",\"lines\":%d}\n", n)
	}
	_, _ = w.out.Write(line)
}

// Write queues a copy of the line. It never blocks or fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and ends the goroutine. Later writes are lost.
func (w *AsyncWriter) Close() {
	close(w.stop)
	<-w.done
}

// NewAsyncLogger returns a logger that writes JSON lines to standard output and
// never blocks, and its writer, which the caller must close.
func NewAsyncLogger() (*log.Logger, *AsyncWriter) {
	w := NewAsyncWriter(os.Stdout)
	return &log.Logger{Level: log.InfoLevel, TimeFormat: timeFormat, Writer: &log.IOWriter{Writer: w}}, w
}
