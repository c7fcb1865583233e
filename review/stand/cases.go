package main

import (
	"fmt"
	"sync"
	"time"

	"skylarkturn/internal/packet"
)

func init() {
	cases["missing-fields"] = missingFields
	cases["young-host"] = youngHost
	cases["silent-connections"] = silentConnections
}

// The services, and the addresses of their routes.
const (
	service      = "orders7c"
	otherService = "sheets2f"
)

var (
	routeAt      = packet.Endpoint{IP: 0x7fc61201, Port: 8443}
	otherRouteAt = packet.Endpoint{IP: 0x7fc61201, Port: 9443}
)

// site is a running deployment: two machines at the edge, and hosts.
type site struct {
	*world
	edges  []*daemon
	agents []*daemon
	apps   []*host
}

// startGap is the time between the starts of two machines.
const startGap = 250 * time.Millisecond

// startSite starts two balancers and the agents of hosts of the services, and waits until
// the whole has run for ten seconds, as before the start of traffic.
func startSite(w *world, services ...string) (*site, error) {
	s := &site{world: w}
	if err := w.configure(3, map[packet.Endpoint]string{routeAt: service, otherRouteAt: otherService}); err != nil {
		return nil, err
	}
	for i := range 2 {
		d, err := w.addDaemon(byte(1+i), "")
		if err != nil {
			return nil, err
		}
		s.edges = append(s.edges, d)
		time.Sleep(startGap)
	}
	for i, service := range services {
		if err := s.addHost(byte(10+i), service); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(8*time.Second, s.edges...); err != nil {
		return nil, err
	}
	w.bootstrap = false
	time.Sleep(time.Until(w.start.Add(10 * time.Second)))
	return s, nil
}

// addHost starts an agent on a new machine and its host.
func (s *site) addHost(n byte, service string) error {
	d, err := s.addDaemon(n, service)
	if err != nil {
		return err
	}
	time.Sleep(startGap) // until the agent listens
	h, err := s.startHost(d, fmt.Sprintf("i-%06x", int(n)*7919), service)
	if err != nil {
		return err
	}
	s.agents, s.apps = append(s.agents, d), append(s.apps, h)
	return nil
}

// openAt opens flows until n of them are held by the host with the index i, and returns
// those.
func (s *site) openAt(c *client, i, n int) (flows []*clientFlow, err error) {
	for range 40 {
		if len(flows) == n {
			return flows, nil
		}
		f, err := c.open(routeAt)
		if err != nil {
			return nil, err
		}
		time.Sleep(20 * time.Millisecond) // until the end of the handshake has reached the host
		if s.apps[i].holds(f.key) {
			flows = append(flows, f)
		}
	}
	return nil, fmt.Errorf("host %s got %d of %d flows", s.apps[i].id, len(flows), n)
}

// requestOnEach sends a request on each of the flows, at the same time, and returns how
// they ended.
func requestOnEach(flows []*clientFlow) []outcome {
	outcomes := make([]outcome, len(flows))
	var requests sync.WaitGroup
	for i, f := range flows {
		requests.Go(func() { outcomes[i] = f.request() })
	}
	requests.Wait()
	return outcomes
}

// brokenFlow returns what broke FLOW, or nothing: a reset of an open flow that its host
// did not send, while that host lives.
func brokenFlow(h *host, f *clientFlow, o outcome) []string {
	if !o.reset || !h.alive() || !h.holds(f.key) {
		return nil
	}
	return []string{fmt.Sprintf("FLOW: flow %v is open at the living host %s and was reset from %v; request %s has no answer", f.key, h.id, o.from, o.id)}
}

// heartbeatOfAnotherWriter sends one heartbeat that is not of the host of a machine to
// the control address there, unless the disruption is left out.
func (s *site) heartbeatOfAnotherWriter(d *daemon, fields map[string]any) {
	if !s.trouble {
		return
	}
	outcome := s.beat(d, "x-5d1e", fields)
	s.logf("another writer sends one heartbeat to %s: %v: answer %s", d.name, fields, outcome)
}

// missingFields plays one heartbeat of another writer without an address, a zone and a
// version, at the control address of a machine whose host is healthy and at work. Its
// service is one that other hosts run.
func missingFields(w *world) (broken []string, err error) {
	s, err := startSite(w, service, service, otherService)
	if err != nil {
		return nil, err
	}
	c, err := w.addClient(1)
	if err != nil {
		return nil, err
	}
	flows, err := s.openAt(c, 0, 3)
	if err != nil {
		return nil, err
	}
	for range 2 {
		broken = append(broken, s.playRoute(c, otherRouteAt, otherService, 4)...)
		time.Sleep(time.Second)
	}
	var outcomes []outcome
	var requests sync.WaitGroup
	requests.Go(func() { outcomes = requestOnEach(flows) })
	time.Sleep(workTime / 2) // the host works on the requests
	s.heartbeatOfAnotherWriter(s.agents[0], map[string]any{
		"service": otherService, "max-concurrency": 4, "state": "ready", "seq": 1, "born": time.Now().UnixMilli(),
	})
	requests.Wait()
	for i, o := range outcomes {
		for _, b := range brokenFlow(s.apps[0], flows[i], o) {
			w.logf("besides, %s", b) // another rule than that of the case
		}
	}
	time.Sleep(time.Second)
	for range 2 {
		broken = append(broken, s.playRoute(c, otherRouteAt, otherService, 4)...)
		time.Sleep(time.Second)
	}
	return broken, nil
}

// playRoute opens flows to a route and sends a request on each. It returns the requests
// that a host of another service than the only one that the route has ever had has run.
func (s *site) playRoute(c *client, at packet.Endpoint, service string, n int) (broken []string) {
	for range n {
		f, err := c.open(at)
		if err != nil {
			s.logf("%v", err)
			continue
		}
		o := f.request()
		for _, h := range s.apps {
			if h.service != service && h.hasRun(o.id) {
				broken = append(broken, fmt.Sprintf("ROUTE: request %s to the route of %s was run by host %s of %s", o.id, service, h.id, h.service))
			}
		}
	}
	return broken
}

const (
	restartAge   = 1800 * time.Millisecond // age of the host when its agent is stopped
	restartDelay = 300 * time.Millisecond  // from the end of a process to its next start
	idleTime     = 7 * time.Second         // for which flows are idle; the configuration allows idleTimeout
)

// youngHost plays the planned restart of the agent beside a host that has just been
// added. The flows on the host stay idle for a while, as the configuration allows.
func youngHost(w *world) (broken []string, err error) {
	s, err := startSite(w, service, service)
	if err != nil {
		return nil, err
	}
	c, err := w.addClient(1)
	if err != nil {
		return nil, err
	}
	w.logf("a host is added")
	if err := s.addHost(12, service); err != nil {
		return nil, err
	}
	added := s.apps[2].born
	time.Sleep(300 * time.Millisecond)
	flows, err := s.openAt(c, 2, 4)
	if err != nil {
		return nil, err
	}
	for _, o := range requestOnEach(flows) {
		if !o.ok {
			return nil, fmt.Errorf("request %s before the disruption: %s", o.id, o.text)
		}
	}
	time.Sleep(time.Until(added.Add(restartAge)))
	if w.trouble {
		s.agents[2].terminate()
		time.Sleep(restartDelay)
		if err := s.agents[2].run(); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(added.Add(restartAge + restartDelay + idleTime)))
	for i, o := range requestOnEach(flows) {
		broken = append(broken, brokenFlow(s.apps[2], flows[i], o)...)
	}
	return broken, nil
}

const (
	configBound = 3 * time.Second       // config-ms
	margin      = 50 * time.Millisecond // beyond the bound, so that no request is judged at the edge of it

	powerLoss = 3500 * time.Millisecond // until a machine without power is back

	// deployments is the number of deployments that silentConnections plays beside each
	// other. In some of them the other balancer keeps two idle connections to the store
	// from its start, in some one.
	deployments = 8
)

// silentConnections plays silentConnection in several deployments.
func silentConnections(w *world) (broken []string, err error) {
	var (
		mu    sync.Mutex
		plays sync.WaitGroup
	)
	for i := range deployments {
		plays.Go(func() {
			one, failed := newWorld(fmt.Sprintf("deployment %d: ", i+1), w.record, w.trouble)
			var found []string
			if failed == nil {
				defer one.close()
				found, failed = silentConnection(one)
			}
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, found...)
			if failed != nil {
				err = failed
			}
		})
	}
	plays.Wait()
	return broken, err
}

// silentConnection plays connections to the store that go silent for good, and seconds
// later a power loss of the machine of the balancer that checks the configuration, after a
// change of it.
func silentConnection(w *world) (broken []string, err error) {
	s, err := startSite(w, service, otherService)
	if err != nil {
		return nil, err
	}
	c, err := w.addClient(1)
	if err != nil {
		return nil, err
	}
	checker := w.proxy.awaitCheck()
	w.logf("%s checks the configuration", checker.name)
	for _, d := range s.edges {
		if w.trouble {
			w.logf("%s: %d connections to the store go silent", d.name, w.proxy.silence(d, d == checker))
		}
	}
	time.Sleep(6 * time.Second)
	if again := w.proxy.awaitCheck(); again != checker {
		return nil, fmt.Errorf("%s has taken over the checks", again.name)
	}
	time.Sleep(10 * time.Millisecond) // until the check has been answered
	w.logf("%s has just checked the configuration", checker.name)
	if err := w.configure(5, map[packet.Endpoint]string{routeAt: service}); err != nil {
		return nil, err
	}
	acked := time.Now()
	time.Sleep(700 * time.Millisecond) // until the other balancer knows of the check
	if w.trouble {
		checker.kill()
		time.AfterFunc(powerLoss, func() { _ = checker.run() })
	}
	time.Sleep(time.Until(acked.Add(configBound + margin)))
	for time.Since(acked) < configBound+2*time.Second {
		sent := time.Now()
		f, err := c.open(otherRouteAt)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if o := f.request(); s.apps[1].hasRun(o.id) {
			broken = append(broken, fmt.Sprintf("CONFIG: request %s, sent %d ms after the acknowledgement of version 5, was run with the route that it has dropped", o.id, sent.Sub(acked).Milliseconds()))
		}
	}
	return broken, nil
}
