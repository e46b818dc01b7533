package batch

import (
	"cmp"
	"slices"

	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/wire"
)

// Job is one submitted job.
type Job struct {
	spec  *wire.SubmittedJob
	queue *wire.Queue
	// workspace is nil for a job without one.
	workspace *workspace
	steps     []*Step
	phase     wire.JobPhase
	order     uint64
	// activeRuns counts the runs of the job that occupy resources on a worker.
	activeRuns int
	// givenUp is the task for which the job has failed because workers crashed under it, or nil.
	givenUp *GivenUpTask
}

func newJob(spec *wire.SubmittedJob, queue *wire.Queue, order uint64) *Job {
	j := &Job{spec: spec, queue: queue, order: order}
	for number, step := range spec.GetSteps() {
		s := &Step{job: j, number: number, spec: step, need: Need(step)}
		for index := range int(step.GetCount()) {
			s.tasks = append(s.tasks, &Task{step: s, index: index})
		}
		j.steps = append(j.steps, s)
	}
	return j
}

// ID returns the id that the caller chose.
func (j *Job) ID() string { return j.spec.GetId() }

// Spec returns what the caller submitted.
func (j *Job) Spec() *wire.SubmittedJob { return j.spec }

// Queue returns the job's queue as of the newest configuration that contains it.
func (j *Job) Queue() *wire.Queue { return j.queue }

// Workspace returns the name of the workspace to which the job belongs; empty without one.
func (j *Job) Workspace() string { return j.spec.GetWorkspace() }

// Steps returns the job's steps; nil once the job has ended and has no run left.
func (j *Job) Steps() []*Step { return j.steps }

// Phase returns the phase that is reported to callers.
func (j *Job) Phase() wire.JobPhase { return j.phase }

// Order returns the job's position in the order of acceptance, from 1.
func (j *Job) Order() uint64 { return j.order }

// ActiveRuns returns how many runs of the job occupy resources on a worker.
func (j *Job) ActiveRuns() int { return j.activeRuns }

// Ended reports whether the job has completed, failed or been canceled, so that no run of it may start any more.
func (j *Job) Ended() bool { return j.phase >= wire.JobPhase_JOB_PHASE_COMPLETED }

// hasBegun reports whether a run of the job may be executing, or an earlier one left a result.
func (j *Job) hasBegun() bool { return j.activeRuns > 0 || j.HasResult() }

// HasResult reports whether a run of the job left a result: success, a failure or a checkpoint.
func (j *Job) HasResult() bool {
	for _, s := range j.steps {
		if s.done > 0 || s.failedRuns > 0 {
			return true
		}
		for _, t := range s.tasks {
			if t.failures > 0 || t.checkpoint != "" {
				return true
			}
		}
	}
	return false
}

func (j *Job) allDone() bool {
	for _, s := range j.steps {
		if s.done < len(s.tasks) {
			return false
		}
	}
	return true
}

// Step is a group of tasks of a job that need the same resources.
type Step struct {
	job    *Job
	number int
	spec   *wire.JobStep
	need   resource.Vector
	tasks  []*Task
	done   int
	// activeRuns counts the runs that occupy resources on a worker.
	activeRuns int
	// failedRuns counts the failed runs of a gang, and lastFailedRun is the number of the newest of them.
	failedRuns    int
	lastFailedRun int
	// failed is set once a run of one of the tasks has failed.
	failed bool
	// suspected is set once a crash of a worker was recorded against one of the tasks.
	suspected bool
}

// Job returns the step's job.
func (s *Step) Job() *Job { return s.job }

// Number returns the step's index in the job, from 0.
func (s *Step) Number() int { return s.number }

// Spec returns the step as the caller submitted it.
func (s *Step) Spec() *wire.JobStep { return s.spec }

// Need returns the resources that each task needs.
func (s *Step) Need() resource.Vector { return s.need }

// Tasks returns the step's tasks.
func (s *Step) Tasks() []*Task { return s.tasks }

// Suspected reports whether a worker has crashed under one of the tasks and may have done so because of it.
func (s *Step) Suspected() bool { return s.suspected }

// Failed reports whether a run of one of the tasks has failed.
func (s *Step) Failed() bool { return s.failed }

// Done reports whether all tasks are done.
func (s *Step) Done() bool { return s.done == len(s.tasks) }

// ActiveRuns returns how many runs of the step occupy resources on a worker.
func (s *Step) ActiveRuns() int { return s.activeRuns }

// Waiting returns how many tasks have neither a run nor a result and may still get one.
func (s *Step) Waiting() int {
	switch {
	case s.Done() || s.job.Ended():
		return 0
	case s.spec.GetGang():
		return len(s.tasks) - s.activeRuns
	default:
		return len(s.tasks) - s.done - s.activeRuns
	}
}

// Ready reports whether the steps that this one depends on are done and this one is not.
func (s *Step) Ready() bool {
	if s.Done() {
		return false
	}
	for _, number := range s.spec.GetAfter() {
		if !s.job.steps[number].Done() {
			return false
		}
	}
	return true
}

// NextRun returns the number for the next run of a task. The members of a gang share run numbers.
func (s *Step) NextRun(t *Task) int {
	if !s.spec.GetGang() {
		return t.run + 1
	}
	highest := 0
	for _, member := range s.tasks {
		highest = max(highest, member.run)
	}
	return highest + 1
}

// markDone records a successful run of a task.
func (s *Step) markDone(t *Task) {
	if !s.spec.GetGang() {
		if !t.done {
			t.done = true
			s.done++
		}
		return
	}
	// The members of a gang end together, so the success of one is the success of all.
	for _, member := range s.tasks {
		member.done = true
	}
	s.done = len(s.tasks)
}

// recordFailure records a failed run of a task on a worker. Failures of several members in one run of a gang count
// once.
func (s *Step) recordFailure(t *Task, worker string) {
	s.failed = true
	if !slices.Contains(t.failedOn, worker) {
		t.failedOn = append(t.failedOn, worker)
	}
	if !s.spec.GetGang() {
		t.failures++
		return
	}
	if t.run > s.lastFailedRun {
		s.failedRuns, s.lastFailedRun = s.failedRuns+1, t.run
	}
}

// failures returns how many runs of a task, or of its gang, have failed.
func (s *Step) failures(t *Task) int {
	if s.spec.GetGang() {
		return s.failedRuns
	}
	return t.failures
}

// saveCheckpoint records the newest checkpoint of a task. All members of a gang resume from the same checkpoint.
func (s *Step) saveCheckpoint(t *Task, checkpoint string) {
	if !s.spec.GetGang() {
		t.checkpoint = checkpoint
		return
	}
	for _, member := range s.tasks {
		member.checkpoint = checkpoint
	}
}

// Task is one task of a step.
type Task struct {
	step  *Step
	index int
	// run is the number of the newest run; 0 before the first.
	run int
	// previousRun is what run was before the newest placement, to undo an incomplete placement of a gang.
	previousRun int
	failures    int
	done        bool
	// incarnation is where the run occupies its resources; nil while the task has no run.
	incarnation *Incarnation
	// lastWorker is the worker of the newest run.
	lastWorker string
	checkpoint string
	failedOn   []string
	// crashes holds the crashes of workers that may be due to the task, oldest first.
	crashes []*Crash
}

// Step returns the task's step.
func (t *Task) Step() *Step { return t.step }

// Index returns the task's index in its step, from 0.
func (t *Task) Index() int { return t.index }

// Run returns the number of the newest run; 0 before the first.
func (t *Task) Run() int { return t.run }

// Incarnation returns the worker incarnation on which the task's run occupies resources; nil when there is no run.
func (t *Task) Incarnation() *Incarnation { return t.incarnation }

// LastWorker returns the worker of the newest run; empty when there was none.
func (t *Task) LastWorker() string { return t.lastWorker }

// Done reports whether the task is done.
func (t *Task) Done() bool { return t.done }

// Waiting reports whether the task may get a run.
func (t *Task) Waiting() bool { return !t.done && t.incarnation == nil && !t.step.job.Ended() }

// Checkpoint returns the checkpoint from which the next run resumes; empty when it starts from the beginning.
func (t *Task) Checkpoint() string { return t.checkpoint }

// FailuresLeft returns how many more failed runs make the job fail.
func (t *Task) FailuresLeft() int {
	return max(1, int(t.step.job.queue.GetAttempts())) - t.step.failures(t)
}

// Failed reports whether a run of the task has failed.
func (t *Task) Failed() bool { return len(t.failedOn) > 0 }

// FailedWorkers returns on how many workers a run of the task has failed.
func (t *Task) FailedWorkers() int { return len(t.failedOn) }

// FailedOn reports whether a run of the task has failed on a worker.
func (t *Task) FailedOn(worker string) bool { return slices.Contains(t.failedOn, worker) }

// acquire reserves the resources of a run on a worker.
func (t *Task) acquire(inc *Incarnation) {
	inc.addRun(t)
	t.incarnation = inc
	if w := t.step.job.workspace; w != nil {
		w.used = w.used.Add(t.step.need)
	}
	t.step.activeRuns++
	t.step.job.activeRuns++
}

// release frees the resources of the run.
func (t *Task) release() {
	t.incarnation.removeRun(t)
	t.incarnation = nil
	if w := t.step.job.workspace; w != nil {
		w.used = w.used.Sub(t.step.need)
	}
	t.step.activeRuns--
	t.step.job.activeRuns--
}

// compareTasks orders tasks by acceptance of their job, step and index.
func compareTasks(a, b *Task) int {
	return cmp.Or(cmp.Compare(a.step.job.order, b.step.job.order), cmp.Compare(a.step.number, b.step.number),
		cmp.Compare(a.index, b.index))
}
