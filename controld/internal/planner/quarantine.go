package planner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/worker"
	"flamingodrift.example/core/wire"
)

// holdWorkers holds workers on which tasks of different jobs failed, releases held workers on probation after
// holdDuration, and ends probations without a failure.
func (r *round) holdWorkers() {
	held := 0
	quarantined := r.cell.Quarantined()
	for _, w := range quarantined {
		if w.Held() {
			held++
		}
	}
	r.pruneHeldSince(quarantined)
	for _, w := range quarantined {
		since, known := r.planner.heldSince[w.Name()]
		if !known {
			since = r.now
			r.planner.heldSince[w.Name()] = r.now
		}
		switch {
		case w.Held() && r.now-since >= holdDuration(w.Holds()):
			r.releaseWorker(w)
			held--
		case w.Probing() && !w.Suspect() && r.now-since >= holdDuration(w.Holds())+maxProbation:
			r.releaseWorker(w)
		}
	}
	for _, w := range r.cell.Suspects() {
		if (held+1)*100 > len(r.cell.Workers())*maxHeldPercent {
			return
		}
		held++
		delete(r.planner.heldSince, w.Name())
		sentence := "tasks of " + strings.Join(w.FailedJobs(), ", ") + " failed there"
		r.decisions.WorkerHolds = append(r.decisions.WorkerHolds, &wire.WorkerHold{
			Worker: w.Name(), Held: true, Reason: sentence,
		})
	}
}

// releaseWorker ends a hold or, for a worker that is not held, its probation.
func (r *round) releaseWorker(w *worker.Worker) {
	r.decisions.WorkerHolds = append(r.decisions.WorkerHolds, &wire.WorkerHold{Worker: w.Name()})
}

// pruneHeldSince drops the workers that are neither held nor on probation any more.
func (r *round) pruneHeldSince(quarantined []*worker.Worker) {
	if len(r.planner.heldSince) == len(quarantined) {
		return
	}
	for name := range r.planner.heldSince {
		if w := r.cell.Worker(name); w == nil || !w.Held() && !w.Probing() {
			delete(r.planner.heldSince, name)
		}
	}
}

// holdDuration returns how long a worker is held for the given number of holds since its last success.
func holdDuration(holds uint32) time.Duration {
	d := firstHold
	for ; holds > 1 && d < maxHold; holds-- {
		d *= 2
	}
	return min(d, maxHold)
}

// holdJobs holds jobs that failed on worker.FailuresToHold different workers, and jobs with a task that crashes workers.
// Workers that this round holds do not count, because the failures are attributed to them.
func (r *round) holdJobs() {
	var heldWorkers []string
	for _, hold := range r.decisions.WorkerHolds {
		if hold.GetHeld() {
			heldWorkers = append(heldWorkers, hold.GetWorker())
		}
	}
	for _, j := range r.cell.Failing() {
		failedOn := slices.DeleteFunc(j.FailedWorkers(), func(w string) bool { return slices.Contains(heldWorkers, w) })
		if len(failedOn) >= worker.FailuresToHold {
			sentence := fmt.Sprintf("its tasks failed on %d workers: %s", len(failedOn), strings.Join(failedOn, ", "))
			r.holdJob(j, sentence)
		} else if t := j.CrashingTask(); t != nil {
			r.holdJob(j, fmt.Sprintf("workers crashed just after they had started its task %d: %s", t.Index(),
				strings.Join(t.CrashedOn(), ", ")))
		}
	}
}

func (r *round) holdJob(j *job.Job, sentence string) {
	r.decisions.JobHolds = append(r.decisions.JobHolds, &wire.JobHold{Key: j.ID(), Held: true, Reason: sentence})
}

// markSuspects marks the workers on which a suspected task is starting. Another task that starts beside it would be lost
// with it, and could then be suspected as well.
func (r *round) markSuspects() {
	for _, j := range r.cell.Suspected() {
		for _, t := range j.Tasks() {
			if i, usable := r.workers.indexByName[t.Worker()]; usable && t.Starting() && len(t.CrashedOn()) > 0 {
				r.workers.views[i].hasSuspect = true
			}
		}
	}
}

// startsApart reports whether a worker keeps a suspected task apart from other tasks that start.
func (r *round) startsApart(t *job.Task, view *workerView) bool {
	if len(t.CrashedOn()) == 0 {
		return !view.hasSuspect
	}
	return !view.placedOn && !slices.ContainsFunc(r.cell.TasksOn(view.worker.Name()), (*job.Task).Starting)
}
