package main

import "time"

// playStray plays a heartbeat of another writer, which names a service that doesn't exist,
// on VMs whose settings leave the unexplained key service empty.
func playStray(s *site, trouble bool) error {
	s.noService = true
	s.judgeResets()
	_, hosts, err := s.startServices()
	if err != nil {
		return err
	}
	defer stopHosts(hosts)
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
