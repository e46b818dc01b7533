package planner

import (
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// stopOutdated replaces tasks of changed rows: one of a service at a time, all of an all-at-once job.
func (r *round) stopOutdated() {
	for _, j := range r.c.Outdated() {
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

// emptyDraining stops a few tasks of each draining worker at a time. A run that must not start twice is left to end. A
// service task stops only when none of its job is missing and there is room for its replacement elsewhere.
func (r *round) emptyDraining() {
	moving := map[string]bool{}
	for _, w := range r.c.Draining() {
		tasks := r.tasksOn(&slot{w: w})
		stopping := 0
		for _, t := range tasks {
			if t.Stopping() || r.stopping[t.ID()] {
				stopping++
			}
		}
		for _, t := range tasks {
			if stopping < drainStops && !t.Stopping() && r.mayMove(t, moving) {
				r.stop(t, reason.WorkerDraining, t.Job().Spec().GetKind() != wire.JobKind_JOB_KIND_SERVICE)
				stopping++
			}
		}
	}
}

func (r *round) mayMove(t *job.Task, moving map[string]bool) bool {
	j := t.Job()
	switch {
	case r.stopping[t.ID()] || j.Spec().GetNeverRestart():
		return false
	case j.Spec().GetKind() != wire.JobKind_JOB_KIND_SERVICE:
		return true
	case moving[j.ID()] || j.Waiting() > 0 || r.anyStopping(j):
		return false
	}
	x := &candidate{
		j: j, team: r.team(j.Spec().GetTeam()), need: r.p.learner.need(j), kind: j.Spec().GetKind(), level: 0,
	}
	at, why, _ := r.find(x, t)
	if why != reason.None {
		return false
	}
	moving[j.ID()] = true
	r.w.take(at, x.need)
	return true
}

// stopOverMemory stops runs that stayed above their memory while they were throttled. A service or a run that must not
// start twice is only throttled: stopping it would do more harm than its memory.
func (r *round) stopOverMemory() {
	for _, t := range r.p.learner.overdue(r.c, r.now) {
		if t.Job().Spec().GetKind() != wire.JobKind_JOB_KIND_SERVICE && !t.Job().Spec().GetNeverRestart() {
			r.stop(t, reason.OverMemory, true)
		}
	}
}
