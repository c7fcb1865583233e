package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"skylarkturn/internal/daemon"
	"skylarkturn/internal/settings"
	"skylarkturn/internal/standin"
)

// Exit codes.
const (
	exitFailure           = 1
	exitUsage             = 2
	exitGuaranteeViolated = 3 // a run violated a guarantee
)

type cli struct {
	Demo     demoCmd          `cmd:"" help:"Run a demo with two tenants in one process for about 20 s."`
	Run      runCmd           `cmd:"" help:"Run an experiment from a TOML file, with the built programs as processes."`
	Capacity capacityCmd      `cmd:"" help:"Measure the resource costs of docs/CAPACITY.md with the built programs."`
	Soak     soakCmd          `cmd:"" help:"Run the built programs on a simulated platform under random faults."`
	Model    modelCmd         `cmd:"" help:"Run load scenarios in virtual time."`
	Report   reportCmd        `cmd:"" help:"Render runs side by side as one HTML page."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

var errGuaranteeViolated = errors.New("a guarantee was violated")

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("skylark-stand"), kong.Description("Runs the system in a simulated environment, on loopback."),
		kong.Vars{"version": daemon.Version()}, kong.BindFor[context.Context](nil))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	k.BindTo(ctx, (*context.Context)(nil))
	err := k.Run()
	stop()
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var invalid *settings.Error
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errGuaranteeViolated):
		fmt.Fprintln(os.Stderr, "skylark-stand:", err)
		return exitGuaranteeViolated
	case errors.As(err, &invalid):
		fmt.Fprintln(os.Stderr, "skylark-stand:", err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "skylark-stand:", err)
	return exitFailure
}

type demoCmd struct {
	Scale float64 `help:"Fraction of the 2,000 connections of each service." default:"0.02"`
	JSON  bool    `help:"Print the result as one JSON object."`
}

// Run runs the demo.
func (c *demoCmd) Run(ctx context.Context) error {
	return runExperiment(ctx, standin.Demo(c.Scale), "", c.JSON)
}

type runCmd struct {
	File string `arg:"" help:"Experiment file, see docs/EXPERIMENTS.md." type:"existingfile"`
	Bin  string `help:"Directory of skylark-balancer and skylark-agent; defaults to that of this program." type:"path"`
	JSON bool   `help:"Print the result as one JSON object."`
	Dir  string `help:"Directory for the log and run.json (see the report command) of an experiment on the users' platform; defaults to a temporary one." type:"path"`
}

// Run runs an experiment.
func (c *runCmd) Run(ctx context.Context) error {
	var e standin.Experiment
	if err := settings.Load(c.File, &e); err != nil {
		return err
	}
	bin, err := binDir(c.Bin)
	if err != nil {
		return err
	}
	if e.Platform {
		return c.runOnPlatform(ctx, &e, bin)
	}
	return runExperiment(ctx, &e, bin, c.JSON)
}

// binDir returns the directory of the built programs: dir, or that of this program
// if dir is empty.
func binDir(dir string) (string, error) {
	if dir == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		dir = filepath.Dir(self)
	}
	for _, name := range []string{"skylark-balancer", "skylark-agent"} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			return "", fmt.Errorf("the programs are not built, see README.md: %w", err)
		}
	}
	return dir, nil
}

type capacityCmd struct {
	Bin      string        `help:"Directory of skylark-balancer and skylark-agent; defaults to that of this program." type:"path"`
	Window   time.Duration `help:"Duration of the measurement of a process." default:"10s"`
	Sessions int           `help:"Sessions of the measured agent." default:"400"`
	JSON     bool          `help:"Print the results as one JSON array."`
}

// Run measures the resource costs and prints them.
func (c *capacityCmd) Run(ctx context.Context) (err error) {
	bin, err := binDir(c.Bin)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "skylark-stand")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	costs, err := standin.MeasureCapacity(ctx, standin.CapacityOptions{Dir: dir, Bin: bin, Window: c.Window, Sessions: c.Sessions, Progress: progress})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(costs)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "SLOPE\tSIZE\tVALUE\tUNIT")
	for _, cost := range costs {
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%s\n", cost.Name, cost.Size, cost.Value, cost.Unit)
	}
	return w.Flush()
}

func progress(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }

func runExperiment(ctx context.Context, e *standin.Experiment, bin string, asJSON bool) (err error) {
	dir, err := os.MkdirTemp("", "skylark-stand")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	r, err := e.Run(ctx, standin.RunOptions{Dir: dir, Bin: bin, Progress: progress})
	if err != nil {
		return err
	}
	if asJSON {
		err = json.NewEncoder(os.Stdout).Encode(r)
	} else {
		err = printTable(os.Stdout, &r)
	}
	if err == nil && len(r.BrokenPromises) > 0 {
		return errGuaranteeViolated
	}
	return err
}

func printTable(out io.Writer, r *standin.Result) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "TENANT\tSERVICE\tSESSIONS\tREQUESTS\tANSWERED\tNOT RUN\tUNKNOWN\tBROKEN FLOWS\tMOVES\tLOST\tDUPLICATED\tMISROUTED\tCUT\tINCOMPLETE\tIMBALANCE\tOF SESSIONS\tP50 MS\tP99 MS\t")
	for _, s := range r.Services {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t\n",
			s.Tenant, s.Service, s.Sessions, s.Requests, s.Answered, s.NotRun, s.Unknown, s.BrokenFlows, s.Moves, s.Lost,
			s.Duplicated, s.Misrouted, s.UnexpectedFailures, s.IncompleteAnswers, s.Imbalance, s.ConnectionImbalance, s.P50ms, s.P99ms)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "configuration in force everywhere after at most %.0f ms\n", r.ConfigInForceMS)
	for _, p := range r.BrokenPromises {
		fmt.Fprintln(out, "guarantee violated:", p)
	}
	if len(r.BrokenPromises) == 0 {
		fmt.Fprintln(out, "no guarantee violated")
	}
	return nil
}
