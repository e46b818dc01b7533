package scheduler

import (
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

// listLimit is how many ends a worker returns at most; a full list may miss newer ones.
const listLimit = 500

// commitPause is how long a renewal waits for the commit of the ends that a worker has listed.
const commitPause = 100 * time.Millisecond

// Renewed takes in a worker's answer to a renewal.
func (f *Scheduler) Renewed(o RenewOrder, report executor.Report, answer executor.Answer, now time.Duration) {
	s := f.present(o.Incarnation)
	if s == nil {
		return
	}
	s.renewing = false
	if answer.Status != executor.Done || report.StartedUnixMs != 0 && report.StartedUnixMs != s.life.StartedUnixMs() {
		s.renewAt = now + renewRetry
		if !s.failing {
			s.failing = true
			logger.WorkerUnreachable.Log(f.cfg.Logger, "worker", s.life.Worker(), "verdict", answer.Status.String())
		}
		return
	}
	if s.failing {
		logger.WorkerReachable.Log(f.cfg.Logger, "worker", s.life.Worker(), "silent_ms", (now - s.answeredAt).Milliseconds())
	}
	if !s.known {
		f.changed = true
	}
	s.known, s.failing = true, false
	s.clock, s.clockAt, s.hasClock = answer.Clock, now, true
	s.answeredAt, s.heardAt, s.renewAt = now, now, now
	f.takeEnds(s, report, now)
	f.compareRuns(s, o, report, now)
	if s.renewAt <= now {
		f.renew(s, now)
	}
}

func (f *Scheduler) takeEnds(s *session, report executor.Report, now time.Duration) {
	if s.listed == s.seen && len(report.Ended) > 0 && report.Ended[len(report.Ended)-1].Number > s.listed {
		f.reported = append(f.reported, s)
	}
	for _, e := range report.Ended {
		if e.Number <= s.listed {
			continue
		}
		s.listed = e.Number
		t := f.find(s.life, e.Run)
		r := s.runs[t]
		if t == nil || r == nil || r.ending || r.number != e.Run.Run {
			f.takeStrayEnd(s, e)
			continue
		}
		f.learn(s, t, r, e.Outcome, now)
		outcome := wire.RunOutcome_RUN_OUTCOME_CUT_SHORT
		switch e.Outcome {
		case executor.OutcomeDone:
			outcome = wire.RunOutcome_RUN_OUTCOME_DONE
		case executor.OutcomeFailed:
			outcome = wire.RunOutcome_RUN_OUTCOME_FAILED
		default:
		}
		f.end(s, t, r, outcome, e.Checkpoint, e.Outcome.String(), now)
	}
	if s.listed > s.seen {
		// The worker would answer at once with the same ends until they are committed.
		s.renewAt = now + commitPause
	}
}

// takeStrayEnd takes in the success of a run that was given up, because its start reached a later life of its worker.
func (f *Scheduler) takeStrayEnd(s *session, e executor.Ended) {
	t := f.batch.Task(e.Run.Job, e.Run.Step, e.Run.Index)
	if e.Outcome != executor.OutcomeDone || t == nil || t.Done() || t.Incarnation() != nil || t.Run() != e.Run.Run ||
		t.LastWorker() != s.life.Worker() {
		return
	}
	f.handOver(e.Run, wire.RunOutcome_RUN_OUTCOME_DONE, e.Checkpoint)
}

// find returns the task of a run that a life holds.
func (f *Scheduler) find(life *batch.Incarnation, run executor.Run) *batch.Task {
	t := f.batch.Task(run.Job, run.Step, run.Index)
	if t == nil || t.Incarnation() != life {
		return nil
	}
	return t
}

// compareRuns settles the runs whose fate was unknown by what the worker lists.
func (f *Scheduler) compareRuns(s *session, o RenewOrder, report executor.Report, now time.Duration) {
	// A worker without strays may get runs again.
	f.changed = f.changed || len(s.strays) > 0
	s.strays = nil
	for _, running := range report.Running {
		t := f.find(s.life, running.Run)
		if r := s.runs[t]; t != nil && r != nil && r.number == running.Run.Run {
			r.listedAt = now
			f.follow(s, t, r, running, now)
			continue
		}
		f.stopStray(s, running, now)
	}
	for t, r := range s.runs {
		if r.ending {
			continue
		}
		if r.listedAt != now && len(report.Ended) < listLimit && f.neverRuns(s, o, r) {
			f.end(s, t, r, wire.RunOutcome_RUN_OUTCOME_CUT_SHORT, r.checkpoint, "never_started", now)
		}
	}
}

// follow takes in what a worker tells of a run.
func (f *Scheduler) follow(s *session, t *batch.Task, r *run, running executor.Running, now time.Duration) {
	if r.ending {
		return
	}
	f.confirm(r, now)
	if running.Percent != r.percent {
		r.percent, r.movedAt = running.Percent, now
	}
	if running.Checkpoint != "" {
		r.checkpoint = running.Checkpoint
	}
	f.stopIfStuck(s, t, r, now)
}

// stuckAfter is how long a run may make no progress: several reports come in that time, and a run shows progress with
// each hundredth of its work.
const stuckAfter = 2200 * time.Millisecond

// stopIfStuck stops a run that makes no progress, so that it starts on another worker.
func (f *Scheduler) stopIfStuck(s *session, t *batch.Task, r *run, now time.Duration) {
	// A member of a gang that has done its share waits at 100 for the others.
	if r.stopping || !r.confirmed || r.percent >= 100 || now-max(r.movedAt, r.confirmedAt) < stuckAfter {
		return
	}
	if brokenGang(t.Step()) {
		return
	}
	logger.RunStuck.Log(f.cfg.Logger, "job", t.Step().Job().ID(), "step", t.Step().Number(), "index", t.Index(),
		"run", r.number, "worker", s.life.Worker(), "percent", r.percent, "still_ms", (now - r.movedAt).Milliseconds())
	s.streak = max(s.streak, provenStreak-1)
	f.blame(s, now)
	f.stop(s, t, r, now)
}

func (f *Scheduler) confirm(r *run, now time.Duration) {
	if !r.confirmed {
		r.confirmed, r.confirmedAt = true, now
	}
	r.unanswered = false
}

// neverRuns reports whether a run that the worker did not list can start no more: orders of earlier terms are refused,
// a stop was answered before, or the start would come too late.
func (f *Scheduler) neverRuns(s *session, o RenewOrder, r *run) bool {
	switch {
	case r.stopped && o.SentAt > r.stoppedAt:
		return true
	case r.confirmed:
		// The run was there; its end will be listed.
		return o.SentAt > r.confirmedAt+f.cfg.Lease
	case r.inherited:
		return true
	default:
		return r.unanswered && r.until > 0 && s.clock > r.until
	}
}

// stopStray stops a run that this cell's log does not hold, which happens when a late start was given up.
func (f *Scheduler) stopStray(s *session, running executor.Running, now time.Duration) {
	t := f.batch.Task(running.Run.Job, running.Run.Step, running.Run.Index)
	if t != nil && t.Incarnation() == s.life && t.Run() == running.Run.Run {
		return
	}
	if s.strays == nil {
		s.strays = map[executor.Run]bool{}
	}
	s.strays[running.Run] = true
	logger.StrayRun.Log(f.cfg.Logger, "worker", s.life.Worker(), "job", running.Run.Job, "step", running.Run.Step,
		"index", running.Run.Index, "run", running.Run.Run, "at_ms", now.Milliseconds())
	f.out.Stops = append(f.out.Stops, StopOrder{
		To: address(s.life), Incarnation: s.life, Order: executor.Stop{Run: running.Run, Token: s.token},
	})
}

// runEnded drops a run that the log has released.
func (f *Scheduler) runEnded(end batch.EndedRun, now time.Duration) {
	if s := f.sessions[end.Worker]; s != nil {
		delete(s.runs, end.Task)
	}
	if end.Outcome == wire.RunOutcome_RUN_OUTCOME_FAILED {
		logger.RunFailed.Log(f.cfg.Logger, "job", end.Task.Step().Job().ID(), "step", end.Task.Step().Number(),
			"index", end.Task.Index(), "run", end.Task.Run(), "worker", end.Worker,
			"failures_left", end.Task.FailuresLeft(), "at_ms", now.Milliseconds())
	}
}
