package scheduler

import (
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

// maxListedEnds is the maximum number of ended runs in a worker's report; a full list may omit newer ones.
const maxListedEnds = 500

// commitWait delays the next renewal while the ended runs that the worker reported are being committed.
const commitWait = 100 * time.Millisecond

// Renewed handles a worker's answer to a renewal.
func (sc *Scheduler) Renewed(o RenewOrder, report executor.Report, answer executor.Answer, now time.Duration) {
	s := sc.currentSession(o.Incarnation)
	if s == nil {
		return
	}
	if o.Restart != nil {
		sc.restartAnswered(s, o, report, answer)
		return
	}
	s.renewing = false
	ownAnswer := answer.Status == executor.Done &&
		(report.StartedUnixMs == 0 || report.StartedUnixMs == s.incarnation.StartedUnixMs())
	if o.Order.Until > 0 {
		s.leaseOrderEnded(!ownAnswer && s.mayHaveReachedOther(answer, now), now)
	}
	if !ownAnswer {
		s.renewAt = now + renewRetryDelay
		if answer.Status == executor.Done && s.answeredUnixMs != report.StartedUnixMs {
			s.answeredUnixMs = report.StartedUnixMs
			logger.OtherIncarnation.Log(sc.cfg.Logger, "worker", s.incarnation.Worker(),
				"born_unix_ms", s.incarnation.StartedUnixMs(), "order", "renewal", "extends_lease", o.Order.Until > 0,
				"answered_born_unix_ms", report.StartedUnixMs, "clock_ms", answer.Clock.Milliseconds())
		}
		if answer.Status == executor.Done {
			s.suspectRestart(now)
			sc.acceptRestart(s)
		}
		if answer.Status == executor.OtherIncarnation {
			sc.recordOtherIncarnation(s, now)
		}
		if !s.unreachable {
			if answer.Status == executor.Unknown && s.hasClock && now-o.SentAt < o.Order.Wait+sc.cfg.AnswerTimeout {
				// The connection was closed, which a process does when it ends.
				s.closedClock = sc.minWorkerTime(s, now)
			}
			s.unreachable = true
			logger.WorkerUnreachable.Log(sc.cfg.Logger, "worker", s.incarnation.Worker(), "verdict", answer.Status.String())
		}
		return
	}
	if s.unreachable {
		logger.WorkerReachable.Log(sc.cfg.Logger, "worker", s.incarnation.Worker(),
			"silent_ms", (now - s.lastAnswerAt).Milliseconds())
	}
	if !s.hasAnswered {
		sc.changed = true
	}
	if !s.hasClock && s.followsOther {
		// Until it saw the token of this order, the incarnation may have taken orders for an earlier one. Their lease ends on
		// another clock.
		s.leaseUntil = max(s.leaseUntil, answer.Clock+sc.cfg.LongestLease)
	}
	s.answerMadeAt = o.SentAt
	if s.hasClock {
		s.answerMadeAt = now - max(0, sc.minWorkerTime(s, now)-answer.Clock)
	}
	s.hasAnswered, s.unreachable = true, false
	s.clock, s.clockAt, s.hasClock = answer.Clock, now, true
	s.latestClock = max(s.latestClock, answer.Clock)
	s.answerGap = o.SentAt - s.lastAnswerAt
	s.lastAnswerAt, s.lastHeardAt, s.renewAt = now, now, now
	s.leaseOver, s.leaseCrashes = false, nil
	s.aliveAt = max(s.aliveAt, o.SentAt)
	if o.SentAt > s.restartSuspectedAt {
		s.refuteRestart()
	}
	if sc.batch.HasUnconfirmedCrash(s.incarnation) {
		sc.returned[s.incarnation] = true
	}
	sc.recordEnds(s, report, now)
	sc.reconcileRuns(s, o, report, now)
	if s.renewAt <= now {
		sc.renew(s, now)
	}
}

// recordEnds queues the newly reported ends of runs for the log.
func (sc *Scheduler) recordEnds(s *session, report executor.Report, now time.Duration) {
	if s.listedEnd == s.committedEnd && len(report.Ended) > 0 && report.Ended[len(report.Ended)-1].Number > s.listedEnd {
		sc.unackedSessions = append(sc.unackedSessions, s)
	}
	for _, e := range report.Ended {
		if e.Number <= s.listedEnd {
			continue
		}
		s.listedEnd = e.Number
		t := sc.taskOn(s.incarnation, e.Run)
		r := s.runs[t]
		if t == nil || r == nil || r.endQueued || r.number != e.Run.Run {
			sc.recordUnknownRunEnd(s, e)
			continue
		}
		sc.recordOutcome(s, t, r, e.Outcome, now)
		outcome, ranMs := wire.RunOutcome_RUN_OUTCOME_CUT_SHORT, uint32(0)
		switch e.Outcome {
		case executor.OutcomeDone:
			outcome, ranMs = wire.RunOutcome_RUN_OUTCOME_DONE, sc.learn(s, t, r, now)
		case executor.OutcomeFailed:
			outcome = wire.RunOutcome_RUN_OUTCOME_FAILED
		default:
		}
		sc.endRun(s, t, r, runResult{
			outcome: outcome, checkpoint: e.Checkpoint, reason: e.Outcome.String(), ranMs: ranMs,
		}, now)
	}
	if s.listedEnd > s.committedEnd {
		// Until its ended runs are acknowledged, the worker would answer a renewal immediately with the same list.
		s.renewAt = now + commitWait
	}
}

// recordUnknownRunEnd records the success of a run that was given up although its start had reached a later incarnation
// of its worker.
func (sc *Scheduler) recordUnknownRunEnd(s *session, e executor.Ended) {
	t := sc.batch.Task(e.Run.Job, e.Run.Step, e.Run.Index)
	if e.Outcome != executor.OutcomeDone || t == nil || t.Done() || t.Incarnation() != nil || t.Run() != e.Run.Run ||
		t.LastWorker() != s.incarnation.Worker() {
		return
	}
	sc.queueEnd(e.Run, runResult{outcome: wire.RunOutcome_RUN_OUTCOME_DONE, checkpoint: e.Checkpoint})
}

// taskOn returns the task of a run if the task currently has a run on the incarnation, and nil otherwise.
func (sc *Scheduler) taskOn(incarnation *batch.Incarnation, run executor.Run) *batch.Task {
	t := sc.batch.Task(run.Job, run.Step, run.Index)
	if t == nil || t.Incarnation() != incarnation {
		return nil
	}
	return t
}

// reconcileRuns compares the runs placed on a worker with those that it reported, and decides the outcome of uncertain
// ones.
func (sc *Scheduler) reconcileRuns(s *session, o RenewOrder, report executor.Report, now time.Duration) {
	// A worker without unknown runs is usable again.
	sc.changed = sc.changed || len(s.unknownRuns) > 0
	s.unknownRuns = nil
	for _, running := range report.Running {
		t := sc.taskOn(s.incarnation, running.Run)
		if r := s.runs[t]; t != nil && r != nil && r.number == running.Run.Run {
			r.listedAt = now
			sc.updateRun(s, t, r, running, now)
			continue
		}
		sc.stopUnknownRun(s, running, now)
	}
	for t, r := range s.runs {
		if r.endQueued {
			continue
		}
		if r.listedAt != now && len(report.Ended) < maxListedEnds && sc.cannotRun(s, o, r) {
			sc.endRun(s, t, r, cutShort(r.checkpoint, "never_started"), now)
		}
	}
}

// updateRun updates a run from a worker's report.
func (sc *Scheduler) updateRun(s *session, t *batch.Task, r *run, running executor.Running, now time.Duration) {
	if r.endQueued {
		return
	}
	sc.confirmRun(s, r, now)
	if running.Percent != r.percent {
		r.percent, r.progressAt = running.Percent, now
	}
	if running.Checkpoint != "" {
		r.checkpoint = running.Checkpoint
	}
	sc.stopIfStuck(s, t, r, now)
}

// noProgressTimeout is how long a run may make no progress. Several reports arrive in that time, and progress is
// reported in percent of the work.
const noProgressTimeout = 2200 * time.Millisecond

// stopIfStuck stops a run that makes no progress, so that it is restarted on another worker.
func (sc *Scheduler) stopIfStuck(s *session, t *batch.Task, r *run, now time.Duration) {
	// A gang member that has finished its share stays at 100 percent until the others have finished.
	if r.stopping || !r.confirmed || r.percent >= 100 || now-max(r.progressAt, r.confirmedAt) < noProgressTimeout {
		return
	}
	if brokenGang(t.Step()) {
		return
	}
	missing := sc.memberMissing(t.Step())
	logger.RunStuck.Log(sc.cfg.Logger, "job", t.Step().Job().ID(), "step", t.Step().Number(), "index", t.Index(),
		"run", r.number, "worker", s.incarnation.Worker(), "percent", r.percent,
		"still_ms", (now - r.progressAt).Milliseconds(), "member_missing", missing)
	if !missing {
		s.failureStreak = max(s.failureStreak, unprovenStreak-1)
		sc.recordFailure(s, now)
	}
	sc.stopRun(s, t, r, now)
}

// memberMissing reports whether a member of a gang has not started for certain or is on a worker that does not answer.
// The other members then make no progress, through no fault of their workers.
func (sc *Scheduler) memberMissing(step *batch.Step) bool {
	if !step.Spec().GetGang() {
		return false
	}
	for _, t := range step.Tasks() {
		if t.Incarnation() == nil {
			continue
		}
		s := sc.currentSession(t.Incarnation())
		if s == nil || !s.reachable() || s.runs[t] == nil || !s.runs[t].confirmed {
			return true
		}
	}
	return false
}

func (sc *Scheduler) confirmRun(s *session, r *run, now time.Duration) {
	if !r.confirmed {
		r.confirmed, r.confirmedAt, r.confirmedClock = true, now, s.latestClock
	}
	r.startUnanswered = false
}

// cannotRun reports whether a run that the worker did not report can no longer start: the worker rejects orders of
// earlier terms, has answered a stop, or the start order has expired.
func (sc *Scheduler) cannotRun(s *session, o RenewOrder, r *run) bool {
	switch {
	case r.stopAnswered && o.SentAt > r.stopAnsweredAt:
		return true
	case r.confirmed:
		// The worker had the run, so it will report its end.
		return o.SentAt > r.confirmedAt+sc.cfg.Lease
	case r.inherited:
		return true
	default:
		return r.startUnanswered && r.startDeadline > 0 && s.clock > r.startDeadline
	}
}

// stopUnknownRun stops a run that is not placed on the worker according to the log. Such runs result from late start
// orders that were given up.
func (sc *Scheduler) stopUnknownRun(s *session, running executor.Running, now time.Duration) {
	t := sc.batch.Task(running.Run.Job, running.Run.Step, running.Run.Index)
	if t != nil && t.Incarnation() == s.incarnation && t.Run() == running.Run.Run {
		return
	}
	if s.unknownRuns == nil {
		s.unknownRuns = map[executor.Run]bool{}
	}
	s.unknownRuns[running.Run] = true
	logger.UnknownRun.Log(sc.cfg.Logger, "worker", s.incarnation.Worker(), "job", running.Run.Job, "step", running.Run.Step,
		"index", running.Run.Index, "run", running.Run.Run, "at_ms", now.Milliseconds())
	sc.pendingWork.Stops = append(sc.pendingWork.Stops, StopOrder{
		To: address(s.incarnation), Incarnation: s.incarnation, Order: executor.Stop{Run: running.Run, Token: s.token},
	})
}

// removeEndedRun removes a run whose end is committed.
func (sc *Scheduler) removeEndedRun(end batch.EndedRun, now time.Duration) {
	if s := sc.sessions[end.Worker]; s != nil {
		delete(s.runs, end.Task)
	}
	if end.Crash != nil {
		sc.logSuspect(end.Task, end.Crash)
	}
	if end.Outcome == wire.RunOutcome_RUN_OUTCOME_FAILED {
		sc.recordTaskFailure(end.Task, now)
		logger.RunFailed.Log(sc.cfg.Logger, "job", end.Task.Step().Job().ID(), "step", end.Task.Step().Number(),
			"index", end.Task.Index(), "run", end.Task.Run(), "worker", end.Worker,
			"failures_left", end.Task.FailuresLeft(), "at_ms", now.Milliseconds())
	}
}
