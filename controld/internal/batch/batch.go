// Package batch is the aggregate of jobs that callers submit to queues: the queue configuration, the workers that take
// orders, the jobs and the runs of their tasks. Every change comes from the replicated log.
package batch

import (
	"fmt"
	"slices"

	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Batch is owned by the thread that applies the log; nothing in it may be used by another.
type Batch struct {
	config *wire.QueueConfig
	queues map[string]*wire.Queue
	lives  map[string]*Incarnation
	jobs   map[string]*Job
	// active holds the jobs that have not ended or still have a run on a worker, in the order of their acceptance.
	active   []*Job
	accepted uint64
	// finished collects the ids of jobs that ended since the last call of TakeFinished.
	finished []string
}

// New returns an empty Batch.
func New() *Batch {
	return &Batch{
		queues: map[string]*wire.Queue{}, lives: map[string]*Incarnation{}, jobs: map[string]*Job{},
	}
}

// Effect lists what one command has changed, for the leader's duties.
type Effect struct {
	// Placed are the tasks whose new run may be ordered.
	Placed []*Task
	// Ended are the runs that were released.
	Ended []EndedRun
	// Accepted is a job that is new, or nil.
	Accepted *Job
}

// EndedRun is a run that no longer holds room on its worker.
type EndedRun struct {
	Task    *Task
	Worker  string
	Outcome wire.RunOutcome
}

// Apply executes one command of the log.
func (b *Batch) Apply(command *wire.QueueCommand) (*wire.Result, Effect) {
	var effect Effect
	for _, end := range command.GetEnds() {
		b.endRun(end, &effect)
	}
	for _, life := range command.GetGone() {
		b.endLife(life, &effect)
	}
	for _, life := range command.GetWorkers() {
		b.registerLife(life, &effect)
	}
	if len(command.GetPlacements()) > 0 {
		b.placeRuns(command.GetPlacements(), &effect)
	}
	result := &wire.Result{}
	switch {
	case command.GetSubmit() != nil:
		result = b.submit(command.GetSubmit(), &effect)
	case command.GetCancel() != "":
		result = b.cancel(command.GetCancel())
	case command.GetConfigure() != nil:
		b.configure(command.GetConfigure())
	}
	for _, id := range command.GetForget() {
		if j := b.jobs[id]; j != nil && j.Ended() && j.held == 0 {
			delete(b.jobs, id)
		}
	}
	b.compact()
	return result, effect
}

// Config returns the configuration in force; nil before the first.
func (b *Batch) Config() *wire.QueueConfig { return b.config }

// Queue returns a queue by its name, also one that the newest configuration has dropped.
func (b *Batch) Queue(name string) *wire.Queue { return b.queues[name] }

// Job returns a job by its id; nil when there is none.
func (b *Batch) Job(id string) *Job { return b.jobs[id] }

// Active returns the jobs that have not ended or still have a run on a worker, in the order of their acceptance.
func (b *Batch) Active() []*Job { return b.active }

// Incarnation returns the present life of a worker; nil when there is none.
func (b *Batch) Incarnation(worker string) *Incarnation { return b.lives[worker] }

// Incarnations returns the present lives by worker. The map must not be changed.
func (b *Batch) Incarnations() map[string]*Incarnation { return b.lives }

// Pending returns the number of accepted jobs of a queue of which no task has started.
func (b *Batch) Pending(queue string) int {
	count := 0
	for _, j := range b.active {
		if j.queue.GetName() == queue && j.phase == wire.JobPhase_JOB_PHASE_QUEUED {
			count++
		}
	}
	return count
}

// TakeFinished returns and clears the ids of the jobs that ended.
func (b *Batch) TakeFinished() []string {
	finished := b.finished
	b.finished = nil
	return finished
}

func (b *Batch) configure(config *wire.QueueConfig) {
	if b.config != nil && config.GetVersion() <= b.config.GetVersion() {
		return
	}
	b.config = config
	for _, q := range config.GetQueues() {
		b.queues[q.GetName()] = q
	}
	for _, j := range b.active {
		j.queue = b.queues[j.spec.GetQueue()]
	}
}

func (b *Batch) submit(spec *wire.SubmittedJob, effect *Effect) *wire.Result {
	if b.jobs[spec.GetId()] != nil {
		// The same job was sent again; it stays one job.
		return &wire.Result{}
	}
	queue := b.queues[spec.GetQueue()]
	if queue == nil {
		return &wire.Result{Reason: reason.NotFound.String(), Detail: fmt.Sprintf("no queue %q", spec.GetQueue())}
	}
	b.accepted++
	j := newJob(spec, queue, b.accepted)
	b.jobs[spec.GetId()] = j
	b.active = append(b.active, j)
	effect.Accepted = j
	return &wire.Result{}
}

func (b *Batch) cancel(id string) *wire.Result {
	j := b.jobs[id]
	if j == nil {
		return &wire.Result{Reason: reason.NotFound.String(), Detail: "no such job"}
	}
	if !j.Ended() {
		j.phase = wire.JobPhase_JOB_PHASE_CANCELED
		b.finished = append(b.finished, id)
	}
	return &wire.Result{}
}

// task returns a task by its coordinates; nil when there is none.
func (b *Batch) task(job string, step, index uint32) *Task {
	j := b.jobs[job]
	if j == nil || int(step) >= len(j.steps) || int(index) >= len(j.steps[step].tasks) {
		return nil
	}
	return j.steps[step].tasks[index]
}

// Task returns a task by its coordinates; nil when there is none.
func (b *Batch) Task(job string, step, index int) *Task {
	return b.task(job, uint32(step), uint32(index))
}

// placeRuns takes a placement only while it fits. Of a gang all placements are taken or none.
func (b *Batch) placeRuns(placements []*wire.RunPlacement, effect *Effect) {
	for len(placements) > 0 {
		count := 1
		for count < len(placements) && sameStep(placements[0], placements[count]) {
			count++
		}
		b.placeStep(placements[:count], effect)
		placements = placements[count:]
	}
}

func sameStep(a, b *wire.RunPlacement) bool {
	return a.GetJob() == b.GetJob() && a.GetStep() == b.GetStep()
}

func (b *Batch) placeStep(placements []*wire.RunPlacement, effect *Effect) {
	var taken []*Task
	for _, p := range placements {
		t := b.task(p.GetJob(), p.GetStep(), p.GetIndex())
		life := b.lives[p.GetWorker()]
		if t == nil || !t.Waiting() || int(p.GetRun()) <= t.run || life == nil ||
			life.born != p.GetBornUnixMs() || life.draining || !t.step.need.FitsIn(life.Free()) {
			continue
		}
		t.hold(life)
		t.previousRun, t.run, t.lastWorker = t.run, int(p.GetRun()), life.worker
		taken = append(taken, t)
	}
	if len(taken) == 0 {
		return
	}
	step := taken[0].step
	if step.spec.GetGang() && len(taken) < len(step.tasks) {
		for _, t := range taken {
			t.release()
			t.run = t.previousRun
		}
		return
	}
	if step.job.phase == wire.JobPhase_JOB_PHASE_QUEUED {
		step.job.phase = wire.JobPhase_JOB_PHASE_RUNNING
	}
	effect.Placed = append(effect.Placed, taken...)
}

func (b *Batch) endRun(end *wire.RunEnd, effect *Effect) {
	t := b.task(end.GetJob(), end.GetStep(), end.GetIndex())
	if t == nil || t.run != int(end.GetRun()) {
		return
	}
	j := t.step.job
	worker := t.lastWorker
	switch {
	case t.life != nil:
		t.release()
		effect.Ended = append(effect.Ended, EndedRun{Task: t, Worker: worker, Outcome: end.GetOutcome()})
	case end.GetOutcome() != wire.RunOutcome_RUN_OUTCOME_DONE || t.done || j.Ended():
		// Of a run that was given up only its success still counts: its start arrived late, at a later life of the worker.
		return
	}
	if end.GetCheckpoint() != "" {
		t.step.saveCheckpoint(t, end.GetCheckpoint())
	}
	switch end.GetOutcome() {
	case wire.RunOutcome_RUN_OUTCOME_DONE:
		t.step.finish(t)
	case wire.RunOutcome_RUN_OUTCOME_FAILED:
		t.step.fail(t, worker)
	default:
	}
	if j.Ended() {
		return
	}
	switch {
	case t.step.failures(t) >= max(1, int(j.queue.GetAttempts())):
		j.phase = wire.JobPhase_JOB_PHASE_FAILED
		b.finished = append(b.finished, j.ID())
	case j.allDone():
		j.phase = wire.JobPhase_JOB_PHASE_COMPLETED
		b.finished = append(b.finished, j.ID())
	case !j.hasBegun():
		// Its runs were refused, never arrived or left nothing behind: it waits for its first start again.
		j.phase = wire.JobPhase_JOB_PHASE_QUEUED
	}
}

func (b *Batch) endLife(gone *wire.WorkerLife, effect *Effect) {
	life := b.lives[gone.GetWorker()]
	if life == nil || life.born != gone.GetBornUnixMs() {
		return
	}
	delete(b.lives, life.worker)
	tasks := make([]*Task, 0, len(life.tasks))
	for t := range life.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, compareTasks)
	for _, t := range tasks {
		b.endRun(&wire.RunEnd{
			Job: t.step.job.ID(), Step: uint32(t.step.number), Index: uint32(t.index), Run: uint32(t.run),
			Outcome: wire.RunOutcome_RUN_OUTCOME_CUT_SHORT,
		}, effect)
	}
}

// registerLife takes in a new life of a worker, which ends the one before, or what changed about the present one.
func (b *Batch) registerLife(report *wire.WorkerLife, effect *Effect) {
	present := b.lives[report.GetWorker()]
	if present != nil && present.born != report.GetBornUnixMs() {
		if report.GetBornUnixMs() < present.born {
			return
		}
		b.endLife(&wire.WorkerLife{Worker: present.worker, BornUnixMs: present.born}, effect)
		present = nil
	}
	if present == nil {
		b.lives[report.GetWorker()] = newLife(report)
		return
	}
	present.update(report)
}

// compact drops ended jobs without runs from the active list, and what only running them needs.
func (b *Batch) compact() {
	b.active = slices.DeleteFunc(b.active, func(j *Job) bool {
		over := j.Ended() && j.held == 0
		if over {
			j.steps, j.spec = nil, &wire.SubmittedJob{Id: j.spec.GetId(), Queue: j.spec.GetQueue()}
		}
		return over
	})
}

// resources returns the room that one task of a step takes.
func resources(step *wire.JobStep) resource.Vector {
	return resource.New(&wire.Resources{
		CpuMilli: step.GetCpuMillis(), MemoryMb: step.GetMemoryMb(), Accelerators: step.GetGpus(),
	})
}
