// Package scheduler carries out a leader's duties for submitted jobs: it keeps the leases of the workers, decides which
// tasks get a run, and turns what workers report into commands for the log. It does no I/O and reads no clock.
package scheduler

import (
	"log/slog"
	"time"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

// Config holds the intervals of a Scheduler.
type Config struct {
	// Lease is how long a worker may run without a renewal, on its own clock. It must outlast an election, and it is how
	// long the runs of a worker that vanished stay out of reach.
	Lease time.Duration
	// LongestLease is the longest lease that workers accept.
	LongestLease time.Duration
	// RenewWait is how long a worker may wait for an end before it answers a renewal.
	RenewWait time.Duration
	// AnswerTimeout bounds the wait for an answer to an order, over RenewWait for a renewal.
	AnswerTimeout time.Duration
	// StartLease bounds how late a start may be carried out.
	StartLease time.Duration
	// ClockDriftPercent bounds how much slower a worker's clock may run.
	ClockDriftPercent int
	// EndedJobRetention is how long an ended job is remembered.
	EndedJobRetention time.Duration
	Logger            *slog.Logger
	// Meter counts what becomes of jobs and runs; nil counts nothing.
	Meter Meter
	// Allocator is the placement policy.
	Allocator allocator.Config
}

// Meter counts what becomes of jobs and runs.
type Meter interface {
	// JobStarted records how long a job waited for its first run.
	JobStarted(queue string, waited time.Duration)
	// JobEnded records how long a job took and how it ended.
	JobEnded(queue, phase string, took time.Duration)
	// RunEnded counts the end of a run by its reason.
	RunEnded(why string)
}

// silentMeter counts nothing.
type silentMeter struct{}

func (silentMeter) JobStarted(string, time.Duration)       {}
func (silentMeter) JobEnded(string, string, time.Duration) {}
func (silentMeter) RunEnded(string)                        {}

// Scheduler holds what a leader knows beside the log. It belongs to one term and one control thread.
type Scheduler struct {
	cfg       Config
	batch     *batch.Batch
	token     uint64
	since     time.Duration
	alloc     *allocator.Allocator
	sessions  map[string]*session
	consents  map[*batch.Step]*consent
	helpers   map[string]*helper
	prospects map[*batch.Job]prospect
	// gathering is where the gangs that gather room are going to run.
	gathering map[*batch.Step][]gathered
	ended     []endedJob
	speeds    map[string]*speed
	// ordered are the usable workers at orderedAt, those with the most room first.
	ordered   []*session
	orderedAt time.Duration
	// rounds counts the rounds; roundSessions and roundWorkers are the memory that the next one uses again.
	rounds        uint64
	roundSessions []*session
	roundWorkers  []allocator.Worker
	// mostlyFree is set while more than half of the processors of the usable workers are free.
	mostlyFree bool
	// last is what the last round decided.
	last outcome
	// shares is the share of asked workers that were granted, by queue.
	shares map[string]float64
	// meanWork is the mean work of the jobs of a queue in core-milliseconds.
	meanWork map[string]float64
	out      Work
	// lives counts the lives of workers in this term.
	lives uint64
	// ends and gone wait for the next command.
	ends []*wire.RunEnd
	// reported are the sessions with ends that are not acknowledged.
	reported []*session
	gone     []*wire.WorkerLife
	// proposed is the command of this scheduler that is in the log and not yet applied; nil when there is none.
	proposed *wire.QueueCommand
	changed  bool
	decideAt time.Duration
	tendAt   time.Duration
	// restUntil keeps rounds over many waiting steps apart.
	restUntil time.Duration
}

type endedJob struct {
	id string
	at time.Duration
}

// Work is what a Scheduler asks its host to do.
type Work struct {
	Starts          []StartOrder
	Stops           []StopOrder
	Renewals        []RenewOrder
	ConsentRequests []ConsentRequest
}

// StartOrder is a start for one life of a worker.
type StartOrder struct {
	To          executor.Address
	Incarnation *batch.Incarnation
	Task        *batch.Task
	Order       executor.Start
}

// StopOrder is a stop for one life of a worker.
type StopOrder struct {
	To          executor.Address
	Incarnation *batch.Incarnation
	Task        *batch.Task
	Order       executor.Stop
}

// RenewOrder is a renewal of one life of a worker.
type RenewOrder struct {
	To          executor.Address
	Incarnation *batch.Incarnation
	Order       executor.Renew
	SentAt      time.Duration
}

// ConsentRequest is a question to the outside service, asked by a helper.
type ConsentRequest struct {
	Helper  string
	Address string
	Step    *batch.Step
	Workers []string
	Timeout time.Duration
}

// New returns the Scheduler of a new leader.
func New(cfg Config, b *batch.Batch, token uint64, now time.Duration) *Scheduler {
	if cfg.Meter == nil {
		cfg.Meter = silentMeter{}
	}
	f := &Scheduler{
		cfg: cfg, batch: b, token: token, since: now, alloc: allocator.New(cfg.Allocator),
		sessions: map[string]*session{}, consents: map[*batch.Step]*consent{}, helpers: map[string]*helper{},
		prospects: map[*batch.Job]prospect{}, gathering: map[*batch.Step][]gathered{}, speeds: map[string]*speed{}, shares: map[string]float64{},
		meanWork: map[string]float64{},
		changed:  true,
	}
	for _, j := range b.Active() {
		f.prospects[j] = newProspect(j, now)
		f.noteWork(j)
	}
	for _, life := range b.Incarnations() {
		f.session(life, now)
	}
	return f
}

// Take returns and clears the work that is to be done.
func (f *Scheduler) Take() Work {
	work := f.out
	f.out = Work{}
	return work
}

// Applied takes note of what a command has changed.
func (f *Scheduler) Applied(effect batch.Effect, now time.Duration) {
	if j := effect.Accepted; j != nil {
		f.prospects[j] = newProspect(j, now)
		f.noteWork(j)
	}
	for _, end := range effect.Ended {
		f.runEnded(end, now)
	}
	for _, t := range effect.Placed {
		f.start(t, now)
	}
	f.logPlaced(effect.Placed, now)
	for _, id := range f.batch.TakeFinished() {
		f.ended = append(f.ended, endedJob{id, now})
		f.logEnded(f.batch.Job(id), now)
	}
	f.changed = true
}

// logPlaced writes one line for the tasks of a step that were placed together.
func (f *Scheduler) logPlaced(placed []*batch.Task, now time.Duration) {
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
		logger.RunPlaced.Log(f.cfg.Logger, "job", step.Job().ID(), "step", step.Number(), "run", placed[0].Run(),
			"first_index", placed[0].Index(), "workers", workers, "term", f.token)
		if p, ok := f.prospects[step.Job()]; ok && !p.started {
			p.started = true
			f.prospects[step.Job()] = p
			f.cfg.Meter.JobStarted(step.Job().Queue().GetName(), now-p.acceptedAt)
		}
		placed = placed[count:]
	}
}

func (f *Scheduler) logEnded(j *batch.Job, now time.Duration) {
	if j == nil {
		return
	}
	f.cfg.Meter.JobEnded(j.Queue().GetName(), phaseName(j), now-f.prospects[j].acceptedAt)
	logger.JobEnded.Log(f.cfg.Logger, "job", j.ID(), "queue", j.Queue().GetName(), "phase", phaseName(j),
		"since_accepted_ms", (now - f.prospects[j].acceptedAt).Milliseconds(), "known_ms", (now - f.since).Milliseconds())
}

var phaseNames = map[wire.JobPhase]string{
	wire.JobPhase_JOB_PHASE_COMPLETED: "completed", wire.JobPhase_JOB_PHASE_FAILED: "failed",
	wire.JobPhase_JOB_PHASE_CANCELED: "canceled",
}

func phaseName(j *batch.Job) string { return phaseNames[j.Phase()] }

// Proposed tells whether the command of the last Tick was committed. What the log did not take is proposed again.
func (f *Scheduler) Proposed(committed bool, now time.Duration) {
	command := f.proposed
	f.proposed = nil
	if !committed {
		f.ends = append(command.GetEnds(), f.ends...)
		f.gone = append(command.GetGone(), f.gone...)
		return
	}
	f.acknowledge(now)
}

// acknowledge lets the workers forget the ends that are committed.
func (f *Scheduler) acknowledge(now time.Duration) {
	reported := f.reported
	f.reported = nil
	for _, s := range reported {
		if f.present(s.life) != s {
			continue
		}
		if s.handed > s.seen {
			s.seen, s.renewAt = s.handed, now
			if !s.renewing {
				f.renew(s, now)
			}
		}
		if s.listed > s.seen {
			f.reported = append(f.reported, s)
		}
	}
}

// decideInterval bounds how long a change that no event tells, such as an expired ticket, waits for a decision.
const decideInterval = 50 * time.Millisecond

// tendInterval bounds how late a renewal is repeated or a lease is found to be over; looking at all runs with each event
// would take most of a leader's time.
const tendInterval = 20 * time.Millisecond

// Tick advances timeouts and returns the next command for the log, or nil. One command is in the log at a time, so that
// each decision starts from committed state.
func (f *Scheduler) Tick(now time.Duration) *wire.QueueCommand {
	if now >= f.tendAt {
		f.tendAt = now + tendInterval
		f.tendSessions(now)
	}
	if f.proposed != nil {
		return nil
	}
	command := &wire.QueueCommand{Ends: f.ends, Gone: f.gone}
	f.ends, f.gone = nil, nil
	if (f.changed || now >= f.decideAt) && now >= f.restUntil {
		f.changed, f.decideAt = false, now+decideInterval
		f.stopUnwanted(now)
		command.Placements = f.decide(now)
	}
	f.forget(command, now)
	for _, s := range f.reported {
		s.handed = s.listed
	}
	if len(command.GetEnds())+len(command.GetGone())+len(command.GetPlacements())+len(command.GetForget()) == 0 {
		f.acknowledge(now)
		return nil
	}
	f.proposed = command
	return command
}

const forgetBatch = 500

func (f *Scheduler) forget(command *wire.QueueCommand, now time.Duration) {
	for len(f.ended) > 0 && now-f.ended[0].at > f.cfg.EndedJobRetention && len(command.GetForget()) < forgetBatch {
		command.Forget = append(command.Forget, f.ended[0].id)
		f.ended = f.ended[1:]
	}
	if len(f.prospects) > 2*len(f.batch.Active())+forgetBatch {
		for j := range f.prospects {
			if j.Ended() && j.ActiveRuns() == 0 {
				delete(f.prospects, j)
			}
		}
		for step := range f.consents {
			if j := step.Job(); j.Ended() && j.ActiveRuns() == 0 {
				delete(f.consents, step)
			}
		}
		for step := range f.gathering {
			if step.Job().Ended() || step.Done() {
				delete(f.gathering, step)
			}
		}
	}
}
