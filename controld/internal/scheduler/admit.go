package scheduler

import (
	"time"

	"flamingodrift.example/core/wire"
)

// Admission is the decision on whether to accept a new job.
type Admission struct {
	Admitted bool
	Reason   string
	// Backlog is the work queued ahead of the job, in core-milliseconds.
	Backlog int64
	// RetryAfter is the estimated time until the backlog is short enough to accept the job.
	RetryAfter time.Duration
}

const (
	// usableCapacityShare is the share of all processors that a mix of workloads can use in practice.
	usableCapacityShare = 0.85
	// minRetryAfter keeps rejected callers from retrying immediately.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// Admit decides whether to accept a new job. A job whose expected wait exceeds the time after which its result is
// worthless to the caller is rejected immediately, with an estimate of when to retry.
func (sc *Scheduler) Admit(queue *wire.Queue, job *wire.SubmittedJob, _ time.Duration) Admission {
	var capacity int64
	for _, incarnation := range sc.batch.Incarnations() {
		if incarnation.Report().GetPool() == queue.GetPool() {
			capacity += incarnation.Capacity().CPU()
		}
	}
	backlog := sc.backlog(queue)
	admission := Admission{Admitted: true, Backlog: backlog}
	if capacity == 0 {
		// The workers may not have reported to this leader yet.
		return admission
	}
	wait := time.Duration(float64(backlog)/(float64(capacity)*usableCapacityShare)*1000) * time.Millisecond
	var totalMs int64
	for _, step := range job.GetSteps() {
		totalMs += sc.expectedMs(queue.GetName(), step)
	}
	objective := time.Duration(queue.GetStretch()*float64(totalMs))*time.Millisecond +
		time.Duration(queue.GetAllowanceMs())*time.Millisecond
	limit := overdueFactor*objective - time.Duration(totalMs)*time.Millisecond
	if wait <= limit {
		return admission
	}
	admission.Admitted, admission.Reason = false, "the work that waits takes longer than the job may"
	admission.RetryAfter = min(maxRetryAfter, max(minRetryAfter, wait-limit))
	return admission
}

// backlog returns the waiting work, in core-milliseconds, of the queue's pool with the queue's priority or a more
// urgent one.
func (sc *Scheduler) backlog(queue *wire.Queue) int64 {
	var sum int64
	for _, j := range sc.batch.Active() {
		if j.Ended() || j.Queue().GetPool() != queue.GetPool() || j.Queue().GetPriority() > queue.GetPriority() {
			continue
		}
		for _, step := range j.Steps() {
			sum += int64(step.Waiting()) * step.Need().CPU() * sc.stepMs(step) / 1000
		}
	}
	return sum
}
