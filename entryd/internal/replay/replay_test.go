package replay

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	replaySeconds = flag.Int("replay.seconds", 1, "simulated seconds of arrivals for each row of the routing replay")
	replaySeed    = flag.Uint64("replay.seed", 1, "seed of the routing replay")
)

// Guards against a routing rule that puts more requests on a target than it has slots, loses requests below full load, or
// retries beyond the budget. With -v it prints the table of docs/routing-measurements.md.
func TestReplayOfRoutingRules(t *testing.T) {
	if testing.Verbose() {
		fmt.Println("| load | arrivals | targets in trouble | rule | p50 wait ms | p99 wait ms | served | peak on a target | retries per request | messages per request |")
	}
	for _, load := range []float64{0.6, 0.9, 1.1} {
		for _, skewed := range []bool{false, true} {
			for _, in := range []trouble{none, failing, slow} {
				for _, rule := range []rule{roundRobin, fixedSplit, lentSlots, oneOwner} {
					r := newReplay(replayCase{rule, load, skewed, in}, *replaySeed)
					r.run(time.Duration(*replaySeconds) * time.Second)
					if testing.Verbose() {
						fmt.Println(r.row())
					}
					if rule == roundRobin {
						continue
					}
					require.LessOrEqual(t, r.peak(), replaySlots, r.row())
					require.LessOrEqual(t, r.retried, r.arrived/10+replayEntries*10, r.row())
					for _, e := range r.entries {
						require.Zero(t, e.d.Busy(), "slots leaked: %s", r.row())
					}
				}
			}
		}
	}
}
