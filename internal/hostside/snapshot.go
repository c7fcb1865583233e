package hostside

import (
	"context"
	"errors"
	"time"

	"skylarkturn/internal/flowtable"
	"skylarkturn/internal/pace"
	"skylarkturn/internal/platform"
)

// Snapshots keeps the host's open flows where a loss of power leaves them.
type Snapshots interface {
	Save(ctx context.Context, name string, s flowtable.Snapshot) error
	Load(ctx context.Context, name string) (flowtable.Snapshot, error)
}

const (
	snapshotEvery = 4 * time.Second // sessions last some seconds and more

	// snapshotChecks is the number of times in that interval that the flows are
	// compared with those in the store.
	snapshotChecks = 4

	// snapshotRate is the number of snapshots a second of a fleet, half of the calls
	// that the platform's store takes.
	snapshotRate = 200

	minRecallRetry = 150 * time.Millisecond
	maxRecallRetry = time.Second
	recallFor      = time.Minute // flows of before are older than any flow lives
)

// Keeps a snapshot of the open flows in the store, and takes up the one of an
// earlier process first.
func (a *Agent) keepSnapshot(ctx context.Context) error {
	if !a.cfg.FirstStart {
		a.recall(ctx)
	}
	var (
		saved   flowtable.Snapshot
		savedAt time.Time
	)
	for ctx.Err() == nil {
		interval := a.snapshotInterval()
		pace.Sleep(ctx, interval/snapshotChecks)
		now := time.Now()
		a.mu.Lock()
		s := a.flows.Snapshot(now)
		a.mu.Unlock()
		if ctx.Err() != nil || !s.Outdates(saved, now.Sub(savedAt), interval) {
			continue
		}
		savedAt = now // a store that is away is tried again no sooner
		if err := a.platform.Snapshots.Save(ctx, a.cfg.Name, s); err != nil {
			a.snapshotFailed(ctx, "save_snapshot", err)
			continue
		}
		saved = s
	}
	return nil
}

func (a *Agent) snapshotInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(snapshotEvery, time.Duration(a.members.Fleet())*time.Second/snapshotRate)
}

// Loads the snapshot of before; a store that is away is asked again while flows
// of that time may be open.
func (a *Agent) recall(ctx context.Context) {
	within, cancel := context.WithTimeout(ctx, recallFor)
	defer cancel()
	retry := pace.Backoff{Min: minRecallRetry, Max: maxRecallRetry}
	for within.Err() == nil {
		s, err := a.platform.Snapshots.Load(within, a.cfg.Name)
		if err == nil {
			a.recalled(s)
			return
		}
		a.snapshotFailed(within, "load_snapshot", err)
		if failed := (*platform.Error)(nil); !errors.As(err, &failed) {
			return // the store has answered with what can't be read
		}
		retry.Sleep(within)
	}
}

func (a *Agent) recalled(s flowtable.Snapshot) {
	a.mu.Lock()
	out := a.flows.Recall(s, nil)
	a.mu.Unlock()
	a.act(out)
	a.log.Info().Str("event", "snapshot").Str("host", s.HostID).Int64("born", s.Born).
		Int("flows", len(s.Flows)).Int("flows_reset", len(out)).Msg("")
}

func (a *Agent) snapshotFailed(ctx context.Context, op string, err error) {
	if ctx.Err() != nil {
		return
	}
	a.counters.storeErrors.Inc()
	a.log.Warn().Str("event", "store_call").Str("op", op).Err(err).Msg("")
}
