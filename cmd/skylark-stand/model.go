package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"golang.org/x/sync/errgroup"

	"skylarkturn/internal/loadmodel"
)

type modelCmd struct {
	Files    []string `arg:"" help:"Scenario files, see docs/EXPERIMENTS.md." type:"existingfile"`
	First    uint64   `help:"Seed of the first run of each scenario." default:"1"`
	Runs     int      `help:"Number of runs of each scenario, with consecutive seeds." default:"3"`
	Parallel int      `help:"Number of concurrent runs." default:"1"`
	JSON     bool     `help:"Print a JSON object for each run."`
	Dir      string   `help:"Directory for a file of each run, for the report command; none by default." type:"path"`
}

// modelResult is the result of one run in the format of the --json flag.
type modelResult struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	*loadmodel.Result
}

// Run runs the scenarios and prints a table of each, with the means of its runs.
func (c *modelCmd) Run() error {
	if c.Runs < 1 {
		return fmt.Errorf("%d runs: at least one is needed", c.Runs)
	}
	for _, path := range c.Files {
		s, err := loadmodel.Load(path)
		if err != nil {
			return err
		}
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		results, err := c.runScenario(name, s)
		if err != nil {
			return err
		}
		if err := c.print(name, results); err != nil {
			return err
		}
	}
	return nil
}

// runScenario returns the results of all seeds, in their order.
func (c *modelCmd) runScenario(name string, s *loadmodel.Scenario) ([]*loadmodel.Result, error) {
	results := make([]*loadmodel.Result, c.Runs)
	var g errgroup.Group
	g.SetLimit(max(c.Parallel, 1))
	for i := range results {
		g.Go(func() error {
			seed := c.First + uint64(i)
			results[i] = loadmodel.Run(s, seed)
			return c.writeRun(fmt.Sprintf("%s-%d", name, seed), s, results[i])
		})
	}
	return results, g.Wait()
}

func (c *modelCmd) writeRun(name string, s *loadmodel.Scenario, r *loadmodel.Result) error {
	if c.Dir == "" {
		return nil
	}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return err
	}
	run := r.Run(name, s)
	return writeRun(filepath.Join(c.Dir, name+".json"), &run)
}

func (c *modelCmd) print(name string, results []*loadmodel.Result) error {
	if !c.JSON {
		fmt.Printf("%s, %d runs: ", name, len(results))
		return loadmodel.WriteTable(os.Stdout, results)
	}
	enc := json.NewEncoder(os.Stdout)
	for i, r := range results {
		if err := enc.Encode(modelResult{name, c.First + uint64(i), r}); err != nil {
			return err
		}
	}
	return nil
}
