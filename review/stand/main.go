// Command stand plays the cases of the review. It starts the programs of the project as
// separate processes on loopback addresses, and beside them stand-ins of the platform:
// its store, its routers, hosts and clients.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the cases by name. A case returns what broke its rule, or nothing.
var cases = map[string]func(*world) ([]string, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*world) ([]string, error), dir string) int {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	w, err := newWorld("", record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	time.AfterFunc(maxDuration, func() {
		w.logf("the case took longer than %v", maxDuration)
		w.close()
		os.Exit(2)
	})
	broken, err := play(w)
	switch {
	case err != nil:
		w.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case len(broken) > 0:
		for _, b := range broken {
			w.logf("BROKEN %s", b)
			fmt.Println("broken:", b)
		}
		return 1
	}
	w.logf("the rule held")
	fmt.Println("held")
	return 0
}

// maxDuration is the longest time that a case may take.
const maxDuration = 110 * time.Second
