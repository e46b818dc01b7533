package scheduler

import (
	"time"

	"flamingodrift.example/controld/internal/batch"
)

// RunState is what the leader knows of a run.
type RunState struct {
	// Age is how long the leader has known the run.
	Age time.Duration
	// Confirmed is set once the worker has reported that it has the run, and Stopping once a stop was ordered.
	Confirmed, Stopping bool
}

// RunState returns the state of a task's current run.
func (sc *Scheduler) RunState(t *batch.Task, now time.Duration) RunState {
	if t.Incarnation() == nil {
		return RunState{}
	}
	s := sc.currentSession(t.Incarnation())
	if s == nil || s.runs[t] == nil {
		return RunState{}
	}
	r := s.runs[t]
	return RunState{Age: now - r.startedAt, Confirmed: r.confirmed, Stopping: r.stopping || r.endQueued}
}

// WorkerState says whether a worker gets new runs, or why not.
type WorkerState int

// Worker states. Only a worker in state WorkerReady gets new runs.
const (
	WorkerReady WorkerState = iota
	// WorkerNotReported means that the worker has not answered this leader yet.
	WorkerNotReported
	// WorkerSilent means that the worker does not answer.
	WorkerSilent
	// WorkerDraining means that the worker is about to shut down.
	WorkerDraining
	// WorkerReportOverdue means that the worker answers but has not reported lately, so that its capacity may have shrunk.
	WorkerReportOverdue
	// WorkerPaused means that the last runs on the worker failed.
	WorkerPaused
	// WorkerHasUnknownRuns means that the worker has runs that are not placed there according to the log.
	WorkerHasUnknownRuns
)

// WorkerState returns the state of a worker.
func (sc *Scheduler) WorkerState(incarnation *batch.Incarnation, now time.Duration) WorkerState {
	s := sc.currentSession(incarnation)
	switch {
	case s == nil || !s.hasAnswered && !s.unreachable:
		return WorkerNotReported
	case incarnation.Draining():
		return WorkerDraining
	case !s.reachable() || now-s.lastAnswerAt >= sc.cfg.RenewWait+sc.cfg.AnswerTimeout:
		return WorkerSilent
	case sc.reportOverdue(s, now):
		return WorkerReportOverdue
	case now < s.pausedUntil:
		return WorkerPaused
	case len(s.unknownRuns) > 0:
		return WorkerHasUnknownRuns
	default:
		return WorkerReady
	}
}
