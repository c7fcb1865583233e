package script

import (
	"flag"
	"fmt"
	"os"
)

// FixPropertyTests sets the flags of package rapid so that every run of the property
// tests checks the same random cases. It is called before the tests run, and exits if
// the test binary does not have the flags.
func FixPropertyTests() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
