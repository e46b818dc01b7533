// Package scheduler implements the leader's scheduling of submitted jobs. It maintains the workers' leases, decides
// which tasks to run where, and turns the workers' reports into commands for the replicated log. It does no I/O and
// reads no clock.
package scheduler

import (
	"log/slog"
	"time"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/matcher"
	"flamingodrift.example/controld/internal/speedestimator"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

// Config holds the settings of a Scheduler.
type Config struct {
	// Lease is how long a worker may run without a renewal, on its own clock. It must be longer than an election. It is
	// also how long the runs of a lost worker cannot be replaced.
	Lease time.Duration
	// LongestLease is the longest lease that workers accept.
	LongestLease time.Duration
	// RenewWait is how long a worker may wait for a run to end before it answers a renewal.
	RenewWait time.Duration
	// AnswerTimeout is the timeout for the answer to an order; for a renewal, it is added to RenewWait.
	AnswerTimeout time.Duration
	// StartLease is how long after it was sent a start order may still be executed.
	StartLease time.Duration
	// ClockDriftPercent is how much slower than the leader's clock a worker's clock may run at most.
	ClockDriftPercent int
	// ReportValidity is how long after its last report a worker gets new runs. After that its capacity may have shrunk. 0
	// means without limit.
	ReportValidity time.Duration
	// ReportInterval is the interval at which workers report.
	ReportInterval time.Duration
	// ReportsKnownAt is the latest time at which the reports of the workers were certainly in the log, because a leader took
	// them. Each worker had reported within ReportInterval before it.
	ReportsKnownAt time.Duration
	// EndedJobRetention is how long an ended job is kept.
	EndedJobRetention time.Duration
	Logger            *slog.Logger
	// Meter receives the metrics of jobs and runs. It may be nil.
	Meter Meter
	// LearnRunTimes replaces the declared lengths of tasks by those learned from the queue's ended runs.
	LearnRunTimes bool
	// Allocator configures the placement policy.
	Allocator allocator.Config
}

// Meter receives the metrics of jobs and runs.
type Meter interface {
	// JobStarted records how long a job waited for its first run.
	JobStarted(queue string, waited time.Duration)
	// JobEnded records how long a job took and its final phase.
	JobEnded(queue, phase string, took time.Duration)
	// RunEnded counts an ended run by the reason for its end.
	RunEnded(reason string)
	// RunTimeCompared records the length of a successful run divided by what it was expected to take, and what that
	// expectation is based on: "declared" or "learned".
	RunTimeCompared(queue, basis string, ratio float64)
}

// noopMeter discards all metrics.
type noopMeter struct{}

func (noopMeter) JobStarted(string, time.Duration)        {}
func (noopMeter) JobEnded(string, string, time.Duration)  {}
func (noopMeter) RunEnded(string)                         {}
func (noopMeter) RunTimeCompared(string, string, float64) {}

// Scheduler holds the leader's state that is not in the replicated log. It is created for one term and used only by
// the control goroutine.
type Scheduler struct {
	cfg         Config
	batch       *batch.Batch
	token       uint64
	leaderSince time.Duration
	alloc       *allocator.Allocator
	sessions    map[string]*session
	// removed holds, by worker, when the session of an incarnation ended, while orders for it may have extended a lease.
	removed  map[string]time.Duration
	consents map[*batch.Step]*consentState
	helpers  map[string]*helper
	timings  map[*batch.Job]jobTiming
	// failedAt holds when a run of a task, or of a gang by its first task, failed last in this term.
	failedAt map[*batch.Task]time.Duration
	// matcher tells which of matchedWorkers, those that get new runs, could run a step. It is for workersVersion of the batch
	// and matchedConfig; matchVersion counts its replacements.
	matcher        *matcher.Matcher
	matchedWorkers []matcher.Worker
	workersVersion uint64
	matchedConfig  *wire.QueueConfig
	matchVersion   uint64
	jobs           jobIndex
	// loggedImpossible is the number of impossible jobs that was logged last.
	loggedImpossible int
	// shares tells which jobs exceed the rate of their workspace.
	shares *workspaceShares
	// backlog sums up the waiting work for admission.
	backlog *backlog
	// reservations holds where the gangs with reserved capacity will run.
	reservations map[*batch.Step][]sessionShare
	// probePool holds the workers that are kept for tasks that must run alone.
	probePool []*session
	// isolatedSince holds since when each isolated task waits; a gang counts by its first task.
	isolatedSince map[*batch.Task]time.Duration
	ended         []endedJob
	speeds        map[string]*workerSpeed
	// speedEstimator holds the workers' speeds as learned from the lengths that speeds does not use.
	speedEstimator *speedestimator.Estimator
	// nextTimings is when the times of all jobs are computed anew.
	nextTimings time.Duration
	// sessionsByFree caches the usable workers at sessionsByFreeAt, ordered by descending free capacity.
	sessionsByFree   []*session
	sessionsByFreeAt time.Duration
	// rounds counts the scheduling rounds; roundSessions and roundWorkers are buffers that the next round reuses.
	rounds        uint64
	roundSessions []*session
	roundWorkers  []allocator.Worker
	// mostCapacityFree is set while more than half of the processors of the usable workers are free.
	mostCapacityFree bool
	// lastRound is the result of the last round.
	lastRound roundResult
	// grantRates holds a moving average of the share of requested workers that were granted, by queue.
	grantRates map[string]float64
	// meanWork holds a moving average of the work of a queue's jobs, in core-milliseconds.
	meanWork    map[string]float64
	pendingWork Work
	// incarnationCount is the number of worker incarnations seen in this term.
	incarnationCount uint64
	// ends holds the run ends for the next command.
	ends []*wire.RunEnd
	// unackedSessions holds the sessions whose workers reported ended runs that are not acknowledged yet.
	unackedSessions []*session
	// lostWorkers holds the workers that the next command removes.
	lostWorkers []*wire.WorkerLife
	// restarted holds the confirmed reports of workers that have started again; the next command registers them.
	restarted []*wire.WorkerLife
	// returned holds the workers that have answered after they counted as crashed; the next command tells so.
	returned map[*batch.Incarnation]bool
	// proposed is the command that was proposed to the log and is not yet applied, or nil.
	proposed *wire.QueueCommand
	// changed is set by events that call for a new round; decideBy is when the next round takes place without one.
	changed          bool
	decideBy         time.Duration
	nextSessionCheck time.Duration
	// earliestRound delays the next round after one over many waiting steps.
	earliestRound time.Duration
}

type endedJob struct {
	id string
	at time.Duration
}

// Work lists the calls that the caller of a Scheduler must make on its behalf.
type Work struct {
	Starts          []StartOrder
	Stops           []StopOrder
	Renewals        []RenewOrder
	ConsentRequests []ConsentRequest
}

// StartOrder is a start order for one incarnation of a worker.
type StartOrder struct {
	To          executor.Address
	Incarnation *batch.Incarnation
	Task        *batch.Task
	Order       executor.Start
	// SentAt is when the order was decided.
	SentAt time.Duration
}

// StopOrder is a stop order for one incarnation of a worker.
type StopOrder struct {
	To          executor.Address
	Incarnation *batch.Incarnation
	Task        *batch.Task
	Order       executor.Stop
}

// RenewOrder is a lease renewal for one incarnation of a worker.
type RenewOrder struct {
	To          executor.Address
	Incarnation *batch.Incarnation
	Order       executor.Renew
	SentAt      time.Duration
	// Restart is set when the order asks the worker whether it has started again as a report says.
	Restart *wire.WorkerLife
}

// ConsentRequest is a request to the consent service, made by a helper.
type ConsentRequest struct {
	Helper  string
	Address string
	Step    *batch.Step
	Workers []string
	Timeout time.Duration
}

// New returns a Scheduler for a new leader. The token is the leader's term.
func New(cfg Config, b *batch.Batch, token uint64, now time.Duration) *Scheduler {
	if cfg.Meter == nil {
		cfg.Meter = noopMeter{}
	}
	sc := &Scheduler{
		cfg: cfg, batch: b, token: token, leaderSince: now, alloc: allocator.New(cfg.Allocator),
		sessions: map[string]*session{}, removed: map[string]time.Duration{},
		consents: map[*batch.Step]*consentState{}, helpers: map[string]*helper{},
		returned: map[*batch.Incarnation]bool{},
		timings:  map[*batch.Job]jobTiming{}, failedAt: map[*batch.Task]time.Duration{}, reservations: map[*batch.Step][]sessionShare{},
		shares: newWorkspaceShares(now), backlog: newBacklog(),
		speeds: map[string]*workerSpeed{}, grantRates: map[string]float64{},
		meanWork: map[string]float64{}, speedEstimator: speedestimator.New(),
		changed: true, jobs: jobIndex{impossible: map[*batch.Job]bool{}},
	}
	for _, j := range b.Active() {
		sc.jobs.add(j)
		sc.timings[j] = sc.newJobTiming(j, now)
		sc.updateMeanWork(j)
	}
	for _, incarnation := range b.Incarnations() {
		sc.sessionFor(incarnation, now).reportedAt = cfg.ReportsKnownAt - cfg.ReportInterval
	}
	return sc
}

// Take returns the pending work and clears it.
func (sc *Scheduler) Take() Work {
	work := sc.pendingWork
	sc.pendingWork = Work{}
	return work
}

// Applied updates the scheduler with the effect of an applied command.
func (sc *Scheduler) Applied(effect batch.Effect, now time.Duration) {
	if j := effect.Accepted; j != nil {
		sc.jobs.add(j)
		sc.timings[j] = sc.newJobTiming(j, now)
		sc.updateMeanWork(j)
		sc.shares.applied(j)
	}
	sc.updateBacklog(effect)
	for _, end := range effect.Ended {
		sc.removeEndedRun(end, now)
		if end.Outcome == wire.RunOutcome_RUN_OUTCOME_DONE {
			sc.updateTiming(end.Task.Step().Job(), now)
		}
	}
	for _, t := range effect.DoneLate {
		sc.examineJob(t.Step().Job())
	}
	for _, refuted := range effect.Refuted {
		sc.logRefuted(refuted)
	}
	for _, t := range effect.Placed {
		sc.startRun(t, now)
		sc.endWait(t.Step())
	}
	sc.logPlaced(effect.Placed, now)
	for _, id := range sc.batch.TakeFinished() {
		sc.ended = append(sc.ended, endedJob{id, now})
		if j := sc.batch.Job(id); j != nil {
			sc.removeEndedJob(j)
			sc.logGivenUp(j)
			sc.logEnded(j, now)
		}
	}
	sc.changed = true
}

// logPlaced logs one event for all tasks of a step that were placed together.
func (sc *Scheduler) logPlaced(placed []*batch.Task, now time.Duration) {
	for len(placed) > 0 {
		step := placed[0].Step()
		count := 1
		for count < len(placed) && placed[count].Step() == step {
			count++
		}
		workers := make([]string, 0, count)
		for _, t := range placed[:count] {
			workers = append(workers, t.Incarnation().Worker())
		}
		logger.RunPlaced.Log(sc.cfg.Logger, "job", step.Job().ID(), "step", step.Number(), "run", placed[0].Run(),
			"first_index", placed[0].Index(), "workers", workers, "term", sc.token)
		if timing, ok := sc.timings[step.Job()]; ok && !timing.started {
			timing.started = true
			sc.timings[step.Job()] = timing
			sc.cfg.Meter.JobStarted(step.Job().Queue().GetName(), now-timing.acceptedAt)
		}
		placed = placed[count:]
	}
}

func (sc *Scheduler) logEnded(j *batch.Job, now time.Duration) {
	sc.cfg.Meter.JobEnded(j.Queue().GetName(), phaseName(j), now-sc.timings[j].acceptedAt)
	logger.JobEnded.Log(sc.cfg.Logger, "job", j.ID(), "queue", j.Queue().GetName(), "phase", phaseName(j),
		"since_accepted_ms", (now - sc.timings[j].acceptedAt).Milliseconds(),
		"known_ms", (now - sc.leaderSince).Milliseconds())
}

var phaseNames = map[wire.JobPhase]string{
	wire.JobPhase_JOB_PHASE_COMPLETED: "completed", wire.JobPhase_JOB_PHASE_FAILED: "failed",
	wire.JobPhase_JOB_PHASE_CANCELED: "canceled",
}

func phaseName(j *batch.Job) string { return phaseNames[j.Phase()] }

// Proposed tells the Scheduler whether the command returned by the last Tick was committed. If not, its contents are
// proposed again.
func (sc *Scheduler) Proposed(committed bool, now time.Duration) {
	command := sc.proposed
	sc.proposed = nil
	if !committed {
		sc.ends = append(command.GetEnds(), sc.ends...)
		sc.lostWorkers = append(command.GetGone(), sc.lostWorkers...)
		sc.restarted = append(command.GetWorkers(), sc.restarted...)
		return
	}
	sc.ackEnds(now)
}

// ackEnds acknowledges the committed ends, so that the workers can drop them.
func (sc *Scheduler) ackEnds(now time.Duration) {
	unacked := sc.unackedSessions
	sc.unackedSessions = nil
	for _, s := range unacked {
		if sc.currentSession(s.incarnation) != s {
			continue
		}
		if s.proposedEnd > s.committedEnd {
			s.committedEnd, s.renewAt = s.proposedEnd, now
			if !s.renewing {
				sc.renew(s, now)
			}
		}
		if s.listedEnd > s.committedEnd {
			sc.unackedSessions = append(sc.unackedSessions, s)
		}
	}
}

// decideInterval bounds the delay of a decision on changes without an event, such as an expired ticket.
const decideInterval = 50 * time.Millisecond

// sessionCheckInterval bounds the delay of a renewal retry and of detecting an expired lease. Checking all runs on each
// event would take most of the leader's time.
const sessionCheckInterval = 20 * time.Millisecond

// Tick handles timeouts and returns the next command for the log, or nil. Only one command is in the log at a time, so
// that each decision starts from committed state.
func (sc *Scheduler) Tick(now time.Duration) *wire.QueueCommand {
	if now >= sc.nextSessionCheck {
		sc.nextSessionCheck = now + sessionCheckInterval
		sc.checkSessions(now)
	}
	if sc.proposed != nil {
		return nil
	}
	command := &wire.QueueCommand{Ends: sc.ends, Gone: sc.lostWorkers}
	sc.ends, sc.lostWorkers = nil, nil
	for incarnation := range sc.returned {
		if sc.currentSession(incarnation) != nil && sc.batch.HasUnconfirmedCrash(incarnation) {
			command.Workers = append(command.Workers, incarnation.Report())
		}
	}
	clear(sc.returned)
	sc.registerRestarted(command, now)
	if (sc.changed || now >= sc.decideBy) && now >= sc.earliestRound {
		sc.updateTimings(now)
		sc.changed, sc.decideBy = false, now+decideInterval
		sc.stopUnneededRuns(now)
		command.Placements = sc.decide(now)
	}
	sc.forgetEndedJobs(command, now)
	for _, s := range sc.unackedSessions {
		s.proposedEnd = s.listedEnd
	}
	if len(command.GetEnds())+len(command.GetGone())+len(command.GetWorkers())+len(command.GetPlacements())+
		len(command.GetForget()) == 0 {
		sc.ackEnds(now)
		return nil
	}
	sc.proposed = command
	return command
}

// forgetBatchSize is the maximum number of ended jobs that one command removes.
const forgetBatchSize = 500

// forgetEndedJobs adds the ended jobs whose retention is over to the command, and drops the state of ended jobs.
func (sc *Scheduler) forgetEndedJobs(command *wire.QueueCommand, now time.Duration) {
	for len(sc.ended) > 0 && now-sc.ended[0].at > sc.cfg.EndedJobRetention && len(command.GetForget()) < forgetBatchSize {
		command.Forget = append(command.Forget, sc.ended[0].id)
		sc.ended = sc.ended[1:]
	}
	if len(sc.timings) > 2*len(sc.batch.Active())+forgetBatchSize {
		for j := range sc.timings {
			if j.Ended() && j.ActiveRuns() == 0 {
				delete(sc.timings, j)
				delete(sc.shares.excess, j)
			}
		}
		for step := range sc.consents {
			if j := step.Job(); j.Ended() && j.ActiveRuns() == 0 {
				delete(sc.consents, step)
			}
		}
		for step := range sc.reservations {
			if step.Job().Ended() || step.Done() {
				delete(sc.reservations, step)
			}
		}
		for t := range sc.failedAt {
			if t.Step().Job().Ended() {
				delete(sc.failedAt, t)
			}
		}
	}
}
