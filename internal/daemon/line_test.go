package daemon

import (
	"io"
	"testing"

	"github.com/phuslu/log"
)

// BenchmarkLine measures logging a decision about a flow through an AsyncWriter,
// with the level enabled and disabled.
func BenchmarkLine(b *testing.B) {
	for name, level := range map[string]log.Level{"on": log.InfoLevel, "off": log.PanicLevel} {
		b.Run(name, func(b *testing.B) {
			w := NewAsyncWriter(io.Discard)
			defer w.Close()
			l := log.Logger{Level: level, Writer: &log.IOWriter{Writer: w}}
			b.ReportAllocs()
			for b.Loop() {
				l.Info().Str("event", "flow").Str("flow", "100.64.0.7:40001>198.18.0.1:443").Str("outcome", "reset").Str("cause", "lost").
					Uint64("version", 12).Str("agent", "10.1.0.4:7400").Msg("")
			}
		})
	}
}
