package packetbalancer

import (
	"time"

	"skylarkturn/internal/fleet"
	"skylarkturn/internal/roster"
)

// status returns the balancer's status for operators, a fleet.Status.
func (b *Balancer) status() any {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := fleet.Status{
		Name: b.settings.Name, Role: fleet.RoleBalancer, Zone: b.settings.Zone, Inner: b.innerSocket.Addr().String(), Uptime: now.Sub(b.started).Seconds(),
		StoreEpoch: b.storeEpoch(), ConfigVersion: b.steering.Routes().Version(), StoreUnavailable: b.storeUnavailable.Load(), Settled: b.settled, Isolated: b.isolated, Stopping: b.stopping.Load(),
		Targets: b.steering.TargetCount(), PendingFlows: b.steering.PendingCount(), Flows: b.steering.FlowCount(),
	}
	if !b.configAppliedAt.IsZero() {
		s.ConfigAge = now.Sub(b.configAppliedAt).Seconds()
	}
	if ago, ok := b.members.CheckAge(now); ok {
		s.ConfigCheckAge = ago.Seconds()
	}
	for _, a := range b.members.MissingAgents() {
		s.MissingAgents = append(s.MissingAgents, a.String())
	}
	return s
}

// memberList returns the known members for operators, a []fleet.Member.
func (b *Balancer) memberList() any {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	members := b.members.Members()
	list := []fleet.Member{}
	for _, m := range members.Members(func(*roster.Member) bool { return true }) {
		list = append(list, memberStatus(now, &m, members.LastHeartbeat(m.Addr), m.Addr == b.innerSocket.Addr()))
	}
	return list
}

// noHeartbeatAge is the heartbeat age, in seconds, that is reported for a member
// without a heartbeat.
const noHeartbeatAge = -1

// memberStatus returns the status of a member for operators. lastHeartbeat is the
// zero time if no heartbeat has been received from it.
func memberStatus(now time.Time, m *roster.Member, lastHeartbeat time.Time, self bool) fleet.Member {
	d := fleet.Member{
		Name: m.Name, Role: fleet.RoleBalancer, Zone: m.Zone, Inner: m.Addr.String(), State: m.State.String(), Incarnation: m.Incarnation,
		Service: m.ServiceName, Slots: m.Slots, Warmth: m.Warmth, Flows: m.Sessions, Busy: m.Busy, HeartbeatAge: noHeartbeatAge,
	}
	if m.Role == roster.Agent {
		d.Role = fleet.RoleAgent
	}
	switch {
	case self:
		d.HeartbeatAge = 0
	case !lastHeartbeat.IsZero():
		d.HeartbeatAge = now.Sub(lastHeartbeat).Seconds()
	}
	return d
}
