package scheduler

import (
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/wire"
)

// pendingAfter is from when on a run that the worker has not confirmed counts as not started. The answer to a start
// arrives within a fraction of it.
const pendingAfter = time.Second

// Pending returns the number of jobs of a queue that wait for their first start, those included whose start orders have
// reached no worker for certain.
func (sc *Scheduler) Pending(queue *wire.Queue, now time.Duration) int {
	count := sc.batch.Pending(queue)
	for _, j := range sc.jobs.runnable {
		if j.BelongsTo(queue) && j.Phase() == wire.JobPhase_JOB_PHASE_RUNNING && !sc.hasStarted(j, now) {
			count++
		}
	}
	return count
}

// hasStarted reports whether a run of a job has started, as far as is known.
func (sc *Scheduler) hasStarted(j *batch.Job, now time.Duration) bool {
	for _, step := range j.Steps() {
		if step.ActiveRuns() == 0 {
			continue
		}
		for _, t := range step.Tasks() {
			if t.Incarnation() == nil {
				continue
			}
			s := sc.currentSession(t.Incarnation())
			if s == nil {
				return true
			}
			if r := s.runs[t]; r == nil || r.confirmed || now-r.startedAt < pendingAfter {
				return true
			}
		}
	}
	return j.HasResult()
}
