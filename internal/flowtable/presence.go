package flowtable

import (
	"time"

	"skylarkturn/internal/tunnel"
)

// Presence is what the agent knows of the host at the VM's address.
type Presence uint8

const (
	unheard      Presence = iota // a host may run, but none has reported to this agent process
	announced                    // the known incarnation runs, by its first report and the settings
	present                      // the known incarnation runs, by several reports
	silent                       // the known incarnation may have ended, and a host of another service may run
	returning                    // it has reported too little to show that it runs
	leaving                      // the known incarnation has deregistered after a drain and is about to exit
	deregistered                 // the known incarnation has deregistered without a drain and may run on
	vacant                       // no host runs
	numPresences
)

// NumPresences is the number of presences, for arrays indexed by Presence.
const NumPresences = int(numPresences)

var presenceNames = [numPresences]string{"unheard", "announced", "present", "silent", "returning", "leaving", "deregistered", "vacant"}

// String returns the presence in lower case.
func (p Presence) String() string {
	if p < numPresences {
		return presenceNames[p]
	}
	return "unknown"
}

// hostEvent is an event that may change the presence.
type hostEvent uint8

const (
	joined            hostEvent = iota // another incarnation has reported, which is the known one from now on
	joinedUnsure                       // it has, but its report may be a late one, or not be of the VM's host
	reported                           // the known incarnation has reported again
	reportedUnsure                     // it has, but its report may be a late one
	reportedOverTime                   // it has reported in a row for at least half an interval
	contested                          // a report of another service has been refused
	refuted                            // one with a start time has, while the known incarnation has none
	lapsed                             // its last report is too old to show that it runs
	drainedAndLeft                     // it has deregistered after a drain
	leftWithoutADrain                  // it has deregistered without one
	ended                              // no host runs any more
)

// transitions holds the presence after each event that changes it. A host that has been silent
// or absent has to report twice, since late reports come alone or together.
var transitions = [numPresences]map[hostEvent]Presence{
	unheard: {joined: announced, joinedUnsure: returning, drainedAndLeft: leaving, leftWithoutADrain: deregistered, ended: vacant},
	announced: {
		joinedUnsure: returning, reportedUnsure: returning, reportedOverTime: present, contested: returning, refuted: returning,
		lapsed: silent, drainedAndLeft: leaving, leftWithoutADrain: deregistered, ended: vacant,
	},
	present: {
		joined: announced, joinedUnsure: returning, reportedUnsure: returning, refuted: returning,
		lapsed: silent, drainedAndLeft: leaving, leftWithoutADrain: deregistered, ended: vacant,
	},
	silent: {
		joined: announced, joinedUnsure: returning, reported: returning, reportedUnsure: returning,
		drainedAndLeft: leaving, leftWithoutADrain: deregistered, ended: vacant,
	},
	returning:    {joined: announced, reportedOverTime: present, drainedAndLeft: leaving, leftWithoutADrain: deregistered, ended: vacant},
	leaving:      {joined: announced, joinedUnsure: returning, reported: returning, reportedUnsure: returning, ended: vacant},
	deregistered: {joined: announced, joinedUnsure: returning, reported: returning, reportedUnsure: returning, ended: vacant},
	vacant:       {joined: announced, joinedUnsure: returning, reported: returning, reportedUnsure: returning},
}

func (t *Table) recordHostEvent(e hostEvent) {
	if next, ok := transitions[t.presence][e]; ok {
		t.presence = next
	}
}

// isPresent reports whether the known incarnation runs, as far as the agent knows.
func (t *Table) isPresent() bool { return t.presence == announced || t.presence == present }

// Presence returns what the agent knows of the host.
func (t *Table) Presence() Presence { return t.presence }

// maxReportLateness is the maximum time from when a host sends a report until a running
// agent has received it. An agent that does not run for longer was paused.
const maxReportLateness = 400 * time.Millisecond

// maxIntervalsBetweenReports is the maximum number of intervals between two reports in a row.
const maxIntervalsBetweenReports = 2

// reportEvent returns the event of an accepted report. sinceLast is the time since the one
// before.
func (t *Table) reportEvent(now time.Time, r *Report, known bool, sinceLast time.Duration) hostEvent {
	unsure := t.mayHaveWaited(now) || t.isRefuted(now, r)
	inRow := known && !unsure && sinceLast <= maxIntervalsBetweenReports*t.reportInterval
	if inRow && (t.presence == announced || t.presence == returning) {
		if now.Sub(t.countedFrom) >= t.reportInterval/2 {
			return reportedOverTime
		}
		return reported
	}
	t.countedFrom = now
	switch {
	case !known && t.isAssigned(now, r):
		return joined
	case !known:
		return joinedUnsure
	case unsure:
		return reportedUnsure
	}
	return reported
}

// refusal is a report that was refused for the service that it names.
type refusal struct {
	service      string
	hasStartTime bool
	at           time.Time
}

// recordRefusal records that a report was refused for its service. Hosts all report a start
// time or none does, so that one with it refutes a known incarnation without.
func (t *Table) recordRefusal(now time.Time, r *Report) {
	if !t.hasRefusedLately(now) {
		t.countedFrom = now // not with each, so that they can't keep the host from being known
	}
	t.refused = refusal{r.Service, r.StartTime != 0, now}
	switch {
	case t.mayBeReused(now):
		t.recordHostEvent(lapsed)
	case t.isRefuted(now, &t.host):
		t.recordHostEvent(refuted)
	default:
		t.recordHostEvent(contested)
	}
}

// hasRefusedLately reports whether a report was refused within the last intervals.
func (t *Table) hasRefusedLately(now time.Time) bool {
	return now.Sub(t.refused.at) <= maxIntervalsBetweenReports*t.reportInterval
}

// isRefuted reports whether a report without a start time is none of a host, by the report of
// another service that has one.
func (t *Table) isRefuted(now time.Time, r *Report) bool {
	return r.StartTime == 0 && t.refused.hasStartTime && t.hasRefusedLately(now)
}

// isAssigned reports whether the settings show that a report is of the VM's host: they name
// its service, no host of another service claims to run here, and the report has not waited.
func (t *Table) isAssigned(now time.Time, r *Report) bool {
	contested := t.hasRefusedLately(now) && t.refused.service != r.Service
	return t.vm.Service == r.Service && !contested && !t.mayHaveWaited(now)
}

// mayBeReused reports whether the host's address may be another service's, if the host has
// ended right after its newest report.
func (t *Table) mayBeReused(now time.Time) bool {
	return now.Sub(t.lastReport) > t.vm.ReuseDelay-maxReportLateness
}

// A host that runs reports at the latest after an interval, this share of it and the margin.
const (
	lateIntervalShare  = 10 // of an interval, as a divisor
	lateIntervalMargin = 100 * time.Millisecond
)

// expireReport ends the validity of the host's newest report when the address may be reused,
// but not before the next one is overdue: else hosts that report less often than addresses
// may be reused would be unknown most of the time.
func (t *Table) expireReport(now time.Time) {
	overdue := now.Sub(t.lastReport) > t.reportInterval+t.reportInterval/lateIntervalShare+lateIntervalMargin
	if overdue && t.mayBeReused(now) {
		t.recordHostEvent(lapsed)
	}
}

// absenceReason returns why no host of the service is known to run, or 0 if one is.
func (t *Table) absenceReason(now time.Time, service tunnel.ServiceID) tunnel.Reason {
	t.expireReport(now)
	switch {
	case !t.isPresent():
		return tunnel.NoHost
	case tunnel.ServiceIDOf(t.host.Service) != service:
		return tunnel.WrongService
	}
	return 0
}

// rejectReason returns why the host can't accept a new flow for the service, or 0
// if it can.
func (t *Table) rejectReason(now time.Time, service tunnel.ServiceID) tunnel.Reason {
	if reason := t.absenceReason(now, service); reason != 0 {
		return reason
	}
	if t.host.State != HostReady {
		return tunnel.Draining
	}
	return 0
}
