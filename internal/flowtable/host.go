package flowtable

import (
	"net/netip"
	"slices"
	"time"
)

// HostState is the readiness that a host reports.
type HostState uint8

// States of a host.
const (
	HostReady    HostState = iota + 1
	HostDraining           // accepts no new flows and will shut down soon
)

// Report is a host's heartbeat.
type Report struct {
	ID        string         // host ID, which may stay the same across restarts
	StartTime int64          // start time of this incarnation in Unix milliseconds; 0 if unknown
	Seq       uint64         // increases with each report of an incarnation
	Service   string         // service that the host runs
	Zone      string         // availability zone of the host
	Addr      netip.AddrPort // where the host receives packets
	State     HostState
	Slots     int // number of requests that the host runs concurrently
}

// VM is what the platform's settings say of the agent's VM.
type VM struct {
	Service      string         // service of the next host, or of the one that runs; empty if not assigned
	Zone         string         // availability zone
	Addr         netip.AddrPort // where the host receives packets
	ReuseDelay   time.Duration  // minimum time from the end of a host until one of another service runs at Addr
	FlowLifetime time.Duration  // maximum age of a flow; 0 for DefaultFlowLifetime
}

// DefaultFlowLifetime is the maximum age of a flow where the settings name none.
const DefaultFlowLifetime = 60 * time.Second

// matches reports whether a report can be of a host on the VM.
func (v *VM) matches(r *Report) bool { return r.Zone == v.Zone && r.Addr == v.Addr }

// Verdict is the result of processing a report.
type Verdict uint8

// Verdicts on a report.
const (
	Unchanged   Verdict = iota + 1
	Stale               // of the known incarnation, but older than its newest report or sent before its deregistration; ignored
	Joined              // a new host or a new incarnation of the host
	Changed             // same incarnation, different state
	Foreign             // not of the host on this VM; ignored
	Unconfirmed         // of another incarnation than the known one, which may still run; ignored
)

// NumVerdicts is the number of verdicts, for arrays indexed by Verdict.
const NumVerdicts = len(verdictNames)

var verdictNames = [...]string{"unknown", "unchanged", "stale", "joined", "changed", "foreign", "unconfirmed"}

// Acknowledged reports whether a report with the verdict is to be acknowledged: it is
// of the host, and later reports reflect it.
func (v Verdict) Acknowledged() bool { return v != Foreign && v != Unconfirmed }

// String returns the verdict in lower case.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return verdictNames[0]
}

// maxRecentAge is the age up to which a host without a start time that is new to the agent
// is assumed to have started after the host of the previous snapshot.
const maxRecentAge = 5 * time.Second

// maxReportDelay is the maximum network delay of a report.
const maxReportDelay = 500 * time.Millisecond

// missedReportTimeout is the time without a report after which the known incarnation
// has missed one.
func (t *Table) missedReportTimeout() time.Duration { return t.reportInterval + maxReportDelay }

// maxCountedReports bounds the number of reports that a host's age is derived from. Any
// flow is younger than a host with more of them.
const maxCountedReports = 1 << 20

// reportsPerLateInterval bounds how slowly a host reports: in this many reports it loses one
// interval at most.
const reportsPerLateInterval = 4

// maxAge returns an upper bound of the host's age, from the number of its reports.
func (t *Table) maxAge(r Report) time.Duration {
	n := time.Duration(min(r.Seq, maxCountedReports))
	late := max(n-1, 0) * t.reportInterval / reportsPerLateInterval
	return n*t.reportInterval + late + maxReportDelay
}

// shutdownGrace is the time between a host's shutdown notice and its exit. Its
// flows are reset after that, because it may still answer requests until then.
const shutdownGrace = 150 * time.Millisecond

// reinstateTimeout is how long the known incarnation must have sent no report before
// a report of an earlier one is accepted: of one with an earlier start time, since the
// VM's clock may be set back, or of one that was replaced.
const reinstateTimeout = 4 * time.Second

// isOld reports whether every flow that was open when the agent started has ended, so that its
// table is complete.
func (t *Table) isOld(now time.Time) bool { return now.Sub(t.startedAt) > t.vm.FlowLifetime }

// Host returns the host's newest report. ok is false if no host is known to run, for
// instance because it has left.
func (t *Table) Host() (r Report, ok bool) { return t.host, t.isPresent() }

// HostMayRun reports whether a host may run. It is false only if none can: the host has
// announced its exit, or nothing listens at its address.
func (t *Table) HostMayRun() bool { return t.presence != leaving && t.presence != vacant }

// ReportAge returns the time since the host's newest report, or 0 if there is none.
func (t *Table) ReportAge(now time.Time) time.Duration {
	if t.lastReport.IsZero() {
		return 0
	}
	return now.Sub(t.lastReport)
}

// isKnown reports whether a report is of the known incarnation, whose service is not known
// if it has only deregistered.
func (t *Table) isKnown(r *Report) bool {
	h := &t.host
	return h.ID != "" && h.ID == r.ID && h.StartTime == r.StartTime && (h.Service == "" || h.Service == r.Service)
}

// isOfOtherService reports whether a report is of another service than the host at the
// address, by the settings or because that host still runs. Addresses of hosts that have
// ended are not another service's at once.
func (t *Table) isOfOtherService(now time.Time, r *Report) bool {
	if t.isKnown(r) {
		return false
	}
	assigned := t.vm.Service == "" || t.vm.Service == r.Service
	taken := t.isPresent() && !t.mayBeReused(now) && t.host.Service != r.Service
	return !assigned || taken
}

// NeedsAssignment reports whether a report can only be judged with the VM's current service,
// since it is not of the known incarnation. The settings may have changed unnoticed.
func (t *Table) NeedsAssignment(r *Report) bool { return !t.isKnown(r) }

// HandleReport handles a host's heartbeat. The first report of a new incarnation ends
// the flows that are older than the incarnation can be. Younger flows may belong to
// it, and it bounces packets of those that don't.
func (t *Table) HandleReport(now time.Time, r Report, out []Action) (Verdict, []Action) {
	t.expireReport(now)
	old, known, lastAt := t.host, t.host.ID != "", t.lastReport
	same := t.isKnown(&r)
	switch {
	case !t.vm.matches(&r):
		return Foreign, out
	case t.isOfOtherService(now, &r):
		t.recordRefusal(now, &r)
		return Foreign, out
	case t.hasStartTimes && r.StartTime == 0:
		return Foreign, out
	case same && t.isLate(now, &r):
		return Stale, out
	case known && !same && now.Sub(t.lastReport) < t.replacementDelay(&r):
		t.origin.contested = true
		return Unconfirmed, out
	}
	t.recordHostEvent(t.reportEvent(now, &r, same, now.Sub(lastAt)))
	t.host, t.lastReport = r, now
	if r.StartTime != 0 {
		t.requireStartTimes(now)
	}
	t.admission.SetSlots(maxInProgress(t.slots()))
	t.unanswered = unansweredPackets{}
	t.departure = departure{drainAnnounced: r.State == HostDraining || same && t.departure.drainAnnounced}
	if same {
		t.recordNextReport(now, old.Seq, lastAt)
		out = t.resetPreviousIfReplaced(out)
		if old.State != r.State {
			return Changed, out
		}
		return Unchanged, out
	}
	if known {
		t.recordEnded(old)
		out = t.endFlowsBefore(now, now.Add(-t.maxAge(r)), HostRestarted, out)
	}
	t.recordJoined()
	return Joined, t.forwardStarted(now, t.resetPreviousIfReplaced(out))
}

// isLate reports whether a report of the known incarnation is older than what it has
// said last. A host that has deregistered but goes on to report has not ended.
func (t *Table) isLate(now time.Time, r *Report) bool {
	d := &t.departure
	return r.Seq < t.host.Seq || d.deregistered() && now.Sub(d.deregisteredAt) < t.missedReportTimeout()
}

// replacementDelay returns how long the known incarnation must have sent no report
// before a report of another one is accepted. Only one process can run at the host's
// address, so a report of another one is a late one while the known incarnation reports. One
// without a start time is of another writer if the other has one.
func (t *Table) replacementDelay(r *Report) time.Duration {
	old := &t.host
	switch {
	case r.StartTime < old.StartTime || slices.Contains(t.endedIncarnations, incarnation{r.ID, r.StartTime}):
		return reinstateTimeout
	case t.presence == leaving || t.presence == deregistered || t.presence == vacant || r.StartTime > old.StartTime:
		return 0
	}
	return t.missedReportTimeout()
}

// incarnation identifies one run of a host.
type incarnation struct {
	id        string
	startTime int64 // as in Report
}

// maxEndedIncarnations limits how many ended incarnations are kept to recognize
// their late reports.
const maxEndedIncarnations = 64

// recordEnded records that an incarnation has ended. The oldest record makes room
// for it.
func (t *Table) recordEnded(r Report) {
	if len(t.endedIncarnations) >= maxEndedIncarnations {
		t.endedIncarnations = slices.Delete(t.endedIncarnations, 0, 1)
	}
	t.endedIncarnations = append(t.endedIncarnations, incarnation{r.ID, r.StartTime})
}

// departure is what the known incarnation has said about its shutdown.
type departure struct {
	drainAnnounced bool      // it has reported that it is draining
	deregisteredAt time.Time // zero if it has not deregistered
	resetFlowsAt   time.Time // when the flows of a host that has left are reset; zero once done
}

func (d *departure) deregistered() bool { return !d.deregisteredAt.IsZero() }

// HandleLeave handles the deregistration of a host and reports whether it came from the
// current host, which gets no new flows from then on. If the host has announced before
// that it is draining, its flows are reset after shutdownGrace. Otherwise the
// deregistration may be a late one of an earlier incarnation with the same ID, or of a
// host that this agent process has never heard, and proves nothing about the flows.
func (t *Table) HandleLeave(now time.Time, id string) bool {
	if t.host.ID == "" {
		t.host.ID = id // it has reported only to an earlier agent process
	}
	d := &t.departure
	if id != t.host.ID || d.deregistered() {
		return false
	}
	d.deregisteredAt = now
	if !d.drainAnnounced {
		t.recordHostEvent(leftWithoutADrain)
		return true
	}
	t.recordHostEvent(drainedAndLeft)
	d.resetFlowsAt = now.Add(shutdownGrace)
	return true
}
