package main

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"github.com/phuslu/log"

	"skylarkturn/internal/daemon"
	"skylarkturn/internal/entry"
	"skylarkturn/platform"
)

// Runs the balancer with the settings that the platform gives.
func runOnPlatform(path string) int {
	s, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "skylark-balancer: %v\n", err)
		return daemon.ExitSettings
	}
	l, w := daemon.OutputLogger()
	defer w.Close()
	return daemon.Run("skylark-balancer", path, l, func(ctx context.Context, l *log.Logger) error {
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
			return err
		}
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			daemon.WatchFile(ctx, path, func() { reload(path, l, b) })
		}()
		err = b.Run(ctx)
		if ctx.Err() != nil {
			<-watched
		}
		return err
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

func reload(path string, l *log.Logger, b *entry.Balancer) {
	s, err := platform.ReadSettings(path)
	if err != nil {
		l.Warn().Str("event", "reload").Err(err).Msg("settings not reloaded, the ones in use stay")
		return
	}
	b.AddSeeds(s.InnerSeeds())
	l.Info().Str("event", "reload").Int("seeds", len(s.Seeds)).Msg("settings reloaded")
}
