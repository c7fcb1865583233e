package platformstand

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"skylarkturn/internal/report"
)

// Soak is a run of a site under random faults.
type Soak struct {
	Bin       string        // directory of the built programs
	Dir       string        // directory for the daemons' settings files
	Seed      uint64        // of the sequence of faults
	Length    time.Duration // of the faults; recoveryPeriod follows
	Balancers int
	Hosts     int // of each of the two services
	Users     int
	Out       io.Writer // receives a line for each fault
	Log       io.Writer // receives the daemons' output
}

// Result is the result of a soak or an experiment.
type Result struct {
	Violations     []string       // violations of guarantees
	Failures       map[string]int // failed requests by reason
	ServedShare    float64        // of all requests that were served
	Requests       int
	RecoveredShare float64    // share served at the end of the recovery period
	Run            report.Run // for the report
}

const (
	startTimeout      = 15 * time.Second
	recoveryPeriod    = 8 * time.Second // without faults, longer than any recovery may take
	recoveryWindow    = 3 * time.Second // end of the recovery period, measured for Result.RecoveredShare
	minRecoveredShare = 0.95            // share of requests that must be served in recoveryWindow
	drainDuration     = 4 * time.Second
	soakLongPauses    = 0.02 // share of the users' pauses in which their flows are idle for seconds
)

// soakRun is the state of a running soak.
type soakRun struct {
	Soak
	site *Site
	rand *rand.Rand
	wg   sync.WaitGroup

	mu        sync.Mutex
	routes    map[string]string
	faulted   map[string]bool // names of the VMs with a fault in progress
	startTime time.Time
	events    []report.Event
}

// Run runs the soak and returns its result.
func (s Soak) Run(ctx context.Context) (Result, error) {
	site, err := NewSite(Options{Bin: s.Bin, Dir: s.Dir, Log: s.Log, Seed: s.Seed})
	if err != nil {
		return Result{}, err
	}
	defer site.Close()
	site.longPauses = soakLongPauses
	k := &soakRun{
		Soak: s, site: site, rand: rand.New(rand.NewPCG(s.Seed, 1)), faulted: make(map[string]bool),
		routes: map[string]string{"r0": "bookdesk", "r1": "kitdocs"},
	}
	if err := k.start(); err != nil {
		return Result{}, err
	}
	startTime := time.Now()
	k.startTime = startTime
	k.injectFaults(ctx, startTime.Add(s.Length))
	k.wg.Wait()
	site.Store.SetOutage(Healthy)
	site.SetLoss(0)
	k.logf("faults have ended")
	sleep(ctx, recoveryPeriod)
	r := site.result(startTime)
	if r.RecoveredShare < minRecoveredShare {
		r.Violations = append(r.Violations, fmt.Sprintf("RECOVER: %.3f of the requests were served in the recovery period after the faults", r.RecoveredShare))
	}
	k.mu.Lock()
	events := slices.Clone(k.events)
	k.mu.Unlock()
	r.Run = reportRun(fmt.Sprintf("soak, seed %d", k.Seed), &r, site, k.startTime, events)
	return r, ctx.Err()
}

// result returns what clients and hosts have observed since a time.
func (s *Site) result(start time.Time) Result {
	r := Result{Violations: s.Checker.Violations(), Failures: s.Checker.Failures()}
	r.ServedShare, r.Requests = s.Checker.ServedShare(start)
	r.RecoveredShare, _ = s.Checker.ServedShare(time.Now().Add(-recoveryWindow))
	return r
}

// reportRun returns a result as a run for the report.
func reportRun(name string, r *Result, site *Site, start time.Time, events []report.Event) report.Run {
	run := report.Run{Name: name, Windows: site.Checker.Windows(start), Events: events}
	run.Metrics = []report.Metric{
		{Name: "requests", Value: float64(r.Requests)}, {Name: "share served", Value: r.ServedShare},
		{Name: "share served after the faults", Value: r.RecoveredShare}, {Name: "promises broken", Value: float64(len(r.Violations))},
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Failures)) {
		run.Counts = append(run.Counts, report.Metric{Name: "failed: " + reason, Value: float64(r.Failures[reason])})
	}
	run.Counts = append(run.Counts, site.Decisions()...)
	return run
}

// sleep waits for a time or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// logf adds a line to the output and, once the faults begin, an event to the report.
func (k *soakRun) logf(format string, args ...any) {
	if !k.startTime.IsZero() {
		at := time.Since(k.startTime).Seconds()
		k.mu.Lock()
		k.events = append(k.events, report.Event{From: at, To: at, Description: fmt.Sprintf(format, args...)})
		k.mu.Unlock()
	}
	if k.Out != nil {
		fmt.Fprintf(k.Out, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
	}
}

// start configures the routes and starts balancers, hosts and clients.
func (k *soakRun) start() error {
	if err := k.site.Configure(k.routes, "r0", "r1"); err != nil {
		return err
	}
	for range k.Balancers {
		if _, err := k.site.AddBalancer(); err != nil {
			return err
		}
	}
	for range k.Hosts {
		for _, service := range []string{"bookdesk", "kitdocs"} {
			if _, err := k.site.AddHost(service); err != nil {
				return err
			}
		}
	}
	if err := k.site.WaitReady(k.Balancers, startTimeout); err != nil {
		return err
	}
	k.site.EndBootstrap()
	return k.site.StartClients(k.Users)
}

// injectFaults starts random faults until a time. A fault that takes long overlaps
// with later ones; a fault listed more often is more likely.
func (k *soakRun) injectFaults(ctx context.Context, end time.Time) {
	faults := []func(){
		k.killDaemons, k.killDaemons, k.killAll, k.freeze, k.rollBalancers, k.rollAgents, k.reloadAll, k.crashHost, k.replaceHost, k.replaceHost, k.reassignHost, k.reassignHost,
		k.failStore, k.failStore, k.faultStoreConns, k.faultStoreConns, k.compact, k.restoreStore, k.restoreStore, k.configure, k.configure, k.configure, k.loseClientPackets, k.addBalancer, k.sendStrays, k.leaveOddEntry,
	}
	for ctx.Err() == nil && time.Now().Before(end) {
		faults[k.rand.IntN(len(faults))]()
		sleep(ctx, time.Duration(k.rand.Int64N(int64(2*time.Second))))
	}
}

// pickVMs returns up to n random VMs without a fault in progress and reserves them
// until the function passed to runFault has returned.
func (k *soakRun) pickVMs(balancers bool, n int) (picked []*VM) {
	k.mu.Lock()
	defer k.mu.Unlock()
	vms := k.site.VMs(balancers)
	k.rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	for _, v := range vms {
		if !k.faulted[v.Name] && len(picked) < n {
			k.faulted[v.Name] = true
			picked = append(picked, v)
		}
	}
	return picked
}

// runFault runs a fault of a picked VM in the background and releases the VM
// afterwards.
func (k *soakRun) runFault(v *VM, fault func() error) {
	k.wg.Go(func() {
		k.logResult(v, fault())
		k.mu.Lock()
		delete(k.faulted, v.Name)
		k.mu.Unlock()
	})
}

// randomDelay returns a random time below limit.
func (k *soakRun) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(k.rand.Int64N(int64(limit)))
}

// killDaemons kills one or two daemons and restarts them.
func (k *soakRun) killDaemons() {
	for _, v := range k.pickVMs(k.rand.IntN(2) == 0, 1+k.rand.IntN(2)) {
		pause := k.randomDelay(1500 * time.Millisecond)
		k.logf("kill %s, start after %v", v.Name, pause)
		k.runFault(v, func() error {
			v.Kill()
			return v.Restart(pause)
		})
	}
}

// killAll kills all daemons, and on a loss of power all hosts, and restarts them. It
// does nothing in two of three calls, which makes this fault rarer.
func (k *soakRun) killAll() {
	if k.rand.IntN(3) != 0 {
		return
	}
	powerLoss := k.rand.IntN(2) == 0
	pause := k.randomDelay(1500 * time.Millisecond)
	k.logf("kill all daemons, power loss %v, start after %v", powerLoss, pause)
	for _, v := range append(k.pickVMs(true, 99), k.pickVMs(false, 99)...) {
		k.runFault(v, func() error { return v.crashAndRestart(pause, powerLoss) })
	}
}

// freeze freezes a daemon.
func (k *soakRun) freeze() {
	for _, v := range k.pickVMs(k.rand.IntN(2) == 0, 1) {
		d := k.randomDelay(3 * time.Second)
		k.logf("freeze %s for %v", v.Name, d)
		k.runFault(v, func() error {
			v.Freeze(d)
			return nil
		})
	}
}

// rollBalancers restarts up to two balancers one after the other.
func (k *soakRun) rollBalancers() { k.roll("balancers", k.pickVMs(true, 2)) }

// rollAgents restarts up to four agents one after the other, beside their hosts.
func (k *soakRun) rollAgents() { k.roll("agents", k.pickVMs(false, 4)) }

// roll restarts daemons one after the other.
func (k *soakRun) roll(kind string, vms []*VM) {
	k.logf("stop %d %s in turn", len(vms), kind)
	for i, v := range vms {
		k.runFault(v, func() error {
			time.Sleep(time.Duration(i) * rollInterval)
			v.Stop()
			return v.Restart(restartDelay)
		})
	}
}

// reloadAll sends SIGHUP to all daemons.
func (k *soakRun) reloadAll() {
	for _, v := range append(k.site.VMs(true), k.site.VMs(false)...) {
		v.Reload()
	}
	k.logf("send SIGHUP to all daemons")
}

// crashHost crashes a host and starts another in its place.
func (k *soakRun) crashHost() {
	for _, v := range k.pickVMs(false, 1) {
		pause := k.randomDelay(3 * time.Second)
		k.logf("crash the host of %s, start after %v", v.Name, pause)
		k.runFault(v, func() error { return crashHost(v, pause) })
	}
}

// sendStrays sends up to three agents a message that is not of their host.
func (k *soakRun) sendStrays() {
	for _, v := range k.pickVMs(false, 3) {
		source := rand.New(rand.NewPCG(k.rand.Uint64(), 1))
		k.runFault(v, func() error {
			if h := v.currentHost(); h != nil {
				k.logf("stray message to %s: %s", v.Name, h.sendStray(source))
			}
			return nil
		})
	}
}

// leaveOddEntry writes an entry that no daemon can use beside those of the daemons.
func (k *soakRun) leaveOddEntry() {
	kind := []string{"config", "skylark-balancers", "skylark-agents"}[k.rand.IntN(3)]
	n := k.rand.IntN(len(oddSpecs))
	k.logf("another writer leaves an entry of kind %s: %.40q", kind, oddSpecs[n])
	k.site.Store.PutOdd(kind, fmt.Sprint("odd-", n), oddSpecs[n])
}

// replaceHost replaces a host as a release does: the new one starts first, then the
// old one drains and stops.
func (k *soakRun) replaceHost() {
	for _, v := range k.pickVMs(false, 1) {
		k.logf("replace %s of %s", v.Name, v.Service())
		k.runFault(v, func() error {
			if _, err := k.site.AddHost(v.Service()); err != nil {
				return err
			}
			time.Sleep(500 * time.Millisecond)
			v.DrainAndStop(drainDuration)
			return nil
		})
	}
}

// reassignHost gives the address of a host that falls silent to the other service, unless
// it is the last one of its own. The daemon may be frozen or killed meanwhile.
func (k *soakRun) reassignHost() {
	for _, v := range k.pickVMs(false, 1) {
		from, to := v.Service(), "bookdesk"
		if from == to {
			to = "kitdocs"
		}
		last := !k.hasOtherHost(v)
		settingsDelay, faultDelay, length := k.randomDelay(2*time.Second), k.randomDelay(3*time.Second), k.randomDelay(3*time.Second)
		fault := k.rand.IntN(3)
		k.runFault(v, func() error {
			if last {
				return nil
			}
			k.logf("%s goes from %s to %s, settings %v later, fault %d after %v", v.Name, from, to, settingsDelay, fault, faultDelay)
			k.wg.Go(func() {
				time.Sleep(faultDelay)
				switch fault {
				case 1:
					v.Freeze(length)
				case 2:
					v.Kill()
					k.logResult(v, v.Restart(length/3))
				}
			})
			return v.Reassign(to, settingsDelay)
		})
	}
}

// hasOtherHost reports whether another VM without a fault in progress has a host of the same
// service.
func (k *soakRun) hasOtherHost(v *VM) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.ContainsFunc(k.site.VMs(false), func(o *VM) bool {
		return o != v && !k.faulted[o.Name] && o.Service() == v.Service()
	})
}

// logResult logs the error of a fault, if there is one.
func (k *soakRun) logResult(v *VM, err error) {
	if err != nil {
		k.logf("%s: %v", v.Name, err)
	}
}

// failStore makes the store fail for a time.
func (k *soakRun) failStore() {
	outage := Unavailable + Outage(k.rand.IntN(int(LoseResponses)))
	d := k.randomDelay(4 * time.Second)
	k.logf("store has outage %d for %v", outage, d)
	k.site.Store.SetOutage(outage)
	k.wg.Go(func() {
		time.Sleep(d)
		k.site.Store.SetOutage(Healthy)
	})
}

// faultStoreConns injects a network fault into connections to the store for a time.
func (k *soakRun) faultStoreConns() {
	fault := Delay + Fault(k.rand.IntN(int(numFaults-Delay)))
	share := 0.3 + 0.7*k.rand.Float64()
	d := k.randomDelay(4 * time.Second)
	k.logf("%v for %.0f%% of the connections to the store for %v", fault, 100*share, d)
	k.site.SetStoreFault(fault, share)
	k.wg.Go(func() {
		time.Sleep(d)
		k.site.SetStoreFault(NoFault, 0)
	})
}

// compact compacts the history of the store.
func (k *soakRun) compact() {
	k.logf("compact the history of the store")
	k.site.Store.Compact()
}

// restoreStore takes the store away for a moment and restores it from a copy.
func (k *soakRun) restoreStore() {
	age := k.randomDelay(6 * time.Second)
	away := k.randomDelay(time.Second)
	k.logf("store is away for %v and comes back from a copy %v old", away, age)
	k.site.Store.SetOutage(Reset)
	k.wg.Go(func() {
		time.Sleep(away)
		k.site.Store.Restore(age + away)
		k.site.Store.SetOutage(Healthy)
	})
}

// configure swaps the services of the two active routes, or adds or removes a route
// without traffic.
func (k *soakRun) configure() {
	switch k.rand.IntN(3) {
	case 0:
		k.routes["r0"], k.routes["r1"] = k.routes["r1"], k.routes["r0"]
	case 1:
		k.routes["r2"] = "bookdesk"
	case 2:
		delete(k.routes, "r2")
	}
	k.logf("configure %v", k.routes)
	if err := k.site.Configure(k.routes, "r0", "r1"); err != nil {
		k.logf("cannot configure: %v", err)
	}
}

// loseClientPackets drops 5% of the clients' packets for a time.
func (k *soakRun) loseClientPackets() {
	d := k.randomDelay(2 * time.Second)
	k.logf("drop 5%% of the clients' packets for %v", d)
	k.site.SetLoss(0.05)
	k.wg.Go(func() {
		time.Sleep(d)
		k.site.SetLoss(0)
	})
}

// addBalancer adds a balancer, up to twice the initial number.
func (k *soakRun) addBalancer() {
	if len(k.site.VMs(true)) >= 2*k.Balancers {
		return
	}
	k.logf("add a balancer")
	if _, err := k.site.AddBalancer(); err != nil {
		k.logf("cannot add a balancer: %v", err)
	}
}
