package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	freezeTime = 2 * time.Second         // node_freeze on the small sites: up to 3.5 s
	awakeTime  = 2200 * time.Millisecond // between two freezes of one machine
	calmTime   = 5 * time.Second         // longer than stable-window-ms
	rounds     = 3
)

// lateOwner freezes one machine with a host twice in a row. Clients open flows at the
// start of the first freeze, which therefore open at hosts of other machines, and pause.
// Nothing happens to those machines and to the balancers.
func lateOwner(s *site, trouble bool) error {
	if err := s.configure(1, route, service); err != nil {
		return err
	}
	_, side, err := s.startFleet(2, 4, service)
	if err != nil {
		return err
	}
	c, err := newClient(s, 1)
	if err != nil {
		return err
	}
	useAll(openAll(c, "warm", 8, time.Second), "-second")
	time.Sleep(calmTime)
	for n := range rounds {
		frozen := side[n%len(side)]
		s.rec.add("round %d, %s freezes: %v", n, frozen.name, trouble)
		freeze := func() { time.Sleep(freezeTime) }
		if trouble {
			freeze = func() {
				frozen.signal(syscall.SIGSTOP)
				time.Sleep(freezeTime)
				frozen.signal(syscall.SIGCONT)
			}
		}
		opened := make(chan []*clientFlow, 1)
		go func() {
			time.Sleep(20 * time.Millisecond)
			opened <- openAll(c, fmt.Sprintf("round%d", n), 16, 500*time.Millisecond)
		}()
		freeze()
		flows := <-opened
		time.Sleep(awakeTime)
		freeze()
		useAll(flows, "-second")
		time.Sleep(calmTime)
	}
	return nil
}
