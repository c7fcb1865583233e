package flowtable

import (
	"time"

	"skylarkturn/internal/parcel"
)

// HostState is what a host says of its readiness.
type HostState uint8

// States of hosts.
const (
	HostReady    HostState = iota + 1
	HostDraining           // takes no new flows and will end soon
)

// Report is a host's heartbeat.
type Report struct {
	ID         string // names the host across restarts
	Born       int64  // Unix milliseconds of its start; 0 when unknown
	Seq        uint64 // rises with each report of one incarnation
	Service    string
	State      HostState
	Slots      int           // requests that it runs at a time
	WarmupLeft time.Duration // time for which it is still slow
}

// Verdict tells what a report changed.
type Verdict uint8

// Verdicts on reports.
const (
	Unchanged Verdict = iota + 1
	Stale             // older than what is known; ignored
	Joined            // a new host, or a new incarnation of the host
	Changed           // another state or service of the same incarnation
)

// String returns the verdict in lower case.
func (v Verdict) String() string {
	return [...]string{"unknown", "unchanged", "stale", "joined", "changed"}[v%5]
}

// maxRecentAge is the age up to which a host that the agent has not known is taken
// to have started after the agent. Where the agent was killed within that time
// of the host's start, clients of the flows opened meanwhile are told to open
// others, which costs less than to ask the hosts of a fleet about every flow that
// a loss of power has ended.
const maxRecentAge = 4 * time.Second

// maxReportDelay is the delay that a report may have on its way.
const maxReportDelay = 500 * time.Millisecond

// Returns the age that the host can have at most by the number of its reports.
func (t *Table) maxAge(r Report) time.Duration {
	return time.Duration(r.Seq)*t.reportInterval + maxReportDelay
}

// Reports whether the host is young by the number of its reports.
func (t *Table) startedRecently(r Report) bool { return time.Duration(r.Seq)*t.reportInterval <= maxRecentAge }

// shutdownGrace is the time from a host's farewell to its end, after which its
// flows are reset.
const shutdownGrace = 150 * time.Millisecond

// clockStepTimeout is the time since the last report after which an incarnation with an
// earlier start is believed: the VM's clock may have been set back.
const clockStepTimeout = 4 * time.Second

// completeAfter is the age from which an agent knows all flows of its host: no
// flow lives longer.
const completeAfter = 60 * time.Second

// Host returns the host's newest report; ok is false when no host has
// registered or it has left.
func (t *Table) Host() (r Report, ok bool) { return t.host, t.registered }

// HeardAgo returns the time since the host's newest report, 0 before the first.
func (t *Table) HeardAgo(now time.Time) time.Duration {
	if t.lastReport.IsZero() {
		return 0
	}
	return now.Sub(t.lastReport)
}

// Reported takes a host's heartbeat. A report of a new incarnation ends the flows
// that are older than it; younger ones may be its own, and it returns packets of
// those that are not.
func (t *Table) Reported(now time.Time, r Report, out []Action) (Verdict, []Action) {
	old, known := t.host, t.host.ID != ""
	same := known && old.ID == r.ID && old.Born == r.Born
	switch {
	case known && !same && r.Born < old.Born && now.Sub(t.lastReport) < clockStepTimeout:
		return Stale, out
	case !same && t.endedIncarnations[incarnation{r.ID, r.Born}]:
		return Stale, out
	case same && (r.Seq < old.Seq || t.hostLeft):
		return Stale, out
	}
	t.host, t.registered, t.lastReport = r, true, now
	if same {
		t.unanswered = unansweredPackets{}
		out = t.resetPreviousIfReplaced(r.Seq > old.Seq, out)
		if old.State != r.State || old.Service != r.Service {
			return Changed, out
		}
		return Unchanged, out
	}
	t.hostLeft, t.resetFlowsAt = false, time.Time{}
	t.unanswered = unansweredPackets{}
	if known {
		t.recordEnded(old)
		out = t.endFlowsBefore(now.Add(-t.maxAge(r)), HostRestarted, out)
	}
	if known || t.startedRecently(r) {
		t.complete = true // what the host holds has come through this process
	}
	return Joined, t.resetPreviousIfReplaced(t.startedRecently(r), out)
}

type incarnation struct {
	id   string
	born int64
}

// maxEndedIncarnations is the number of incarnations remembered so that late reports of
// theirs are known.
const maxEndedIncarnations = 64

func (t *Table) recordEnded(r Report) {
	if len(t.endedIncarnations) >= maxEndedIncarnations {
		clear(t.endedIncarnations)
	}
	t.endedIncarnations[incarnation{r.ID, r.Born}] = true
}

// Left takes a host's farewell and reports whether it came from the current
// incarnation; its flows are reset when it has had the time to end.
func (t *Table) Left(now time.Time, id string) bool {
	if t.host.ID == "" {
		t.host.ID = id // its last report went to a process before this one
	}
	if id != t.host.ID || t.hostLeft {
		return false
	}
	t.hostLeft, t.registered = true, false
	t.resetFlowsAt = now.Add(shutdownGrace)
	return true
}

// rejectReason returns why a new flow for the service can't be given to the host;
// zero is none.
func (t *Table) rejectReason(service parcel.ServiceID) parcel.Reason {
	switch {
	case !t.registered:
		return parcel.NoHost
	case parcel.ServiceIDOf(t.host.Service) != service:
		return parcel.WrongService
	case t.host.State != HostReady:
		return parcel.Draining
	}
	return 0
}
