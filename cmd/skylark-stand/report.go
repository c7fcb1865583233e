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
	Runs []string `arg:"" help:"Run files: run.json of a soak test, or a file that fleetbench --report wrote." type:"existingfile"`
	Out  string   `help:"File to write the page to." default:"report.html" type:"path"`
}

// Run renders the runs as one page.
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
		_ = f.Close() // the first error is the cause
		return err
	}
	return f.Close()
}

// readRun reads a run from a file that writeRun or fleetbench wrote.
func readRun(path string) (report.Run, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return report.Run{}, err
	}
	var run report.Run
	if json.Unmarshal(b, &run) == nil && run.Name != "" && len(run.Windows) > 0 && run.Metrics != nil {
		return run, nil
	}
	return bench.Parse(filepath.Base(path), b)
}

// writeRun writes a run as JSON, for the report command.
func writeRun(path string, r *report.Run) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return os.WriteFile(path, b, 0o644)
}
