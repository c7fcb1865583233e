package platformstand

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/fleet"
	"skylarkturn/internal/packet"
)

// has reports whether the store has an object.
func (s *Store) has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.objects[kind+"/"+name]
	return ok
}

// await polls a condition until it holds, for much longer than it should take.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("gave up waiting: %s", what)
}

// status returns the status of a daemon.
func status(t *testing.T, v *VM) (s fleet.Status) {
	t.Helper()
	qt.Assert(t, qt.IsNil(json.Unmarshal([]byte(get(t, v, fleet.StatusPath)), &s)))
	return s
}

// TestRestoredStoreGetsRecordsAgain checks that daemons write their registrations and
// snapshots again after the store was restored from a copy without them.
func TestRestoredStoreGetsRecordsAgain(t *testing.T) {
	started := time.Now()
	s, _ := startSite(t, 2)
	qt.Assert(t, qt.IsNil(s.StartClients(4)))
	isComplete := func() bool {
		complete := s.Store.has("skylark-balancers", s.VMs(true)[0].Name)
		for _, v := range s.VMs(false) {
			complete = complete && s.Store.has("skylark-agents", v.Name) && s.Store.has("skylark-flows", v.Name)
		}
		return complete
	}
	await(t, "registrations and snapshots are written", isComplete)
	s.Store.Restore(time.Since(started))
	qt.Assert(t, qt.IsFalse(s.Store.has("skylark-agents", s.VMs(false)[0].Name)))
	await(t, "registrations and snapshots are written again", isComplete)
	qt.Check(t, qt.HasLen(s.Checker.Violations(), 0))
}

// TestRestoredStoreHidesNoChange checks that balancers apply a change that was made
// after a restore, at a revision below the one that they had read before.
func TestRestoredStoreHidesNoChange(t *testing.T) {
	s, _ := startSite(t, 1)
	balancer := s.VMs(true)[0]
	s.Store.mu.Lock()
	for range 20 {
		s.Store.put("other-system", "counter", json.RawMessage(`{}`), false)
	}
	s.Store.mu.Unlock()
	time.Sleep(3 * time.Second) // the balancer checks the configuration at a later revision
	spec, err := json.Marshal(map[string]any{"version": 1000, "routes": []any{}, "limits": map[string]int{}})
	qt.Assert(t, qt.IsNil(err))

	s.Store.mu.Lock() // no call sees the store between the restore and the last write
	s.Store.restore(time.Now().Add(-5 * time.Second))
	s.Store.put("config", "main", spec, true)
	for range 40 {
		s.Store.put("other-system", "counter", json.RawMessage(`{}`), false)
	}
	s.Store.mu.Unlock()
	s.Checker.AddConfig(map[packet.Endpoint][]string{})
	await(t, "the new version is in force", func() bool { return status(t, balancer).ConfigVersion == 1000 })
}

// TestRestoredConfigurationIsNotApplied checks that running balancers keep their
// version while the store has an older one, and that a balancer which starts meanwhile
// takes the newer version from a peer.
func TestRestoredConfigurationIsNotApplied(t *testing.T) {
	s, log := startSite(t, 1)
	copied := time.Now() // the copy has the first version only
	qt.Assert(t, qt.IsNil(s.Configure(map[string]string{"r0": "bookdesk", "r1": "bookdesk"}, "r0")))
	s.mu.Lock()
	second := uint64(s.configVersion)
	s.mu.Unlock()
	await(t, "the second version is in force", func() bool { return status(t, s.VMs(true)[0]).ConfigVersion == second })

	s.Store.mu.Lock()
	for i := range s.Store.changes {
		s.Store.changes[i].byOperator = false // the operator has not written its change again yet
	}
	s.Store.restore(copied)
	s.Store.notifyWatchers()
	s.Store.mu.Unlock()
	fresh, err := s.AddBalancer()
	qt.Assert(t, qt.IsNil(err))
	qt.Assert(t, qt.IsNil(s.WaitReady(2, startTimeout)))
	log.await(t, `"event":"store_restored"`, `"epoch":2`)
	await(t, "the new balancer takes the version from its peer", func() bool {
		return status(t, fresh).ConfigVersion == second
	})
	qt.Check(t, qt.Equals(status(t, s.VMs(true)[0]).ConfigVersion, second))
	qt.Check(t, qt.HasLen(log.lines(`"event":"configuration"`, `"before":`+strconv.FormatUint(second, 10)), 0))
}

// TestStoreRestoreGoesBack checks the stand-in: revisions go back and are given out
// again, watches from later ones fail, and operators' writes are made again.
func TestStoreRestoreGoesBack(t *testing.T) {
	s := NewStore()
	defer s.Close()
	qt.Assert(t, qt.IsNil(s.Put("config", "main", 1)))
	s.mu.Lock()
	copied := time.Now()
	s.put("skylark-agents", "side-1", json.RawMessage(`{}`), false)
	s.put("skylark-agents", "side-2", json.RawMessage(`{}`), false)
	s.put("config", "main", json.RawMessage(`2`), true)
	before := s.revision
	s.restore(copied)
	after := s.revision
	s.mu.Unlock()
	qt.Check(t, qt.Equals(before, 5))
	qt.Check(t, qt.Equals(after, 3))
	qt.Check(t, qt.IsFalse(s.has("skylark-agents", "side-1")))
	qt.Check(t, qt.Equals(string(s.objects["config/main"].Spec), "2"))
	qt.Check(t, qt.Equals(s.epoch, 2))
}
