package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// reloadEvery is the interval of looks at a settings file, which may change
// without a signal.
const reloadEvery = 2 * time.Second

// WatchFile calls changed when SIGHUP arrives and when the file has another time
// of modification or size, until ctx is done.
func WatchFile(ctx context.Context, path string, changed func()) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	watchFile(ctx, path, hup, changed)
}

func watchFile(ctx context.Context, path string, hup <-chan os.Signal, changed func()) {
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	last := stamp(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			last = stamp(path)
			changed()
		case <-t.C:
			if now := stamp(path); now != last {
				last = now
				changed()
			}
		}
	}
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// Returns the zero stamp while the file is missing, as in the middle of a
// replacement.
func stamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}
