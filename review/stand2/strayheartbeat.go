package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	strayInterval = 300 * time.Millisecond
	drainTime     = 14 * time.Second // "at times many seconds" longer than drain-ms
	openInterval  = 50 * time.Millisecond
)

// strayHeartbeat drains a host and restarts its machine's daemon as planned, after the
// daemon has acknowledged the drain. Meanwhile heartbeats of another writer, which lack
// the field born, arrive at that daemon. Clients open flows all the time.
func strayHeartbeat(s *site, trouble bool) error {
	if err := s.configure(1, route, service); err != nil {
		return err
	}
	_, side, err := s.startFleet(2, 3, service)
	if err != nil {
		return err
	}
	c, err := newClient(s, 1)
	if err != nil {
		return err
	}
	useAll(openAll(c, "warm", 8, time.Second), "-second")

	v := side[0]
	stop := make(chan struct{})
	var writer sync.WaitGroup
	if trouble {
		writer.Go(func() { v.writeStrays(stop) })
	}
	time.Sleep(calmTime)
	s.rec.add("host %s on %s drains", v.host.id, v.name)
	v.host.drain()
	for v.host.sinceDrainAck() == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	s.rec.add("the drain of host %s is acknowledged", v.host.id)
	v.signal(syscall.SIGTERM)
	if err := v.waitExit(6 * time.Second); err != nil {
		return err
	}
	time.Sleep(quickRestart)
	if err := v.start(); err != nil {
		return err
	}
	var clients sync.WaitGroup
	for n := 0; v.host.sinceDrainAck() < drainTime; n++ {
		clients.Go(func() {
			if f := c.openFlow(fmt.Sprintf("flow-%d", n), route); f != nil {
				f.request(fmt.Sprintf("flow-%d-first", n))
			}
		})
		time.Sleep(openInterval)
	}
	clients.Wait()
	close(stop)
	writer.Wait()
	return nil
}

// writeStrays sends heartbeats of another writer to the machine's daemon until stop is
// closed. They name the machine's address and service, but lack the field born.
func (v *vm) writeStrays(stop <-chan struct{}) {
	client := &http.Client{Timeout: heartbeatTimeout}
	url := "http://" + netip.AddrPortFrom(v.addr, v.site.ports.control).String() + "/-/instances/x-other"
	for seq := 1; ; seq++ {
		body, _ := json.Marshal(map[string]any{
			"service": v.service, "address": netip.AddrPortFrom(v.addr, v.site.ports.app).String(), "zone": zoneName, "version": "v0",
			"max-concurrency": 3, "state": stateReady, "warmup-left-ms": 0, "seq": seq,
		})
		req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
		if err != nil {
			return
		}
		req.Header.Set("Content-Type", "application/json")
		status := "no answer"
		if resp, err := client.Do(req); err == nil {
			status = resp.Status
			_ = resp.Body.Close()
		}
		v.site.rec.add("heartbeat %d of another writer at %s: %s", seq, v.name, status)
		select {
		case <-stop:
			return
		case <-time.After(strayInterval):
		}
	}
}
