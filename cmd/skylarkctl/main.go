package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/samber/oops"

	"skylarkturn/internal/admin"
	"skylarkturn/internal/daemon"
	"skylarkturn/internal/fleet"
)

// Exit codes.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitRefused     = 3 // the request was refused: invalid, stale, forbidden or not found
	exitUnavailable = 4 // no balancer responded, or the platform is down; nothing has changed
	exitUnknown     = 5 // the outcome of a confirmation is unknown; confirm again
	exitNotInForce  = 6 // confirmed, but not in force on every balancer before the timeout
)

type cli struct {
	Server  []string         `help:"Address of a balancer's administration API; may be repeated." env:"SKYLARK_SERVER" placeholder:"HOST:PORT"`
	CA      string           `help:"File with the certificate of the trusted authority." env:"SKYLARK_CA" type:"existingfile"`
	Cert    string           `help:"File with the operator's certificate." env:"SKYLARK_CERT" type:"existingfile"`
	Key     string           `help:"File with the operator's private key." env:"SKYLARK_KEY" type:"existingfile"`
	JSON    bool             `help:"Print JSON instead of tables."`
	Timeout time.Duration    `help:"Timeout of the whole command." default:"30s"`
	Version kong.VersionFlag `help:"Print the version and exit."`

	Services servicesCmd `cmd:"" help:"List the services."`
	Declare  declareCmd  `cmd:"" help:"Plan the declaration of a service from a TOML file."`
	Plan     planCmd     `cmd:"" help:"Plan a change of a service's intent."`
	Undo     undoCmd     `cmd:"" help:"Plan the return to an earlier intent."`
	Confirm  confirmCmd  `cmd:"" help:"Confirm a plan and wait until it is in force."`
	Status   statusCmd   `cmd:"" help:"Show where a service's configuration is in force."`
	Members  membersCmd  `cmd:"" help:"List balancers and targets."`
	Explain  explainCmd  `cmd:"" help:"Show the target that a connection ID belongs to."`
	Fleet    fleetCmd    `cmd:"" help:"Query the daemons on the users' platform at their metrics addresses."`
}

// env holds what all commands share.
type env struct {
	ctx    context.Context
	client *admin.Client // nil for the fleet commands
	fleet  *fleet.Client // nil for all other commands
	json   bool          // print JSON instead of tables
}

func main() { os.Exit(run()) }

func run() int {
	var c cli
	e := &env{}
	k := kong.Parse(&c, kong.Name("skylarkctl"), kong.Description("Declares services and intents, and confirms plans."),
		kong.Vars{"version": daemon.Version()}, kong.Exit(exit), kong.Bind(e))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	e.ctx, e.json = ctx, c.JSON
	if e.fleet == nil { // only the fleet commands do without the administration API
		if err := c.connect(e); err != nil {
			return reportError(err)
		}
	}
	if err := k.Run(e); err != nil {
		return reportError(oops.In("skylarkctl").With("command", k.Command()).Wrap(err))
	}
	return 0
}

// connect sets the client of the administration API.
func (c *cli) connect(e *env) error {
	for _, f := range []struct{ flag, value string }{
		{"--server", strings.Join(c.Server, "")}, {"--ca", c.CA}, {"--cert", c.Cert}, {"--key", c.Key},
	} {
		if f.value == "" {
			return oops.With("missing flag", f.flag).Wrapf(errUsage, "missing flag %s", f.flag)
		}
	}
	cfg, err := admin.LoadTLS(c.CA, c.Cert, c.Key)
	if err != nil {
		return err
	}
	e.client = admin.NewClient(cfg, c.Server...)
	return nil
}

// exit maps kong's exit code for invalid flags to exitUsage.
func exit(code int) {
	if code != 0 {
		code = exitUsage
	}
	os.Exit(code)
}

// reportError prints the error and returns the exit code for it.
func reportError(err error) int {
	fmt.Fprintln(os.Stderr, "skylarkctl:", err)
	var p *admin.Problem
	var e *admin.Error
	var f *fleet.Error
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	case errors.As(err, &p) && p.Title == admin.KindOutcomeUnknown:
		return exitUnknown
	case errors.As(err, &p) && (p.Title == admin.KindUnavailable || p.Title == admin.KindNotReady):
		return exitUnavailable
	case errors.As(err, &p):
		return exitRefused
	case errors.As(err, &e) && e.Kind == admin.KindUnavailable:
		return exitUnavailable
	case errors.As(err, &f) && f.Kind == fleet.KindUnavailable:
		return exitUnavailable
	}
	return exitFailure
}
