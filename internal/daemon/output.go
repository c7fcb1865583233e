package daemon

import (
	"fmt"
	"io"
	"os"
	"sync/atomic"

	"github.com/phuslu/log"
)

// outputLines is the number of log lines that wait for a slow reader; later
// ones are dropped.
const outputLines = 1024

// Output writes log lines in a goroutine of its own, so that a reader that does
// not read never holds up the daemon. Lines that find no room are dropped, and a
// line that tells how many follows when there is room again.
type Output struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{} // closed by Close
	done    chan struct{}
}

// NewOutput returns an output to w.
func NewOutput(w io.Writer) *Output {
	o := &Output{w: w, lines: make(chan []byte, outputLines), stop: make(chan struct{}), done: make(chan struct{})}
	go o.run()
	return o
}

func (o *Output) run() {
	defer close(o.done)
	for {
		select {
		case line := <-o.lines:
			o.put(line)
		case <-o.stop:
			o.drain()
			return
		}
	}
}

// Writes what waits.
func (o *Output) drain() {
	for {
		select {
		case line := <-o.lines:
			o.put(line)
		default:
			return
		}
	}
}

func (o *Output) put(line []byte) {
	if n := o.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(o.w, "{\"level\":\"warn\",\"event\":\"lines_dropped\",\"lines\":%d}\n", n) // nowhere to report it
	}
	_, _ = o.w.Write(line) // the same
}

// Write takes a line; it never blocks and never fails.
func (o *Output) Write(line []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits; what is written later is lost.
func (o *Output) Close() {
	close(o.stop)
	<-o.done
}

// OutputLogger returns a logger of JSON lines on standard output that never
// blocks, and the output to close at the end.
func OutputLogger() (*log.Logger, *Output) {
	o := NewOutput(os.Stdout)
	return &log.Logger{Level: log.InfoLevel, TimeFormat: timeFormat, Writer: &log.IOWriter{Writer: o}}, o
}
