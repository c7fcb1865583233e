package main

import (
	"net/http"

	"github.com/phuslu/log"

	"skylarkturn/internal/daemon"
	"skylarkturn/internal/hostside"
	"skylarkturn/platform"
)

// daemonOnPlatform reloads its seeds from the platform's settings file.
type daemonOnPlatform struct {
	*hostside.Agent
	path string
}

// Reload takes over the seeds; addresses and ports stay as they were at the start.
func (d daemonOnPlatform) Reload() error {
	s, err := platform.ReadSettings(d.path)
	if err != nil {
		return err
	}
	d.AddSeeds(s.InnerSeeds())
	return nil
}

// Runs the agent with the settings that the platform gives.
func runOnPlatform(path string) int {
	var s platform.Settings
	read := func() (err error) {
		s, err = platform.ReadSettings(path)
		return err
	}
	return daemon.RunWatched("skylark-agent", path, read, func(l *log.Logger) (daemon.Watched, error) {
		store := platform.NewStore(s.Store)
		a, err := hostside.New(agentSettings(&s), hostside.Platform{
			Balancers: store.BalancerRegistry(),
			Agents:    store.AgentRegistry(),
			Format:    platform.Packets{},
			Ready:     platform.ReadyHandler,
			Hosts:     func(a *hostside.Agent) http.Handler { return platform.HeartbeatHandler(a) },
		}, hostside.WithLogger(l))
		if err != nil {
			return nil, err
		}
		return daemonOnPlatform{a, path}, nil
	})
}

func agentSettings(s *platform.Settings) hostside.Settings {
	return hostside.Settings{
		Name:       s.Name,
		Zone:       s.Zone,
		Inner:      s.Inner(),
		Ops:        s.Ops(),
		Ready:      s.Ready,
		Heartbeats: s.Heartbeats,
		Outbound:   s.Outbound,
		Host:       s.Host,
		ClientPort: s.Packets.Port(),
		Seeds:      s.InnerSeeds(),
		Service:    s.Service,
		Secret:     s.Secret(),
		BeatEvery:  s.HeartbeatEvery,
		FirstStart: s.FirstStart,
	}
}
