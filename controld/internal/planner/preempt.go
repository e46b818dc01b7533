package planner

import (
	"slices"
	"time"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// victimFilter reports whether a task may be stopped for a candidate. It is called only for preemptible tasks.
type victimFilter func(r *round, cand *candidate, t *job.Task) bool

// hasLowerUrgency is a victimFilter: it allows tasks of lower urgency than the candidate.
func hasLowerUrgency(_ *round, cand *candidate, t *job.Task) bool { return urgencyOf(t) > cand.level/2 }

// urgencyOf returns 0 for urgent, 1 for normal and 2 for low urgency.
func urgencyOf(t *job.Task) int { return cell.LevelOf(t.Job().Spec()) / 2 }

// preemptible reports whether a task may be preempted at all. Services, tasks of all-at-once jobs, runs that must not
// start twice, urgent tasks, and tasks that were preempted maxPreemptions times may not.
func preemptible(t *job.Task) bool {
	spec := t.Job().Spec()
	return spec.GetKind() == wire.JobKind_JOB_KIND_BATCH && !spec.GetNeverRestart() &&
		t.Preemptions() < maxPreemptions && spec.GetUrgency() != wire.Urgency_URGENCY_URGENT
}

// collectVictims sets releasing and potentialVictims of each worker, once per round.
func (r *round) collectVictims() {
	if r.workers.victimsCollected {
		return
	}
	r.workers.victimsCollected = true
	seenAt := r.planner.stopSeenAt
	r.planner.stopSeenAt = map[uint64]time.Duration{}
	for i := range r.workers.views {
		view := &r.workers.views[i]
		// Low urgency comes first, and among equals the latest attempt, because stopping it loses the least work.
		var normal []*job.Task
		tasks := r.cell.TasksOn(view.worker.Name())
		for n := len(tasks) - 1; n >= 0; n-- {
			t := tasks[n]
			switch {
			case t.Stopping() || r.stopping[t.ID()]:
				since, known := seenAt[t.Attempt()]
				if !known {
					since = r.now
				}
				r.planner.stopSeenAt[t.Attempt()] = since
				// Past stopTimeout the stop may hang, so urgent tasks do not wait for it.
				if r.now-since <= stopTimeout {
					view.releasing = view.releasing.Add(t.Placed())
				}
			case !preemptible(t):
			case urgencyOf(t) == 2:
				view.potentialVictims = append(view.potentialVictims, t)
			default:
				normal = append(normal, t)
			}
		}
		view.potentialVictims = append(view.potentialVictims, normal...)
	}
}

// preemption is a worker for one task of a candidate, with the tasks that have to stop for it.
type preemption struct {
	index   int
	victims []*job.Task
}

// preempt stops tasks that the filter allows, so that count tasks of the candidate fit, and reserves the capacity for
// them. For an all-at-once job it makes all tasks fit or stops none. It returns false if no task can be made to fit.
func (r *round) preempt(cand *candidate, count int, allowed victimFilter) bool {
	r.collectVictims()
	if cand.spread == nil {
		cand.spread = r.countSpread(cand)
	}
	before := cand.spread.clone()
	var preemptions []preemption
	for range count {
		planned, ok := r.cheapestPreemption(cand, allowed)
		if !ok {
			break
		}
		r.adjustPreemption(cand, planned, 1)
		preemptions = append(preemptions, planned)
	}
	stops := 0
	for _, planned := range preemptions {
		stops += len(planned.victims)
	}
	complete := cand.kind != wire.JobKind_JOB_KIND_ALL_AT_ONCE || len(preemptions) == count
	if !complete || r.preempted+stops > maxRoundStops && stops > 0 {
		for _, planned := range preemptions {
			r.adjustPreemption(cand, planned, -1)
		}
		cand.spread = before
		return false
	}
	r.preempted += stops
	for _, planned := range preemptions {
		for _, t := range planned.victims {
			r.stop(t, reason.Preempted, true)
		}
	}
	cand.spread = before
	return len(preemptions) > 0
}

// adjustPreemption reserves the capacity of a preemption or, with sign -1, reverts that.
func (r *round) adjustPreemption(cand *candidate, planned preemption, sign int64) {
	view := &r.workers.views[planned.index]
	view.reservedUrgent = view.reservedUrgent.Add(cand.need.Times(sign))
	for _, t := range planned.victims {
		view.releasing = view.releasing.Add(t.Placed().Times(sign))
		if sign > 0 {
			view.potentialVictims = slices.DeleteFunc(slices.Clone(view.potentialVictims),
				func(v *job.Task) bool { return v == t })
		} else {
			view.potentialVictims = append(view.potentialVictims, t)
		}
	}
	if cand.spread != nil {
		cand.spread.add(view, planned.index, int(sign))
	}
}

// cheapestPreemption returns the worker on which one task of the candidate can run at the lowest cost in stopped tasks.
func (r *round) cheapestPreemption(cand *candidate, allowed victimFilter) (preemption, bool) {
	best, bestCost, found := preemption{}, 0, false
	for i := range r.workers.views {
		view := &r.workers.views[i]
		if view.worker.Probing() || !cand.need.FitsIn(view.worker.Capacity()) ||
			cand.spread != nil && !cand.spread.allows(view) {
			continue
		}
		if victims, cost, ok := r.victimsOn(view, cand, allowed); ok && (!found || cost < bestCost) {
			best, bestCost, found = preemption{index: i, victims: victims}, cost, true
		}
	}
	return best, found
}

// victimsOn returns the tasks that have to stop on a worker for one task of the candidate, and their cost. A
// worker with capacity reserved for an all-at-once job costs as much as one more low-urgency task.
func (r *round) victimsOn(
	view *workerView, cand *candidate, allowed victimFilter,
) (victims []*job.Task, cost int, ok bool) {
	available := view.free.Add(view.releasing).Sub(view.reservedUrgent)
	if !cand.urgent() {
		available = available.Sub(view.reservedGang)
	}
	if view.reservedGang != (resource.Vector{}) {
		cost++
	}
	for _, t := range view.potentialVictims {
		if cand.need.FitsIn(available) {
			break
		}
		if !allowed(r, cand, t) || !relievesShortage(cand.need, available, t.Placed()) {
			continue
		}
		victims = append(victims, t)
		available = available.Add(t.Placed())
		// A task of normal urgency costs more than all low-urgency tasks of a worker together.
		cost++
		if urgencyOf(t) < 2 {
			cost += 1_000
		}
	}
	return victims, cost, cand.need.FitsIn(available)
}

// relievesShortage reports whether stopping a task frees a resource of which too little is available.
func relievesShortage(need, available, placed resource.Vector) bool {
	short := need.Sub(available)
	return short.CPU() > 0 && placed.CPU() > 0 || short.Memory() > 0 && placed.Memory() > 0 ||
		short.Accelerators() > 0 && placed.Accelerators() > 0
}
