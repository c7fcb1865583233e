package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"skylarkturn/internal/packet"
)

const (
	minPause       = 500 * time.Millisecond // between two requests of a user
	maxPause       = 6000 * time.Millisecond
	maxPerFlow     = 5 // requests on a flow, after which a user opens another
	retryPause     = 100 * time.Millisecond
	usersPerClient = 18
)

// use sends the requests of a user, who keeps a flow for several of them, until the site
// ends.
func (s *site) use(c *client, user string, route packet.Endpoint) {
	var f *clientFlow
	onFlow, limit := 0, 0
	for n := 0; s.ctx.Err() == nil; n++ {
		s.pause(minPause + time.Duration(rand.Int64N(int64(maxPause-minPause))))
		id := fmt.Sprintf("%s-%d", user, n)
		s.requestMade(id)
		if f != nil && onFlow >= limit {
			f.close()
			f = nil
		}
		if f == nil {
			var reason string
			if f, reason = c.open(s.ctx, route); f == nil {
				if s.ctx.Err() != nil {
					return
				}
				s.rec.printf("request %s to route %v was not sent: %s", id, route.AddrPort(), reason)
				s.pause(retryPause)
				continue
			}
			onFlow, limit = 0, 1+rand.IntN(maxPerFlow)
		}
		onFlow++
		body, reason := f.request(s.ctx, id)
		if s.ctx.Err() != nil {
			return
		}
		if reason != "" {
			s.rec.printf("request %s to route %v failed: %s", id, route.AddrPort(), reason)
			f.forget()
			f = nil
			continue
		}
		s.rec.printf("request %s to route %v was answered by %s", id, route.AddrPort(), body)
	}
}

// pause waits, or until the site ends.
func (s *site) pause(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}

// startUsers starts client machines whose users send requests to the routes in turn.
func (s *site) startUsers(clients, users int, routes ...packet.Endpoint) error {
	for i := range clients {
		c, err := s.startClient(i)
		if err != nil {
			return err
		}
		for u := range users {
			s.wg.Go(func() { s.use(c, fmt.Sprintf("%s-u%d", c.name, u), routes[u%len(routes)]) })
		}
	}
	return nil
}

// startSite starts balancers, and an agent with a host for each of the services.
func (s *site) startSite(balancers int, services ...string) (vms []*vm, hosts []*host, err error) {
	var all []*vm
	for range balancers {
		all = append(all, s.addVM(""))
	}
	for _, service := range services {
		v := s.addVM(service)
		vms = append(vms, v)
		all = append(all, v)
	}
	for _, v := range all {
		if err := v.start(); err != nil {
			return nil, nil, err
		}
	}
	time.Sleep(time.Second)
	for i, v := range vms {
		h, err := s.startHost(v, v.service, fmt.Sprintf("i-%s-%d", v.service, i+1))
		if err != nil {
			return nil, nil, err
		}
		hosts = append(hosts, h)
	}
	s.wg.Go(s.probe)
	if err := s.waitReady(balancers); err != nil {
		return nil, nil, err
	}
	s.mu.Lock()
	s.bootstrap = false
	s.mu.Unlock()
	time.Sleep(2 * time.Second)
	return vms, hosts, nil
}

// startServices starts a deployment of two services with its users: route 0 leads to
// bookdesk, with four hosts, and route 1 to kitdocs, with two.
func (s *site) startServices() (vms []*vm, hosts []*host, err error) {
	if err := s.configure("bookdesk", "kitdocs"); err != nil {
		return nil, nil, err
	}
	vms, hosts, err = s.startSite(4, "bookdesk", "bookdesk", "bookdesk", "bookdesk", "kitdocs", "kitdocs")
	if err != nil {
		return nil, nil, err
	}
	return vms, hosts, s.startUsers(4, usersPerClient, routeAddr(0), routeAddr(0), routeAddr(1))
}

// stopHosts stops those hosts that still run.
func stopHosts(hosts []*host) {
	for _, h := range hosts {
		h.stop()
	}
}

// judgeResets makes the site judge FLOW by the resets of running hosts' flows.
func (s *site) judgeResets() {
	s.onReset = func(k packet.Key, h *host) {
		if h != nil && h.holds(k) {
			s.fail("FLOW", "flow %v was reset by the system while host %s, which has had no disruption, holds it", k, h.id)
		}
	}
}

// reuseAfter is the least time between the end of a host and the reuse of its address, the
// bound reuse-after-s.
const reuseAfter = 2 * time.Second

// settingsPoll is the interval at which a daemon looks for a changed settings file. The
// reuse begins soon after such a moment.
const settingsPoll = 2 * time.Second

// playReuse plays a host that falls silent for good, whose address goes to another service.
func playReuse(s *site, trouble bool) error {
	vms, hosts, err := s.startServices()
	if err != nil {
		return err
	}
	defer stopHosts(hosts)
	time.Sleep(6 * time.Second)
	if trouble {
		time.Sleep(settingsPoll - time.Since(vms[0].started)%settingsPoll + 150*time.Millisecond)
		if err := hosts[0].goSilent(); err != nil {
			return err
		}
		time.Sleep(reuseAfter)
		vms[0].service = "kitdocs"
		if err := vms[0].writeSettings(); err != nil {
			return err
		}
		s.rec.printf("the platform has written the settings of %s with service=kitdocs, without a signal", vms[0].name)
		time.Sleep(50 * time.Millisecond)
		hosts[0].stop()
		if hosts[0], err = s.startHost(vms[0], "kitdocs", "i-kitdocs-7"); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second)
	return nil
}
