package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// pollInterval is the interval at which a settings file is checked for changes,
// since it may be replaced without a signal.
const pollInterval = 2 * time.Second

// notifyReload returns a channel that receives SIGHUP until the process ends. Without it
// the signal would end the process, also while that starts or drains.
func notifyReload() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// watchFile calls changed on each signal and whenever the modification time or size of
// the file differs, until ctx is done.
func watchFile(ctx context.Context, path string, hup <-chan os.Signal, changed func()) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	last := statFile(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			last = statFile(path)
			changed()
		case <-t.C:
			if now := statFile(path); now != last {
				last = now
				changed()
			}
		}
	}
}

// fileVersion identifies a version of a file's content.
type fileVersion struct {
	modified time.Time
	size     int64
}

// statFile returns the zero fileVersion if the file is missing, which may happen
// while it is being replaced.
func statFile(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}
