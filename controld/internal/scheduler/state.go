package scheduler

import (
	"time"

	"flamingodrift.example/controld/internal/batch"
)

// RunState is what a leader knows of a run.
type RunState struct {
	// Age is how long the leader has known the run.
	Age time.Duration
	// Confirmed is set once the worker said that it has the run, and Stopping once it was asked to stop it.
	Confirmed, Stopping bool
}

// RunState returns what is known of a task's present run.
func (f *Scheduler) RunState(t *batch.Task, now time.Duration) RunState {
	if t.Incarnation() == nil {
		return RunState{}
	}
	s := f.present(t.Incarnation())
	if s == nil || s.runs[t] == nil {
		return RunState{}
	}
	r := s.runs[t]
	return RunState{Age: now - r.startedAt, Confirmed: r.confirmed, Stopping: r.stopping || r.ending}
}

// WorkerState is what a leader thinks of a worker.
type WorkerState int

// Kinds of WorkerState. Only a WorkerReady gets new runs.
const (
	WorkerReady WorkerState = iota
	// WorkerUnheard has not answered this leader yet.
	WorkerUnheard
	// WorkerSilent does not answer.
	WorkerSilent
	// WorkerDraining leaves.
	WorkerDraining
	// WorkerPaused failed its last runs.
	WorkerPaused
	// WorkerStray has runs that the log does not hold there.
	WorkerStray
)

// WorkerState returns whether a worker gets new runs, or why not.
func (f *Scheduler) WorkerState(life *batch.Incarnation, now time.Duration) WorkerState {
	s := f.present(life)
	switch {
	case s == nil || !s.known && !s.failing:
		return WorkerUnheard
	case life.Draining():
		return WorkerDraining
	case s.failing || now-s.answeredAt >= f.cfg.RenewWait+f.cfg.AnswerTimeout:
		return WorkerSilent
	case now < s.avoidUntil:
		return WorkerPaused
	case len(s.strays) > 0:
		return WorkerStray
	default:
		return WorkerReady
	}
}
