package main

import (
	"net/http"

	"github.com/phuslu/log"

	"skylarkturn/internal/daemon"
	"skylarkturn/internal/entry"
	"skylarkturn/platform"
)

// daemonOnPlatform reloads its seeds from the platform's settings file.
type daemonOnPlatform struct {
	*entry.Balancer
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

// Runs the balancer with the settings that the platform gives.
func runOnPlatform(path string) int {
	var s platform.Settings
	read := func() (err error) {
		s, err = platform.ReadSettings(path)
		return err
	}
	return daemon.RunWatched("skylark-balancer", path, read, func(l *log.Logger) (daemon.Watched, error) {
		store := platform.NewStore(s.Store)
		b, err := entry.New(entrySettings(&s), entry.Platform{
			Store:     store,
			Balancers: store.BalancerRegistry(),
			Agents:    store.AgentRegistry(),
			Format:    platform.Packets{},
			Ready:     platform.ReadyHandler,
			Hosts:     http.NotFoundHandler(), // hosts report to the agent on their own VM
		}, entry.WithLogger(l))
		if err != nil {
			return nil, err
		}
		return daemonOnPlatform{b, path}, nil
	})
}

func entrySettings(s *platform.Settings) entry.Settings {
	return entry.Settings{
		Name:       s.Name,
		Zone:       s.Zone,
		Packets:    s.Packets,
		Inner:      s.Inner(),
		Ops:        s.Ops(),
		Ready:      s.Ready,
		Heartbeats: s.Heartbeats,
		Seeds:      s.InnerSeeds(),
		Secret:     s.Secret(),
		Grace:      s.Grace,
	}
}
