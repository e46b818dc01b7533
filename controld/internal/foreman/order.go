package foreman

import (
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/courier"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

// mostResent is how often a start without an answer is sent again. A share of the orders can be lost for a while; with
// the timeout of an answer this ends before the members of a gang have waited for long.
const mostResent = 3

func nameOf(t *batch.Task, number int) courier.Run {
	return courier.Run{Job: t.Step().Job().ID(), Step: t.Step().Number(), Index: t.Index(), Run: number}
}

// start orders the run of a task whose placement is committed.
func (f *Foreman) start(t *batch.Task, now time.Duration) {
	life := t.Life()
	s := f.session(life, now)
	r := &run{number: t.Run(), unanswered: true, startedAt: now, movedAt: now, checkpoint: t.Checkpoint()}
	r.until = f.leaseEnd(s, now, f.cfg.StartLease)
	s.runs[t] = r
	s.until = max(s.until, r.until)
	order := courier.Start{
		Run: nameOf(t, r.number), Spec: t.Step().Job().Spec().GetSpec(), Token: s.token, Until: r.until,
		Checkpoint: t.Checkpoint(), Ticket: f.ticket(t.Step(), life, now),
	}
	f.out.Starts = append(f.out.Starts, StartOrder{To: address(life), Life: life, Task: t, Order: order})
}

// Started takes in a worker's answer to a start.
func (f *Foreman) Started(o StartOrder, answer courier.Answer, now time.Duration) {
	s := f.present(o.Life)
	if s == nil {
		return
	}
	r := s.runs[o.Task]
	if r == nil || r.number != o.Order.Run.Run || r.ending {
		return
	}
	verdict := answer.Verdict
	if verdict != courier.Done && r.resent > 0 {
		// The refusal holds for the repetition only: an earlier sending may have arrived or may still arrive.
		verdict = courier.Unknown
	}
	switch verdict {
	case courier.Done:
		f.confirm(r, now)
	case courier.Unknown:
		logger.StartUnanswered.Log(f.cfg.Logger, "worker", s.life.Worker(), "job", o.Order.Run.Job, "step", o.Order.Run.Step,
			"index", o.Order.Run.Index, "run", o.Order.Run.Run, "resent", r.resent)
		f.sendAgain(s, o, r, now)
	default:
		if answer.Verdict == courier.NoTicket {
			f.dropTicket(o.Task.Step(), s.life.Worker())
		}
		if answer.Verdict == courier.Unhealthy {
			f.blame(s, now)
		}
		f.end(s, o.Task, r, wire.RunOutcome_RUN_OUTCOME_CUT_SHORT, o.Task.Checkpoint(), answer.Verdict.String(), now)
	}
}

// sendAgain repeats a start without an answer: a worker that has the run already answers the same. The order may still be
// carried out late, so a run that is given up is stopped first.
func (f *Foreman) sendAgain(s *session, o StartOrder, r *run, now time.Duration) {
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

func (f *Foreman) stop(s *session, t *batch.Task, r *run, now time.Duration) {
	if r.stopping || r.ending {
		return
	}
	r.stopping = true
	f.sendStop(s, t, r, now)
}

func (f *Foreman) sendStop(s *session, t *batch.Task, r *run, now time.Duration) {
	r.stopSentAt = now
	f.out.Stops = append(f.out.Stops, StopOrder{
		To: address(s.life), Life: s.life, Task: t, Order: courier.Stop{Run: nameOf(t, r.number), Token: s.token},
	})
}

// Stopped takes in a worker's answer to a stop. The run's end follows in the worker's list, if the run was there.
func (f *Foreman) Stopped(o StopOrder, answer courier.Answer, now time.Duration) {
	s := f.present(o.Life)
	if s == nil || o.Task == nil {
		return
	}
	if r := s.runs[o.Task]; r != nil && r.number == o.Order.Run.Run && answer.Verdict == courier.Done && !r.stopped {
		r.stopped, r.stoppedAt = true, now
	}
}

// stopUnwanted stops the runs of jobs that have ended, the rest of a gang that lost a member, and what should move away
// from a worker that leaves.
func (f *Foreman) stopUnwanted(now time.Duration) {
	for _, j := range f.batch.Active() {
		if j.Held() == 0 {
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
func (f *Foreman) remaining(t *batch.Task, r *run, now time.Duration) time.Duration {
	ran := now - r.startedAt
	whole := time.Duration(t.Step().Spec().GetEstimateMs()) * time.Millisecond
	if r.percent >= leastPercent {
		whole = (r.movedAt - r.startedAt) * 100 / time.Duration(r.percent)
	}
	return max(whole-ran, time.Duration(overrun*float64(ran)))
}

// brokenGang reports whether some but not all members of a gang that is not done have a run.
func brokenGang(step *batch.Step) bool {
	return step.Spec().GetGang() && !step.Done() && step.Held() > 0 && step.Held() < len(step.Tasks())
}

func (f *Foreman) stopTask(t *batch.Task, now time.Duration) {
	if t.Life() == nil {
		return
	}
	s := f.present(t.Life())
	if s == nil {
		return
	}
	if r := s.runs[t]; r != nil {
		f.stop(s, t, r, now)
	}
}
