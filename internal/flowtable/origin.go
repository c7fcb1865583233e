package flowtable

import "time"

// firstSeq is the number of the first report of an incarnation.
const firstSeq = 1

// origin is what the agent knows of the start of the current incarnation, compared with
// its own.
type origin struct {
	confirmed    bool // two reports in a row have come, and none of another: the incarnation runs
	young        bool // it had started at most maxRecentAge before its first report came
	heardFirst   bool // its first report has come to this agent process, and all since
	afterAnother bool // it was preceded by an incarnation that ended after the agent had started
	contested    bool // another incarnation has reported since its last report
}

// recordJoined handles the first report of an incarnation.
func (t *Table) recordJoined() {
	t.origin = origin{young: t.maxAge(t.host) <= maxRecentAge, heardFirst: t.host.Seq == firstSeq, afterAnother: t.onlyNewHosts}
}

// recordNextReport handles a report of the current incarnation after that with the number
// before, received at lastAt. Once two have come in a row, and none of another incarnation,
// one that started after the agent has all its flows in the table. Nothing but its own
// reports shows this: the absence of a record of an earlier agent process does not show
// that there was none.
func (t *Table) recordNextReport(now time.Time, before uint64, lastAt time.Time) {
	o := &t.origin
	if t.host.Seq > before+1 {
		o.heardFirst = false
	}
	inRow := t.host.Seq == before+1 && now.Sub(lastAt) >= t.reportInterval/2 // late ones arrive together
	alone := !o.contested && now.Sub(t.startedAt) >= t.missedReportTimeout() // any other host would have reported
	o.contested = false
	if !inRow || !alone {
		return
	}
	o.confirmed = true
	if o.heardFirst || o.afterAnother {
		t.complete = true
	}
	t.onlyNewHosts = true // another one can run only after this one has ended
}

// recordVacant records that no host runs: the table has all flows of any later host.
func (t *Table) recordVacant() { t.vacant, t.complete, t.onlyNewHosts = true, true, true }

// requireStartTimes records that hosts report their start time. What has been concluded from
// a known host without one is then of another writer.
func (t *Table) requireStartTimes(now time.Time) {
	if !t.hasStartTimes && !t.vacant {
		t.onlyNewHosts = false
		t.complete = t.complete && t.isOld(now)
	}
	t.hasStartTimes = true
}
