package planner

import (
	"slices"

	"flamingodrift.example/core/wire"
)

// spread counts the active tasks of a job by failure domain, rack and worker, and limits them per domain or rack; a
// limit of zero is none.
type spread struct {
	domains, racks     []int
	workers            map[int]int
	perDomain, perRack int
}

// countSpread returns the spread of a service or of a job whose row asks for one, and nil for other jobs.
func (r *round) countSpread(cand *candidate) *spread {
	spec := cand.job.Spec()
	if cand.kind != wire.JobKind_JOB_KIND_SERVICE && spec.GetSpread() == wire.Spread_SPREAD_NONE {
		return nil
	}
	sp := &spread{domains: make([]int, r.workers.domains), racks: make([]int, r.workers.racks), workers: map[int]int{}}
	switch spec.GetSpread() {
	case wire.Spread_SPREAD_FAILURE_DOMAIN:
		sp.perDomain = ceilDiv(int(spec.GetTasks()),
			r.usableDomains(cand, r.workers.domains, func(view *workerView) int { return view.domain }))
	case wire.Spread_SPREAD_RACK:
		sp.perRack = ceilDiv(int(spec.GetTasks()),
			r.usableDomains(cand, r.workers.racks, func(view *workerView) int { return view.rack }))
	default:
	}
	for _, t := range cand.job.Tasks() {
		if index, ok := r.workers.indexByName[t.Worker()]; ok && t.Active() {
			sp.add(&r.workers.views[index], index, 1)
		}
	}
	return sp
}

// usableDomains counts the racks or failure domains with a usable worker that could run a task if it were empty. Lost
// ones do not count, so that the others can take over their tasks.
func (r *round) usableDomains(cand *candidate, total int, domainOf func(*workerView) int) int {
	seen := make([]bool, total)
	count := 0
	for i := range r.workers.views {
		view := &r.workers.views[i]
		if !seen[domainOf(view)] && cand.need.FitsIn(view.worker.Capacity()) {
			seen[domainOf(view)] = true
			count++
		}
	}
	return max(count, 1)
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

func (sp *spread) add(view *workerView, index, by int) {
	sp.domains[view.domain] += by
	sp.racks[view.rack] += by
	sp.workers[index] += by
}

// allows reports whether one more task on a worker is within the limit of its failure domain or rack.
func (sp *spread) allows(view *workerView) bool {
	return (sp.perDomain == 0 || sp.domains[view.domain] < sp.perDomain) &&
		(sp.perRack == 0 || sp.racks[view.rack] < sp.perRack)
}

// crowdingPenalty returns the cost of a worker by the tasks of the job in its failure domain, in its rack and on it.
func (sp *spread) crowdingPenalty(view *workerView, index int) float64 {
	return 1e4*float64(sp.domains[view.domain]) + 1e3*float64(sp.racks[view.rack]) + 1e2*float64(sp.workers[index])
}

// clone returns a deep copy.
func (sp *spread) clone() *spread {
	if sp == nil {
		return nil
	}
	c := *sp
	c.domains, c.racks = slices.Clone(sp.domains), slices.Clone(sp.racks)
	c.workers = map[int]int{}
	for k, v := range sp.workers {
		c.workers[k] = v
	}
	return &c
}
