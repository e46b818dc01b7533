package planner

import (
	"slices"

	"flamingodrift.example/core/wire"
)

// spread counts the active tasks of a job by failure domain, rack and worker.
type spread struct {
	domains, racks     []int
	workers            map[int]int
	perDomain, perRack int
}

// countSpread returns the counts of a service or of a job whose row asks for spread; nil for all others.
func (r *round) countSpread(x *candidate) *spread {
	spec := x.j.Spec()
	if x.kind != wire.JobKind_JOB_KIND_SERVICE && spec.GetSpread() == wire.Spread_SPREAD_NONE {
		return nil
	}
	sp := &spread{domains: make([]int, r.w.domains), racks: make([]int, r.w.racks), workers: map[int]int{}}
	switch spec.GetSpread() {
	case wire.Spread_SPREAD_FAILURE_DOMAIN:
		sp.perDomain = ceilDiv(int(spec.GetTasks()), r.usableParts(x, r.w.domains, func(s *slot) int { return s.domain }))
	case wire.Spread_SPREAD_RACK:
		sp.perRack = ceilDiv(int(spec.GetTasks()), r.usableParts(x, r.w.racks, func(s *slot) int { return s.rack }))
	default:
	}
	for _, t := range x.j.Tasks() {
		if at, ok := r.w.byName[t.Worker()]; ok && t.Active() {
			sp.add(&r.w.slots[at], at, 1)
		}
	}
	return sp
}

// usableParts counts the racks or failure domains with a worker that could hold a task when empty. A lost part must not
// keep the others from taking its share.
func (r *round) usableParts(x *candidate, parts int, of func(*slot) int) int {
	seen := make([]bool, parts)
	count := 0
	for i := range r.w.slots {
		s := &r.w.slots[i]
		if !seen[of(s)] && x.need.FitsIn(s.w.Capacity()) {
			seen[of(s)] = true
			count++
		}
	}
	return max(count, 1)
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

func (sp *spread) add(s *slot, at, by int) {
	sp.domains[s.domain] += by
	sp.racks[s.rack] += by
	sp.workers[at] += by
}

// allows reports whether one more task keeps to an even share of each failure domain or rack.
func (sp *spread) allows(s *slot) bool {
	return (sp.perDomain == 0 || sp.domains[s.domain] < sp.perDomain) && (sp.perRack == 0 || sp.racks[s.rack] < sp.perRack)
}

// crowding makes a slot worse with each task of the job in its failure domain, then its rack, then on the worker.
func (sp *spread) crowding(s *slot, at int) float64 {
	return 1e4*float64(sp.domains[s.domain]) + 1e3*float64(sp.racks[s.rack]) + 1e2*float64(sp.workers[at])
}

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
