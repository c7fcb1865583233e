package main

import "time"

// playTwoRolls plays two planned rounds of restarts of the agents, the second one step
// behind the first, on VMs whose settings leave the unexplained key service empty.
func playTwoRolls(s *site, trouble bool) error {
	s.noService = true
	s.judgeResets()
	vms, hosts, err := s.startServices()
	if err != nil {
		return err
	}
	defer stopHosts(hosts)
	time.Sleep(8 * time.Second)
	for _, v := range vms {
		began := time.Now()
		if err := v.restart(); err != nil {
			return err
		}
		if trouble {
			time.Sleep(rollGap - time.Since(began))
			if err := v.restart(); err != nil {
				return err
			}
		}
		time.Sleep(rollGap)
	}
	time.Sleep(4 * time.Second)
	return nil
}

// rollGap is the time from one SIGTERM of a round of restarts to the next one.
const rollGap = 1200 * time.Millisecond
