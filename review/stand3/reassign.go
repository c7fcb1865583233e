package main

import (
	"syscall"
	"time"
)

const (
	drainTime    = 8 * time.Second        // of a host: drain-ms and some seconds
	restartDelay = 500 * time.Millisecond // between the end and the start of a daemon
)

// playReassign plays the planned move of a VM from one service to another, whose host
// drains first, while the agents are stopped and started in turn.
func playReassign(s *site, trouble bool) error {
	vms, hosts, err := s.startServices()
	if err != nil {
		return err
	}
	defer stopHosts(hosts)
	time.Sleep(6 * time.Second)
	if trouble {
		vms[0].service = "kitdocs"
		if err := vms[0].writeSettings(); err != nil {
			return err
		}
		vms[0].signal(syscall.SIGHUP)
		s.rec.printf("the platform has written the settings of %s with service=kitdocs", vms[0].name)
		hosts[0].drain()
	}
	time.Sleep(2 * time.Second)
	for _, v := range vms[:2] {
		if err := v.restart(); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	time.Sleep(drainTime - 2*time.Second)
	if trouble {
		hosts[0].leave()
		time.Sleep(reuseAfter)
		if hosts[0], err = s.startHost(vms[0], "kitdocs", "i-kitdocs-7"); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

// restart stops the daemon and starts it again.
func (v *vm) restart() error {
	v.signal(syscall.SIGTERM)
	<-v.exited
	time.Sleep(restartDelay)
	return v.start()
}
