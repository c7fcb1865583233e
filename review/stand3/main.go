package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	usageString = "usage: stand3 CASE FOLDER"
)

// cases are the scripted cases by name, each with the rule that it judges.
var cases = map[string]struct {
	rule string
	play func(s *site, trouble bool) error
}{
	"reuse":    {"ROUTE", playReuse},
	"tworolls": {"FLOW", playTwoRolls},
	"stray":    {"FLOW", playStray},
	"reassign": {"ROUTE", playReassign},
	"recover":  {"RECOVER", playRecover},
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, usageString)
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns its exit code.
func play(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	c := cases[name]
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, rule %s, with the disruption: %v", name, c.rule, trouble)
	s, err := newSite(rec)
	if err == nil {
		err = c.play(s, trouble)
	}
	if s != nil {
		s.close()
	}
	if err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	n := s.count(c.rule)
	rec.printf("%s was broken %d times", c.rule, n)
	fmt.Printf("%s was broken %d times\n", c.rule, n)
	if n > 0 {
		return exitBroken
	}
	return exitHeld
}
