package scheduler

import (
	"time"

	"flamingodrift.example/core/wire"
)

// Admission says whether a job is taken in.
type Admission struct {
	Admitted bool
	Reason   string
	// Backlog is the work that waits before the job, in core-milliseconds.
	Backlog int64
	// RetryAfter is when the backlog should have shrunk enough.
	RetryAfter time.Duration
}

const (
	// usableShare is the share of all processors that work of several kinds can really use.
	usableShare = 0.85
	// shortestRetry keeps callers from coming back at once.
	shortestRetry = time.Second
	longestRetry  = 10 * time.Second
)

// Admit decides whether a new job is taken in. A job that would wait longer than its result is worth anything to its
// caller is turned away at once, with the time by which the backlog should have shrunk.
func (f *Scheduler) Admit(queue *wire.Queue, job *wire.SubmittedJob, _ time.Duration) Admission {
	var room int64
	for _, life := range f.batch.Incarnations() {
		if life.Report().GetPool() == queue.GetPool() {
			room += life.Capacity().CPU()
		}
	}
	backlog := f.backlog(queue)
	verdict := Admission{Admitted: true, Backlog: backlog}
	if room == 0 {
		// The workers may not have reported to this leader yet.
		return verdict
	}
	wait := time.Duration(float64(backlog)/(float64(room)*usableShare)*1000) * time.Millisecond
	var chain int64
	for _, step := range job.GetSteps() {
		chain += int64(step.GetEstimateMs())
	}
	objective := time.Duration(queue.GetStretch()*float64(chain))*time.Millisecond +
		time.Duration(queue.GetAllowanceMs())*time.Millisecond
	limit := lateFactor*objective - time.Duration(chain)*time.Millisecond
	if wait <= limit {
		return verdict
	}
	verdict.Admitted, verdict.Reason = false, "the work that waits takes longer than the job may"
	verdict.RetryAfter = min(longestRetry, max(shortestRetry, wait-limit))
	return verdict
}

// backlog returns the waiting work of a pool that goes before a new job of a queue, in core-milliseconds.
func (f *Scheduler) backlog(queue *wire.Queue) int64 {
	var sum int64
	for _, j := range f.batch.Active() {
		if j.Ended() || j.Queue().GetPool() != queue.GetPool() || j.Queue().GetPriority() > queue.GetPriority() {
			continue
		}
		for _, step := range j.Steps() {
			sum += int64(step.Waiting()) * step.Need().CPU() * int64(step.Spec().GetEstimateMs()) / 1000
		}
	}
	return sum
}
