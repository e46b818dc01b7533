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

// Guards against a routing rule other than the baseline that sends more requests to a target than it has slots, leaks
// slots or retries beyond the budget. Requests that are lost below full load are not asserted; they show in the column
// "served" of the table of docs/routing-measurements.md, which it prints with -v.
func TestReplayOfRoutingRules(t *testing.T) {
	if testing.Verbose() {
		fmt.Println("| load | arrivals | targets in trouble | rule | p50 wait ms | p99 wait ms | served | peak on a target | retries per request | messages per request |")
	}
	for _, load := range []float64{0.6, 0.9, 1.1} {
		for _, skewed := range []bool{false, true} {
			for _, injected := range []fault{noFault, failing, slow} {
				for _, rule := range []rule{roundRobin, fixedSplit, lentSlots, oneOwner} {
					s := newSimulation(scenario{rule, load, skewed, injected}, *replaySeed)
					s.run(time.Duration(*replaySeconds) * time.Second)
					if testing.Verbose() {
						fmt.Println(s.row())
					}
					if rule == roundRobin {
						continue
					}
					require.LessOrEqual(t, s.peak(), slotsPerTarget, s.row())
					require.LessOrEqual(t, s.retried, s.arrived/10+entryCount*10, s.row())
					for _, e := range s.entries {
						require.Zero(t, e.dispatcher.Busy(), "slots leaked: %s", s.row())
					}
				}
			}
		}
	}
}
