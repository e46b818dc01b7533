package scheduler

import (
	"slices"
	"time"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/matcher"
)

// A failed run, failures of other tasks on a worker, and the headroom make another worker the better choice. Each of them
// ends by itself, whether or not anything may start meanwhile, so that none takes the last choice away for good.
const (
	// retryDelay is how long after its latest failure a task does not return to the workers on which it has failed. A worker
	// that fails all that it starts is paused for up to maxPause, so a task that returns sooner would fail again.
	retryDelay = maxPause
	// maxProvenWait is how long a gang, or a task with its last attempt, waits for workers that are not unproven.
	maxProvenWait = maxPause
	// maxHeadroomWait is how long a step leaves the headroom free, and maxHeadroomWaitIdle the same while most of the
	// capacity is free.
	maxHeadroomWait     = 30 * time.Second
	maxHeadroomWaitIdle = time.Second
)

// recordWait records that a step waits.
func (m *jobMatches) recordWait(step *batch.Step, now time.Duration) {
	if m.waitsSince[step.Number()] == 0 {
		m.waitsSince[step.Number()] = now
	}
}

// waitsSince returns since when a step waits; now if it has not waited before.
func (sc *Scheduler) waitsSince(step *batch.Step, now time.Duration) time.Duration {
	if m := sc.timings[step.Job()].matches; m != nil && m.waitsSince[step.Number()] > 0 {
		return m.waitsSince[step.Number()]
	}
	return now
}

// endWait records that a task of a step was placed, so that the others wait anew.
func (sc *Scheduler) endWait(step *batch.Step) {
	if m := sc.timings[step.Job()].matches; m != nil {
		m.waitsSince[step.Number()] = 0
	}
}

// failureKey returns the task under which the failures of a task, or of its gang, are kept.
func failureKey(t *batch.Task) *batch.Task {
	if t.Step().Spec().GetGang() {
		return t.Step().Tasks()[0]
	}
	return t
}

// recordTaskFailure records when a run of a task has failed. The task waits from then on.
func (sc *Scheduler) recordTaskFailure(t *batch.Task, now time.Duration) {
	if t.Step().Job().Ended() {
		return
	}
	sc.failedAt[failureKey(t)] = now
	if m := sc.timings[t.Step().Job()].matches; m != nil {
		m.recordWait(t.Step(), now)
	}
}

// latestFailure returns when a run of a task, or of its gang, failed last, and false if none has. The log does not say
// when, so a failure under an earlier leader counts as one at the beginning of this term.
func (sc *Scheduler) latestFailure(t *batch.Task) (time.Duration, bool) {
	if at, known := sc.failedAt[failureKey(t)]; known {
		return at, true
	}
	return sc.leaderSince, t.Failed() || t.Step().Spec().GetGang() && t.Step().Failed()
}

// retryAt returns from when on a task may return to the workers on which it, or a member of its gang, has failed.
func (sc *Scheduler) retryAt(t *batch.Task) time.Duration {
	at, failed := sc.latestFailure(t)
	if !failed {
		return 0
	}
	return at + retryDelay
}

// needsProvenWorker reports whether a task must not run on an unproven worker yet: it is one of a gang, whose other members
// would fail with it, or has its last attempt.
func (sc *Scheduler) needsProvenWorker(t *batch.Task, now time.Duration) bool {
	if !startsTogether(t.Step()) && t.FailuresLeft() > 1 {
		return false
	}
	since := sc.waitsSince(t.Step(), now)
	if at, failed := sc.latestFailure(t); failed {
		since = max(since, at)
	}
	return now < since+maxProvenWait
}

// headroomUse returns whether a step has waited so long that it may use the headroom.
func (sc *Scheduler) headroomUse(step *batch.Step, now time.Duration) allocator.HeadroomUse {
	switch waited := now - sc.waitsSince(step, now); {
	case waited >= maxHeadroomWait:
		return allocator.AnyHeadroom
	case waited >= maxHeadroomWaitIdle:
		return allocator.IdleHeadroom
	default:
		return allocator.NoHeadroom
	}
}

// waitsToRetry reports whether a task has failed on all workers that could run it, or its gang on so many that it does not
// fit on the others, and may not return to them yet.
func (sc *Scheduler) waitsToRetry(t *batch.Task, now time.Duration) bool {
	step := t.Step()
	if !step.Failed() || now >= sc.retryAt(t) {
		return false
	}
	set := sc.matchesOf(step.Job()).steps[step.Number()].Set()
	if step.Spec().GetGang() {
		return !sc.gangFits(step, set, func(worker string) bool { return sc.isRefused(step, worker) || failedThere(t, worker) })
	}
	return sc.failedEverywhere(t, set)
}

// failedThere reports whether a run of a task, or of a member of its gang, has failed on a worker.
func failedThere(t *batch.Task, worker string) bool {
	if !t.Step().Spec().GetGang() {
		return t.FailedOn(worker)
	}
	return t.Step().Failed() &&
		slices.ContainsFunc(t.Step().Tasks(), func(member *batch.Task) bool { return member.FailedOn(worker) })
}

// failedEverywhere reports whether runs of a task have failed on all workers of a set that the consent service has not
// refused.
func (sc *Scheduler) failedEverywhere(t *batch.Task, set *matcher.Set) bool {
	refused := 0
	if c := sc.consents[t.Step()]; c != nil {
		refused = len(c.denied)
	}
	return t.FailedWorkers()+refused >= set.Workers() &&
		allWorkers(set, func(worker string) bool { return t.FailedOn(worker) || sc.isRefused(t.Step(), worker) })
}

// retryDelayed returns when the first waiting task of a job may start again, if all tasks that could start wait to retry,
// and 0 otherwise.
func (sc *Scheduler) retryDelayed(j *batch.Job, now time.Duration) time.Duration {
	if !slices.ContainsFunc(j.Steps(), (*batch.Step).Failed) {
		return 0
	}
	matches := sc.matchesOf(j)
	var first time.Duration
	for _, step := range j.Steps() {
		if step.Waiting() == 0 || !step.Ready() || sc.possibleTasksIn(matches, step) == 0 {
			continue
		}
		if !step.Failed() {
			return 0
		}
		for _, t := range step.Tasks() {
			if !t.Waiting() {
				continue
			}
			if !sc.waitsToRetry(t, now) {
				return 0
			}
			if at := sc.retryAt(t); first == 0 || at < first {
				first = at
			}
			if step.Spec().GetGang() {
				break
			}
		}
	}
	return first
}
