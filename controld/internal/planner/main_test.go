package planner_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that all runs give the same result. The flag -rapid.seed sets
// another seed, and -rapid.checks the number of checks.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
