// Command skylarkctl is the operators' tool: it declares services and intents,
// shows the plans that the system answers with, and confirms them.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"
	"github.com/samber/oops"

	"skylarkturn/internal/admin"
	"skylarkturn/internal/daemon"
)

// Exit codes.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitRefused     = 3 // the system refused: invalid, stale, forbidden or not found
	exitUnavailable = 4 // no balancer answered, or the platform is down: nothing changed
	exitUnknown     = 5 // the outcome of a confirmation is not known: confirm again
	exitNotInForce  = 6 // confirmed, and not in force on every balancer in time
)

type cli struct {
	Server  []string         `help:"Address of a balancer's administration API; may be repeated." env:"SKYLARK_SERVER" required:"" placeholder:"HOST:PORT"`
	CA      string           `help:"File with the authority to trust." env:"SKYLARK_CA" required:"" type:"existingfile"`
	Cert    string           `help:"File with the operator's certificate." env:"SKYLARK_CERT" required:"" type:"existingfile"`
	Key     string           `help:"File with the operator's key." env:"SKYLARK_KEY" required:"" type:"existingfile"`
	JSON    bool             `help:"Print JSON instead of tables."`
	Timeout time.Duration    `help:"Time to wait for the whole command." default:"30s"`
	Version kong.VersionFlag `help:"Print the version and exit."`

	Services servicesCmd `cmd:"" help:"List the services."`
	Declare  declareCmd  `cmd:"" help:"Have a service declared by a TOML file planned."`
	Plan     planCmd     `cmd:"" help:"Have a change of a service's intent planned."`
	Undo     undoCmd     `cmd:"" help:"Have a return to an earlier intent planned."`
	Confirm  confirmCmd  `cmd:"" help:"Confirm a plan and wait until it is in force."`
	Status   statusCmd   `cmd:"" help:"Show where a service's configuration is in force."`
	Members  membersCmd  `cmd:"" help:"List balancers and targets."`
	Explain  explainCmd  `cmd:"" help:"Tell where a connection ID leads."`
}

type env struct {
	ctx    context.Context
	client *admin.Client
	json   bool
}

func main() { os.Exit(run()) }

func run() int {
	var c cli
	k := kong.Parse(&c, kong.Name("skylarkctl"), kong.Description("Declares services and intents, and confirms plans."),
		kong.Vars{"version": daemon.Version()}, kong.Exit(exit))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	cfg, err := admin.LoadTLS(c.CA, c.Cert, c.Key)
	if err != nil {
		return fail(err)
	}
	if err := k.Run(&env{ctx, admin.NewClient(cfg, c.Server...), c.JSON}); err != nil {
		return fail(oops.In("skylarkctl").With("command", k.Command()).Wrap(err))
	}
	return 0
}

// Exits with the documented code where the flags are at fault.
func exit(code int) {
	if code != 0 {
		code = exitUsage
	}
	os.Exit(code)
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "skylarkctl:", err)
	var p *admin.Problem
	var e *admin.Error
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	case errors.As(err, &p) && p.Title == admin.KindUnknown:
		return exitUnknown
	case errors.As(err, &p) && p.Title == admin.KindUnavailable:
		return exitUnavailable
	case errors.As(err, &p):
		return exitRefused
	case errors.As(err, &e) && e.Kind == admin.KindUnavailable:
		return exitUnavailable
	}
	return exitFailure
}
