package main

import (
	"context"
	"os"

	"github.com/phuslu/log"

	"skylarkturn/internal/balancer"
	"skylarkturn/internal/daemon"
	"skylarkturn/platform"
)

func main() {
	if path, ok := platform.SettingsFile(); ok {
		os.Exit(runOnPlatform(path))
	}
	var cfg balancer.Settings
	os.Exit(daemon.Main("skylark-balancer", "Routes callers' datagrams to agents.", &cfg, &cfg.Log, func(ctx context.Context, l *log.Logger) error {
		b, err := balancer.New(cfg, balancer.WithLogger(l))
		if err != nil {
			return err
		}
		if err := daemon.PrintReady(b.Addresses()); err != nil {
			return err
		}
		return b.Run(ctx)
	}))
}
