package main

import (
	"net/http"

	"github.com/phuslu/log"

	"skylarkturn/internal/epoch"
	"skylarkturn/internal/packetagent"
	"skylarkturn/platform"
)

// runOnPlatform runs the agent with the platform's settings file and returns the
// exit code.
func runOnPlatform(path string) int {
	return platform.Run("skylark-agent", path, func(s *platform.Settings, l *log.Logger) (platform.Daemon, error) {
		epochs := epoch.NewMonitor()
		store := platform.NewStore(s.StoreAddr, epochs)
		return packetagent.New(agentSettings(s), packetagent.Platform{
			Epochs:              epochs,
			Balancers:           store.BalancerRegistry(),
			Agents:              store.AgentRegistry(),
			WriteMetrics:        store.WriteMetrics,
			Snapshots:           store.Snapshots(),
			Codec:               platform.PacketCodec{},
			ReadinessHandler:    platform.ReadinessHandler,
			AssignedService:     func() (string, error) { return platform.ReadService(path) },
			NewHeartbeatHandler: func(a *packetagent.Agent) http.Handler { return platform.HeartbeatHandler(a) },
		}, packetagent.WithLogger(l))
	})
}

func agentSettings(s *platform.Settings) packetagent.Settings {
	return packetagent.Settings{
		Name:              s.Name,
		Zone:              s.Zone,
		InnerAddr:         s.InnerAddr(),
		OpsAddr:           s.OpsAddr(),
		ReadinessAddr:     s.ReadinessAddr,
		HeartbeatAddr:     s.HeartbeatAddr,
		OutboundAddr:      s.OutboundAddr,
		HostAddr:          s.HostAddr,
		ClientPort:        s.ClientAddr.Port(),
		Seeds:             s.InnerSeeds(),
		Service:           s.Service,
		Secret:            s.Secret(),
		HeartbeatInterval: s.HeartbeatInterval,
		ReuseDelay:        s.ReuseDelay,
		FlowLifetime:      s.FlowLifetime,
		FirstStart:        s.FirstStart,
	}
}
