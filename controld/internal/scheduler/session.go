package scheduler

import (
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/matcher"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

// session is the leader's state of one incarnation of a worker.
type session struct {
	incarnation *batch.Incarnation
	// token is the fencing token of orders to this incarnation. It increases with the term and, within a term, with each
	// incarnation. Once this incarnation has seen it, the worker rejects orders meant for an earlier one.
	token     uint64
	createdAt time.Duration
	// unknownRuns holds the runs that the worker has but that are not placed there according to the log.
	unknownRuns map[executor.Run]bool
	// clock is the worker's clock at the leader's time clockAt. hasClock is false until the first answer.
	clock    time.Duration
	clockAt  time.Duration
	hasClock bool
	// latestClock is the highest reading of the worker's clock in any of its answers.
	latestClock time.Duration
	// hasAnswered is set once the worker has answered an order of this term. From then on it rejects orders of earlier
	// terms.
	hasAnswered bool
	// followsOther is set if orders for an earlier incarnation of the worker may have reached this one.
	followsOther bool
	// leaseUntil is the latest end of the lease that the incarnation may have received, on its clock. leaseSentAt is when
	// this leader last extended the lease.
	leaseUntil  time.Duration
	leaseSentAt time.Duration
	// openLeaseOrders is the number of unanswered orders that extend the lease. uncertainLeaseAt is when the latest of them
	// ended without an answer of this incarnation: it may have reached a later one.
	openLeaseOrders  int
	uncertainLeaseAt time.Duration
	// aliveAt is the latest time at which certainly no later incarnation existed: this one answered an order sent then.
	aliveAt time.Duration
	// leaseOver is set once the lease is over. leaseCrashes then holds the crash for each run that may have caused it.
	leaseOver    bool
	leaseCrashes map[*batch.Task]*wire.WorkerCrash
	// renewing is set while a renewal is unanswered.
	renewing     bool
	renewAt      time.Duration
	lastAnswerAt time.Duration
	// answerMadeAt is when the worker made its last answer, as its clock shows. This process may have been paused since.
	answerMadeAt time.Duration
	// answerGap is how long no renewal was open before the one that the worker answered last.
	answerGap time.Duration
	// lastHeardAt is when the worker last answered an order or reported.
	lastHeardAt time.Duration
	// reportedAt is when the worker's newest report came, and reportSequence the number of that report.
	reportedAt     time.Duration
	reportSequence uint64
	// unreachable is set while renewals fail.
	unreachable bool
	// Numbers of the newest ended run: committedEnd of those that are committed, proposedEnd of those in a proposed
	// command, and listedEnd of those that the worker has reported.
	committedEnd, proposedEnd, listedEnd uint64
	runs                                 map[*batch.Task]*run
	// failureStreak is the number of failed runs since the last successful one.
	failureStreak int
	// pausedUntil is until when the worker gets no runs because of its failures.
	pausedUntil time.Duration
	// lastStartAt is when a run was last started on the worker.
	lastStartAt time.Duration
	// probeUntil is until when the worker gets no runs beside an isolated task; takenInRound is the number of the last
	// round that kept it for one.
	probeUntil   time.Duration
	takenInRound uint64
	// pooledInRound is the number of the last round that had the worker in the probe pool.
	pooledInRound uint64
	// reserved is set while a gang reserves capacity on the worker.
	reserved bool
	// speed is shared by all incarnations of the worker.
	speed *workerSpeed
	// group is the group of equal workers to which the worker belongs; nil if it gets no new runs for good.
	group *matcher.Group
	// index is the worker's index in the round with the number round.
	round uint64
	index int
	// closedClock is the expected reading of the worker's clock when it closed a connection on which a renewal waited.
	closedClock time.Duration
	// confirming is the start time of the later incarnation that the worker is being asked about; 0 if it is not.
	confirming int64
	// answeredUnixMs is the start time of the other incarnation that has answered a renewal; 0 if none has.
	answeredUnixMs int64
	// restartSuspectedAt is when the worker seemed to have started again; 0 if it does not. The lease is not renewed then,
	// and nothing is started. restartReport is the newest report that says so, or nil.
	restartSuspectedAt time.Duration
	restartReport      *wire.WorkerLife
	// replaced is set once another worker has answered at the address: this one has crashed.
	replaced bool
	// removalQueued is set once the removal of the incarnation was queued for the log.
	removalQueued bool
	// crashLogged is set once the crash of the incarnation was logged.
	crashLogged bool
	// leavingSince is when the worker first said that it is about to end; 0 if it has not.
	leavingSince time.Duration
	// drainDeadline is when a draining worker may shut down; 0 if it has not reported it.
	drainDeadline time.Duration
}

// run is the leader's state of one run on a worker.
type run struct {
	number int
	// inherited is set for a run that an earlier leader placed.
	inherited bool
	// confirmed is set once the worker has reported that it has the run.
	confirmed   bool
	confirmedAt time.Duration
	// confirmedClock is the reading of the worker's clock when it first reported the run.
	confirmedClock time.Duration
	// startDeadline is when the worker rejects the start order as late, on its own clock. startUnanswered is set while the
	// order may still arrive.
	startDeadline   time.Duration
	startUnanswered bool
	// openStarts is the number of start orders in progress. uncertainStartAt is when the latest start order ended without
	// an answer of this incarnation: it may have reached a later one.
	openStarts       int
	uncertainStartAt time.Duration
	// startResends is how often an unanswered start was resent.
	startResends int
	startedAt    time.Duration
	// fresh is set if this leader started the run without a checkpoint. startAnswered is set once the worker has answered
	// its only start order; startAnsweredAt and startClock are when, on the leader's and on the worker's clock.
	fresh           bool
	startAnswered   bool
	startAnsweredAt time.Duration
	startClock      time.Duration
	stopping        bool
	stopSentAt      time.Duration
	// stopAnswered is set once the worker has answered a stop order.
	stopAnswered   bool
	stopAnsweredAt time.Duration
	checkpoint     string
	percent        int
	// listedAt is when the worker last reported the run.
	listedAt time.Duration
	// progressAt is when percent last changed.
	progressAt time.Duration
	// endQueued is set once the end of the run was queued for the log.
	endQueued bool
}

// incarnationBits is the number of bits of a fencing token that count the worker incarnations within a term. With up to
// eight million terms a token stays below 2^53, which every JSON parser can represent.
const incarnationBits = 30

// ackWindow is how long after an incarnation made an answer its ended runs may be acknowledged. A later incarnation with
// the same worker id numbers its ended runs from 1 again, so a stale acknowledgement would make it drop ends that were
// never reported. Within this window a new incarnation cannot have an ended run yet.
const ackWindow = 250 * time.Millisecond

const (
	renewRetryDelay = 150 * time.Millisecond
	stopRetryDelay  = 500 * time.Millisecond
	// silentWorkerTimeout is how long a worker whose lease has expired may be silent before it is removed.
	silentWorkerTimeout = 8 * time.Second
)

// currentSession returns the session of an incarnation, or nil if there is none or the worker has a newer incarnation.
func (sc *Scheduler) currentSession(incarnation *batch.Incarnation) *session {
	if s := sc.sessions[incarnation.Worker()]; s != nil && s.incarnation == incarnation {
		return s
	}
	return nil
}

// sessionFor returns the session of a worker's present incarnation, creating it if necessary.
func (sc *Scheduler) sessionFor(incarnation *batch.Incarnation, now time.Duration) *session {
	if s := sc.currentSession(incarnation); s != nil {
		return s
	}
	sc.incarnationCount++
	if sc.speeds[incarnation.Worker()] == nil {
		sc.speeds[incarnation.Worker()] = &workerSpeed{ratio: 1}
	}
	_, wasRemoved := sc.removed[incarnation.Worker()]
	s := &session{
		speed: sc.speeds[incarnation.Worker()], incarnation: incarnation,
		token: sc.token<<incarnationBits + sc.incarnationCount, createdAt: now, lastHeardAt: now, lastAnswerAt: now, reportedAt: now,
		runs: map[*batch.Task]*run{},
	}
	if sc.matcher != nil {
		s.group = sc.matcher.GroupOf(incarnation.Worker())
	}
	s.followsOther = incarnation.Restarted() || wasRemoved || sc.sessions[incarnation.Worker()] != nil
	for t := range incarnation.Tasks() {
		s.runs[t] = &run{
			number: t.Run(), inherited: true, startUnanswered: true, startedAt: now, progressAt: now,
			uncertainStartAt: now + sc.cfg.AnswerTimeout,
		}
	}
	// Orders of an earlier leader may still arrive.
	s.uncertainLeaseAt = now + sc.orderTimeout()
	sc.sessions[incarnation.Worker()] = s
	return s
}

func address(incarnation *batch.Incarnation) executor.Address {
	return executor.Address{Worker: incarnation.Worker(), HostPort: incarnation.Report().GetAddress()}
}

// minWorkerTime returns a lower bound of the worker's clock.
func (sc *Scheduler) minWorkerTime(s *session, now time.Duration) time.Duration {
	elapsed := now - s.clockAt
	return s.clock + elapsed*time.Duration(100-sc.cfg.ClockDriftPercent)/100
}

// isOwnClock reports whether the reading of a clock in the answer to an order may be that of the session's incarnation. A
// later incarnation's clock begins anywhere.
func (sc *Scheduler) isOwnClock(s *session, clock, sentAt, now time.Duration) bool {
	least, most := sc.minWorkerTime(s, sentAt), s.clock+now-s.clockAt+sc.cfg.AnswerTimeout
	if sentAt < s.clockAt {
		least = s.clock - (s.clockAt - sentAt)
	}
	return clock >= least && clock <= most
}

// leaseEnd returns the end of a lease on the worker's clock.
func (sc *Scheduler) leaseEnd(s *session, now, length time.Duration) time.Duration {
	return s.clock + (now - s.clockAt) + length
}

// RecordReport records a worker's report about itself. It returns a command with the report if it must be committed before
// it is acknowledged, and nil if it contains no change or the worker must confirm it first.
func (sc *Scheduler) RecordReport(report *wire.WorkerLife, now time.Duration) *wire.QueueCommand {
	change := &wire.QueueCommand{Workers: []*wire.WorkerLife{report}}
	incarnation := sc.batch.Incarnation(report.GetWorker())
	if incarnation == nil {
		return change
	}
	if incarnation.StartedUnixMs() < report.GetBornUnixMs() {
		sc.confirmRestart(sc.sessionFor(incarnation, now), report, now)
		return nil
	}
	if incarnation.StartedUnixMs() > report.GetBornUnixMs() {
		return nil
	}
	s := sc.sessionFor(incarnation, now)
	s.lastHeardAt = now
	if report.GetSequence() > 0 {
		if report.GetSequence() < s.reportSequence || incarnation.IsOutdated(report) {
			if report.GetDraining() && !incarnation.Draining() {
				return change
			}
			return nil
		}
		s.reportSequence = report.GetSequence()
	}
	s.reportedAt = now
	if report.GetDraining() && report.GetDrainLeftMs() > 0 {
		s.drainDeadline = now + time.Duration(report.GetDrainLeftMs())*time.Millisecond
	}
	if report.GetAddress() != incarnation.Report().GetAddress() || report.GetDraining() && !incarnation.Draining() ||
		incarnation.DiffersFrom(report) {
		return change
	}
	return nil
}

// usable reports whether new runs may be placed on a worker.
func (sc *Scheduler) usable(s *session, now time.Duration) bool {
	return s.hasAnswered && len(s.unknownRuns) == 0 && !s.incarnation.Draining() && s.reachable() &&
		now >= s.pausedUntil && now-s.lastAnswerAt < sc.cfg.RenewWait+sc.cfg.AnswerTimeout && !sc.reportOverdue(s, now)
}

// reportOverdue reports whether a worker has not reported for so long that its capacity may have shrunk.
func (sc *Scheduler) reportOverdue(s *session, now time.Duration) bool {
	return sc.cfg.ReportValidity > 0 && now-s.reportedAt > sc.cfg.ReportValidity
}

// checkSessions sends the renewals that are due and detects expired leases and lost workers.
func (sc *Scheduler) checkSessions(now time.Duration) {
	for worker, s := range sc.sessions {
		if sc.batch.Incarnation(worker) != s.incarnation {
			delete(sc.sessions, worker)
			sc.removed[worker] = now
		}
	}
	for worker, at := range sc.removed {
		if now-at > sc.longestLease()+sc.orderTimeout() {
			delete(sc.removed, worker)
		}
	}
	for _, incarnation := range sc.batch.Incarnations() {
		s := sc.sessionFor(incarnation, now)
		if !s.renewing && now >= s.renewAt {
			sc.renew(s, now)
		}
		if s.replaced {
			sc.endCrashedRuns(s, now)
			continue
		}
		sc.checkRuns(s, now)
		if s.leavingSince != 0 && s.hasAnswered && len(incarnation.Tasks())+len(s.unknownRuns) == 0 {
			sc.removeWorker(s)
			continue
		}
		if now-s.lastHeardAt > silentWorkerTimeout && now-s.lastAnswerAt > silentWorkerTimeout && sc.leaseExpired(s, now) &&
			len(incarnation.Tasks()) == 0 {
			s.lastHeardAt = now
			logger.WorkerLost.Log(sc.cfg.Logger, "worker", incarnation.Worker(),
				"silent_ms", (now - s.lastAnswerAt).Milliseconds())
			sc.lostWorkers = append(sc.lostWorkers, &wire.WorkerLife{
				Worker: incarnation.Worker(), BornUnixMs: incarnation.StartedUnixMs(),
			})
		}
	}
}

func (sc *Scheduler) renew(s *session, now time.Duration) {
	order := executor.Renew{Token: s.token, Wait: sc.cfg.RenewWait}
	if now-s.answerMadeAt <= ackWindow {
		order.AckedEnd = s.committedEnd
	}
	if s.hasClock && s.reachable() && s.leavingSince == 0 {
		// The lease of a worker that receives orders but whose answers are lost must not be renewed, or it would never end,
		// nor that of a worker that may end without another word.
		order.Until = sc.leaseEnd(s, now, sc.cfg.Lease)
		s.extendLease(order.Until, now)
		s.openLeaseOrders++
	}
	if !s.hasAnswered || !s.reachable() {
		order.Wait = 0
	}
	s.renewing = true
	sc.pendingWork.Renewals = append(sc.pendingWork.Renewals, RenewOrder{
		To: address(s.incarnation), Incarnation: s.incarnation, Order: order, SentAt: now,
	})
}

// isUnproven reports whether the latest runs on the worker failed.
func (s *session) isUnproven() bool { return s.failureStreak >= unprovenStreak }

// reachable reports whether the incarnation answers, as far as is known.
func (s *session) reachable() bool { return !s.unreachable && s.restartSuspectedAt == 0 }

// suspectRestart records that the worker seems to have started again.
func (s *session) suspectRestart(now time.Duration) { s.restartSuspectedAt = now }

// refuteRestart records that the incarnation has answered an order that was sent after the suspicion.
func (s *session) refuteRestart() { s.restartSuspectedAt, s.restartReport = 0, nil }

// leaseOrderEnded records the end of an order that extends the lease. It is uncertain without an answer of this
// incarnation: a later one may have taken it.
func (s *session) leaseOrderEnded(uncertain bool, now time.Duration) {
	s.openLeaseOrders--
	if uncertain {
		s.uncertainLeaseAt = max(s.uncertainLeaseAt, now)
	}
}

// mayHaveReachedOther reports whether an order that ended without an answer of this incarnation may have reached a later
// one. A connection that was established before aliveAt leads to no later one: it ends with the process at its other end.
func (s *session) mayHaveReachedOther(answer executor.Answer, now time.Duration) bool {
	return answer.Status != executor.NotSent && (answer.ConnectedFor == 0 || now-answer.ConnectedFor > s.aliveAt)
}

// extendLease records that an order extends the lease of the worker.
func (s *session) extendLease(until, now time.Duration) {
	s.leaseUntil, s.leaseSentAt = max(s.leaseUntil, until), now
}

// leaseExpired reports whether the lease of a worker has certainly expired, so that nothing runs there any more.
func (sc *Scheduler) leaseExpired(s *session, now time.Duration) bool {
	if !s.hasClock {
		// An earlier leader may have renewed the lease until this one took over. An order for an earlier incarnation may also
		// have reached this one, whose clock started anew; then the lease may be the longest that the worker accepts.
		return now-s.createdAt > sc.longestLease()+sc.orderTimeout()
	}
	return !s.renewing && sc.minWorkerTime(s, now) > s.leaseUntil && sc.minWorkerTime(s, now) > sc.inheritedLeaseEnd(s)
}

// orderTimeout returns how long after it was sent any order may arrive. The longest ones are the renewals that wait.
func (sc *Scheduler) orderTimeout() time.Duration { return sc.cfg.RenewWait + sc.cfg.AnswerTimeout }

// longestLease returns how long the longest lease that a worker accepts may last after its order has arrived.
func (sc *Scheduler) longestLease() time.Duration {
	return sc.cfg.LongestLease * 100 / time.Duration(100-sc.cfg.ClockDriftPercent)
}

// mayRunElsewhere reports whether a run of a silent worker may be at work in a later incarnation, which may have taken its
// start order. The end of the lease in an order means nothing there: the clock of the later incarnation begins anywhere.
func (sc *Scheduler) mayRunElsewhere(s *session, r *run, now time.Duration) bool {
	if r.openStarts == 0 && r.uncertainStartAt <= s.aliveAt {
		return false
	}
	return s.openLeaseOrders > 0 || now-s.uncertainLeaseAt <= sc.longestLease()
}

// lastRunOver reports whether the newest run of a task is neither running nor able to start any more. While the worker
// that had it has a new incarnation that has not answered yet, the start may have reached that incarnation.
func (sc *Scheduler) lastRunOver(t *batch.Task, now time.Duration) bool {
	incarnation := sc.batch.Incarnation(t.LastWorker())
	if incarnation == nil {
		return true
	}
	s := sc.currentSession(incarnation)
	if s == nil {
		return false
	}
	if !s.hasAnswered {
		return sc.leaseExpired(s, now)
	}
	return !s.unknownRuns[runID(t, t.Run())]
}

// inheritedLeaseEnd returns an upper bound of the leases that an earlier leader has sent, on the worker's clock.
func (sc *Scheduler) inheritedLeaseEnd(s *session) time.Duration {
	return s.clock - (s.clockAt - sc.leaderSince) + sc.cfg.Lease + sc.cfg.AnswerTimeout
}

// checkRuns ends the runs of a worker whose lease has expired, and resends unanswered stops.
func (sc *Scheduler) checkRuns(s *session, now time.Duration) {
	if len(s.runs) == 0 {
		return
	}
	expired := now-s.lastAnswerAt > sc.cfg.RenewWait && sc.leaseExpired(s, now)
	if expired && !s.leaseOver {
		s.leaseOver, s.leaseCrashes = true, sc.suspects(s, false)
		sc.logLeaseOver(s, now)
	}
	for t, r := range s.runs {
		if r.endQueued {
			continue
		}
		if expired && !sc.mayRunElsewhere(s, r, now) {
			result := cutShort(r.checkpoint, "lease_over")
			result.crash = s.leaseCrashes[t]
			sc.endRun(s, t, r, result, now)
			continue
		}
		if r.stopping && !r.stopAnswered && now-r.stopSentAt > stopRetryDelay {
			sc.sendStop(s, t, r, now)
		}
	}
}

// logLeaseOver logs that the lease of a worker is over, with what that rests on, if runs end for it.
func (sc *Scheduler) logLeaseOver(s *session, now time.Duration) {
	runs, uncertain := 0, 0
	for _, r := range s.runs {
		if r.endQueued {
			continue
		}
		runs++
		if sc.mayRunElsewhere(s, r, now) {
			uncertain++
		}
	}
	if runs == 0 {
		return
	}
	logger.LeaseOver.Log(sc.cfg.Logger, "worker", s.incarnation.Worker(), "born_unix_ms", s.incarnation.StartedUnixMs(),
		"silent_ms", (now - s.lastAnswerAt).Milliseconds(), "leased_ms", (now - s.leaseSentAt).Milliseconds(),
		"has_clock", s.hasClock, "known_ms", (now - s.createdAt).Milliseconds(), "runs", runs, "uncertain_starts", uncertain)
}

// runResult is how a run has ended. The reason is for logs and metrics.
type runResult struct {
	outcome    wire.RunOutcome
	checkpoint string
	reason     string
	// crash is the crash of the worker if it may be due to the run, and nil otherwise.
	crash *wire.WorkerCrash
	// ranMs is the length of a successful run on a worker of average speed; 0 if it is not known.
	ranMs uint32
}

// cutShort returns the result of a run that ended for no fault of the task.
func cutShort(checkpoint, reason string) runResult {
	return runResult{outcome: wire.RunOutcome_RUN_OUTCOME_CUT_SHORT, checkpoint: checkpoint, reason: reason}
}

// endRun queues the end of a run for the log.
func (sc *Scheduler) endRun(s *session, t *batch.Task, r *run, result runResult, now time.Duration) {
	r.endQueued = true
	sc.cfg.Meter.RunEnded(result.reason)
	sc.queueEnd(runID(t, r.number), result)
	if result.outcome != wire.RunOutcome_RUN_OUTCOME_DONE {
		logger.RunCutShort.Log(sc.cfg.Logger, "job", t.Step().Job().ID(), "step", t.Step().Number(), "index", t.Index(),
			"run", r.number, "worker", s.incarnation.Worker(), "why", result.reason, "ran_ms", (now - r.startedAt).Milliseconds(),
			"survived_ms", s.survived(r).Milliseconds())
	}
}

// queueEnd adds the end of a run to the next command for the log.
func (sc *Scheduler) queueEnd(run executor.Run, result runResult) {
	sc.changed = true
	sc.ends = append(sc.ends, newRunEnd(run, result))
}

func newRunEnd(run executor.Run, result runResult) *wire.RunEnd {
	return &wire.RunEnd{
		Job: run.Job, Step: uint32(run.Step), Index: uint32(run.Index), Run: uint32(run.Run),
		Outcome: result.outcome, Checkpoint: result.checkpoint, Crash: result.crash, RanMs: result.ranMs,
	}
}
