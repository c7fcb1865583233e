package main

import (
	"context"
	"os"

	"github.com/phuslu/log"

	"skylarkturn/internal/agent"
	"skylarkturn/internal/daemon"
	"skylarkturn/platform"
)

func main() {
	if path, ok := platform.SettingsFile(); ok {
		os.Exit(runOnPlatform(path))
	}
	var cfg agent.Settings
	os.Exit(daemon.Main("skylark-agent", "Terminates callers' sessions beside a target.", &cfg, &cfg.Log, func(ctx context.Context, l *log.Logger) error {
		a, err := agent.New(cfg, agent.WithLogger(l))
		if err != nil {
			return err
		}
		if err := daemon.PrintReady(a.Addresses()); err != nil {
			return err
		}
		return a.Run(ctx)
	}))
}
