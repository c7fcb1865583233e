package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	recoverAfter  = 12 * time.Second // the bound recover-s
	downTime      = 1100 * time.Millisecond
	oddEntryBytes = 1_000_000 // the store takes objects of up to 1,048,576 bytes
)

// playRecover plays a final fault, all processes of the system killed, while a large entry
// of another writer is beside the configuration in the store.
func playRecover(s *site, trouble bool) error {
	_, hosts, err := s.startServices()
	if err != nil {
		return err
	}
	defer stopHosts(hosts)
	time.Sleep(3 * time.Second)
	if trouble {
		if err := s.store.write("config", "draft", strings.Repeat("x", oddEntryBytes)); err != nil {
			return err
		}
		s.rec.printf("another writer leaves the entry config/draft, a string of %d bytes", oddEntryBytes)
	}
	time.Sleep(6 * time.Second)
	served, all := s.served(s.rec.start, time.Now())
	s.rec.printf("before the final fault %d of %d requests were served", served, all)
	for _, v := range s.vms {
		v.signal(syscall.SIGKILL)
	}
	time.Sleep(downTime)
	for _, v := range s.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	time.Sleep(recoverAfter)
	from := time.Now()
	time.Sleep(10 * time.Second)
	to := time.Now()
	time.Sleep(2 * time.Second) // for the answers
	before := float64(served) / float64(max(all, 1))
	if served, all = s.served(from, to); all == 0 {
		return fmt.Errorf("no request was sent after the fault")
	}
	after := float64(served) / float64(all)
	s.rec.printf("of %d requests sent later than %v after the machines were back %d were served", all, recoverAfter, served)
	if before >= 0.25 && after < 0.25 {
		s.fail("RECOVER", "%.2f of the requests were served, %.2f before the final fault", after, before)
	}
	return nil
}
