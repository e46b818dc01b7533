package scheduler

import (
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

// session is what a leader knows about one life of a worker.
type session struct {
	life *batch.Incarnation
	// token fences the orders to this life: it rises with the term and, within a term, with each life. Orders that were
	// meant for an earlier life of the worker are refused once this life has seen it.
	token uint64
	since time.Duration
	// strays are the runs that the life has and the log does not hold there.
	strays map[executor.Run]bool
	// clock is the worker's clock at the time clockAt of this host; hasClock is false before the first answer.
	clock    time.Duration
	clockAt  time.Duration
	hasClock bool
	// known is set once the worker has answered an order of this term. From then on it refuses orders of earlier terms.
	known bool
	// until is the end of the longest lease that this leader has sent.
	until      time.Duration
	renewing   bool
	renewAt    time.Duration
	answeredAt time.Duration
	// heardAt is when the worker last answered or reported.
	heardAt time.Duration
	failing bool
	// seen is the number of the newest end that is committed, handed of the newest in a command, and listed of the newest
	// that the worker told.
	seen, handed, listed uint64
	runs                 map[*batch.Task]*run
	// streak counts failed runs since the last one that succeeded.
	streak     int
	avoidUntil time.Duration
	// held is set while a gang waits for the worker's room.
	held bool
	// speed is shared by all lives of the worker.
	speed *speed
	// index is the place of the worker in the round of that number.
	round uint64
	index int
	// drainEnd is when a draining worker may end; 0 when it has not told.
	drainEnd time.Duration
}

// run is what a leader knows about one run on a worker.
type run struct {
	number int
	// inherited is set for a run that an earlier leader placed.
	inherited bool
	// confirmed is set once the worker said that it has the run.
	confirmed   bool
	confirmedAt time.Duration
	// until is when a late start is refused, on the worker's clock; unanswered is set while it may still arrive.
	until      time.Duration
	unanswered bool
	// resent counts how often a start without an answer was sent again.
	resent     int
	startedAt  time.Duration
	stopping   bool
	stopSentAt time.Duration
	// stopped is when the worker answered a stop.
	stopped    bool
	stoppedAt  time.Duration
	checkpoint string
	percent    int
	// listedAt is when the worker's list last held the run.
	listedAt time.Duration
	// movedAt is when percent last changed.
	movedAt time.Duration
	// ending is set once the run's end was handed to the log.
	ending bool
}

// livesBits is the part of a fencing token that counts the lives of workers within a term. Together with eight million terms a
// token stays below 2^53, which every reader of JSON numbers can hold.
const livesBits = 30

// freshAnswer is how long after an answer of a life its ends may be acknowledged. A later life under the same id counts its
// ends from 1 again, and would forget ends that nobody has seen; it cannot have one so soon.
const freshAnswer = 250 * time.Millisecond

const (
	renewRetry = 150 * time.Millisecond
	stopRetry  = 500 * time.Millisecond
	// silentRemoval is how long a worker whose lease is over may be silent before it is dropped.
	silentRemoval = 8 * time.Second
)

// present returns the session of a life; nil when there is none or the worker has another life by now.
func (f *Scheduler) present(life *batch.Incarnation) *session {
	if s := f.sessions[life.Worker()]; s != nil && s.life == life {
		return s
	}
	return nil
}

func (f *Scheduler) session(life *batch.Incarnation, now time.Duration) *session {
	if s := f.present(life); s != nil {
		return s
	}
	f.lives++
	if f.speeds[life.Worker()] == nil {
		f.speeds[life.Worker()] = &speed{ratio: 1}
	}
	s := &session{
		speed: f.speeds[life.Worker()],
		life:  life, token: f.token<<livesBits + f.lives, since: now, heardAt: now, answeredAt: now, runs: map[*batch.Task]*run{},
	}
	for t := range life.Tasks() {
		s.runs[t] = &run{number: t.Run(), inherited: true, unanswered: true, startedAt: now, movedAt: now}
	}
	f.sessions[life.Worker()] = s
	return s
}

func address(life *batch.Incarnation) executor.Address {
	return executor.Address{Worker: life.Worker(), HostPort: life.Report().GetAddress()}
}

// clockNow returns a time that the worker's clock has surely reached.
func (f *Scheduler) clockNow(s *session, now time.Duration) time.Duration {
	elapsed := now - s.clockAt
	return s.clock + elapsed*time.Duration(100-f.cfg.ClockDriftPercent)/100
}

// leaseEnd returns the end of a lease on the worker's clock.
func (f *Scheduler) leaseEnd(s *session, now, length time.Duration) time.Duration {
	return s.clock + (now - s.clockAt) + length
}

// RecordReport takes note of a worker's report about itself and returns what has to be committed before it is
// acknowledged; nil when nothing is new.
func (f *Scheduler) RecordReport(report *wire.WorkerLife, now time.Duration) *wire.WorkerLife {
	life := f.batch.Incarnation(report.GetWorker())
	if life == nil || life.StartedUnixMs() < report.GetBornUnixMs() {
		return report
	}
	if life.StartedUnixMs() > report.GetBornUnixMs() {
		return nil
	}
	s := f.session(life, now)
	s.heardAt = now
	if report.GetDraining() && report.GetDrainLeftMs() > 0 {
		s.drainEnd = now + time.Duration(report.GetDrainLeftMs())*time.Millisecond
	}
	if report.GetAddress() != life.Report().GetAddress() || report.GetDraining() && !life.Draining() ||
		report.GetCpuMillis() != life.Report().GetCpuMillis() || report.GetMemoryMb() != life.Report().GetMemoryMb() {
		return report
	}
	return nil
}

// usable reports whether new runs may be placed on a worker.
func (f *Scheduler) usable(s *session, now time.Duration) bool {
	return s.known && len(s.strays) == 0 && !s.life.Draining() && !s.failing && now >= s.avoidUntil && now-s.answeredAt < f.cfg.RenewWait+f.cfg.AnswerTimeout
}

func (f *Scheduler) tendSessions(now time.Duration) {
	for worker, s := range f.sessions {
		if f.batch.Incarnation(worker) != s.life {
			delete(f.sessions, worker)
		}
	}
	for _, life := range f.batch.Incarnations() {
		s := f.session(life, now)
		if !s.renewing && now >= s.renewAt {
			f.renew(s, now)
		}
		f.tendRuns(s, now)
		if now-s.heardAt > silentRemoval && now-s.answeredAt > silentRemoval && f.lapsed(s, now) {
			s.heardAt = now
			logger.WorkerLost.Log(f.cfg.Logger, "worker", life.Worker(), "silent_ms", (now - s.answeredAt).Milliseconds())
			f.gone = append(f.gone, &wire.WorkerLife{Worker: life.Worker(), BornUnixMs: life.StartedUnixMs()})
		}
	}
}

func (f *Scheduler) renew(s *session, now time.Duration) {
	order := executor.Renew{Token: s.token, Wait: f.cfg.RenewWait}
	if now-s.answeredAt <= freshAnswer {
		order.AckedEnd = s.seen
	}
	if s.hasClock && !s.failing {
		// A worker that hears but does not answer must not be renewed: its lease would never end.
		order.Until = f.leaseEnd(s, now, f.cfg.Lease)
		s.until = max(s.until, order.Until)
	}
	if !s.known || s.failing {
		order.Wait = 0
	}
	s.renewing = true
	f.out.Renewals = append(f.out.Renewals, RenewOrder{To: address(s.life), Incarnation: s.life, Order: order, SentAt: now})
}

// lapsed reports whether the lease of a worker is surely over, so that nothing runs there any more.
func (f *Scheduler) lapsed(s *session, now time.Duration) bool {
	if !s.hasClock {
		// An earlier leader may have renewed the lease until this one took over, and an order for an earlier life may have
		// reached this one, whose clock began anew: then the lease may be the longest that the worker accepts.
		longest := f.cfg.LongestLease * 100 / time.Duration(100-f.cfg.ClockDriftPercent)
		return now-s.since > longest+f.cfg.AnswerTimeout
	}
	return !s.renewing && f.clockNow(s, now) > s.until && f.clockNow(s, now) > f.inheritedUntil(s)
}

// settled reports whether the newest run of a task can neither be at work nor start any more. While the worker that had
// it has begun a new life which has not answered yet, the start may have reached that life.
func (f *Scheduler) settled(t *batch.Task, now time.Duration) bool {
	life := f.batch.Incarnation(t.LastWorker())
	if life == nil {
		return true
	}
	s := f.present(life)
	if s == nil {
		return false
	}
	if !s.known {
		return f.lapsed(s, now)
	}
	return !s.strays[nameOf(t, t.Run())]
}

// inheritedUntil bounds the leases that an earlier leader has sent, on the worker's clock.
func (f *Scheduler) inheritedUntil(s *session) time.Duration {
	return s.clock - (s.clockAt - f.since) + f.cfg.Lease + f.cfg.AnswerTimeout
}

func (f *Scheduler) tendRuns(s *session, now time.Duration) {
	if len(s.runs) == 0 {
		return
	}
	over := now-s.answeredAt > f.cfg.RenewWait && f.lapsed(s, now)
	for t, r := range s.runs {
		if r.ending {
			continue
		}
		if over {
			f.end(s, t, r, wire.RunOutcome_RUN_OUTCOME_CUT_SHORT, r.checkpoint, "lease_over", now)
			continue
		}
		if r.stopping && !r.stopped && now-r.stopSentAt > stopRetry {
			f.sendStop(s, t, r, now)
		}
	}
}

// end hands the end of a run to the log.
func (f *Scheduler) end(s *session, t *batch.Task, r *run, outcome wire.RunOutcome, checkpoint, why string, now time.Duration) {
	r.ending = true
	f.cfg.Meter.RunEnded(why)
	f.handOver(nameOf(t, r.number), outcome, checkpoint)
	if outcome != wire.RunOutcome_RUN_OUTCOME_DONE {
		logger.RunCutShort.Log(f.cfg.Logger, "job", t.Step().Job().ID(), "step", t.Step().Number(), "index", t.Index(),
			"run", r.number, "worker", s.life.Worker(), "why", why, "ran_ms", (now - r.startedAt).Milliseconds())
	}
}

// handOver adds the end of a run to the next command for the log.
func (f *Scheduler) handOver(run executor.Run, outcome wire.RunOutcome, checkpoint string) {
	f.changed = true
	f.ends = append(f.ends, &wire.RunEnd{
		Job: run.Job, Step: uint32(run.Step), Index: uint32(run.Index), Run: uint32(run.Run),
		Outcome: outcome, Checkpoint: checkpoint,
	})
}
