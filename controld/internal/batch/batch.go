// Package batch holds the replicated state of the jobs that callers submit to queues: the queue configuration, the
// workers that accept orders, the jobs and the runs of their tasks. Only commands of the replicated log change it.
package batch

import (
	"cmp"
	"fmt"
	"slices"

	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/controld/internal/runtimeestimator"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Batch is the state machine of submitted jobs. It belongs to the goroutine that applies the log; no other may use it
// or anything in it.
type Batch struct {
	config *wire.QueueConfig
	// queues holds the queues by name, including those that the configuration in force has dropped.
	queues map[string]*wire.Queue
	// workspaces holds the workspaces by name, including those that the configuration in force has dropped and that have
	// active jobs.
	workspaces map[string]*workspace
	// workspaceByKey holds the keys of the configuration in force.
	workspaceByKey map[string]string
	incarnations   map[string]*Incarnation
	// workersVersion counts the changes to what workers there are and what they can run.
	workersVersion uint64
	jobs           map[string]*Job
	// active holds the jobs that have not ended or still have a run on a worker, in the order of acceptance.
	active []*Job
	// over holds the jobs that may have to leave active since the last command.
	over []*Job
	// accepted counts the jobs that were ever accepted.
	accepted uint64
	// unconfirmed holds the crashes that a later report may confirm.
	unconfirmed []unconfirmedCrash
	// runtimes learns the run times of each queue's tasks.
	runtimes *runtimeestimator.Estimator
	// finished collects the ids of the jobs that ended since the last call of TakeFinished.
	finished []string
}

// New returns an empty Batch.
func New() *Batch {
	return &Batch{
		queues: map[string]*wire.Queue{}, incarnations: map[string]*Incarnation{}, jobs: map[string]*Job{},
		workspaces: map[string]*workspace{}, workspaceByKey: map[string]string{},
		runtimes: runtimeestimator.New(),
	}
}

// Effect lists what a command has changed and the leader must act on.
type Effect struct {
	// Placed holds the tasks whose new run may be ordered from its worker.
	Placed []*Task
	// Ended holds the runs that released their resources.
	Ended []EndedRun
	// Accepted is the new job, or nil.
	Accepted *Job
	// Refuted holds the crashes that no longer count, because the worker has reported again.
	Refuted []RefutedCrash
	// DoneLate holds the tasks without a run that are done, as a run that was given up has succeeded after all.
	DoneLate []*Task
}

// RefutedCrash is a crash that counted against a task although the worker was only cut off.
type RefutedCrash struct {
	Task  *Task
	Crash *Crash
}

// EndedRun is a run that no longer occupies resources on its worker.
type EndedRun struct {
	Task    *Task
	Worker  string
	Outcome wire.RunOutcome
	// Crash is the crash of the worker if it may be due to the run, and nil otherwise.
	Crash *Crash
}

// Apply executes one command of the log. It must be deterministic: every node applies the same commands.
func (b *Batch) Apply(command *wire.QueueCommand) (*wire.Result, Effect) {
	var effect Effect
	for _, end := range command.GetEnds() {
		b.endRun(end, &effect)
	}
	for _, gone := range command.GetGone() {
		b.endIncarnation(gone, &effect)
	}
	for _, report := range command.GetWorkers() {
		b.registerIncarnation(report, &effect)
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
		if j := b.jobs[id]; j != nil && j.Ended() && j.activeRuns == 0 {
			delete(b.jobs, id)
		}
	}
	b.compact()
	return result, effect
}

// Config returns the configuration in force, or nil before the first.
func (b *Batch) Config() *wire.QueueConfig { return b.config }

// Queue returns a queue by name, including one that the configuration in force has dropped; nil when there is none.
func (b *Batch) Queue(name string) *wire.Queue { return b.queues[name] }

// Job returns a job by its id; nil when there is none.
func (b *Batch) Job(id string) *Job { return b.jobs[id] }

// Active returns the jobs that have not ended or still have a run on a worker, in the order of acceptance.
func (b *Batch) Active() []*Job { return b.active }

// Incarnation returns the present incarnation of a worker; nil when there is none.
func (b *Batch) Incarnation(worker string) *Incarnation { return b.incarnations[worker] }

// Incarnations returns the present incarnations by worker. The map must not be changed.
func (b *Batch) Incarnations() map[string]*Incarnation { return b.incarnations }

// WorkersVersion returns a number that changes whenever a worker comes, goes, begins to drain, or changes its pool, labels,
// rack or capacity.
func (b *Batch) WorkersVersion() uint64 { return b.workersVersion }

// Runtimes returns what is known of the run times of each queue's tasks. It must not be changed.
func (b *Batch) Runtimes() *runtimeestimator.Estimator { return b.runtimes }

// Pending returns the number of jobs of a queue that wait for their first start.
func (b *Batch) Pending(queue *wire.Queue) int {
	count := 0
	for _, j := range b.active {
		if j.BelongsTo(queue) && j.phase == wire.JobPhase_JOB_PHASE_QUEUED {
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

// configure puts a configuration into force, unless one of the same or a newer version is in force already.
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
	b.configureWorkspaces(config)
}

func (b *Batch) submit(spec *wire.SubmittedJob, effect *Effect) *wire.Result {
	if j := b.jobs[spec.GetId()]; j != nil {
		if j.Workspace() != spec.GetWorkspace() || j.hasPath() && !j.acceptedUnder(spec.GetHost(), spec.GetPrefix()) {
			return &wire.Result{Reason: reason.Conflict.String(), Detail: "the job id is taken"}
		}
		// A resent submission is accepted and changes nothing.
		return &wire.Result{}
	}
	queue := b.queues[spec.GetQueue()]
	if queue == nil {
		return &wire.Result{Reason: reason.NotFound.String(), Detail: fmt.Sprintf("no queue %q", spec.GetQueue())}
	}
	if spec.GetHost() == queue.GetHost() && spec.GetPrefix() == queue.GetPrefix() {
		// All jobs of a queue share the memory of its path.
		spec.Host, spec.Prefix = queue.GetHost(), queue.GetPrefix()
	}
	b.accepted++
	j := newJob(spec, queue, b.accepted)
	j.workspace = b.workspaces[spec.GetWorkspace()]
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
		b.finish(j, wire.JobPhase_JOB_PHASE_CANCELED)
	}
	return &wire.Result{}
}

// task returns the task with an index in a step of a job; nil when there is none.
func (b *Batch) task(job string, step, index uint32) *Task {
	j := b.jobs[job]
	if j == nil || int(step) >= len(j.steps) || int(index) >= len(j.steps[step].tasks) {
		return nil
	}
	return j.steps[step].tasks[index]
}

// Task returns the task with an index in a step of a job; nil when there is none.
func (b *Batch) Task(job string, step, index int) *Task {
	return b.task(job, uint32(step), uint32(index))
}

// placeRuns accepts each placement that is still valid and fits into the free capacity of its worker and into the limit
// of its workspace. The placements of a gang are accepted together or not at all.
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

// placeStep executes the placements of one step.
func (b *Batch) placeStep(placements []*wire.RunPlacement, effect *Effect) {
	var placed []*Task
	for _, p := range placements {
		t := b.task(p.GetJob(), p.GetStep(), p.GetIndex())
		inc := b.incarnations[p.GetWorker()]
		if t == nil || !t.Waiting() || int(p.GetRun()) <= t.run || inc == nil ||
			inc.startedUnixMs != p.GetBornUnixMs() || inc.draining || !t.step.need.FitsIn(inc.Free()) || !t.workspaceAllows() {
			continue
		}
		t.acquire(inc)
		t.previousRun, t.run = t.run, int(p.GetRun())
		placed = append(placed, t)
	}
	if len(placed) == 0 {
		return
	}
	step := placed[0].step
	if step.spec.GetGang() && len(placed) < len(step.tasks) {
		for _, t := range placed {
			t.release()
			t.run = t.previousRun
		}
		return
	}
	for _, t := range placed {
		t.lastWorker = t.incarnation.worker
	}
	if step.job.phase == wire.JobPhase_JOB_PHASE_QUEUED {
		step.job.phase = wire.JobPhase_JOB_PHASE_RUNNING
	}
	effect.Placed = append(effect.Placed, placed...)
}

// endRun executes the end of a run. It ignores the end of any run but the newest of the task.
func (b *Batch) endRun(end *wire.RunEnd, effect *Effect) {
	t := b.task(end.GetJob(), end.GetStep(), end.GetIndex())
	if t == nil || t.run != int(end.GetRun()) {
		return
	}
	j := t.step.job
	worker := t.lastWorker
	switch {
	case t.incarnation != nil:
		t.release()
		ended := EndedRun{Task: t, Worker: worker, Outcome: end.GetOutcome()}
		if end.GetCrash() != nil {
			ended.Crash = newCrash(end.GetCrash())
			b.recordCrash(t, ended.Crash)
		}
		effect.Ended = append(effect.Ended, ended)
	case end.GetOutcome() != wire.RunOutcome_RUN_OUTCOME_DONE || t.done || j.Ended():
		// A run that was given up and released counts only if it succeeded after all: its start order arrived late, at
		// a later incarnation of the worker.
		return
	default:
		effect.DoneLate = append(effect.DoneLate, t)
	}
	if end.GetCheckpoint() != "" {
		t.step.saveCheckpoint(t, end.GetCheckpoint())
	}
	switch end.GetOutcome() {
	case wire.RunOutcome_RUN_OUTCOME_DONE:
		b.recordRunTime(t, end.GetRanMs())
		t.step.markDone(t)
	case wire.RunOutcome_RUN_OUTCOME_FAILED:
		t.step.recordFailure(t, worker)
	default:
	}
	if j.Ended() {
		b.over = append(b.over, j)
		return
	}
	switch {
	case t.step.failures(t) >= max(1, int(j.queue.GetAttempts())):
		b.finish(j, wire.JobPhase_JOB_PHASE_FAILED)
	case j.allDone():
		b.finish(j, wire.JobPhase_JOB_PHASE_COMPLETED)
	case !j.hasBegun():
		// The start of each run was refused, never arrived or left no result, so the job still waits for its first
		// start.
		j.phase = wire.JobPhase_JOB_PHASE_QUEUED
	}
}

// finish ends a job that has not ended.
func (b *Batch) finish(j *Job, phase wire.JobPhase) {
	j.phase = phase
	b.finished = append(b.finished, j.ID())
	b.over = append(b.over, j)
}

// recordRunTime adds the length of a successful run to the statistics of its queue, if it is known. The members of a gang
// end together and count once.
func (b *Batch) recordRunTime(t *Task, ranMs uint32) {
	if t.done || ranMs == 0 {
		return
	}
	tasks := t.step.spec.GetCount()
	if t.step.spec.GetGang() {
		tasks = 1
	}
	b.runtimes.Record(t.step.job.queue.GetName(), t.step.spec.GetEstimateMs(), ranMs, tasks)
}

// endIncarnation removes an incarnation that has ended and cuts its runs short.
func (b *Batch) endIncarnation(gone *wire.WorkerLife, effect *Effect) {
	inc := b.incarnations[gone.GetWorker()]
	if inc == nil || inc.startedUnixMs != gone.GetBornUnixMs() {
		return
	}
	delete(b.incarnations, inc.worker)
	b.workersVersion++
	tasks := make([]*Task, 0, len(inc.tasks))
	for t := range inc.tasks {
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

// registerIncarnation adds a new incarnation of a worker, which ends the previous one, or updates the present one. It
// ignores a report of an earlier incarnation.
func (b *Batch) registerIncarnation(report *wire.WorkerLife, effect *Effect) {
	b.confirmCrashes(report)
	present, restarted := b.incarnations[report.GetWorker()], false
	if present != nil && present.startedUnixMs != report.GetBornUnixMs() {
		if report.GetBornUnixMs() < present.startedUnixMs {
			return
		}
		b.endIncarnation(&wire.WorkerLife{Worker: present.worker, BornUnixMs: present.startedUnixMs}, effect)
		present, restarted = nil, true
	}
	if present == nil {
		inc := newIncarnation(report)
		inc.restarted = restarted
		b.incarnations[report.GetWorker()] = inc
		b.workersVersion++
		return
	}
	if !present.IsOutdated(report) {
		b.refuteCrashes(report, effect)
	}
	if present.update(report) {
		b.workersVersion++
	}
}

// compact removes ended jobs without runs from the active list and frees their steps and specs, which nothing needs any
// more. It looks only at the jobs that the command has ended, as thousands may wait.
func (b *Batch) compact() {
	for _, j := range b.over {
		index, found := slices.BinarySearchFunc(b.active, j, compareJobs)
		if !found || !j.Ended() || j.activeRuns > 0 {
			continue
		}
		b.active = slices.Delete(b.active, index, index+1)
		j.steps, j.spec = nil, endedSpec(j.spec)
	}
	clear(b.over)
	b.over = b.over[:0]
}

// compareJobs orders jobs by acceptance.
func compareJobs(a, b *Job) int { return cmp.Compare(a.order, b.order) }

// endedSpec returns the part of a job's spec that is kept once the job has ended.
func endedSpec(spec *wire.SubmittedJob) *wire.SubmittedJob {
	return &wire.SubmittedJob{
		Id: spec.GetId(), Queue: spec.GetQueue(), Workspace: spec.GetWorkspace(), Host: spec.GetHost(), Prefix: spec.GetPrefix(),
	}
}

// Need returns the resources that each task of a step needs.
func Need(step *wire.JobStep) resource.Vector {
	return resource.New(&wire.Resources{
		CpuMilli: step.GetCpuMillis(), MemoryMb: step.GetMemoryMb(), Accelerators: step.GetGpus(),
	})
}
