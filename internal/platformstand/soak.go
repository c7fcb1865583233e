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

// Soak is a randomized run of a site under faults.
type Soak struct {
	Bin       string
	Dir       string
	Seed      uint64
	Length    time.Duration // of the faults; some seconds of calm follow
	Balancers int
	Hosts     int // of each of the two services
	Users     int
	Out       io.Writer // what is done to the site, a line each
	Log       io.Writer // what daemons print
}

// Result is what a soak has shown.
type Result struct {
	Broken   []string
	Failures map[string]int // of requests, by reason
	Share    float64        // of requests that were served
	Requests int
	After    float64    // share served in the calm at the end
	Run      report.Run // by second
}

const (
	startTimeout      = 15 * time.Second
	recoveryPeriod    = 8 * time.Second // longer than any recovery may take
	recoveryWindow    = 3 * time.Second // at the end of the calm
	minRecoveredShare = 0.95            // share of requests to be served then
	drainDuration     = 4 * time.Second
)

type soakRun struct {
	Soak
	site *Site
	rand *rand.Rand
	wg   sync.WaitGroup

	mu        sync.Mutex
	routes    map[string]string
	faulted   map[string]bool // VMs that a fault is being done to
	startTime time.Time
	events    []report.Event
}

// Run runs the soak.
func (s Soak) Run(ctx context.Context) (Result, error) {
	site, err := NewSite(Options{Bin: s.Bin, Dir: s.Dir, Log: s.Log, Seed: s.Seed})
	if err != nil {
		return Result{}, err
	}
	defer site.Close()
	k := &soakRun{
		Soak: s, site: site, rand: rand.New(rand.NewPCG(s.Seed, 1)), faulted: make(map[string]bool),
		routes: map[string]string{"r0": "bookdesk", "r1": "kitdocs"},
	}
	if err := k.start(); err != nil {
		return Result{}, err
	}
	began := time.Now()
	k.startTime = began
	k.injectFaults(ctx, began.Add(s.Length))
	k.wg.Wait()
	site.Store.Fail(Healthy)
	site.Lose(0)
	k.logf("calm")
	sleep(ctx, recoveryPeriod)
	r := site.result(began)
	if r.After < minRecoveredShare {
		r.Broken = append(r.Broken, fmt.Sprintf("RECOVER: %.3f of the requests were served in the calm after the faults", r.After))
	}
	k.mu.Lock()
	events := slices.Clone(k.events)
	k.mu.Unlock()
	r.Run = reportRun(fmt.Sprintf("soak, seed %d", k.Seed), &r, site, k.startTime, events)
	return r, ctx.Err()
}

// Returns what clients and hosts have seen since a time.
func (s *Site) result(began time.Time) Result {
	r := Result{Broken: s.Record.Broken(), Failures: s.Record.Failures()}
	r.Share, r.Requests = s.Record.Share(began)
	r.After, _ = s.Record.Share(time.Now().Add(-recoveryWindow))
	return r
}

// Returns a run for a report.
func reportRun(name string, r *Result, site *Site, began time.Time, events []report.Event) report.Run {
	run := report.Run{Name: name, Windows: site.Record.Windows(began), Events: events}
	run.Figures = []report.Figure{
		{Name: "requests", Value: float64(r.Requests)}, {Name: "share served", Value: r.Share},
		{Name: "share served after the faults", Value: r.After}, {Name: "promises broken", Value: float64(len(r.Broken))},
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Failures)) {
		run.Counts = append(run.Counts, report.Figure{Name: "failed: " + reason, Value: float64(r.Failures[reason])})
	}
	run.Counts = append(run.Counts, site.Decisions()...)
	return run
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (k *soakRun) logf(format string, args ...any) {
	if !k.startTime.IsZero() {
		at := time.Since(k.startTime).Seconds()
		k.mu.Lock()
		k.events = append(k.events, report.Event{From: at, To: at, What: fmt.Sprintf(format, args...)})
		k.mu.Unlock()
	}
	if k.Out != nil {
		fmt.Fprintf(k.Out, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
	}
}

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
	k.site.Started()
	return k.site.Clients(k.Users)
}

// Does injectFaults one after the other, some while others last.
func (k *soakRun) injectFaults(ctx context.Context, end time.Time) {
	kinds := []func(){
		k.killDaemons, k.killDaemons, k.killAll, k.freeze, k.rollBalancers, k.reloadAll, k.crashHost, k.replaceHost, k.replaceHost,
		k.failStore, k.failStore, k.faultStoreConns, k.faultStoreConns, k.compact, k.configure, k.configure, k.configure, k.loseClientPackets, k.addBalancer,
	}
	for ctx.Err() == nil && time.Now().Before(end) {
		kinds[k.rand.IntN(len(kinds))]()
		sleep(ctx, time.Duration(k.rand.Int64N(int64(2*time.Second))))
	}
}

// pickVMs returns up to n VMs, at random, to which nothing is being done, and keeps
// others off them until the function given to do has returned.
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

func (k *soakRun) runFault(v *VM, fault func() error) {
	k.wg.Go(func() {
		if err := fault(); err != nil {
			k.logf("%s: %v", v.Name, err)
		}
		k.mu.Lock()
		delete(k.faulted, v.Name)
		k.mu.Unlock()
	})
}

func (k *soakRun) randomDelay(most time.Duration) time.Duration {
	return time.Duration(k.rand.Int64N(int64(most)))
}

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

// Kills all daemons, and with power all hosts.
func (k *soakRun) killAll() {
	if k.rand.IntN(3) != 0 {
		return
	}
	power := k.rand.IntN(2) == 0
	pause := k.randomDelay(1500 * time.Millisecond)
	k.logf("kill all, power %v, start after %v", power, pause)
	for _, v := range append(k.pickVMs(true, 99), k.pickVMs(false, 99)...) {
		k.runFault(v, func() error { return v.crashAndRestart(pause, power) })
	}
}

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

func (k *soakRun) rollBalancers() {
	vms := k.pickVMs(true, 2)
	k.logf("stop %d balancers in turn", len(vms))
	for i, v := range vms {
		k.runFault(v, func() error {
			time.Sleep(time.Duration(i) * rollInterval)
			v.Stop()
			return v.Restart(restartDelay)
		})
	}
}

func (k *soakRun) reloadAll() {
	for _, v := range append(k.site.VMs(true), k.site.VMs(false)...) {
		v.Hup()
	}
	k.logf("hup")
}

func (k *soakRun) crashHost() {
	for _, v := range k.pickVMs(false, 1) {
		pause := k.randomDelay(3 * time.Second)
		k.logf("crash the host of %s, start after %v", v.Name, pause)
		k.runFault(v, func() error { return crashHost(v, pause) })
	}
}

// Replaces a host: the new one starts first, then the old one drains and leaves.
func (k *soakRun) replaceHost() {
	for _, v := range k.pickVMs(false, 1) {
		k.logf("release %s of %s", v.Name, v.Service)
		k.runFault(v, func() error {
			if _, err := k.site.AddHost(v.Service); err != nil {
				return err
			}
			time.Sleep(500 * time.Millisecond)
			v.Retire(drainDuration)
			return nil
		})
	}
}

func (k *soakRun) failStore() {
	outage := Busy + Outage(k.rand.IntN(int(Losing)))
	d := k.randomDelay(4 * time.Second)
	k.logf("store fails in way %d for %v", outage, d)
	k.site.Store.Fail(outage)
	k.wg.Go(func() {
		time.Sleep(d)
		k.site.Store.Fail(Healthy)
	})
}

// Harms connections to the store on their way, as a network does.
func (k *soakRun) faultStoreConns() {
	harm := Late + Harm(k.rand.IntN(int(numFaults-Late)))
	share := 0.3 + 0.7*k.rand.Float64()
	d := k.randomDelay(4 * time.Second)
	k.logf("%v for %.0f%% of the connections to the store for %v", harm, 100*share, d)
	k.site.HarmStore(harm, share)
	k.wg.Go(func() {
		time.Sleep(d)
		k.site.HarmStore(NoHarm, 0)
	})
}

func (k *soakRun) compact() {
	k.logf("store forgets its history")
	k.site.Store.Compact()
}

// Sends a route to the other service, or adds or removes a route without traffic.
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
		k.logf("not configured: %v", err)
	}
}

func (k *soakRun) loseClientPackets() {
	d := k.randomDelay(2 * time.Second)
	k.logf("lose 5%% of clients' packets for %v", d)
	k.site.Lose(0.05)
	k.wg.Go(func() {
		time.Sleep(d)
		k.site.Lose(0)
	})
}

func (k *soakRun) addBalancer() {
	if len(k.site.VMs(true)) >= 2*k.Balancers {
		return
	}
	k.logf("add a balancer")
	if _, err := k.site.AddBalancer(); err != nil {
		k.logf("not added: %v", err)
	}
}
