package daemon

import (
	"fmt"
	"io"
	"os"
	"sync/atomic"

	"github.com/phuslu/log"
)

// outputQueueLen is the number of log lines that are buffered for a slow writer;
// further lines are dropped.
const outputQueueLen = 1024

// AsyncWriter writes log lines from a queue in a separate goroutine, so that a blocked
// reader of the log never blocks the daemon. Lines are dropped while the queue is
// full; the next line that is written is preceded by a line with their number.
type AsyncWriter struct {
	w       io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	stop    chan struct{} // closed by Close
	done    chan struct{}
}

// NewAsyncWriter returns an output that writes to w until Close is called.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	o := &AsyncWriter{w: w, queue: make(chan []byte, outputQueueLen), stop: make(chan struct{}), done: make(chan struct{})}
	go o.run()
	return o
}

func (o *AsyncWriter) run() {
	defer close(o.done)
	for {
		select {
		case line := <-o.queue:
			o.writeLine(line)
		case <-o.stop:
			o.flush()
			return
		}
	}
}

// flush writes all queued lines.
func (o *AsyncWriter) flush() {
	for {
		select {
		case line := <-o.queue:
			o.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line, and before it a warning if lines were dropped.
func (o *AsyncWriter) writeLine(line []byte) {
	if n := o.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(o.w, "{\"level\":\"warn\",\"event\":\"lines_dropped\",\"lines\":%d}\n", n) // a failure to write the log can't be reported
	}
	_, _ = o.w.Write(line)
}

// Write queues a copy of the line. It never blocks or fails.
func (o *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case o.queue <- append([]byte(nil), line...):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the output. Later writes are lost.
func (o *AsyncWriter) Close() {
	close(o.stop)
	<-o.done
}

// NewAsyncLogger returns a logger that writes JSON lines to standard output and never
// blocks, and its output, which the caller must close.
func NewAsyncLogger() (*log.Logger, *AsyncWriter) {
	o := NewAsyncWriter(os.Stdout)
	return &log.Logger{Level: log.InfoLevel, TimeFormat: timeFormat, Writer: &log.IOWriter{Writer: o}}, o
}
