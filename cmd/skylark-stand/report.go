package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"skylarkturn/internal/report"
	"skylarkturn/platform/bench"
)

type reportCmd struct {
	Runs []string `arg:"" help:"Run files: run.json of a soak test, or a file that fleetbench --report wrote." type:"existingfile"`
	Out  string   `help:"File to write the page to." default:"report.html" type:"path"`
	SVG  string   `help:"Directory for an SVG file of each run, with the share of requests served; none by default." name:"svg" type:"path"`
}

// Run renders the runs as one page, and as files if wanted.
func (c *reportCmd) Run() error {
	runs := make([]report.Run, len(c.Runs))
	for i, path := range c.Runs {
		var err error
		if runs[i], err = readRun(path); err != nil {
			return err
		}
	}
	if err := writeFile(c.Out, func(w io.Writer) error { return report.Write(w, runs) }); err != nil {
		return err
	}
	if c.SVG == "" {
		return nil
	}
	if err := os.MkdirAll(c.SVG, 0o755); err != nil {
		return err
	}
	for i, path := range c.Runs {
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)) + ".svg"
		draw := func(w io.Writer) error { return report.WriteServed(w, &runs[i]) }
		if err := writeFile(filepath.Join(c.SVG, name), draw); err != nil {
			return err
		}
	}
	return nil
}

// writeFile creates a file with what write writes.
func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
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
