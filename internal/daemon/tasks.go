package daemon

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// RunTasks runs the tasks of a daemon, each in its own goroutine, until one of them
// fails or ctx is done. When ctx is done, it calls shutdown while the tasks are
// still running, and then cancels their context. It calls release, possibly more
// than once, to close the sockets and listeners that the tasks may be blocked on.
// It returns the first error of a task, or nil.
func RunTasks(ctx context.Context, shutdown func(context.Context), release func(), tasks ...func(context.Context) error) error {
	defer release()
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, running := errgroup.WithContext(running)
	for _, task := range tasks {
		g.Go(func() error { return task(running) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
			shutdown(running)
		case <-running.Done():
		}
		cancel()
		release()
		return nil
	})
	return g.Wait()
}
