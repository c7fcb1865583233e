package request

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run checks the
// same random schedules.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
