package scheduler

import (
	"fmt"
	"slices"
	"time"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/reason"
)

// Wait describes why tasks of a step have no run.
type Wait struct {
	Reason reason.Reason
	// Detail is a sentence with further information; it may be empty.
	Detail string
	// Late is set when the job can no longer meet its objective. Jobs that still can are served first.
	Late bool
}

// roundResult is the result of a round, kept to explain why steps wait.
type roundResult struct {
	steps        []*batch.Step
	waitingGangs []allocator.WaitingGang
}

// Wait returns why tasks of an unfinished step have no run.
func (sc *Scheduler) Wait(step *batch.Step, now time.Duration) Wait {
	_, lateness := sc.startBy(step, now)
	w := Wait{Late: lateness != allocator.InTime}
	w.Reason, w.Detail = sc.waitReason(step, now)
	return w
}

func (sc *Scheduler) waitReason(step *batch.Step, now time.Duration) (why reason.Reason, detail string) {
	switch {
	case !step.Ready():
		return reason.WaitsForStep, ""
	case step.Spec().GetGang() && step.ActiveRuns() > 0:
		return reason.StopInProgress, ""
	}
	if why, detail := sc.missingWorkersOf(step); why != reason.None {
		return why, detail
	}
	if detail := sc.retryWait(step, now); detail != "" {
		return reason.WaitsToRetry, detail
	}
	if detail := sc.missingUsableWorker(step, now); detail != "" {
		return reason.NoWorkers, detail
	}
	if len(sc.placeableTasks(step, now)) == 0 {
		return reason.LeaseNotOver, ""
	}
	if detail := sc.limitWait(step); detail != "" {
		return reason.QuotaReached, detail
	}
	if why, detail := sc.missingConsent(step, now); why != reason.None {
		return why, detail
	}
	if isIsolated(step) {
		return reason.WaitsForIsolation, ""
	}
	index := slices.Index(sc.lastRound.steps, step)
	if index < 0 {
		return reason.BehindOthers, ""
	}
	if !step.Spec().GetGang() {
		return reason.NoCapacity, ""
	}
	for _, planned := range sc.lastRound.waitingGangs {
		if planned.Demand != index || !planned.Feasible {
			continue
		}
		if planned.StartIn == 0 {
			return reason.WaitsForConsent, "There is room for it; the service is asked again, as its earlier consent has run out."
		}
		detail = fmt.Sprintf("By what runs now there should be room on %s in %.1f s.",
			workerCount(max(1, len(planned.Shares))), planned.StartIn.Seconds())
		if len(sc.reservations[step]) > 0 {
			detail += " That room is kept for it."
		}
	}
	return reason.WaitsForAll, detail
}

// isIsolated reports whether a task of a step waits and must be isolated.
func isIsolated(step *batch.Step) bool {
	return step.Suspected() && slices.ContainsFunc(step.Tasks(), func(t *batch.Task) bool {
		return t.Waiting() && isolationOf(t) != notIsolated
	})
}

// missingWorkersOf returns why no workers could run a step even if idle, with a sentence that names what is missing, or
// reason.None if some could. It considers all workers that the log holds, as a new leader has heard of few.
func (sc *Scheduler) missingWorkersOf(step *batch.Step) (why reason.Reason, detail string) {
	return sc.matchesOf(step.Job()).steps[step.Number()].Missing()
}

// retryWait returns a sentence if a task of a step waits to return to the workers on which it has failed, or if only
// workers whose latest runs failed are left for it, and an empty string otherwise.
func (sc *Scheduler) retryWait(step *batch.Step, now time.Duration) string {
	set := sc.matchesOf(step.Job()).steps[step.Number()].Set()
	for _, t := range step.Tasks() {
		if !t.Waiting() {
			continue
		}
		if sc.waitsToRetry(t, now) {
			return fmt.Sprintf("It has failed on each worker that could run it (%d) and may return to them in %.1f s; %s.",
				set.Workers(), (sc.retryAt(t) - now).Seconds(), failuresPhrase(t.FailuresLeft()))
		}
		if sc.needsProvenWorker(t, now) && allWorkers(set, func(worker string) bool {
			s := sc.sessions[worker]
			return s != nil && s.isUnproven()
		}) {
			return fmt.Sprintf("The latest runs on each worker that could run it (%d) failed; %s.",
				set.Workers(), failuresPhrase(t.FailuresLeft()))
		}
		if step.Spec().GetGang() {
			break
		}
	}
	return ""
}

func failuresPhrase(left int) string {
	if left <= 1 {
		return "1 more failure fails the job"
	}
	return fmt.Sprintf("%d more failures fail the job", left)
}

// missingUsableWorker returns a sentence if none of the workers that could run a step gets new runs now, and an empty
// string otherwise.
func (sc *Scheduler) missingUsableWorker(step *batch.Step, now time.Duration) string {
	set := sc.matchesOf(step.Job()).steps[step.Number()].Set()
	if !allWorkers(set, func(worker string) bool {
		s := sc.sessions[worker]
		return s == nil || !sc.usable(s, now)
	}) {
		return ""
	}
	return fmt.Sprintf("No worker that could run it (%d) takes new runs now.", set.Workers())
}

func workerCount(n int) string {
	if n == 1 {
		return "1 worker"
	}
	return fmt.Sprintf("%d workers", n)
}

// missingConsent returns reason.WaitsForConsent, with a summary of the consent service's decisions, if the granted
// workers could not run a step even if idle, and reason.None otherwise.
func (sc *Scheduler) missingConsent(step *batch.Step, now time.Duration) (why reason.Reason, detail string) {
	if step.Job().Queue().GetConsent() == nil {
		return reason.None, ""
	}
	c := sc.consents[step]
	if c == nil {
		return reason.WaitsForConsent, "It has not been asked yet."
	}
	capacity := int64(0)
	for incarnation := range c.granted {
		if s := sc.currentSession(incarnation); s != nil && sc.usable(s, now) {
			capacity += step.Need().CopiesIn(incarnation.Capacity())
		}
	}
	if capacity >= int64(step.Waiting()) || capacity > 0 && !step.Spec().GetGang() {
		return reason.None, ""
	}
	return reason.WaitsForConsent, fmt.Sprintf("It has allowed %d workers and refused %d; it is asked for %d now.",
		len(c.granted), len(c.denied), len(c.pending))
}

// KnownFor returns how long this leader has known a job; the job may be older.
func (sc *Scheduler) KnownFor(j *batch.Job, now time.Duration) time.Duration {
	return now - max(sc.timings[j].acceptedAt, sc.leaderSince)
}
