package main

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"github.com/phuslu/log"

	"skylarkturn/internal/daemon"
	"skylarkturn/internal/hostside"
	"skylarkturn/platform"
)

// Runs the agent with the settings that the platform gives.
func runOnPlatform(path string) int {
	s, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "skylark-agent: %v\n", err)
		return daemon.ExitSettings
	}
	l, w := daemon.OutputLogger()
	defer w.Close()
	return daemon.Run("skylark-agent", path, l, func(ctx context.Context, l *log.Logger) error {
		store := platform.NewStore(s.Store)
		a, err := hostside.New(agentSettings(&s), hostside.Platform{
			Balancers: store.BalancerRegistry(),
			Agents:    store.AgentRegistry(),
			Format:    platform.Packets{},
			Ready:     platform.ReadyHandler,
			Hosts:     func(a *hostside.Agent) http.Handler { return platform.HeartbeatHandler(a) },
		}, hostside.WithLogger(l))
		if err != nil {
			return err
		}
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			daemon.WatchFile(ctx, path, func() { reload(path, l, a) })
		}()
		err = a.Run(ctx)
		if ctx.Err() != nil {
			<-watched
		}
		return err
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

func reload(path string, l *log.Logger, a *hostside.Agent) {
	s, err := platform.ReadSettings(path)
	if err != nil {
		l.Warn().Str("event", "reload").Err(err).Msg("settings not reloaded, the ones in use stay")
		return
	}
	a.AddSeeds(s.InnerSeeds())
	l.Info().Str("event", "reload").Int("seeds", len(s.Seeds)).Msg("settings reloaded")
}
