package dispatcher_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless one is given, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
