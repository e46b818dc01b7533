package allocator

import (
	"cmp"
	"slices"

	"flamingodrift.example/controld/internal/resource"
)

// offer is how many members of a gang a worker could hold.
type offer struct {
	candidate Candidate
	// now fits at once, soon after runs that are being stopped have ended, later after preemption, and ever on an empty
	// worker.
	now, soon, later, ever int
}

// placeGang places all waiting tasks of a gang or none. A gang that does not fit keeps workers from less urgent work, and
// stops what keeps its work when stopped.
func (r *round) placeGang(index int) {
	d := &r.demands[index]
	offers := r.offers(d)
	if d.OneRack {
		offers = r.bestRack(offers, len(d.Tasks))
	}
	allowed, now, soon, later := 0, 0, 0, 0
	for _, o := range offers {
		if o.candidate.Allowed {
			allowed += o.now
		}
		now, soon, later = now+o.now, soon+o.soon, later+o.later
	}
	count := len(d.Tasks)
	switch {
	case allowed >= count:
		r.fillGang(index, offers)
		return
	case now >= count:
		r.plan.NeedConsent = append(r.plan.NeedConsent, index)
		r.reserve(d, offers, count, func(o offer) int { return o.now })
	case d.Lateness == Overdue || r.reserving >= r.cfg.ReservingGangs:
	case soon >= count:
		r.reserving++
		// The consent is renewed while the room becomes free.
		r.plan.NeedConsent = append(r.plan.NeedConsent, index)
		r.reserve(d, offers, count, func(o offer) int { return o.soon })
	case later >= count && d.Lateness == InTime:
		r.reserving++
		r.plan.NeedConsent = append(r.plan.NeedConsent, index)
		r.preempt(d, offers, count)
		r.reserve(d, offers, count, func(o offer) int { return o.later })
	default:
		r.reserving++
		// Other runs have to end first; without the reservation small tasks would take their room one by one.
		r.reserve(d, offers, count, func(o offer) int { return o.ever })
	}
	r.plan.Blocked = append(r.plan.Blocked, index)
}

func (r *round) offers(d *Demand) []offer {
	var offers []offer
	for _, c := range d.Candidates {
		w := &r.workers[c.Worker]
		if w.Unproven || slices.ContainsFunc(d.Tasks, func(t Task) bool { return slices.Contains(t.Avoid, c.Worker) }) {
			continue
		}
		if d.Priority > r.reserved[c.Worker] || r.reserved[c.Worker] == d.Priority {
			// Another gang of the same priority waits for this worker.
			continue
		}
		limit := int64(len(d.Tasks))
		if d.MostPerWorker > 0 {
			limit = int64(max(0, d.MostPerWorker-c.Holding))
		}
		free := r.usable(d, c.Worker)
		soon := free.Add(w.Stopping)
		o := offer{candidate: c, now: int(min(limit, d.Need.Count(free))), soon: int(min(limit, d.Need.Count(soon)))}
		o.later = o.soon
		if !r.preempted[c.Worker] {
			o.later = int(min(limit, d.Need.Count(soon.Add(reclaimable(d, w)))))
		}
		if o.ever = int(min(limit, d.Need.Count(w.Room))); o.ever > 0 {
			offers = append(offers, o)
		}
	}
	slices.SortStableFunc(offers, func(a, b offer) int {
		return cmp.Or(cmp.Compare(b.now, a.now), cmp.Compare(b.soon, a.soon), cmp.Compare(b.later, a.later),
			cmp.Compare(r.free[b.candidate.Worker].CPU(), r.free[a.candidate.Worker].CPU()),
			cmp.Compare(r.workers[b.candidate.Worker].Speed, r.workers[a.candidate.Worker].Speed))
	})
	return offers
}

func reclaimable(d *Demand, w *Worker) resource.Vector {
	var sum resource.Vector
	for _, run := range w.Reclaimable {
		if run.Priority > d.Priority {
			sum = sum.Add(run.Need)
		}
	}
	return sum
}

// bestRack keeps the offers of the rack that can hold the gang soonest; without such a rack it keeps all.
func (r *round) bestRack(offers []offer, count int) []offer {
	racks := map[string][]offer{}
	var names []string
	for _, o := range offers {
		rack := r.workers[o.candidate.Worker].Rack
		if racks[rack] == nil {
			names = append(names, rack)
		}
		racks[rack] = append(racks[rack], o)
	}
	for _, depth := range []func(offer) int{
		func(o offer) int { return o.now }, func(o offer) int { return o.soon }, func(o offer) int { return o.later },
	} {
		for _, name := range names {
			sum := 0
			for _, o := range racks[name] {
				sum += depth(o)
			}
			if sum >= count {
				return racks[name]
			}
		}
	}
	return offers
}

func (r *round) fillGang(index int, offers []offer) {
	d := &r.demands[index]
	// Members end together, so a slow worker slows all of them.
	slices.SortStableFunc(offers, func(a, b offer) int {
		return cmp.Or(cmp.Compare(r.workers[b.candidate.Worker].Speed, r.workers[a.candidate.Worker].Speed), cmp.Compare(b.now, a.now))
	})
	next := 0
	for _, o := range offers {
		if !o.candidate.Allowed {
			continue
		}
		for range o.now {
			if next == len(d.Tasks) {
				return
			}
			r.place(index, d.Tasks[next].Index, o.candidate.Worker)
			next++
		}
	}
}

// reserve keeps the workers that will hold the gang from work of the same or a lower priority.
func (r *round) reserve(d *Demand, offers []offer, count int, depth func(offer) int) {
	for _, o := range offers {
		if count <= 0 {
			return
		}
		r.reserved[o.candidate.Worker] = min(r.reserved[o.candidate.Worker], d.Priority)
		count -= depth(o)
	}
}

// preempt stops as few runs as make room for the members that do not fit.
func (r *round) preempt(d *Demand, offers []offer, count int) {
	for _, o := range offers {
		if count <= 0 {
			return
		}
		w := &r.workers[o.candidate.Worker]
		wanted := min(o.later, count)
		count -= wanted
		missing := d.Need.Times(int64(wanted)).Sub(r.free[o.candidate.Worker].Add(w.Stopping))
		r.stopRuns(d, o.candidate.Worker, missing)
	}
}

func (r *round) stopRuns(d *Demand, worker int, missing resource.Vector) {
	w := &r.workers[worker]
	for _, run := range w.Reclaimable {
		if missing.FitsIn(resource.Vector{}) {
			return
		}
		if run.Priority <= d.Priority {
			continue
		}
		missing = missing.Sub(run.Need)
		r.preempted[worker] = true
		r.plan.Preempt = append(r.plan.Preempt, run.Run)
	}
}
