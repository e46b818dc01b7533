package scheduler

import (
	"cmp"
	"slices"
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/reason"
)

// jobIndex holds the active jobs. Rounds and admission look only at those that some worker could run, so that work that
// no worker can run costs them nothing, however much of it waits.
type jobIndex struct {
	// runnable holds the jobs with a run or with a step that workers could run now, in the order of acceptance. Jobs that have
	// ended leave it in the next round.
	runnable []*batch.Job
	// impossible holds those that no worker could run.
	impossible map[*batch.Job]bool
	// delayed holds those whose tasks all wait to retry, with the time at which the first of them may start again. They are
	// ordered by that time.
	delayed []delayedJob
}

// delayedJob is a job that nothing may run before a time.
type delayedJob struct {
	job   *batch.Job
	until time.Duration
}

// delay adds a job to the delayed ones.
func (x *jobIndex) delay(j *batch.Job, until time.Duration) {
	index, _ := slices.BinarySearchFunc(x.delayed, until+1, func(d delayedJob, at time.Duration) int {
		return cmp.Compare(d.until, at)
	})
	x.delayed = slices.Insert(x.delayed, index, delayedJob{j, until})
}

// add adds a new job.
func (x *jobIndex) add(j *batch.Job) { x.runnable = append(x.runnable, j) }

// examineImpossibleJobs makes all impossible and all delayed jobs candidates again.
func (sc *Scheduler) examineImpossibleJobs() {
	if len(sc.jobs.impossible)+len(sc.jobs.delayed) == 0 {
		return
	}
	for j := range sc.jobs.impossible {
		sc.jobs.runnable = append(sc.jobs.runnable, j)
	}
	clear(sc.jobs.impossible)
	sc.endDelays(len(sc.jobs.delayed))
	sc.sortRunnable()
}

// examineDelayedJobs makes the delayed jobs candidates again whose time has come.
func (sc *Scheduler) examineDelayedJobs(now time.Duration) {
	due := 0
	for due < len(sc.jobs.delayed) && sc.jobs.delayed[due].until <= now {
		due++
	}
	if due > 0 {
		sc.endDelays(due)
		sc.sortRunnable()
	}
}

// endDelays moves the first delayed jobs to the runnable ones, without their order.
func (sc *Scheduler) endDelays(count int) {
	for _, d := range sc.jobs.delayed[:count] {
		if !d.job.Ended() {
			sc.jobs.runnable = append(sc.jobs.runnable, d.job)
		}
	}
	sc.jobs.delayed = slices.Delete(sc.jobs.delayed, 0, count)
}

// examineJob makes an impossible or delayed job a candidate again.
func (sc *Scheduler) examineJob(j *batch.Job) {
	index := slices.IndexFunc(sc.jobs.delayed, func(d delayedJob) bool { return d.job == j })
	if index < 0 && !sc.jobs.impossible[j] {
		return
	}
	if index >= 0 {
		sc.jobs.delayed = slices.Delete(sc.jobs.delayed, index, index+1)
	}
	delete(sc.jobs.impossible, j)
	sc.jobs.runnable = append(sc.jobs.runnable, j)
	sc.sortRunnable()
}

func (sc *Scheduler) sortRunnable() {
	slices.SortFunc(sc.jobs.runnable, func(a, b *batch.Job) int { return cmp.Compare(a.Order(), b.Order()) })
	sc.backlog.valid = false
}

// removeEndedJob drops an ended job from the impossible ones.
func (sc *Scheduler) removeEndedJob(j *batch.Job) { delete(sc.jobs.impossible, j) }

// updateRunnable moves the jobs that no worker can run, now or for good, out of the runnable ones, and drops those that are
// over.
func (sc *Scheduler) updateRunnable(now time.Duration) {
	sc.updateMatcher()
	sc.examineDelayedJobs(now)
	before, delayed := len(sc.jobs.impossible), len(sc.jobs.delayed)
	var last *batch.Job
	sc.jobs.runnable = slices.DeleteFunc(sc.jobs.runnable, func(j *batch.Job) bool {
		if j.ActiveRuns() > 0 {
			return false
		}
		if j.Ended() {
			return true
		}
		if !sc.isPossible(j) {
			sc.jobs.impossible[j], last = true, j
			return true
		}
		until := sc.retryDelayed(j, now)
		if until > now {
			sc.jobs.delay(j, until)
		}
		return until > now
	})
	if last != nil || len(sc.jobs.delayed) > delayed {
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
