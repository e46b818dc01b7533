package scheduler

import (
	"cmp"
	"slices"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/reason"
)

// jobIndex holds the active jobs. Rounds and admission look only at those that some worker could run, so that work that
// no worker can run costs them nothing, however much of it waits.
type jobIndex struct {
	// runnable holds the jobs with a run or with a step that workers could run, in the order of acceptance. Jobs that have
	// ended leave it in the next round.
	runnable []*batch.Job
	// impossible holds the others.
	impossible map[*batch.Job]bool
}

// add adds a new job.
func (x *jobIndex) add(j *batch.Job) { x.runnable = append(x.runnable, j) }

// examineImpossibleJobs makes all impossible jobs candidates again.
func (sc *Scheduler) examineImpossibleJobs() {
	if len(sc.jobs.impossible) == 0 {
		return
	}
	for j := range sc.jobs.impossible {
		sc.jobs.runnable = append(sc.jobs.runnable, j)
	}
	clear(sc.jobs.impossible)
	sc.sortRunnable()
}

// examineJob makes an impossible job a candidate again.
func (sc *Scheduler) examineJob(j *batch.Job) {
	if sc.jobs.impossible[j] {
		delete(sc.jobs.impossible, j)
		sc.jobs.runnable = append(sc.jobs.runnable, j)
		sc.sortRunnable()
	}
}

func (sc *Scheduler) sortRunnable() {
	slices.SortFunc(sc.jobs.runnable, func(a, b *batch.Job) int { return cmp.Compare(a.Order(), b.Order()) })
	sc.backlog.valid = false
}

// removeEndedJob drops an ended job from the impossible ones.
func (sc *Scheduler) removeEndedJob(j *batch.Job) { delete(sc.jobs.impossible, j) }

// updateRunnable moves the jobs that no worker can run out of the runnable ones, and drops those that are over.
func (sc *Scheduler) updateRunnable() {
	sc.updateMatcher()
	before := len(sc.jobs.impossible)
	var last *batch.Job
	sc.jobs.runnable = slices.DeleteFunc(sc.jobs.runnable, func(j *batch.Job) bool {
		if j.ActiveRuns() > 0 {
			return false
		}
		if !j.Ended() {
			if sc.isPossible(j) {
				return false
			}
			sc.jobs.impossible[j], last = true, j
		}
		return true
	})
	if last != nil {
		sc.backlog.valid = false
	}
	sc.logImpossible(before, last)
}

// isPossible reports whether workers could run a waiting task of a job now or after its present steps.
func (sc *Scheduler) isPossible(j *batch.Job) bool {
	matches := sc.matchesOf(j)
	return slices.ContainsFunc(j.Steps(), func(step *batch.Step) bool {
		return step.Ready() && sc.possibleTasksIn(matches, step) > 0
	})
}

// logImpossible logs that more or fewer jobs wait for workers that the cell does not have; last is the newest of them,
// nil if there is no new one.
func (sc *Scheduler) logImpossible(before int, last *batch.Job) {
	count := len(sc.jobs.impossible)
	switch {
	case last != nil && (count != before || count != sc.loggedImpossible):
		why, detail := sc.missingWorkers(last)
		logger.JobsImpossible.Log(sc.cfg.Logger, "jobs", count, "job", last.ID(), "queue", last.Queue().GetName(),
			"reason", why.String(), "why", detail)
	case count < sc.loggedImpossible:
		logger.JobsPossible.Log(sc.cfg.Logger, "jobs", count, "before", sc.loggedImpossible)
	}
	sc.loggedImpossible = count
}

// missingWorkers returns why no workers could run a job.
func (sc *Scheduler) missingWorkers(j *batch.Job) (why reason.Reason, detail string) {
	for _, step := range j.Steps() {
		if step.Ready() {
			if why, detail = sc.missingWorkersOf(step); why != reason.None {
				return why, detail
			}
		}
	}
	return reason.None, ""
}

// Impossible returns how many active jobs wait for workers that the cell does not have.
func (sc *Scheduler) Impossible() int { return len(sc.jobs.impossible) }
