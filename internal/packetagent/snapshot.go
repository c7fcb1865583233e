package packetagent

import (
	"context"
	"errors"
	"time"

	"skylarkturn/internal/backoff"
	"skylarkturn/internal/flowtable"
	"skylarkturn/internal/platform"
)

// SnapshotStore stores the host's open flows where they survive a power loss.
type SnapshotStore interface {
	Save(ctx context.Context, name string, s flowtable.Snapshot) error
	Load(ctx context.Context, name string) (flowtable.Snapshot, error)
}

const (
	minSnapshotInterval = 4 * time.Second // sessions last for several seconds or longer

	// checksPerSnapshotInterval is how often per interval the flows are compared with
	// the last saved snapshot.
	checksPerSnapshotInterval = 4

	// maxFleetSnapshotsPerSecond bounds the snapshots of all agents together to half of
	// the calls per second that the platform's store accepts.
	maxFleetSnapshotsPerSecond = 200

	minLoadRetryDelay = 150 * time.Millisecond
	maxLoadRetryDelay = time.Second
)

// saveSnapshots restores the snapshot of an earlier agent process, then saves the
// open flows to the store as they change.
func (a *Agent) saveSnapshots(ctx context.Context) error {
	if !a.settings.FirstStart {
		a.loadSnapshot(ctx)
	}
	var (
		saved   flowtable.Snapshot
		savedAt time.Time
	)
	_, advanced := a.platform.Epochs.Newest()
	for ctx.Err() == nil {
		interval := a.snapshotInterval()
		select {
		case <-advanced: // the saved snapshot may be lost
			backoff.Sleep(ctx, a.rewriteDelay())
			saved, savedAt = flowtable.Snapshot{}, time.Time{}
			_, advanced = a.platform.Epochs.Newest()
		case <-ctx.Done():
		case <-time.After(interval / checksPerSnapshotInterval):
		}
		now := time.Now()
		a.mu.Lock()
		s := a.flows.Snapshot(now)
		a.mu.Unlock()
		if ctx.Err() != nil || !s.ShouldReplace(saved, now.Sub(savedAt), interval) {
			continue
		}
		savedAt = now // set before the call, so that a failed save is retried after the interval, too
		if err := a.platform.Snapshots.Save(ctx, a.settings.Name, s); err != nil {
			a.reportSnapshotError(ctx, "save_snapshot", err)
			continue
		}
		saved = s
	}
	return nil
}

// snapshotInterval returns the interval of snapshots, which grows with the fleet
// to keep the store's load below maxFleetSnapshotsPerSecond.
func (a *Agent) snapshotInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(minSnapshotInterval, time.Duration(a.members.FleetSize())*time.Second/maxFleetSnapshotsPerSecond)
}

// loadSnapshot loads and applies the snapshot of an earlier process. It retries
// while the store is unavailable, as long as flows of that process can still be
// open.
func (a *Agent) loadSnapshot(ctx context.Context) {
	loadCtx, cancel := context.WithTimeout(ctx, a.settings.FlowLifetime)
	defer cancel()
	retry := backoff.Exponential{Min: minLoadRetryDelay, Max: maxLoadRetryDelay}
	for loadCtx.Err() == nil {
		s, err := a.platform.Snapshots.Load(loadCtx, a.settings.Name)
		if err == nil {
			a.restoreFlows(s)
			return
		}
		a.reportSnapshotError(loadCtx, "load_snapshot", err)
		if storeErr := (*platform.Error)(nil); !errors.As(err, &storeErr) {
			return // the snapshot can't be decoded
		}
		retry.Sleep(loadCtx)
	}
}

// restoreFlows passes the flows of a snapshot to the flow table, which resets
// them when their host has ended.
func (a *Agent) restoreFlows(s flowtable.Snapshot) {
	a.mu.Lock()
	out := a.flows.SetPreviousSnapshot(time.Now(), s, nil)
	a.mu.Unlock()
	a.execute(out)
	a.log.Info().Str("event", "snapshot").Str("host", s.HostID).Int64("born", s.StartTime).
		Int("flows", len(s.Flows)).Int("flows_reset", len(out)).Msg("")
}

// reportSnapshotError counts and logs a failed store call, unless ctx is done.
func (a *Agent) reportSnapshotError(ctx context.Context, op string, err error) {
	if ctx.Err() != nil {
		return
	}
	a.counters.storeErrors.Inc()
	a.log.Warn().Str("event", "store_call").Str("op", op).Err(err).Msg("")
}
