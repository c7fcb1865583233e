package daemon

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// RunParts runs the goroutines of a daemon until one of them fails or ctx is done.
// When ctx is done it calls leave while they still run, then ends them; free
// closes what they may wait on, and may be called more than once. It returns nil,
// or the error that ended the daemon.
func RunParts(ctx context.Context, leave func(context.Context), free func(), parts ...func(context.Context) error) error {
	defer free()
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, running := errgroup.WithContext(running)
	for _, part := range parts {
		g.Go(func() error { return part(running) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
			leave(running)
		case <-running.Done():
		}
		cancel()
		free()
		return nil
	})
	return g.Wait()
}
