package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"skylarkturn/internal/admin"
	"skylarkturn/internal/plan"
	"skylarkturn/internal/service"
	"skylarkturn/internal/settings"
)

var (
	errUsage      = errors.New("usage")
	errNotInForce = errors.New("not in force on every balancer")
)

// statusPollInterval is the time between status queries while a plan comes into
// force.
const statusPollInterval = 200 * time.Millisecond

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable prints rows in aligned columns under the headings, which are separated
// by tabs.
func printTable(headings string, rows func(w io.Writer)) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, headings)
	rows(w)
	return w.Flush()
}

type servicesCmd struct{}

// Run lists the services.
func (*servicesCmd) Run(e *env) error {
	services, err := e.client.Services(e.ctx)
	if err != nil {
		return err
	}
	if e.json {
		return printJSON(services)
	}
	return printTable("TENANT\tSERVICE\tNUMBER\tGENERATION\tADDRESSES", func(w io.Writer) {
		for _, s := range services {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\n", s.Tenant, s.Name, s.Number, s.Generation, s.Addresses)
		}
	})
}

// planOutput holds the flags that determine what happens to a plan.
type planOutput struct {
	Out     string `help:"File to write the plan to." type:"path" placeholder:"FILE"`
	Confirm bool   `help:"Confirm the plan and wait until it is in force."`
}

// finish prints the plan, and writes and confirms it if the flags ask for it.
func (o *planOutput) finish(e *env, p *plan.Plan) error {
	if o.Out != "" {
		b, err := json.MarshalIndent(p, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.Out, b, 0o600); err != nil {
			return err
		}
	}
	if err := printPlan(e, p); err != nil {
		return err
	}
	if o.Confirm {
		return confirm(e, p)
	}
	return nil
}

func printPlan(e *env, p *plan.Plan) error {
	if e.json {
		return printJSON(p)
	}
	fmt.Printf("plan %s for service %s, from generation %d\n", p.ID, p.Service, p.Base)
	if len(p.Steps) == 0 {
		fmt.Println("no change")
	}
	for _, s := range p.Steps {
		fmt.Printf("  %-9s %s  %s\n", s.Action, s.Target, s.Detail)
	}
	for _, warning := range p.Warnings {
		fmt.Println("warning:", warning)
	}
	fmt.Println(formatView(&p.View))
	if len(p.Shares) == 0 {
		return nil
	}
	return printTable("TARGET\tZONE\tBEFORE\tAFTER", func(w io.Writer) {
		for _, s := range p.Shares {
			fmt.Fprintf(w, "%s\t%s\t%.1f%%\t%.1f%%\n", s.Target, s.Zone, 100*s.Before, 100*s.After)
		}
	})
}

// formatView says which members a plan rests on.
func formatView(v *plan.View) string {
	text := fmt.Sprintf("made by %s, which knows %d targets of the service", v.Balancer, v.Targets)
	if !v.Complete {
		text += " and may not have heard of all yet"
	}
	return text
}

type declareCmd struct {
	File string `arg:"" help:"TOML file that declares the service." type:"existingfile"`
	planOutput
}

// Run plans the declaration of a service.
func (c *declareCmd) Run(e *env) error {
	var s service.Service
	if err := settings.Load(c.File, &s); err != nil {
		return errors.Join(errUsage, err)
	}
	p, err := e.client.Plan(e.ctx, s)
	if err != nil {
		return err
	}
	return c.finish(e, p)
}

type planCmd struct {
	Service string `arg:"" help:"Name of the service."`
	Target  string `help:"Target that the rule applies to." xor:"selector"`
	Host    string `help:"Host (VM) that the rule applies to." xor:"selector"`
	Zone    string `help:"Availability zone that the rule applies to." xor:"selector"`

	Drain bool     `help:"Drain the selection." xor:"change"`
	Share *float64 `help:"Set the relative share of the selection." xor:"change"`
	Clear bool     `help:"Delete the rule of the selection." xor:"change"`
	planOutput
}

// Run plans the change of one rule of a service's intent.
func (c *planCmd) Run(e *env) error {
	if c.Target+c.Host+c.Zone == "" || !c.Drain && c.Share == nil && !c.Clear {
		return fmt.Errorf("%w: give --target, --host or --zone, and --drain, --share or --clear", errUsage)
	}
	s, err := e.client.Service(e.ctx, c.Service)
	if err != nil {
		return err
	}
	rule := service.Rule{Target: c.Target, Host: c.Host, Zone: c.Zone, Drain: c.Drain, Share: c.Share}
	rules := slices.DeleteFunc(slices.Clone(s.Intent.Rules), func(r service.Rule) bool {
		return r.Target == c.Target && r.Host == c.Host && r.Zone == c.Zone
	})
	if !c.Clear {
		rules = append(rules, rule)
	}
	s.Intent.Rules = rules
	p, err := e.client.Plan(e.ctx, s)
	if err != nil {
		return err
	}
	return c.finish(e, p)
}

type undoCmd struct {
	Service string `arg:"" help:"Name of the service."`
	To      uint32 `help:"Generation whose intent is restored; 0 means the one before the current."`
	planOutput
}

// Run plans the return to the intent of an earlier generation.
func (c *undoCmd) Run(e *env) error {
	s, err := e.client.Service(e.ctx, c.Service)
	if err != nil {
		return err
	}
	if c.To == 0 {
		c.To = s.Generation - 1
	}
	i := slices.IndexFunc(s.Past, func(p service.Change) bool { return p.Generation == c.To })
	if i < 0 {
		return fmt.Errorf("%w: generation %d is not among the last %d of service %q", errUsage, c.To, len(s.Past), c.Service)
	}
	s.Intent = s.Past[i].Intent
	p, err := e.client.Plan(e.ctx, s)
	if err != nil {
		return err
	}
	return c.finish(e, p)
}

type confirmCmd struct {
	File string `arg:"" help:"File with the plan; - reads standard input." type:"path"`
}

// Run confirms a plan from a file.
func (c *confirmCmd) Run(e *env) error {
	in := os.Stdin
	if c.File != "-" {
		f, err := os.Open(c.File)
		if err != nil {
			return errors.Join(errUsage, err)
		}
		defer f.Close()
		in = f
	}
	p := new(plan.Plan)
	if err := json.NewDecoder(in).Decode(p); err != nil {
		return fmt.Errorf("%w: %s holds no plan: %w", errUsage, c.File, err)
	}
	return confirm(e, p)
}

// confirm confirms a plan and waits until it is in force on every balancer.
func confirm(e *env, p *plan.Plan) error {
	confirmed, err := e.client.Confirm(e.ctx, p)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "confirmed as generation %d\n", confirmed.Generation)
	started := time.Now()
	for {
		s, err := e.client.Status(e.ctx, p.Service)
		if err == nil && s.Generation >= confirmed.Generation && inForceEverywhere(s) {
			fmt.Fprintf(os.Stderr, "in force on %d balancers after %v\n", len(s.Balancers), time.Since(started).Round(time.Millisecond))
			return nil
		}
		select {
		case <-e.ctx.Done():
			return errors.Join(errNotInForce, notInForceError(s))
		case <-time.After(statusPollInterval):
		}
	}
}

// inForceEverywhere reports whether the configuration is in force on all balancers.
func inForceEverywhere(s admin.Status) bool {
	return !slices.ContainsFunc(s.Balancers, func(b admin.BalancerStatus) bool { return !b.InForce })
}

// notInForceError lists the balancers where the configuration is not in force.
func notInForceError(s admin.Status) error {
	var errs []error
	for _, b := range s.Balancers {
		if !b.InForce {
			errs = append(errs, fmt.Errorf("%s in %s: %s", b.Balancer, b.Zone, b.Problem))
		}
	}
	return errors.Join(errs...)
}

type statusCmd struct {
	Service string `arg:"" help:"Name of the service."`
}

// Run shows the balancers on which a service's configuration is in force.
func (c *statusCmd) Run(e *env) error {
	s, err := e.client.Status(e.ctx, c.Service)
	if err != nil {
		return err
	}
	if e.json {
		return printJSON(s)
	}
	fmt.Printf("service %s, generation %d, plan %s, checked with the platform %s ago\n", s.Service, s.Generation, s.PlanID, s.CheckedAgo)
	return printTable("BALANCER\tZONE\tIN FORCE\tPROBLEM", func(w io.Writer) {
		for _, b := range s.Balancers {
			fmt.Fprintf(w, "%s\t%s\t%v\t%s\n", b.Balancer, b.Zone, b.InForce, b.Problem)
		}
	})
}

type membersCmd struct{}

// Run lists balancers and targets.
func (*membersCmd) Run(e *env) error {
	members, err := e.client.Members(e.ctx)
	if err != nil {
		return err
	}
	if e.json {
		return printJSON(members)
	}
	return printTable("NAME\tROLE\tSTATE\tZONE\tADDRESS\tSERVICE\tWARMTH\tSESSIONS", func(w io.Writer) {
		for _, m := range members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d%%\t%d\n", m.Name, m.Role, m.State, m.Zone, m.Addr, m.Service, m.Warmth, m.Sessions)
		}
	})
}

type explainCmd struct {
	ID string `arg:"" help:"Connection ID in hexadecimal, as packet captures show it."`
}

// Run shows the target that a connection ID belongs to.
func (c *explainCmd) Run(e *env) error {
	x, err := e.client.Explain(e.ctx, c.ID)
	if err != nil {
		return err
	}
	if e.json {
		return printJSON(x)
	}
	fmt.Printf("service number %d, target %s (%s) at %s: %s\n", x.Service, x.Member, x.State, x.Agent, x.Verdict)
	return nil
}
