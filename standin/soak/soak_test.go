// Package soak runs short seeded soaks of the real programs. Longer ones are run by hand with standin soak.
package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/standin/internal/soaker"
)

// programsFolder holds the programs built by "make build", which the Makefile runs first.
const programsFolder = "../../build"

// seeds are those of CI, and every seed that ever failed, with its cause.
var seeds = []uint64{
	// A start for a worker that restarted under its id reached the new life, while the task was placed anew.
	1,
	// The acknowledgement of a worker's old life made the new one forget ends that nobody had seen.
	43,
}

// TestSoak guards the promises to callers while the real programs are killed, stopped, frozen, cut off and robbed of their
// disks, and workers lose orders or restart.
func TestSoak(t *testing.T) {
	programs, err := filepath.Abs(programsFolder)
	require.NoError(t, err)
	if _, err := os.Stat(programs + "/frontd"); err != nil {
		t.Fatal("the programs are missing; run make build")
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			report, err := soaker.New(soaker.Config{
				Programs: programs, Folder: t.TempDir(), Seed: seed, Length: 10 * time.Second, Controls: 3, Fronts: 2, Workers: 5,
			}).Run(t.Context())
			require.NoError(t, err)
			require.Empty(t, report.Violations, "faults:\n%s", strings.Join(report.Faults, "\n"))
			require.Positive(t, report.Completed)
		})
	}
}
