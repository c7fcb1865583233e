package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"

	"skylarkturn/internal/fleet"
)

// fleetCmd groups the commands that ask daemons at their metrics addresses. They
// change nothing and need no certificate.
type fleetCmd struct {
	At []string `help:"Metrics address of a balancer; may be repeated." env:"SKYLARK_FLEET" required:"" placeholder:"HOST:PORT"`

	Status  fleetStatusCmd  `cmd:"" help:"Show what each daemon tells of itself."`
	Members fleetMembersCmd `cmd:"" help:"Show the members that balancers know, and where they differ."`
	Flow    fleetFlowCmd    `cmd:"" help:"Show what all daemons decided about a flow."`
	Target  fleetTargetCmd  `cmd:"" help:"Show how balancers see a target, and how its agent does."`
}

// AfterApply gives the group's commands their client.
func (c *fleetCmd) AfterApply(e *env) error {
	e.fleet = fleet.NewClient(c.At...)
	return nil
}

type fleetStatusCmd struct{}

type statusLine struct {
	fleet.Status

	Error string `json:"error,omitempty"`
}

// Run shows the daemons' statuses.
func (*fleetStatusCmd) Run(e *env) error {
	answers, err := e.fleet.Statuses(e.ctx)
	if err != nil {
		return err
	}
	lines := make([]statusLine, len(answers))
	for i, a := range answers {
		lines[i] = statusLine{Status: a.Value}
		if a.Err != nil {
			lines[i].Name, lines[i].Role, lines[i].Zone, lines[i].Inner = a.Member.Name, a.Member.Role, a.Member.Zone, a.Member.Inner
			lines[i].Error = a.Err.Error()
		}
	}
	if e.json {
		return printJSON(lines)
	}
	return printTable("DAEMON\tROLE\tZONE\tUP\tFLOWS\tSTATE", func(w io.Writer) {
		for _, l := range lines {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", l.Name, l.Role, l.Zone, seconds(l.Uptime), l.Flows, l.summary())
		}
	})
}

func (l *statusLine) summary() string {
	switch {
	case l.Error != "":
		return "no answer: " + l.Error
	case l.Role == fleet.RoleAgent:
		return fmt.Sprintf("host %s of %s %s, heard %s ago, busy %d of %d slots, %d observers", l.Host, l.Service, l.HostState,
			seconds(l.HeardAgo), l.Busy, l.Slots, l.Observers)
	}
	parts := []string{fmt.Sprintf("configuration %d, checked %s ago, %d targets", l.ConfigVersion, seconds(l.CheckedAgo), l.Targets)}
	for _, flag := range []struct {
		set  bool
		text string
	}{{l.StoreLost, "store lost"}, {!l.Settled, "not settled"}, {l.Isolated, "isolated"}, {l.Stopping, "stopping"}} {
		if flag.set {
			parts = append(parts, flag.text)
		}
	}
	if len(l.Unheard) > 0 {
		parts = append(parts, "unheard "+strings.Join(l.Unheard, " "))
	}
	return strings.Join(parts, ", ")
}

func seconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(10 * time.Millisecond).String()
}

type fleetMembersCmd struct{}

// memberLine is a member and the balancers that have another state for it than
// the first.
type memberLine struct {
	fleet.Member

	Differs []string `json:"differs,omitempty"`
}

// Run shows the members.
func (*fleetMembersCmd) Run(e *env) error {
	views, err := e.fleet.Views(e.ctx)
	if err != nil {
		return err
	}
	lines := compareViews(views)
	if e.json {
		return printJSON(lines)
	}
	return printTable("MEMBER\tROLE\tZONE\tINNER\tSTATE\tSERVICE\tFLOWS\tBUSY\tHEARD\tDIFFERS", func(w io.Writer) {
		for _, l := range lines {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", l.Name, l.Role, l.Zone, l.Inner, l.State, l.Service, l.Flows, l.Busy,
				heardAgo(l.HeardAgo), strings.Join(l.Differs, " "))
		}
	})
}

func heardAgo(s float64) string {
	if s < 0 {
		return "never"
	}
	return seconds(s) + " ago"
}

// Merges what balancers know, ordered by name.
func compareViews(views []fleet.Answer[[]fleet.Member]) []memberLine {
	byInner := make(map[string]*memberLine)
	for _, v := range views {
		for _, m := range v.Value {
			if byInner[m.Inner] == nil {
				byInner[m.Inner] = &memberLine{Member: m}
			}
		}
	}
	lines := make([]memberLine, 0, len(byInner))
	for inner, l := range byInner {
		for _, v := range views {
			l.Differs = append(l.Differs, difference(l.Member, inner, v)...)
		}
		lines = append(lines, *l)
	}
	slices.SortFunc(lines, func(a, b memberLine) int { return strings.Compare(a.Name+a.Inner, b.Name+b.Inner) })
	return lines
}

// Returns how a balancer's view of a member differs, if it does.
func difference(m fleet.Member, inner string, v fleet.Answer[[]fleet.Member]) []string {
	if v.Err != nil {
		return nil
	}
	i := slices.IndexFunc(v.Value, func(o fleet.Member) bool { return o.Inner == inner })
	switch {
	case i < 0:
		return []string{v.Member.Name + "=unknown"}
	case v.Value[i].State != m.State || v.Value[i].Incarnation != m.Incarnation:
		return []string{v.Member.Name + "=" + v.Value[i].State}
	}
	return nil
}

type fleetFlowCmd struct {
	Flow string `arg:"" help:"The flow, as CLIENT>ROUTE, each an IPv4 address with its port."`
}

type flowAnswer struct {
	Flow      string           `json:"flow"`
	Decisions []fleet.Decision `json:"decisions"`
	Missing   []string         `json:"missing,omitempty"` // daemons that did not answer
}

// Run shows the decisions about a flow.
func (c *fleetFlowCmd) Run(e *env) error {
	decisions, missing, err := e.fleet.Flow(e.ctx, c.Flow)
	if err != nil {
		return err
	}
	a := flowAnswer{Flow: c.Flow, Decisions: decisions}
	for _, m := range missing {
		a.Missing = append(a.Missing, m.Member.Name)
	}
	if e.json {
		return printJSON(a)
	}
	if len(a.Missing) > 0 {
		fmt.Println("no answer from:", strings.Join(a.Missing, " "))
	}
	if len(decisions) == 0 {
		fmt.Println("no daemon remembers a decision about the flow; its lines in the logs may")
		return nil
	}
	return printTable("TIME\tDAEMON\tOUTCOME\tCAUSE\tPEER\tCONFIGURATION", func(w io.Writer) {
		for _, d := range decisions {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", d.At.Format("15:04:05.000"), d.Daemon, d.Outcome, d.Cause, d.Peer, d.Version)
		}
	})
}

type fleetTargetCmd struct {
	Target string `arg:"" help:"Name or inner address of the target's agent."`
}

type targetAnswer struct {
	Agent     *fleet.Status    `json:"agent,omitempty"` // what it tells of itself
	Error     string           `json:"error,omitempty"` // why it told nothing
	Balancers []targetSighting `json:"balancers"`
}

type targetSighting struct {
	Balancer string `json:"balancer"`

	fleet.Member
}

// Run shows how a target is seen.
func (c *fleetTargetCmd) Run(e *env) error {
	a, err := c.collect(e)
	if err != nil {
		return err
	}
	if e.json {
		return printJSON(a)
	}
	if a.Agent != nil {
		l := statusLine{Status: *a.Agent}
		fmt.Printf("%s, up %s, %d flows: %s\n", l.Name, seconds(l.Uptime), l.Flows, l.summary())
	} else {
		fmt.Println("the agent does not answer:", a.Error)
	}
	return printTable("BALANCER\tSTATE\tINCARNATION\tSERVICE\tFLOWS\tBUSY\tSLOTS\tWARMTH\tHEARD", func(w io.Writer) {
		for _, s := range a.Balancers {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%d\t%d\t%d%%\t%s\n", s.Balancer, s.State, s.Incarnation, s.Service, s.Flows, s.Busy, s.Slots,
				s.Warmth, heardAgo(s.HeardAgo))
		}
	})
}

func (c *fleetTargetCmd) collect(e *env) (a targetAnswer, err error) {
	views, err := e.fleet.Views(e.ctx)
	if err != nil {
		return a, err
	}
	for _, v := range views {
		for _, m := range v.Value {
			if m.Name == c.Target || m.Inner == c.Target {
				a.Balancers = append(a.Balancers, targetSighting{v.Member.Name, m})
			}
		}
	}
	if len(a.Balancers) == 0 {
		return a, oops.With("target", c.Target).Wrap(errUsage)
	}
	status, err := e.fleet.StatusOf(e.ctx, a.Balancers[0].Inner)
	if err != nil {
		a.Error = err.Error()
		return a, nil
	}
	a.Agent = &status
	return a, nil
}
