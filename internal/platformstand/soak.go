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
	startWithin = 15 * time.Second
	calm        = 8 * time.Second // longer than any recovery may take
	judgedCalm  = 3 * time.Second // at the end of the calm
	minAfter    = 0.95            // share of requests to be served then
	drainTime   = 4 * time.Second
)

type soak struct {
	Soak
	site *Site
	rand *rand.Rand
	done sync.WaitGroup

	mu     sync.Mutex
	routes map[string]string
	busy   map[string]bool // VMs that a fault is being done to
	began  time.Time
	events []report.Event
}

// Run runs the soak.
func (s Soak) Run(ctx context.Context) (Result, error) {
	site, err := NewSite(Options{Bin: s.Bin, Dir: s.Dir, Log: s.Log, Seed: s.Seed})
	if err != nil {
		return Result{}, err
	}
	defer site.Close()
	k := &soak{
		Soak: s, site: site, rand: rand.New(rand.NewPCG(s.Seed, 1)), busy: make(map[string]bool),
		routes: map[string]string{"r0": "bookdesk", "r1": "kitdocs"},
	}
	if err := k.start(); err != nil {
		return Result{}, err
	}
	began := time.Now()
	k.began = began
	k.faults(ctx, began.Add(s.Length))
	k.done.Wait()
	site.Store.Fail(Healthy)
	site.Lose(0)
	k.say("calm")
	wait(ctx, calm)
	r := site.result(began)
	if r.After < minAfter {
		r.Broken = append(r.Broken, fmt.Sprintf("RECOVER: %.3f of the requests were served in the calm after the faults", r.After))
	}
	k.mu.Lock()
	events := slices.Clone(k.events)
	k.mu.Unlock()
	r.Run = runOf(fmt.Sprintf("soak, seed %d", k.Seed), &r, site, k.began, events)
	return r, ctx.Err()
}

// Returns what clients and hosts have seen since a time.
func (s *Site) result(began time.Time) Result {
	r := Result{Broken: s.Record.Broken(), Failures: s.Record.Failures()}
	r.Share, r.Requests = s.Record.Share(began)
	r.After, _ = s.Record.Share(time.Now().Add(-judgedCalm))
	return r
}

// Returns a run for a report.
func runOf(name string, r *Result, site *Site, began time.Time, events []report.Event) report.Run {
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

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (k *soak) say(format string, args ...any) {
	if !k.began.IsZero() {
		at := time.Since(k.began).Seconds()
		k.mu.Lock()
		k.events = append(k.events, report.Event{From: at, To: at, What: fmt.Sprintf(format, args...)})
		k.mu.Unlock()
	}
	if k.Out != nil {
		fmt.Fprintf(k.Out, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
	}
}

func (k *soak) start() error {
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
	if err := k.site.WaitReady(k.Balancers, startWithin); err != nil {
		return err
	}
	k.site.Started()
	return k.site.Clients(k.Users)
}

// Does faults one after the other, some while others last.
func (k *soak) faults(ctx context.Context, end time.Time) {
	kinds := []func(){
		k.killDaemons, k.killDaemons, k.killAll, k.freeze, k.rollBalancers, k.hup, k.crashHost, k.release, k.release,
		k.failStore, k.failStore, k.harmStore, k.harmStore, k.compact, k.configure, k.configure, k.configure, k.lose, k.addBalancer,
	}
	for ctx.Err() == nil && time.Now().Before(end) {
		kinds[k.rand.IntN(len(kinds))]()
		wait(ctx, time.Duration(k.rand.Int64N(int64(2*time.Second))))
	}
}

// pick returns up to n VMs, at random, to which nothing is being done, and keeps
// others off them until the function given to do has returned.
func (k *soak) pick(balancers bool, n int) (picked []*VM) {
	k.mu.Lock()
	defer k.mu.Unlock()
	vms := k.site.VMs(balancers)
	k.rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	for _, v := range vms {
		if !k.busy[v.Name] && len(picked) < n {
			k.busy[v.Name] = true
			picked = append(picked, v)
		}
	}
	return picked
}

func (k *soak) do(v *VM, fault func() error) {
	k.done.Go(func() {
		if err := fault(); err != nil {
			k.say("%s: %v", v.Name, err)
		}
		k.mu.Lock()
		delete(k.busy, v.Name)
		k.mu.Unlock()
	})
}

func (k *soak) pause(most time.Duration) time.Duration {
	return time.Duration(k.rand.Int64N(int64(most)))
}

func (k *soak) killDaemons() {
	for _, v := range k.pick(k.rand.IntN(2) == 0, 1+k.rand.IntN(2)) {
		pause := k.pause(1500 * time.Millisecond)
		k.say("kill %s, start after %v", v.Name, pause)
		k.do(v, func() error {
			v.Kill()
			return v.Restart(pause)
		})
	}
}

// Kills all daemons, and with power all hosts.
func (k *soak) killAll() {
	if k.rand.IntN(3) != 0 {
		return
	}
	power := k.rand.IntN(2) == 0
	pause := k.pause(1500 * time.Millisecond)
	k.say("kill all, power %v, start after %v", power, pause)
	for _, v := range append(k.pick(true, 99), k.pick(false, 99)...) {
		k.do(v, func() error { return v.cycle(pause, power) })
	}
}

func (k *soak) freeze() {
	for _, v := range k.pick(k.rand.IntN(2) == 0, 1) {
		d := k.pause(3 * time.Second)
		k.say("freeze %s for %v", v.Name, d)
		k.do(v, func() error {
			v.Freeze(d)
			return nil
		})
	}
}

func (k *soak) rollBalancers() {
	vms := k.pick(true, 2)
	k.say("stop %d balancers in turn", len(vms))
	for i, v := range vms {
		k.do(v, func() error {
			time.Sleep(time.Duration(i) * rollPause)
			v.Stop()
			return v.Restart(restart)
		})
	}
}

func (k *soak) hup() {
	for _, v := range append(k.site.VMs(true), k.site.VMs(false)...) {
		v.Hup()
	}
	k.say("hup")
}

func (k *soak) crashHost() {
	for _, v := range k.pick(false, 1) {
		pause := k.pause(3 * time.Second)
		k.say("crash the host of %s, start after %v", v.Name, pause)
		k.do(v, func() error { return crashHost(v, pause) })
	}
}

// Replaces a host: the new one starts first, then the old one drains and leaves.
func (k *soak) release() {
	for _, v := range k.pick(false, 1) {
		k.say("release %s of %s", v.Name, v.Service)
		k.do(v, func() error {
			if _, err := k.site.AddHost(v.Service); err != nil {
				return err
			}
			time.Sleep(500 * time.Millisecond)
			v.Retire(drainTime)
			return nil
		})
	}
}

func (k *soak) failStore() {
	outage := Busy + Outage(k.rand.IntN(int(Losing)))
	d := k.pause(4 * time.Second)
	k.say("store fails in way %d for %v", outage, d)
	k.site.Store.Fail(outage)
	k.done.Go(func() {
		time.Sleep(d)
		k.site.Store.Fail(Healthy)
	})
}

// Harms connections to the store on their way, as a network does.
func (k *soak) harmStore() {
	harm := Late + Harm(k.rand.IntN(int(harms-Late)))
	share := 0.3 + 0.7*k.rand.Float64()
	d := k.pause(4 * time.Second)
	k.say("%v for %.0f%% of the connections to the store for %v", harm, 100*share, d)
	k.site.HarmStore(harm, share)
	k.done.Go(func() {
		time.Sleep(d)
		k.site.HarmStore(NoHarm, 0)
	})
}

func (k *soak) compact() {
	k.say("store forgets its history")
	k.site.Store.Compact()
}

// Sends a route to the other service, or adds or removes a route without traffic.
func (k *soak) configure() {
	switch k.rand.IntN(3) {
	case 0:
		k.routes["r0"], k.routes["r1"] = k.routes["r1"], k.routes["r0"]
	case 1:
		k.routes["r2"] = "bookdesk"
	case 2:
		delete(k.routes, "r2")
	}
	k.say("configure %v", k.routes)
	if err := k.site.Configure(k.routes, "r0", "r1"); err != nil {
		k.say("not configured: %v", err)
	}
}

func (k *soak) lose() {
	d := k.pause(2 * time.Second)
	k.say("lose 5%% of clients' packets for %v", d)
	k.site.Lose(0.05)
	k.done.Go(func() {
		time.Sleep(d)
		k.site.Lose(0)
	})
}

func (k *soak) addBalancer() {
	if len(k.site.VMs(true)) >= 2*k.Balancers {
		return
	}
	k.say("add a balancer")
	if _, err := k.site.AddBalancer(); err != nil {
		k.say("not added: %v", err)
	}
}
