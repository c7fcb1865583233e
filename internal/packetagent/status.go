package packetagent

import (
	"time"

	"skylarkturn/internal/fleet"
	"skylarkturn/internal/flowtable"
)

// status returns the agent's status for operators, a fleet.Status.
func (a *Agent) status() any {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	host, registered := a.flows.Host()
	s := fleet.Status{
		Name: a.settings.Name, Role: fleet.RoleAgent, Zone: a.settings.Zone, Inner: a.innerSocket.Addr().String(), Uptime: now.Sub(a.started).Seconds(),
		Host: host.ID, Service: host.Service, HostState: "none", HeartbeatAge: a.flows.ReportAge(now).Seconds(), Slots: host.Slots,
		Busy: a.flows.Busy(), FlowsComplete: a.flows.Complete(), Observers: a.members.ObserverCount(), StoreEpoch: a.storeEpoch(), Flows: a.flows.Flows(),
	}
	if registered {
		s.HostState = hostStateNames[host.State]
	}
	return s
}

var hostStateNames = map[flowtable.HostState]string{flowtable.HostReady: "ready", flowtable.HostDraining: "draining"}
