// Package router chooses where a request goes. It decides from the values that it is given and keeps no state.
package router

// Candidate is a target that this entry process owns.
type Candidate struct {
	// Used and Limit count slots.
	Used, Limit int
	// Weight is the share of requests that the target's health allows, from 0 to 1.
	Weight float64
	// Probe is set when the target gets the next request whatever its weight.
	Probe bool
}

// Peer is another entry process.
type Peer struct {
	Address string
	// Free counts the slots that the peer reported as free, less those this process has asked for since.
	Free int
}

// Choose returns the index of the candidate that is due for a probe, else of the least used one with a free slot; -1 when
// there is none. A target of low weight counts as fuller than it is. When no target has a weight, all count alike: a
// request that fails at once tells its caller more than one that waits for a probe.
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

// ChoosePeer returns the index of the peer with most free slots; -1 when none has any.
func ChoosePeer(peers []Peer) int {
	best := -1
	for i, p := range peers {
		if p.Free > 0 && (best < 0 || p.Free > peers[best].Free) {
			best = i
		}
	}
	return best
}
