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

// fleetCmd groups the commands that query daemons at their metrics addresses. They
// are read-only and need no certificate.
type fleetCmd struct {
	At []string `help:"Metrics address of a balancer; may be repeated." env:"SKYLARK_FLEET" required:"" placeholder:"HOST:PORT"`

	Status  fleetStatusCmd  `cmd:"" help:"Show the status of each daemon."`
	Members fleetMembersCmd `cmd:"" help:"Show the members that balancers know, and how the balancers differ."`
	Flow    fleetFlowCmd    `cmd:"" help:"Show the decisions of all daemons about a flow."`
	Target  fleetTargetCmd  `cmd:"" help:"Show the status of a target's agent, and the target as each balancer knows it."`
}

// AfterApply creates the client for the commands of the group.
func (c *fleetCmd) AfterApply(e *env) error {
	e.fleet = fleet.NewClient(c.At...)
	return nil
}

type fleetStatusCmd struct{}

// statusRow is the status of a daemon, or why it is missing.
type statusRow struct {
	fleet.Status

	Error string `json:"error,omitempty"`
}

// Run shows the daemons' statuses.
func (*fleetStatusCmd) Run(e *env) error {
	responses, err := e.fleet.Statuses(e.ctx)
	if err != nil {
		return err
	}
	rows := make([]statusRow, len(responses))
	for i, r := range responses {
		rows[i] = statusRow{Status: r.Value}
		if r.Err != nil {
			rows[i].Name, rows[i].Role, rows[i].Zone, rows[i].Inner = r.Member.Name, r.Member.Role, r.Member.Zone, r.Member.Inner
			rows[i].Error = r.Err.Error()
		}
	}
	if e.json {
		return printJSON(rows)
	}
	return printTable("DAEMON\tROLE\tZONE\tUP\tFLOWS\tSTATE", func(w io.Writer) {
		for _, r := range rows {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", r.Name, r.Role, r.Zone, formatSeconds(r.Uptime), r.Flows, r.summary())
		}
	})
}

// summary returns the STATE column of the status table.
func (r *statusRow) summary() string {
	switch {
	case r.Error != "":
		return "no response: " + r.Error
	case r.Role == fleet.RoleAgent:
		return fmt.Sprintf("host %s of %s %s, heard %s ago, busy %d of %d slots, %d observers", r.Host, r.Service, r.HostState,
			formatSeconds(r.HeartbeatAge), r.Busy, r.Slots, r.Observers)
	}
	parts := []string{fmt.Sprintf("configuration %d, checked %s ago, %d targets", r.ConfigVersion, formatSeconds(r.ConfigCheckAge), r.Targets)}
	for _, flag := range []struct {
		set  bool
		text string
	}{{r.StoreUnavailable, "store unavailable"}, {!r.Settled, "not settled"}, {r.Isolated, "isolated"}, {r.Stopping, "stopping"}} {
		if flag.set {
			parts = append(parts, flag.text)
		}
	}
	if len(r.MissingAgents) > 0 {
		parts = append(parts, "no heartbeat from "+strings.Join(r.MissingAgents, " "))
	}
	return strings.Join(parts, ", ")
}

func formatSeconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(10 * time.Millisecond).String()
}

type fleetMembersCmd struct{}

// memberRow is a member as the first balancer knows it, and the balancers that
// know it in another state.
type memberRow struct {
	fleet.Member

	Differs []string `json:"differs,omitempty"`
}

// Run shows the members.
func (*fleetMembersCmd) Run(e *env) error {
	views, err := e.fleet.MemberLists(e.ctx)
	if err != nil {
		return err
	}
	rows := compareViews(views)
	if e.json {
		return printJSON(rows)
	}
	return printTable("MEMBER\tROLE\tZONE\tINNER\tSTATE\tSERVICE\tFLOWS\tBUSY\tHEARD\tDIFFERS", func(w io.Writer) {
		for _, r := range rows {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", r.Name, r.Role, r.Zone, r.Inner, r.State, r.Service, r.Flows, r.Busy,
				formatAge(r.HeartbeatAge), strings.Join(r.Differs, " "))
		}
	})
}

// formatAge formats an age in seconds; negative means never.
func formatAge(s float64) string {
	if s < 0 {
		return "never"
	}
	return formatSeconds(s) + " ago"
}

// compareViews merges the membership lists of balancers, ordered by name.
func compareViews(views []fleet.Response[[]fleet.Member]) []memberRow {
	byInner := make(map[string]*memberRow)
	for _, v := range views {
		for _, m := range v.Value {
			if byInner[m.Inner] == nil {
				byInner[m.Inner] = &memberRow{Member: m}
			}
		}
	}
	rows := make([]memberRow, 0, len(byInner))
	for inner, r := range byInner {
		for _, v := range views {
			r.Differs = append(r.Differs, viewDifference(r.Member, inner, v)...)
		}
		rows = append(rows, *r)
	}
	slices.SortFunc(rows, func(a, b memberRow) int { return strings.Compare(a.Name+a.Inner, b.Name+b.Inner) })
	return rows
}

// viewDifference returns BALANCER=STATE if a balancer knows the member in another
// state or incarnation, or not at all.
func viewDifference(m fleet.Member, inner string, v fleet.Response[[]fleet.Member]) []string {
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

type flowOutput struct {
	Flow      string           `json:"flow"`
	Decisions []fleet.Decision `json:"decisions"`
	Missing   []string         `json:"missing,omitempty"` // daemons that failed to respond
}

// Run shows the decisions about a flow.
func (c *fleetFlowCmd) Run(e *env) error {
	decisions, missing, err := e.fleet.FlowDecisions(e.ctx, c.Flow)
	if err != nil {
		return err
	}
	out := flowOutput{Flow: c.Flow, Decisions: decisions}
	for _, m := range missing {
		out.Missing = append(out.Missing, m.Member.Name)
	}
	if e.json {
		return printJSON(out)
	}
	if len(out.Missing) > 0 {
		fmt.Println("no response from:", strings.Join(out.Missing, " "))
	}
	if len(decisions) == 0 {
		fmt.Println("no daemon remembers a decision about the flow; search the logs for it")
		return nil
	}
	return printTable("TIME\tDAEMON\tOUTCOME\tCAUSE\tPEER\tCONFIGURATION\tLOAD", func(w io.Writer) {
		for _, d := range decisions {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", d.At.Format("15:04:05.000"), d.Daemon, d.Outcome, d.Cause, d.Peer, d.Version, formatLoad(d.Load))
		}
	})
}

// formatLoad returns the load that a decision rests on as text.
func formatLoad(l *fleet.Load) string {
	if l == nil {
		return "-"
	}
	return fmt.Sprintf("%d in progress, %d held, wait %.0f of %.0f ms", l.InProgress, l.Held, l.WaitMS, l.ObjectiveMS)
}

type fleetTargetCmd struct {
	Target string `arg:"" help:"Name or inner address of the target's agent."`
}

type targetOutput struct {
	Agent     *fleet.Status `json:"agent,omitempty"` // nil if Error is set
	Error     string        `json:"error,omitempty"` // why the agent's status is missing
	Balancers []targetView  `json:"balancers"`
}

// targetView is a target as one balancer knows it.
type targetView struct {
	Balancer string `json:"balancer"`

	fleet.Member
}

// Run shows the status of a target's agent and the balancers' views of the target.
func (c *fleetTargetCmd) Run(e *env) error {
	out, err := c.collect(e)
	if err != nil {
		return err
	}
	if e.json {
		return printJSON(out)
	}
	if out.Agent != nil {
		r := statusRow{Status: *out.Agent}
		fmt.Printf("%s, up %s, %d flows: %s\n", r.Name, formatSeconds(r.Uptime), r.Flows, r.summary())
	} else {
		fmt.Println("no response from the agent:", out.Error)
	}
	return printTable("BALANCER\tSTATE\tINCARNATION\tSERVICE\tFLOWS\tBUSY\tSLOTS\tWARMTH\tHEARD", func(w io.Writer) {
		for _, v := range out.Balancers {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%d\t%d\t%d%%\t%s\n", v.Balancer, v.State, v.Incarnation, v.Service, v.Flows, v.Busy, v.Slots,
				v.Warmth, formatAge(v.HeartbeatAge))
		}
	})
}

// collect queries the balancers and the agent for the target.
func (c *fleetTargetCmd) collect(e *env) (out targetOutput, err error) {
	views, err := e.fleet.MemberLists(e.ctx)
	if err != nil {
		return out, err
	}
	for _, v := range views {
		for _, m := range v.Value {
			if m.Name == c.Target || m.Inner == c.Target {
				out.Balancers = append(out.Balancers, targetView{v.Member.Name, m})
			}
		}
	}
	if len(out.Balancers) == 0 {
		return out, oops.With("target", c.Target).Wrap(errUsage)
	}
	status, err := e.fleet.StatusOf(e.ctx, out.Balancers[0].Inner)
	if err != nil {
		out.Error = err.Error()
		return out, nil
	}
	out.Agent = &status
	return out, nil
}
