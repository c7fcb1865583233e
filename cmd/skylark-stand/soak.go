package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"skylarkturn/internal/platformstand"
	"skylarkturn/internal/standin"
)

type soakCmd struct {
	Bin       string        `help:"Directory of skylark-balancer and skylark-agent; defaults to that of this program." type:"path"`
	First     uint64        `help:"Seed of the first run." default:"1"`
	Runs      int           `help:"Number of runs, with consecutive seeds." default:"1"`
	Parallel  int           `help:"Number of concurrent runs." default:"1"`
	Length    time.Duration `help:"Duration of the faults in a run; a few seconds without faults follow." default:"20s"`
	Balancers int           `help:"Initial number of balancers." default:"3"`
	Hosts     int           `help:"Initial number of hosts of each of the two services." default:"3"`
	Users     int           `help:"Number of users, each with one request at a time." default:"20"`
	Dir       string        `help:"Directory for the logs of the runs; defaults to a temporary one." type:"path"`
	JSON      bool          `help:"Print a JSON object for each run."`
	Report    bool          `help:"Write run.json, for the report command, beside the log of each run."`
}

// soakResult is the result of one run in the format of the --json flag.
type soakResult struct {
	Seed     uint64         `json:"seed"`
	Requests int            `json:"requests"`
	Share    float64        `json:"share_served"`       // fraction of the requests that were served
	After    float64        `json:"share_served_after"` // the same, at the end of the recovery period
	Failures map[string]int `json:"failures"`           // failed requests by reason
	Broken   []string       `json:"broken"`             // violations of guarantees
}

// Run runs soak tests on the simulated platform.
func (c *soakCmd) Run(ctx context.Context) error {
	bin, err := binDir(c.Bin)
	if err != nil {
		return err
	}
	dir, err := logDir(c.Dir)
	if err != nil {
		return err
	}
	var (
		mu       sync.Mutex
		workers  sync.WaitGroup
		violated bool
		failed   error
	)
	semaphore := make(chan struct{}, max(c.Parallel, 1))
	for i := range c.Runs {
		seed := c.First + uint64(i)
		semaphore <- struct{}{}
		workers.Go(func() {
			defer func() { <-semaphore }()
			r, err := c.runSeed(ctx, bin, dir, seed)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = fmt.Errorf("seed %d: %w", seed, err)
				return
			}
			violated = violated || len(r.Broken) > 0
			r.print(c.JSON)
		})
	}
	workers.Wait()
	switch {
	case failed != nil:
		return failed
	case violated:
		return errGuaranteeViolated
	}
	return nil
}

// runSeed runs the soak test with one seed, in a directory of its own.
func (c *soakCmd) runSeed(ctx context.Context, bin, dir string, seed uint64) (soakResult, error) {
	runDir := filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(runDir, 0o755); err != nil {
		return soakResult{}, err
	}
	f, err := os.Create(filepath.Join(runDir, "log"))
	if err != nil {
		return soakResult{}, err
	}
	defer f.Close()
	s := platformstand.Soak{Bin: bin, Dir: runDir, Seed: seed, Length: c.Length, Balancers: c.Balancers, Hosts: c.Hosts, Users: c.Users, Out: f, Log: f}
	r, err := s.Run(ctx)
	if err == nil && c.Report {
		err = writeRun(filepath.Join(runDir, "run.json"), &r.Run)
	}
	return newSoakResult(seed, &r), err
}

func newSoakResult(seed uint64, r *platformstand.Result) soakResult {
	return soakResult{seed, r.Requests, r.ServedShare, r.RecoveredShare, r.Failures, r.Violations}
}

func (r soakResult) print(asJSON bool) {
	if asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(r) // standard output may be a closed pipe
		return
	}
	fmt.Printf("seed %d: %d requests, %.3f served, %.3f after the faults, failures %v\n", r.Seed, r.Requests, r.Share, r.After, r.Failures)
	for _, v := range r.Broken {
		fmt.Println("  violated:", v)
	}
}

// runOnPlatform runs an experiment on the simulated platform.
func (c *runCmd) runOnPlatform(ctx context.Context, e *standin.Experiment, bin string) error {
	if err := e.Check(); err != nil {
		return err
	}
	dir, err := logDir(c.Dir)
	if err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return err
	}
	defer f.Close()
	r, err := platformstand.RunExperiment(ctx, e, platformstand.ExperimentOptions{Bin: bin, Dir: dir, Log: f})
	if err == nil {
		err = writeRun(filepath.Join(dir, "run.json"), &r.Run)
	}
	if err != nil {
		return err
	}
	newSoakResult(e.Seed, &r).print(c.JSON)
	if len(r.Violations) > 0 {
		return errGuaranteeViolated
	}
	return nil
}

// logDir creates the directory for logs, a temporary one if dir is empty, and
// prints its path.
func logDir(dir string) (string, error) {
	var err error
	if dir == "" {
		dir, err = os.MkdirTemp("", "skylark-stand")
	} else {
		err = os.MkdirAll(dir, 0o755)
	}
	fmt.Fprintln(os.Stderr, "logs are in", dir)
	return dir, err
}
