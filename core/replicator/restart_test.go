package replicator

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// After a power loss all nodes restart within a third of a second, and none may vote within ElectionMin of its start.
// Guards against a candidate that requests votes too early, is ignored, and then waits for another full election
// timeout.
func TestElectionAfterAllRestarted(t *testing.T) {
	const spread = 300 * time.Millisecond
	for seed := range uint64(60) {
		n := newNetwork(t, 300+seed, 5)
		n.awaitLeaseHolder()
		for _, node := range n.nodes {
			n.stop(node)
		}
		n.run(time.Second)
		var started, deadlines []time.Duration
		newest := uint64(0)
		for _, node := range n.nodes {
			newest = max(newest, lastStoredIndex(node))
		}
		for _, node := range n.nodes {
			n.start(node)
			started = append(started, n.now)
			if lastStoredIndex(node) == newest {
				// Only a node with the complete log can be elected.
				deadlines = append(deadlines, n.now+node.repl.electionDeadline-n.clock(node))
			}
			n.run(spread / 5)
		}
		majorityMayVote := started[len(started)/2] + simElectionMin
		for n.leaseHolder() == nil && n.now < majorityMayVote+time.Minute {
			n.run(simTick)
		}
		soonest := max(majorityMayVote, slices.Min(deadlines))
		require.LessOrEqual(t, n.now, soonest+2*simHeartbeat, "seed %d", seed)
	}
}

func lastStoredIndex(node *simNode) uint64 {
	return node.disk.base() + uint64(len(node.disk.entries))
}
