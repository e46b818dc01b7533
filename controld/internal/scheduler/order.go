package scheduler

import (
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/logger"
)

// maxStartResends is how often a start without an answer is resent. A share of the orders may be lost for some time;
// with the answer timeout, resending stops before the other members of a gang have waited for long.
const maxStartResends = 3

func runID(t *batch.Task, number int) executor.Run {
	return executor.Run{Job: t.Step().Job().ID(), Step: t.Step().Number(), Index: t.Index(), Run: number}
}

// startRun orders the run of a task whose placement is committed.
func (sc *Scheduler) startRun(t *batch.Task, now time.Duration) {
	incarnation := t.Incarnation()
	s := sc.sessionFor(incarnation, now)
	r := &run{
		number: t.Run(), startUnanswered: true, startedAt: now, progressAt: now,
		checkpoint: t.Checkpoint(), fresh: t.Checkpoint() == "",
	}
	s.runs[t] = r
	if !s.reachable() {
		sc.endRun(s, t, r, cutShort(r.checkpoint, executor.NotSent.String()), now)
		return
	}
	r.startDeadline = sc.leaseEnd(s, now, sc.cfg.StartLease)
	s.lastStartAt = now
	if isolationOf(t) != notIsolated {
		s.probeUntil = now + probeTime
	}
	order := executor.Start{
		Run: runID(t, r.number), Spec: t.Step().Job().Spec().GetSpec(), Token: s.token, Until: r.startDeadline,
		Checkpoint: t.Checkpoint(), Ticket: sc.validTicket(t.Step(), incarnation, now),
	}
	sc.sendStart(s, r, StartOrder{
		To: address(incarnation), Incarnation: incarnation, Task: t, Order: order, SentAt: now,
	})
}

func (sc *Scheduler) sendStart(s *session, r *run, o StartOrder) {
	s.extendLease(o.Order.Until, o.SentAt)
	s.openLeaseOrders++
	r.openStarts++
	sc.pendingWork.Starts = append(sc.pendingWork.Starts, o)
}

// Started handles a worker's answer to a start order.
func (sc *Scheduler) Started(o StartOrder, answer executor.Answer, now time.Duration) {
	s := sc.currentSession(o.Incarnation)
	if s == nil {
		return
	}
	ownAnswer := answer.HasClock && sc.isOwnClock(s, answer.Clock, o.SentAt, now)
	uncertain := !ownAnswer && s.mayHaveReachedOther(answer, now)
	s.leaseOrderEnded(uncertain, now)
	r := s.runs[o.Task]
	if r == nil || r.number != o.Order.Run.Run {
		return
	}
	r.openStarts--
	if uncertain && (answer.Status == executor.Done || answer.Status == executor.Unknown) {
		r.uncertainStartAt = now
	}
	if r.endQueued {
		return
	}
	switch {
	case ownAnswer:
		s.latestClock = max(s.latestClock, answer.Clock)
	case answer.HasClock && answer.Status != executor.OtherIncarnation:
		logger.OtherIncarnation.Log(sc.cfg.Logger, "worker", s.incarnation.Worker(),
			"born_unix_ms", s.incarnation.StartedUnixMs(), "order", "start", "job", o.Order.Run.Job, "step", o.Order.Run.Step,
			"index", o.Order.Run.Index, "run", o.Order.Run.Run, "verdict", answer.Status.String(),
			"clock_ms", answer.Clock.Milliseconds(), "own_clock_ms", (s.clock + now - s.clockAt).Milliseconds())
		s.suspectRestart(now)
		if answer.Status == executor.Done {
			return
		}
	default:
	}
	status := answer.Status
	if status != executor.Done && r.startResends > 0 {
		// The rejection applies only to the resent order: an earlier one may have arrived or may still arrive.
		status = executor.Unknown
	}
	switch status {
	case executor.Done:
		sc.confirmRun(s, r, now)
		if ownAnswer && r.startResends == 0 {
			r.startAnswered, r.startAnsweredAt, r.startClock = true, now, answer.Clock
		}
	case executor.Unknown:
		logger.StartUnanswered.Log(sc.cfg.Logger, "worker", s.incarnation.Worker(), "job", o.Order.Run.Job,
			"step", o.Order.Run.Step, "index", o.Order.Run.Index, "run", o.Order.Run.Run, "resent", r.startResends)
		sc.resendStart(s, o, r, now)
	default:
		if answer.Status == executor.NoTicket {
			sc.invalidateTicket(o.Task.Step(), s.incarnation.Worker())
		}
		if answer.Status == executor.Unhealthy {
			sc.recordFailure(s, now)
		}
		sc.endRun(s, o.Task, r, cutShort(o.Task.Checkpoint(), answer.Status.String()), now)
	}
}

// resendStart resends a start that was not answered. Starts are idempotent: a worker that already has the run gives the
// same answer. A start may still be executed late, so the run is stopped before it is given up.
func (sc *Scheduler) resendStart(s *session, o StartOrder, r *run, now time.Duration) {
	if r.confirmed || r.stopping {
		return
	}
	if r.startResends >= maxStartResends || !s.reachable() {
		sc.stopRun(s, o.Task, r, now)
		return
	}
	r.startResends++
	r.startDeadline = sc.leaseEnd(s, now, sc.cfg.StartLease)
	o.Order.Until, o.SentAt = r.startDeadline, now
	sc.sendStart(s, r, o)
}

func (sc *Scheduler) stopRun(s *session, t *batch.Task, r *run, now time.Duration) {
	if r.stopping || r.endQueued {
		return
	}
	r.stopping = true
	sc.sendStop(s, t, r, now)
}

func (sc *Scheduler) sendStop(s *session, t *batch.Task, r *run, now time.Duration) {
	r.stopSentAt = now
	sc.pendingWork.Stops = append(sc.pendingWork.Stops, StopOrder{
		To: address(s.incarnation), Incarnation: s.incarnation, Task: t,
		Order: executor.Stop{Run: runID(t, r.number), Token: s.token},
	})
}

// Stopped handles a worker's answer to a stop order. If the worker had the run, its end is reported with a later
// renewal.
func (sc *Scheduler) Stopped(o StopOrder, answer executor.Answer, now time.Duration) {
	s := sc.currentSession(o.Incarnation)
	if s == nil || o.Task == nil {
		return
	}
	if r := s.runs[o.Task]; r != nil && r.number == o.Order.Run.Run && answer.Status == executor.Done && !r.stopAnswered {
		r.stopAnswered, r.stopAnsweredAt = true, now
	}
}

// stopUnneededRuns stops the runs of ended jobs, the remaining runs of gangs that lost a member, and runs with
// checkpoints that would not finish before their draining worker shuts down.
func (sc *Scheduler) stopUnneededRuns(now time.Duration) {
	for _, j := range sc.jobs.runnable {
		if j.ActiveRuns() == 0 {
			continue
		}
		for _, step := range j.Steps() {
			broken := brokenGang(step)
			if !j.Ended() && !broken {
				continue
			}
			for _, t := range step.Tasks() {
				sc.stopTask(t, now)
			}
		}
	}
	for _, s := range sc.sessions {
		if !s.incarnation.Draining() {
			continue
		}
		for t, r := range s.runs {
			if t.Step().Spec().GetCheckpoints() && r.confirmed && now+sc.remainingTime(t, r, now) > s.drainDeadline {
				sc.stopRun(s, t, r, now)
			}
		}
	}
}

const (
	// minProgressPercent is the progress from which on the remaining time is extrapolated instead of estimated.
	minProgressPercent = 10
	// overrunShare is the remaining time of a run that has exceeded its estimate, as a share of its runtime so far.
	overrunShare = 0.2
	// learnedOverrunShare replaces overrunShare for a learned length: a run whose length has a log deviation of 0.5 and that
	// has taken its mean takes a third of that more on average.
	learnedOverrunShare = 0.35
)

// remainingTime estimates the remaining time of a run from its progress or, early in the run, from the job's estimate.
func (sc *Scheduler) remainingTime(t *batch.Task, r *run, now time.Duration) time.Duration {
	ran := now - r.startedAt
	total, share := sc.stepLength(t.Step()), overrunShare
	if sc.cfg.LearnRunTimes {
		share = learnedOverrunShare
		if s := sc.currentSession(t.Incarnation()); s != nil {
			total = time.Duration(float64(total) / sc.speedOf(s))
		}
	}
	if r.percent >= minProgressPercent {
		total = (r.progressAt - r.startedAt) * 100 / time.Duration(r.percent)
	}
	return max(total-ran, time.Duration(share*float64(ran)))
}

// brokenGang reports whether some but not all members of an unfinished gang have a run.
func brokenGang(step *batch.Step) bool {
	return step.Spec().GetGang() && !step.Done() && step.ActiveRuns() > 0 && step.ActiveRuns() < len(step.Tasks())
}

func (sc *Scheduler) stopTask(t *batch.Task, now time.Duration) {
	if t.Incarnation() == nil {
		return
	}
	s := sc.currentSession(t.Incarnation())
	if s == nil {
		return
	}
	if r := s.runs[t]; r != nil {
		sc.stopRun(s, t, r, now)
	}
}
