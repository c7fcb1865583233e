package main

import (
	"net/http"

	"github.com/phuslu/log"

	"skylarkturn/internal/packetbalancer"
	"skylarkturn/platform"
)

// Runs the balancer with the settings that the platform gives.
func runOnPlatform(path string) int {
	return platform.Run("skylark-balancer", path, func(s *platform.Settings, l *log.Logger) (platform.Daemon, error) {
		store := platform.NewStore(s.Store)
		return packetbalancer.New(balancerSettings(s), packetbalancer.Platform{
			Store:            store,
			Balancers:        store.BalancerRegistry(),
			Agents:           store.AgentRegistry(),
			WriteMetrics:     store.WriteMetrics,
			Format:           platform.Packets{},
			ReadinessHandler: platform.ReadyHandler,
			HeartbeatHandler: http.NotFoundHandler(), // hosts report to the agent on their own VM
		}, packetbalancer.WithLogger(l))
	})
}

func balancerSettings(s *platform.Settings) packetbalancer.Settings {
	return packetbalancer.Settings{
		Name:          s.Name,
		Zone:          s.Zone,
		ClientAddr:    s.Packets,
		InnerAddr:     s.Inner(),
		OpsAddr:       s.Ops(),
		ReadinessAddr: s.Ready,
		HeartbeatAddr: s.Heartbeats,
		Seeds:         s.InnerSeeds(),
		Secret:        s.Secret(),
		GracePeriod:   s.Grace,
	}
}
