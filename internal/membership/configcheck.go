package membership

import (
	"time"

	"skylarkturn/internal/control"
	"skylarkturn/internal/packet"
	"skylarkturn/internal/roster"
)

// A configuration must be in force on all balancers 3 s after it was written to
// the store, even if watches silently stop delivering events. One balancer
// therefore checks the store every checkInterval and announces the check in its
// gossip. Another balancer takes over if no check has become known to it for
// checkTakeoverDelay plus an offset of its own below checkTakeoverSpread.
const (
	checkInterval       = 1500 * time.Millisecond
	checkTakeoverDelay  = 2000 * time.Millisecond
	checkTakeoverSpread = 400 * time.Millisecond
)

// configCheck is the latest known check of the configuration against the store.
// Each check gets a higher number than all checks known to the balancer that
// makes it, so an older check that arrives late is not mistaken for a newer one.
type configCheck struct {
	number uint64    // higher than those of all earlier checks
	at     time.Time // when the check was made; zero if none is known
	local  bool      // made by this balancer, which makes the next one too
}

// RecordConfirmation records that the store has just confirmed the configuration
// in force. If check is true, this was a check by this balancer, which makes the
// next one too; otherwise the store delivered the configuration by other means.
func (b *Balancer) RecordConfirmation(now time.Time, check bool) {
	b.lastCheck = configCheck{b.lastCheck.number + 1, now, check}
}

// NextCheck returns when this balancer is to check its configuration against the
// store, unless another balancer announces a check before.
func (b *Balancer) NextCheck() time.Time {
	if b.lastCheck.at.IsZero() {
		return b.startedAt.Add(checkTakeoverDelay) // a configuration is being fetched
	}
	if b.lastCheck.local || b.Alone() {
		return b.lastCheck.at.Add(checkInterval)
	}
	return b.lastCheck.at.Add(checkTakeoverDelay + time.Duration(packet.EndpointOf(b.self.Addr).Place()*float64(checkTakeoverSpread)))
}

// OldestHeartbeatAge returns the longest time since the last heartbeat of any
// observed live agent.
func (b *Balancer) OldestHeartbeatAge(now time.Time) (age time.Duration) {
	for _, m := range b.members.Members(func(m *roster.Member) bool { return m.Role == roster.Agent && roster.Live(m) }) {
		if lastHeartbeat := b.members.LastHeartbeat(m.Addr); !lastHeartbeat.IsZero() {
			age = max(age, now.Sub(lastHeartbeat))
		}
	}
	return age
}

// CheckAge returns the time since the latest known check, or false if there
// was none.
func (b *Balancer) CheckAge(now time.Time) (ago time.Duration, ok bool) {
	return now.Sub(b.lastCheck.at), !b.lastCheck.at.IsZero()
}

// checkAgeMillis returns the milliseconds since the latest known check, at least 1,
// or 0 if there was none.
func (b *Balancer) checkAgeMillis(now time.Time) uint32 {
	ago, ok := b.CheckAge(now)
	if !ok {
		return 0
	}
	return uint32(max(ago.Milliseconds(), 1))
}

// updateCheck adopts a newer check announced by a balancer with the same
// configuration version. Of two balancers that made checks with the same number,
// the one with the lower address makes the next one.
func (b *Balancer) updateCheck(now time.Time, m *control.Message) {
	if m.ConfigVersion != b.configVersion {
		return
	}
	if m.CheckNumber <= b.lastCheck.number {
		concurrent := m.MadeCheck && m.CheckNumber == b.lastCheck.number
		b.lastCheck.local = b.lastCheck.local && !(concurrent && m.From.Addr.Compare(b.self.Addr) < 0)
		return
	}
	b.lastCheck = configCheck{m.CheckNumber, now.Add(-time.Duration(m.CheckAgeMillis) * time.Millisecond), false}
}
