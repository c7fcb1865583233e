package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"skylarkturn/caller"
	"skylarkturn/internal/admin"
	"skylarkturn/internal/control"
	"skylarkturn/internal/flow"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/service"
)

// Measurement is one measured figure, with the size at which it was measured.
type Measurement struct {
	Name  string  `json:"name"`
	Size  string  `json:"size"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// CapacityOptions are the options of MeasureCapacity.
type CapacityOptions struct {
	Dir      string        // receives certificates and settings
	Bin      string        // directory of the built programs
	Window   time.Duration // length of each measurement of a process
	Sessions int           // open during the measurement of an agent
	Progress func(format string, args ...any)
}

// Size of one region at the design size of 4,900 balancers and 36,000 hosts in 6
// regions, with about three hosts per service.
const (
	regionBalancers  = 820
	regionAgents     = 6000
	agentsPerService = 3
)

// MeasureCapacity measures the figures from which docs/CAPACITY.md is calculated.
func MeasureCapacity(ctx context.Context, opt CapacityOptions) ([]Measurement, error) {
	measurements := messageSizes()
	for _, part := range []func(context.Context, CapacityOptions) ([]Measurement, error){
		measureRoster, measureForwarding, measureBalancers, measureAgent, measurePlatformCalls,
	} {
		more, err := part(ctx, opt)
		measurements = append(measurements, more...)
		if err != nil {
			return measurements, err
		}
	}
	return measurements, nil
}

func fakeBalancer(i int) roster.Member {
	return roster.Member{
		Role: roster.Balancer, State: roster.Ready, Name: fmt.Sprintf("balancer-%05d", i), Zone: fmt.Sprintf("region-1-az%d", i%4),
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 0), Incarnation: 1_800_000_000_000_000_000, Seq: 1,
	}
}

func fakeAgent(i int) roster.Member {
	return roster.Member{
		Role: roster.Agent, State: roster.Ready, Name: fmt.Sprintf("target-%05d", i), Host: fmt.Sprintf("vm-%05d", i),
		Zone: fmt.Sprintf("region-1-az%d", i%4), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i >> 8), byte(i)}), 0),
		Service: uint16(1 + i/agentsPerService), Incarnation: 1_800_000_000_000_000_000, Seq: 1, Warmth: 100, Sessions: 900, Generation: 1,
	}
}

// messageSizes returns the encoded sizes of the messages between daemons.
func messageSizes() []Measurement {
	codec, err := control.NewCodec([]byte("0123456789abcdef"))
	if err != nil {
		return nil
	}
	heartbeat := fakeAgent(1)
	heartbeat.Name, heartbeat.Zone, heartbeat.Host = "", "", "" // heartbeats omit them
	from := fakeBalancer(1)
	ackFrom := from
	ackFrom.Name, ackFrom.Zone = "", ""
	size := func(name, what string, m *control.Message) Measurement {
		b, err := codec.Seal(m)
		if err != nil {
			return Measurement{Name: name, Size: err.Error()}
		}
		return Measurement{name, what, float64(len(b)), "bytes"}
	}
	loads := []control.Load{{Addr: fakeAgent(2).Addr, Sessions: 900}, {Addr: fakeAgent(3).Addr, Sessions: 900}}
	generation := []control.Generation{{Service: 17, Number: 12}}
	buckets, hashes := make([]uint64, roster.BucketCount), make([]uint64, 107)
	for i := range buckets {
		buckets[i] = rand.Uint64()
	}
	for i := range hashes {
		hashes[i] = rand.Uint64()
	}
	return []Measurement{
		size("heartbeat", "lean record", &control.Message{Kind: control.Heartbeat, From: heartbeat, Digest: rand.Uint64()}),
		size("ack", "service of 3 targets", &control.Message{
			Kind: control.Ack, From: ackFrom, Loads: loads, Generations: generation, Digest: rand.Uint64(),
			Observers: []netip.AddrPort{from.Addr, fakeBalancer(2).Addr}, KnownState: roster.Ready,
		}),
		size("gossip", "no change", &control.Message{Kind: control.Gossip, From: from, Digest: rand.Uint64(), ConfigDigest: rand.Uint64(), CheckAgeMillis: 10_000, WantReply: true}),
		size("gossip", "one record", &control.Message{Kind: control.Gossip, From: from, Digest: rand.Uint64(), ConfigDigest: rand.Uint64(), CheckAgeMillis: 10_000, Members: []roster.Member{fakeAgent(1)}}),
		size("gossip", "one generation", &control.Message{Kind: control.Gossip, From: from, Digest: rand.Uint64(), ConfigDigest: rand.Uint64(), CheckAgeMillis: 10_000, Generations: generation}),
		size("repair", "64 bucket hashes", &control.Message{Kind: control.Repair, From: from, BucketHashes: buckets}),
		size("repair", "107 record hashes", &control.Message{Kind: control.Repair, From: from, RecordHashes: hashes}),
	}
}

// measureRoster measures roster and flow placement at the full size of a region.
func measureRoster(context.Context, CapacityOptions) ([]Measurement, error) {
	r := roster.New(roster.DefaultTiming, rand.New(rand.NewPCG(1, 1)))
	now := time.Now()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	started := time.Now()
	for i := range regionBalancers {
		r.Apply(now, fakeBalancer(i))
	}
	for i := range regionAgents {
		r.Apply(now, fakeAgent(i))
	}
	members := regionBalancers + regionAgents
	applied := time.Since(started)
	runtime.GC()
	runtime.ReadMemStats(&after)
	what := fmt.Sprintf("%d members", members)
	measurements := []Measurement{
		{"roster memory", what, float64(after.HeapAlloc-before.HeapAlloc) / float64(members), "bytes/member"},
		{"roster apply", what, float64(applied.Nanoseconds()) / float64(members), "ns/record"},
	}
	self := fakeBalancer(1).Addr
	r.Tick(now, self)
	measurements = append(measurements,
		timePerCall("roster tick", what, 1000, func() { r.Tick(now, self) }),
		timePerCall("roster tick after a change", what, 50, func() {
			m := fakeAgent(7)
			m.Seq = uint32(time.Now().UnixNano())
			r.Apply(now, m)
			r.Tick(now, self)
		}),
		timePerCall("choice of gossip peers", what, 50, func() { r.Peers(self, 3) }),
		timePerCall("hashes of a bucket", what, 50, func() { r.BucketHashes(1) }),
	)
	return append(measurements, measurePlacement()...), nil
}

func timePerCall(name, size string, n int, f func()) Measurement {
	started := time.Now()
	for range n {
		f()
	}
	return Measurement{name, size, float64(time.Since(started).Nanoseconds()) / float64(n), "ns"}
}

func measurePlacement() (measurements []Measurement) {
	for _, n := range []int{3, 16, 100} {
		var c []flow.Candidate
		for i := range n {
			c = append(c, flow.Candidate{Agent: fakeAgent(i).Addr, Weight: 1})
		}
		key := uint64(0)
		measurements = append(measurements, timePerCall("place a first datagram", fmt.Sprintf("%d targets", n), 20_000, func() {
			key++
			flow.Place(key, c)
		}))
	}
	return measurements
}

// Agents send a heartbeat every 900 ms and request an ack with every second one.
const agentHeartbeatInterval = 900 * time.Millisecond

// measureBalancers measures a balancer process in an empty region, in half a region
// and in a full one.
func measureBalancers(ctx context.Context, opt CapacityOptions) (measurements []Measurement, err error) {
	for _, part := range []float64{0, 0.5, 1} {
		opt.Progress("measuring a balancer with %.0f%% of a region's members", 100*part)
		more, err := measureBalancer(ctx, opt, int(part*regionBalancers), int(part*regionAgents))
		if err != nil {
			return measurements, err
		}
		measurements = append(measurements, more...)
	}
	return measurements, nil
}

func measureBalancer(ctx context.Context, opt CapacityOptions, balancers, agents int) (measurements []Measurement, err error) {
	o := Options{Dir: filepath.Join(opt.Dir, fmt.Sprintf("balancer-%d", agents)), Bin: opt.Bin, Zones: []string{"region-1-az1"}}
	d, err := deployInNewDir(ctx, o)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	if err := d.storeServices((agents + agentsPerService - 1) / agentsPerService); err != nil {
		return nil, err
	}
	m, err := d.AddBalancer()
	if err != nil {
		return nil, err
	}
	opt.Progress("  metrics and profiles: http://%s", m.OpsAddr)
	simulator, err := newMemberSimulator([]byte(testSecret(0)), m.InnerAddr)
	if err != nil {
		return nil, err
	}
	g, run := errgroup.WithContext(ctx)
	run, stop := context.WithCancel(run)
	defer stop()
	g.Go(func() error { return simulator.answerGossip(run) })
	if err := simulator.sendMembers(balancers, agents); err != nil {
		return nil, err
	}
	self, err := netip.ParseAddrPort(m.InnerAddr)
	if err != nil {
		return nil, &Error{"parse inner address", KindProcess, err}
	}
	simulator.selectObserved(roster.Member{Role: roster.Balancer, State: roster.Ready, Zone: "region-1-az1", Addr: self, Incarnation: 1, Seq: 1})
	g.Go(func() error { return simulator.sendHeartbeats(run, agentHeartbeatInterval) })
	measurements, err = m.measureUsage(ctx, opt.Window, fmt.Sprintf("%d members, %d services, %d observed", balancers+agents, (agents+2)/3, len(simulator.observedAgents)))
	stop()
	_ = simulator.udp.Close()
	return measurements, errors.Join(err, g.Wait())
}

// storeServices stores the given number of services in the platform, as if they had
// been confirmed.
func (d *Deployment) storeServices(services int) error {
	for i := range services {
		s := service.Service{
			Name: fmt.Sprintf("service-%05d", i), Tenant: "tenant", Number: uint16(i + 1), Generation: 1, PlanID: "0123456789abcdef",
			Addresses: []string{fmt.Sprintf("10.%d.%d.1:443", i>>8, i&255), fmt.Sprintf("10.%d.%d.2:443", i>>8, i&255)},
			Classes:   requestClasses,
		}
		value, err := json.Marshal(s)
		if err != nil {
			return &Error{"store services", KindStart, err}
		}
		d.Platform.update("service", s.Name, nil, value)
	}
	return nil
}

const warmupTime = 8 * time.Second // for members and configuration to spread and for garbage collection to run

// measureUsage measures the resources that a process uses during a window.
func (m *Daemon) measureUsage(ctx context.Context, window time.Duration, size string) ([]Measurement, error) {
	if err := waitUntil(ctx, time.Now().Add(warmupTime)); err != nil {
		return nil, err
	}
	c1, err := m.readMetrics(ctx)
	if err != nil {
		return nil, err
	}
	u1, err := readUsage(m.process.Pid)
	if err != nil {
		return nil, err
	}
	if err := waitUntil(ctx, time.Now().Add(window)); err != nil {
		return nil, err
	}
	u2, err := readUsage(m.process.Pid)
	if err != nil {
		return nil, err
	}
	c2, err := m.readMetrics(ctx)
	if err != nil {
		return nil, err
	}
	seconds := u2.at.Sub(u1.at).Seconds()
	rate := func(name string) float64 { return (c2[name] - c1[name]) / seconds }
	return []Measurement{
		{"balancer processor", size, 100 * (u2.cpu - u1.cpu).Seconds() / seconds, "% of a core"},
		{"balancer memory", size, u2.rss / (1 << 20), "MB resident"},
		{"balancer heap", size, c2["go_memstats_heap_inuse_bytes"] / (1 << 20), "MB"},
		{"balancer control received", size, rate("skylark_control_bytes_received_total"), "bytes/s"},
		{"balancer control sent", size, rate("skylark_control_bytes_sent_total"), "bytes/s"},
	}, nil
}

// measureAgent measures the resources that an agent uses per session and per request.
func measureAgent(ctx context.Context, opt CapacityOptions) (measurements []Measurement, err error) {
	opt.Progress("measuring an agent with %d sessions", opt.Sessions)
	svc := ServiceOptions{Tenant: "lensbridge", Name: "bookdesk", Number: 17, Hosts: 1, Slots: 64}
	o := Options{Dir: filepath.Join(opt.Dir, "agent"), Bin: opt.Bin, Zones: []string{"az1"}, Balancers: 1, Services: []ServiceOptions{svc}}
	d, _, err := deployDeclared(ctx, o)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	pid := d.Agent("bookdesk-1").process.Pid
	idle, err := readUsage(pid)
	if err != nil {
		return nil, err
	}
	sessions, err := d.openSessions(ctx, opt.Sessions)
	defer func() {
		for _, s := range sessions {
			err = errors.Join(err, s.Close())
		}
	}()
	if err != nil {
		return nil, err
	}
	opened, err := readUsage(pid)
	if err != nil {
		return nil, err
	}
	if err := waitUntil(ctx, time.Now().Add(opt.Window)); err != nil {
		return nil, err
	}
	held, err := readUsage(pid)
	if err != nil {
		return nil, err
	}
	const perSession = 10
	if err := fetchSheets(ctx, sessions, perSession); err != nil {
		return nil, err
	}
	worked, err := readUsage(pid)
	if err != nil {
		return nil, err
	}
	n := float64(len(sessions))
	size := fmt.Sprintf("%d sessions", len(sessions))
	return []Measurement{
		{"agent memory", "no session", idle.rss / (1 << 20), "MB resident"},
		{"agent memory by session", size, (held.rss - idle.rss) / n / (1 << 10), "KB resident"},
		{"agent processor by handshake", size, 1000 * (opened.cpu - idle.cpu).Seconds() / n, "ms"},
		{"agent processor by open session", size + ", heartbeat each 5 s", 1e6 * (held.cpu - opened.cpu).Seconds() / held.at.Sub(opened.at).Seconds() / n, "us/s"},
		{"agent processor by request", fmt.Sprintf("sheet of %d bytes", SheetSize), 1e6 * (worked.cpu - held.cpu).Seconds() / n / perSession, "us"},
	}, nil
}

func (d *Deployment) openSessions(ctx context.Context, n int) ([]*caller.Session, error) {
	sessions := make([]*caller.Session, n)
	var g errgroup.Group
	g.SetLimit(maxParallelDials)
	for i := range sessions {
		g.Go(func() (err error) {
			sessions[i], err = d.Dial(ctx, "bookdesk", caller.WithHeartbeatTimeout(silenceTimeout*3))
			return err
		})
	}
	err := g.Wait()
	opened := sessions[:0]
	for _, s := range sessions {
		if s != nil {
			opened = append(opened, s)
		}
	}
	return opened, err
}

func fetchSheets(ctx context.Context, sessions []*caller.Session, each int) error {
	var g errgroup.Group
	g.SetLimit(maxParallelDials / 2)
	for _, s := range sessions {
		g.Go(func() error {
			for range each {
				if _, err := s.Do(ctx, caller.Request{Path: "/sheets/x"}); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return g.Wait()
}

// measurePlatformCalls counts calls to the platform while idle and per configuration
// change.
func measurePlatformCalls(ctx context.Context, opt CapacityOptions) (measurements []Measurement, err error) {
	const balancers, changes = 6, 10
	opt.Progress("counting platform calls of %d balancers", balancers)
	svc := ServiceOptions{Tenant: "lensbridge", Name: "bookdesk", Number: 17, Hosts: 2, Slots: 4}
	o := Options{Dir: filepath.Join(opt.Dir, "platform"), Bin: opt.Bin, Zones: []string{"az1", "az2"}, Balancers: balancers, Services: []ServiceOptions{svc}}
	d, operator, err := deployDeclared(ctx, o)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	if err := waitUntil(ctx, time.Now().Add(warmupTime)); err != nil {
		return nil, err
	}
	before := d.Platform.Calls()
	idleTime := 4 * opt.Window // longer than the 20 s that a watch waits
	if err := waitUntil(ctx, time.Now().Add(idleTime)); err != nil {
		return nil, err
	}
	idle := float64(d.Platform.Calls()-before) / idleTime.Seconds()
	s := &siteRun{Deployment: d, operator: operator, changedHosts: make(map[string]bool)}
	before = d.Platform.Calls()
	for i := range changes {
		if err := s.drain(ctx, "bookdesk-1", i%2 == 0); err != nil {
			return nil, err
		}
	}
	size := fmt.Sprintf("%d balancers", balancers)
	measurements = []Measurement{
		{"platform calls, idle", size, idle, "calls/s"},
		{"platform calls by change", size, float64(d.Platform.Calls()-before) / changes, "calls"},
	}
	var times []time.Duration
	times = append(times, s.propagationTimes...)
	return append(measurements,
		Measurement{"change in force everywhere, median", size, quantileMillis(times, 0.5), "ms"},
		Measurement{"change in force everywhere, longest", size, quantileMillis(times, 1), "ms"}), nil
}

// deployInNewDir creates the deployment's directory and starts it.
func deployInNewDir(ctx context.Context, o Options) (*Deployment, error) {
	if err := makeDir(o.Dir); err != nil {
		return nil, err
	}
	return NewDeployment(ctx, o)
}

// deployDeclared starts a deployment and declares its services.
func deployDeclared(ctx context.Context, o Options) (*Deployment, *admin.Client, error) {
	d, err := deployInNewDir(ctx, o)
	if err != nil {
		return nil, nil, err
	}
	operator, err := d.Operator()
	if err == nil {
		err = d.DeclareAll(ctx, operator)
	}
	if err != nil {
		return nil, nil, errors.Join(err, d.Close())
	}
	return d, operator, nil
}
