// Package router chooses the target or peer for a request. It is stateless and decides only from its arguments.
package router

// Candidate is a target that this entry process owns.
type Candidate struct {
	// Used and Limit are numbers of slots.
	Used, Limit int
	// Weight is the share of requests that the target's health allows, from 0 to 1.
	Weight float64
	// Probe is true if the target gets the next request regardless of its weight.
	Probe bool
}

// Peer is another entry process.
type Peer struct {
	Address string
	// Free is the number of free slots that the peer reported, less the slots this process has requested since.
	Free int
}

// Choose returns the index of the first candidate that has a free slot and is due for a probe, else of the least loaded
// candidate with a free slot, or -1 if there is none. A low weight raises a candidate's load. If all weights are zero,
// all candidates count equally: a request that fails at once tells its caller more than one that waits for a probe.
func Choose(candidates []Candidate) int {
	allZero := true
	for _, c := range candidates {
		allZero = allZero && c.Weight <= 0
	}
	best, bestLoad := -1, 0.0
	for i, c := range candidates {
		if allZero {
			c.Weight = 1
		}
		switch {
		case c.Used >= c.Limit:
			continue
		case c.Probe:
			return i
		case c.Weight <= 0:
			continue
		}
		load := (float64(c.Used) + 1) / (float64(c.Limit) * c.Weight)
		if best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

// ChoosePeer returns the index of the peer with the most free slots, or -1 if no peer has any.
func ChoosePeer(peers []Peer) int {
	best := -1
	for i, p := range peers {
		if p.Free > 0 && (best < 0 || p.Free > peers[best].Free) {
			best = i
		}
	}
	return best
}
