package daemon

import (
	"os"

	"github.com/phuslu/log"
)

// outputLines is the number of log lines that wait for a slow reader; later
// ones are dropped.
const outputLines = 1024

// OutputLogger returns a logger of JSON lines on standard output that never
// blocks, and the writer to close at the end.
func OutputLogger() (*log.Logger, *log.AsyncWriter) {
	w := &log.AsyncWriter{ChannelSize: outputLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: os.Stdout}}
	return &log.Logger{Level: log.InfoLevel, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Writer: w}, w
}
