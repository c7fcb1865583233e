package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"skylarkturn/internal/report"
	"skylarkturn/platform/bench"
)

type reportCmd struct {
	Runs []string `arg:"" help:"Files of runs: run.json of a soak, or what fleetbench --report wrote. They are drawn side by side." type:"existingfile"`
	Out  string   `help:"File of the page." default:"report.html" type:"path"`
}

// Run draws runs as one page.
func (c *reportCmd) Run() error {
	runs := make([]report.Run, len(c.Runs))
	for i, path := range c.Runs {
		var err error
		if runs[i], err = readRun(path); err != nil {
			return err
		}
	}
	f, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	if err := report.Write(f, runs); err != nil {
		_ = f.Close() // the first error tells more
		return err
	}
	return f.Close()
}

// Reads a run of the project's own format or of the bench's.
func readRun(path string) (report.Run, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return report.Run{}, err
	}
	var own report.Run
	if json.Unmarshal(b, &own) == nil && own.Name != "" && len(own.Windows) > 0 && own.Figures != nil {
		return own, nil
	}
	return bench.Parse(filepath.Base(path), b)
}

func writeRun(path string, r *report.Run) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return os.WriteFile(path, b, 0o644)
}
