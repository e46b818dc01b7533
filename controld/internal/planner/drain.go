package planner

import (
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// stopOutdated stops tasks of changed rows, so that they start again with the new specification: all tasks of an
// all-at-once job, or one task of a service at a time.
func (r *round) stopOutdated() {
	for _, j := range r.cell.Outdated() {
		if j.Spec().GetKind() == wire.JobKind_JOB_KIND_ALL_AT_ONCE {
			for _, t := range j.Tasks() {
				if t.Outdated() {
					r.stop(t, reason.SpecChanged, false)
				}
			}
			continue
		}
		if t := j.NextOutdated(); t != nil {
			r.stop(t, reason.SpecChanged, false)
		}
	}
}

// stopDrained stops at most maxDrainStops tasks of each draining worker at a time. A run that must not start twice is
// left to end by itself. A service task is stopped only if no task of the service is waiting or stopping and its
// replacement fits on another worker.
func (r *round) stopDrained() {
	moved := map[string]bool{}
	for _, w := range r.cell.Draining() {
		tasks := r.tasksOn(&workerView{worker: w})
		stopping := 0
		for _, t := range tasks {
			if t.Stopping() || r.stopping[t.ID()] {
				stopping++
			}
		}
		for _, t := range tasks {
			if stopping < maxDrainStops && !t.Stopping() && r.mayStopForDrain(t, moved) {
				r.stop(t, reason.WorkerDraining, t.Job().Spec().GetKind() != wire.JobKind_JOB_KIND_SERVICE)
				stopping++
			}
		}
	}
}

// mayStopForDrain reports whether a task on a draining worker may be stopped now. For a service task it also allocates
// the resources of the replacement, and records the service in moved, which limits it to one stop per round.
func (r *round) mayStopForDrain(t *job.Task, moved map[string]bool) bool {
	j := t.Job()
	switch {
	case r.stopping[t.ID()] || j.Spec().GetNeverRestart():
		return false
	case j.Spec().GetKind() != wire.JobKind_JOB_KIND_SERVICE:
		return true
	case moved[j.ID()] || j.Waiting() > 0 || r.anyStopping(j):
		return false
	}
	cand := &candidate{
		job: j, team: r.team(j.Spec().GetTeam()), need: r.planner.memory.need(j), kind: j.Spec().GetKind(), level: 0,
	}
	index, waitReason, _ := r.findWorker(cand, t)
	if waitReason != reason.None {
		return false
	}
	moved[j.ID()] = true
	r.workers.allocate(index, cand.need)
	return true
}

// stopOverMemory stops runs that stayed above their memory for overMemoryGrace while they were throttled. A service or
// a run that must not start twice is only throttled: stopping it would do more harm than its memory use.
func (r *round) stopOverMemory() {
	for _, t := range r.planner.memory.overrunsPastGrace(r.cell, r.now) {
		if t.Job().Spec().GetKind() != wire.JobKind_JOB_KIND_SERVICE && !t.Job().Spec().GetNeverRestart() {
			r.stop(t, reason.OverMemory, true)
		}
	}
}
