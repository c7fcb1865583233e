package main

import (
	"time"

	"skylarkturn/internal/packet"
)

// playStray plays a heartbeat of another writer, which names a service that doesn't exist,
// on VMs whose settings leave the unexplained key service empty.
func playStray(s *site, trouble bool) error {
	s.noService = true
	s.onReset = func(k packet.Key, h *host) {
		if h != nil && h.holds(k) {
			s.fail("FLOW", "flow %v was reset by the system while host %s, which has had no disruption, holds it", k, h.id)
		}
	}
	if err := s.configure("bookdesk", "kitdocs"); err != nil {
		return err
	}
	_, hosts, err := s.startSite(4, "bookdesk", "bookdesk", "bookdesk", "bookdesk", "kitdocs", "kitdocs")
	if err != nil {
		return err
	}
	defer func() {
		for _, h := range hosts {
			h.stop()
		}
	}()
	if err := s.startUsers(4, usersPerClient, routeAddr(0), routeAddr(0), routeAddr(1)); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	if trouble {
		fields := hosts[0].fields("ready", 1)
		fields["service"], fields["born"] = "nowhere", time.Now().UnixMilli()
		status := hosts[0].put(s.ctx, "x-other", fields)
		s.rec.printf("heartbeat of another writer to the agent of host %s: %v -> %s", hosts[0].id, fields, status)
	}
	time.Sleep(10 * time.Second)
	return nil
}
