package daemon

import (
	"context"
	"runtime/debug"

	"github.com/phuslu/log"
)

// Reloadable is a daemon that can reload its settings file while it is running.
type Reloadable interface {
	Run(ctx context.Context) error
	Reload() error // applies the current content of the file
}

// gcPercent is the garbage collection target percentage. The heap of a daemon is a
// few megabytes; the runtime's default of 100 uses a sixth more memory and no less
// processor time.
const gcPercent = 50

// RunReloadable runs the daemon that start returns, with a logger to standard
// output, and reloads its settings whenever the settings file at path changes. It
// returns the exit code.
func RunReloadable(name, path string, start func(l *log.Logger) (Reloadable, error)) int {
	hup := notifyReload()
	debug.SetGCPercent(gcPercent)
	l, w := NewAsyncLogger()
	defer w.Close()
	return Run(name, path, l, func(ctx context.Context, l *log.Logger) error {
		d, err := start(l)
		if err != nil {
			return err
		}
		l.Info().Str("event", "started").Str("version", Version()).Str("config", path).Msg("")
		watchCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			watchFile(watchCtx, path, hup, func() { reload(l, d) })
		}()
		err = d.Run(ctx)
		cancel()
		<-done
		return err
	})
}

func reload(l *log.Logger, d Reloadable) {
	if err := d.Reload(); err != nil {
		l.Warn().Str("event", "reload").Err(err).Msg("failed to reload settings, keeping the current ones")
		return
	}
	l.Info().Str("event", "reload").Msg("settings reloaded")
}
