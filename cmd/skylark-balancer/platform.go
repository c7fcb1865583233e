package main

import (
	"net/http"

	"github.com/phuslu/log"

	"skylarkturn/internal/epoch"
	"skylarkturn/internal/packetbalancer"
	"skylarkturn/platform"
)

// runOnPlatform runs the balancer with the platform's settings file and returns
// the exit code.
func runOnPlatform(path string) int {
	return platform.Run("skylark-balancer", path, func(s *platform.Settings, l *log.Logger) (platform.Daemon, error) {
		epochs := epoch.NewMonitor()
		store := platform.NewStore(s.StoreAddr, epochs)
		return packetbalancer.New(balancerSettings(s), packetbalancer.Platform{
			Store:            store,
			Epochs:           epochs,
			Balancers:        store.BalancerRegistry(),
			Agents:           store.AgentRegistry(),
			WriteMetrics:     store.WriteMetrics,
			Codec:            platform.PacketCodec{},
			ReadinessHandler: platform.ReadinessHandler,
			HeartbeatHandler: http.NotFoundHandler(), // hosts send heartbeats to the agent on their own VM
		}, packetbalancer.WithLogger(l))
	})
}

func balancerSettings(s *platform.Settings) packetbalancer.Settings {
	return packetbalancer.Settings{
		Name:          s.Name,
		Zone:          s.Zone,
		ClientAddr:    s.ClientAddr,
		InnerAddr:     s.InnerAddr(),
		OpsAddr:       s.OpsAddr(),
		ReadinessAddr: s.ReadinessAddr,
		HeartbeatAddr: s.HeartbeatAddr,
		Seeds:         s.InnerSeeds(),
		Secret:        s.Secret(),
		GracePeriod:   s.GracePeriod,
	}
}
