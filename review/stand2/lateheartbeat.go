package main

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"
)

const (
	shortLife    = 1200 * time.Millisecond // of the host that crashes; it has sent two heartbeats
	crashTime    = 3 * time.Second         // from its crash to the start of the next host
	quickRestart = 400 * time.Millisecond  // from the stop of the daemon to its next start
)

// lateHeartbeat lets a host crash soon after its start, with a heartbeat that a partition
// holds up, and starts another host at the same address, which serves from then on. Later
// that machine's daemon is restarted as planned, and the heartbeat arrives. Clients pause
// during the restart and then go on with their flows.
func lateHeartbeat(s *site, trouble bool) error {
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

	v := side[0]
	v.host.end()
	time.Sleep(crashTime)
	if err := v.startHost(); err != nil {
		return err
	}
	ended := v.host
	time.Sleep(shortLife)
	s.rec.add("host %s crashes; a partition holds up its heartbeat 3", ended.id)
	ended.end()
	time.Sleep(crashTime)
	if err := v.startHost(); err != nil {
		return err
	}
	time.Sleep(2 * calmTime) // the new host is no longer young
	flows := openAll(c, "flow", 32, 1500*time.Millisecond)

	if err := v.host.awaitBeat(); err != nil {
		return err
	}
	v.signal(syscall.SIGTERM)
	if err := v.waitExit(6 * time.Second); err != nil {
		return err
	}
	time.Sleep(quickRestart)
	if err := v.start(); err != nil {
		return err
	}
	if trouble {
		if err := v.awaitControl(); err != nil {
			return err
		}
		ok := ended.beat(&http.Client{Timeout: heartbeatTimeout}, 3)
		s.rec.add("the late heartbeat 3 of host %s arrives at %s, acknowledged: %v", ended.id, v.name, ok)
	}
	time.Sleep(pauseTime)
	useAll(flows, "-second")
	time.Sleep(time.Second)
	return nil
}

// awaitBeat waits for the daemon's acknowledgement of the host's next heartbeat.
func (h *host) awaitBeat() error {
	before := h.acknowledged()
	for end := time.Now().Add(3 * heartbeatInterval); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if h.acknowledged() > before {
			return nil
		}
	}
	return errors.New("no heartbeat is acknowledged")
}

// awaitControl waits until the daemon accepts connections for heartbeats.
func (v *vm) awaitControl() error {
	at := netip.AddrPortFrom(v.addr, v.site.ports.control).String()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		conn, err := net.Dial("tcp4", at)
		if err == nil {
			_ = conn.Close()
			return nil
		}
	}
	return errors.New("the daemon does not listen for heartbeats")
}
