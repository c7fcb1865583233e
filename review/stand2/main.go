// Command stand2 plays the scripted cases of the second independent review: it starts
// the daemons with the commands of the deploy file, on loopback, with stand-ins of the
// store, the routers, hosts and clients around them.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitFailed = 2 // the case could not run
)

// scenario plays a case. trouble is false for the same without the disruption.
type scenario struct {
	rule string
	play func(s *site, trouble bool) error
}

var scenarios = map[string]scenario{
	"late-owner":      {"FLOW", lateOwner},
	"unsaved-host":    {"FLOW", unsavedHost},
	"store-drill":     {"FLOW", storeDrill},
	"late-heartbeat":  {"FLOW", lateHeartbeat},
	"stray-heartbeat": {"DRAIN", strayHeartbeat},
}

// maxRun ends a case that hangs.
const maxRun = 110 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 SCENARIO FOLDER; run in the root of the repository")
		return exitFailed
	}
	sc, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "no scenario %q\n", os.Args[1])
		return exitFailed
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.Close()
	rec := newRecorder(record)
	if err := playIn(sc, rec); err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	n := rec.broken(sc.rule)
	rec.add("%s broken %d times", sc.rule, n)
	fmt.Printf("%s broken %d times\n", sc.rule, n)
	if n > 0 {
		return exitBroken
	}
	return exitHeld
}

func playIn(sc scenario, rec *recorder) (err error) {
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, dir)
	}
	s, err := newSite(dir, rec)
	if err != nil {
		return err
	}
	defer s.close()
	done := make(chan error, 1)
	go func() { done <- sc.play(s, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-done:
		return err
	case <-time.After(maxRun):
		return errors.New("the case takes too long")
	}
}

var route = endpoint{[4]byte{127, 255, 0, 1}, 443}

const service = "orders"

// openAll opens n flows and sends a request on each, all within about the given time.
// It returns those that are open and answered.
func openAll(c *client, prefix string, n int, within time.Duration) (flows []*clientFlow) {
	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)
	for i := range n {
		wg.Go(func() {
			time.Sleep(within * time.Duration(i) / time.Duration(n))
			f := c.openFlow(fmt.Sprintf("%s-%d", prefix, i), route)
			if f == nil || !f.request(fmt.Sprintf("%s-%d-first", prefix, i)) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			flows = append(flows, f)
		})
	}
	wg.Wait()
	return flows
}

// useAll sends another request on each flow.
func useAll(flows []*clientFlow, suffix string) {
	var wg sync.WaitGroup
	for _, f := range flows {
		wg.Go(func() { f.request(f.name + suffix) })
	}
	wg.Wait()
}
