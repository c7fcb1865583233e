package main

import (
	"syscall"
	"time"

	"skylarkturn/internal/platformstand"
)

const (
	restartTime = 550 * time.Millisecond  // from the stop of a daemon to its next start
	beforeStop  = 1500 * time.Millisecond // from the start of a host to the stop of its daemon
	pauseTime   = 5500 * time.Millisecond // of the clients, below idle-timeout-ms
)

// unsavedHost adds a machine with a host, as a release does, and soon after restarts
// that machine's daemon as planned. The store is away meanwhile. Clients pause during
// the restart and then go on with their flows.
func unsavedHost(s *site, trouble bool) error {
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
	time.Sleep(time.Second) // the daemon reads the store before its host starts
	if trouble {
		s.rec.add("the store answers 503")
		s.store.SetOutage(platformstand.Unavailable)
	}
	if err := added.startHost(); err != nil {
		return err
	}
	opened := make(chan []*clientFlow, 1)
	go func() { opened <- openAll(c, "flow", 24, beforeStop-400*time.Millisecond) }()
	time.Sleep(beforeStop)
	added.signal(syscall.SIGTERM)
	if err := added.waitExit(6 * time.Second); err != nil {
		return err
	}
	if trouble {
		s.rec.add("the store serves again")
		s.store.SetOutage(platformstand.Healthy)
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
