// Package shareranker ranks workspaces by how far their use of the capacity exceeds their weighted share of it.
package shareranker

import (
	"math"

	"flamingodrift.example/controld/internal/resource"
)

const (
	// tolerance is how many times its fair share a workspace may use, and grace how much of the capacity beyond its fair
	// share, before it ranks behind others. Without them, workspaces with equal loads would change places with each job
	// that starts, and the order by deadline would be lost.
	tolerance = 1.1
	grace     = 0.02
)

// Ranker holds the use of the workspaces at one time.
type Ranker struct {
	total   resource.Vector
	weights map[string]float64
	sum     float64
	used    map[string]resource.Vector
	ranks   map[string]int
}

// New returns a Ranker for the total capacity and the weights of the workspaces.
func New(total resource.Vector, weights map[string]float64) *Ranker {
	r := &Ranker{total: total, weights: weights, used: map[string]resource.Vector{}, ranks: map[string]int{}}
	for _, weight := range weights {
		r.sum += weight
	}
	return r
}

// Add adds resources that a workspace uses. All uses must be added before the first call of Rank.
func (r *Ranker) Add(workspace string, resources resource.Vector) {
	r.used[workspace] = r.used[workspace].Add(resources)
}

// Rank returns 0 for a workspace that uses no more than about its fair share of the capacity, and one more for each
// doubling of its use beyond that. Work without a workspace has the mean weight.
func (r *Ranker) Rank(workspace string) int {
	if rank, ok := r.ranks[workspace]; ok {
		return rank
	}
	rank := r.rank(workspace)
	r.ranks[workspace] = rank
	return rank
}

func (r *Ranker) rank(workspace string) int {
	if r.sum <= 0 {
		return 0
	}
	fair := 1 / float64(len(r.weights))
	if weight, ok := r.weights[workspace]; ok {
		fair = weight / r.sum
	}
	allowed := max(tolerance*fair, fair+grace)
	use := r.used[workspace].Share(r.total)
	if use <= allowed {
		return 0
	}
	return 1 + int(math.Log2(use/allowed))
}
