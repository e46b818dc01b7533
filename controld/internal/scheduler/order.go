package scheduler

import (
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

// mostResent is how often a start without an answer is sent again. A share of the orders can be lost for a while; with
// the timeout of an answer this ends before the members of a gang have waited for long.
const mostResent = 3

func nameOf(t *batch.Task, number int) executor.Run {
	return executor.Run{Job: t.Step().Job().ID(), Step: t.Step().Number(), Index: t.Index(), Run: number}
}

// start orders the run of a task whose placement is committed.
func (f *Scheduler) start(t *batch.Task, now time.Duration) {
	life := t.Incarnation()
	s := f.session(life, now)
	r := &run{number: t.Run(), unanswered: true, startedAt: now, movedAt: now, checkpoint: t.Checkpoint()}
	r.until = f.leaseEnd(s, now, f.cfg.StartLease)
	s.runs[t] = r
	s.until = max(s.until, r.until)
	order := executor.Start{
		Run: nameOf(t, r.number), Spec: t.Step().Job().Spec().GetSpec(), Token: s.token, Until: r.until,
		Checkpoint: t.Checkpoint(), Ticket: f.ticket(t.Step(), life, now),
	}
	f.out.Starts = append(f.out.Starts, StartOrder{To: address(life), Incarnation: life, Task: t, Order: order})
}

// Started takes in a worker's answer to a start.
func (f *Scheduler) Started(o StartOrder, answer executor.Answer, now time.Duration) {
	s := f.present(o.Incarnation)
	if s == nil {
		return
	}
	r := s.runs[o.Task]
	if r == nil || r.number != o.Order.Run.Run || r.ending {
		return
	}
	verdict := answer.Status
	if verdict != executor.Done && r.resent > 0 {
		// The refusal holds for the repetition only: an earlier sending may have arrived or may still arrive.
		verdict = executor.Unknown
	}
	switch verdict {
	case executor.Done:
		f.confirm(r, now)
	case executor.Unknown:
		logger.StartUnanswered.Log(f.cfg.Logger, "worker", s.life.Worker(), "job", o.Order.Run.Job, "step", o.Order.Run.Step,
			"index", o.Order.Run.Index, "run", o.Order.Run.Run, "resent", r.resent)
		f.sendAgain(s, o, r, now)
	default:
		if answer.Status == executor.NoTicket {
			f.dropTicket(o.Task.Step(), s.life.Worker())
		}
		if answer.Status == executor.Unhealthy {
			f.blame(s, now)
		}
		f.end(s, o.Task, r, wire.RunOutcome_RUN_OUTCOME_CUT_SHORT, o.Task.Checkpoint(), answer.Status.String(), now)
	}
}

// sendAgain repeats a start without an answer: a worker that has the run already answers the same. The order may still be
// carried out late, so a run that is given up is stopped first.
func (f *Scheduler) sendAgain(s *session, o StartOrder, r *run, now time.Duration) {
	if r.confirmed || r.stopping {
		return
	}
	if r.resent >= mostResent || s.failing {
		f.stop(s, o.Task, r, now)
		return
	}
	r.resent++
	r.until = f.leaseEnd(s, now, f.cfg.StartLease)
	s.until = max(s.until, r.until)
	o.Order.Until = r.until
	f.out.Starts = append(f.out.Starts, o)
}

func (f *Scheduler) stop(s *session, t *batch.Task, r *run, now time.Duration) {
	if r.stopping || r.ending {
		return
	}
	r.stopping = true
	f.sendStop(s, t, r, now)
}

func (f *Scheduler) sendStop(s *session, t *batch.Task, r *run, now time.Duration) {
	r.stopSentAt = now
	f.out.Stops = append(f.out.Stops, StopOrder{
		To: address(s.life), Incarnation: s.life, Task: t, Order: executor.Stop{Run: nameOf(t, r.number), Token: s.token},
	})
}

// Stopped takes in a worker's answer to a stop. The run's end follows in the worker's list, if the run was there.
func (f *Scheduler) Stopped(o StopOrder, answer executor.Answer, now time.Duration) {
	s := f.present(o.Incarnation)
	if s == nil || o.Task == nil {
		return
	}
	if r := s.runs[o.Task]; r != nil && r.number == o.Order.Run.Run && answer.Status == executor.Done && !r.stopped {
		r.stopped, r.stoppedAt = true, now
	}
}

// stopUnwanted stops the runs of jobs that have ended, the rest of a gang that lost a member, and what should move away
// from a worker that leaves.
func (f *Scheduler) stopUnwanted(now time.Duration) {
	for _, j := range f.batch.Active() {
		if j.ActiveRuns() == 0 {
			continue
		}
		for _, step := range j.Steps() {
			broken := brokenGang(step)
			if !j.Ended() && !broken {
				continue
			}
			for _, t := range step.Tasks() {
				f.stopTask(t, now)
			}
		}
	}
	for _, s := range f.sessions {
		if !s.life.Draining() {
			continue
		}
		for t, r := range s.runs {
			if t.Step().Spec().GetCheckpoints() && r.confirmed && now+f.remaining(t, r, now) > s.drainEnd {
				f.stop(s, t, r, now)
			}
		}
	}
}

const (
	// leastPercent is the progress from which on a run tells more than its estimate.
	leastPercent = 10
	// overrun is the share of its time so far that a run is expected to take on when it has passed its estimate.
	overrun = 0.2
)

// remaining estimates how long a run will take from now on, by its progress where that tells more than the estimate.
func (f *Scheduler) remaining(t *batch.Task, r *run, now time.Duration) time.Duration {
	ran := now - r.startedAt
	whole := time.Duration(t.Step().Spec().GetEstimateMs()) * time.Millisecond
	if r.percent >= leastPercent {
		whole = (r.movedAt - r.startedAt) * 100 / time.Duration(r.percent)
	}
	return max(whole-ran, time.Duration(overrun*float64(ran)))
}

// brokenGang reports whether some but not all members of a gang that is not done have a run.
func brokenGang(step *batch.Step) bool {
	return step.Spec().GetGang() && !step.Done() && step.ActiveRuns() > 0 && step.ActiveRuns() < len(step.Tasks())
}

func (f *Scheduler) stopTask(t *batch.Task, now time.Duration) {
	if t.Incarnation() == nil {
		return
	}
	s := f.present(t.Incarnation())
	if s == nil {
		return
	}
	if r := s.runs[t]; r != nil {
		f.stop(s, t, r, now)
	}
}
