package request

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Random schedules are the same in every run.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
