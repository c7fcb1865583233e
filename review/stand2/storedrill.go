package main

import (
	"syscall"
	"time"

	"skylarkturn/internal/platformstand"
)

const (
	copyAge    = 3 * time.Second        // "a copy some seconds old"
	awayTime   = 100 * time.Millisecond // "away for a moment"
	untilDrill = 1250 * time.Millisecond
	untilStop  = 1500 * time.Millisecond // from the start of the host
)

// storeDrill adds a machine with a host, as a release does. The store then comes back
// from a copy that is older than the host, and the machine's daemon is restarted as
// planned. Clients pause during the restart and then go on with their flows.
func storeDrill(s *site, trouble bool) error {
	if err := s.configure(1, route, service); err != nil {
		return err
	}
	_, _, err := s.startFleet(2, 3, service)
	if err != nil {
		return err
	}
	c, err := newClient(s, 1)
	if err != nil {
		return err
	}
	useAll(openAll(c, "warm", 8, time.Second), "-second")
	time.Sleep(calmTime)

	added := s.add(service)
	if err := added.start(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	began := time.Now()
	if err := added.startHost(); err != nil {
		return err
	}
	opened := make(chan []*clientFlow, 1)
	go func() { opened <- openAll(c, "flow", 24, 1100*time.Millisecond) }()
	time.Sleep(time.Until(began.Add(untilDrill)))
	if trouble {
		s.rec.add("the store is away and comes back from a copy of %v ago", copyAge)
		s.store.SetOutage(platformstand.Unavailable)
		time.Sleep(awayTime)
		s.store.Restore(copyAge)
		s.store.SetOutage(platformstand.Healthy)
	}
	time.Sleep(time.Until(began.Add(untilStop)))
	added.signal(syscall.SIGTERM)
	if err := added.waitExit(6 * time.Second); err != nil {
		return err
	}
	time.Sleep(restartTime)
	if err := added.start(); err != nil {
		return err
	}
	flows := <-opened
	time.Sleep(pauseTime)
	useAll(flows, "-second")
	time.Sleep(time.Second)
	return nil
}
