package daemon

import (
	"context"
	"runtime/debug"

	"github.com/phuslu/log"
)

// Watched is a daemon whose settings file may change while it runs.
type Watched interface {
	Run(ctx context.Context) error
	Reload() error // takes over what the file says now
}

// gcPercent is the growth of the heap, in percent, after which garbage is
// collected. The heap of a daemon is a few megabytes; with the runtime's 100 it
// took a sixth more, and no less of the processor.
const gcPercent = 50

// RunWatched runs the daemon that start returns, with a logger on standard output,
// and has it reload its settings file whenever that changes. It returns the exit
// code.
func RunWatched(name, path string, start func(l *log.Logger) (Watched, error)) int {
	debug.SetGCPercent(gcPercent)
	l, w := OutputLogger()
	defer w.Close()
	return Run(name, path, l, func(ctx context.Context, l *log.Logger) error {
		d, err := start(l)
		if err != nil {
			return err
		}
		l.Info().Str("event", "started").Str("version", Version()).Str("config", path).Msg("")
		watching, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			WatchFile(watching, path, func() { reload(l, d) })
		}()
		err = d.Run(ctx)
		cancel()
		<-ended
		return err
	})
}

func reload(l *log.Logger, d Watched) {
	if err := d.Reload(); err != nil {
		l.Warn().Str("event", "reload").Err(err).Msg("settings not reloaded, the ones in use stay")
		return
	}
	l.Info().Str("event", "reload").Msg("settings reloaded")
}
