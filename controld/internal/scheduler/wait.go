package scheduler

import (
	"fmt"
	"slices"
	"time"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/reason"
)

// Wait says why tasks of a step have no run.
type Wait struct {
	Reason reason.Reason
	// Detail is a sentence with what is known beyond the reason; it may be empty.
	Detail string
	// Late is set when the job can no longer meet its objective. Work that can meet its own comes first.
	Late bool
}

// outcome is what the last round decided, for those who ask why work waits.
type outcome struct {
	steps   []*batch.Step
	waiting []allocator.WaitingGang
}

// Wait returns why tasks of a step that is not done have no run.
func (f *Scheduler) Wait(step *batch.Step, now time.Duration) Wait {
	_, lateness := f.urgency(step, now)
	w := Wait{Late: lateness != allocator.InTime}
	w.Reason, w.Detail = f.waitReason(step, now)
	return w
}

func (f *Scheduler) waitReason(step *batch.Step, now time.Duration) (why reason.Reason, detail string) {
	switch {
	case !step.Ready():
		return reason.WaitsForStep, ""
	case step.Spec().GetGang() && step.ActiveRuns() > 0:
		return reason.StopInProgress, ""
	}
	if why := f.missingWorker(step, now); why != reason.None {
		return why, ""
	}
	if len(f.waitingTasks(step, now)) == 0 {
		return reason.LeaseNotOver, ""
	}
	if why, detail := f.missingConsent(step, now); why != reason.None {
		return why, detail
	}
	index := slices.Index(f.last.steps, step)
	if index < 0 {
		return reason.BehindOthers, ""
	}
	if !step.Spec().GetGang() {
		return reason.NoCapacity, ""
	}
	for _, planned := range f.last.waiting {
		if planned.Demand != index || !planned.Feasible {
			continue
		}
		if planned.StartIn == 0 {
			return reason.WaitsForConsent, "There is room for it; the service is asked again, as its earlier consent has run out."
		}
		workers := "1 worker"
		if len(planned.Shares) > 1 {
			workers = fmt.Sprintf("%d workers", len(planned.Shares))
		}
		detail = fmt.Sprintf("By what runs now there should be room on %s in %.1f s.", workers, planned.StartIn.Seconds())
		if len(f.gathering[step]) > 0 {
			detail += " That room is kept for it."
		}
	}
	return reason.WaitsForAll, detail
}

// missingWorker returns why no worker could run a step, whatever runs now; None when one could.
func (f *Scheduler) missingWorker(step *batch.Step, now time.Duration) reason.Reason {
	suited := false
	for _, s := range f.sessions {
		if !f.usable(s, now) || !suits(step, s.life) {
			continue
		}
		suited = true
		if step.Need().FitsIn(s.life.Capacity()) {
			return reason.None
		}
	}
	if suited {
		return reason.ExceedsLargestWorker
	}
	return reason.NoWorkers
}

// missingConsent returns whether the workers that the outside service has allowed could not hold a step even if they were
// idle, and what is known of its answers.
func (f *Scheduler) missingConsent(step *batch.Step, now time.Duration) (why reason.Reason, detail string) {
	if step.Job().Queue().GetConsent() == nil {
		return reason.None, ""
	}
	c := f.consents[step]
	if c == nil {
		return reason.WaitsForConsent, "It has not been asked yet."
	}
	room := int64(0)
	for life := range c.granted {
		if s := f.present(life); s != nil && f.usable(s, now) {
			room += step.Need().CopiesIn(life.Capacity())
		}
	}
	if room >= int64(step.Waiting()) || room > 0 && !step.Spec().GetGang() {
		return reason.None, ""
	}
	return reason.WaitsForConsent, fmt.Sprintf("It has allowed %d workers and refused %d; it is asked for %d now.",
		len(c.granted), len(c.denied), len(c.pending))
}

// KnownFor returns how long this leader has known a job; the job may be older.
func (f *Scheduler) KnownFor(j *batch.Job, now time.Duration) time.Duration {
	return now - max(f.prospects[j].acceptedAt, f.since)
}
