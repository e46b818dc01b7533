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
	steps []*Step
	phase wire.JobPhase
	order uint64
	// held counts the job's runs that hold room on a worker.
	held int
}

func newJob(spec *wire.SubmittedJob, queue *wire.Queue, order uint64) *Job {
	j := &Job{spec: spec, queue: queue, order: order}
	for number, step := range spec.GetSteps() {
		s := &Step{job: j, number: number, spec: step, need: resources(step)}
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

// Queue returns the job's queue in its newest configuration.
func (j *Job) Queue() *wire.Queue { return j.queue }

// Steps returns the job's steps.
func (j *Job) Steps() []*Step { return j.steps }

// Phase returns what callers are told.
func (j *Job) Phase() wire.JobPhase { return j.phase }

// Order returns the number of the job in the order of acceptance.
func (j *Job) Order() uint64 { return j.order }

// ActiveRuns returns how many runs of the job hold room on a worker.
func (j *Job) ActiveRuns() int { return j.held }

// Ended reports whether nothing of the job may be started any more.
func (j *Job) Ended() bool { return j.phase >= wire.JobPhase_JOB_PHASE_COMPLETED }

// hasBegun reports whether a run of the job may be at work, or an earlier one left something: an end, a failure or a
// checkpoint.
func (j *Job) hasBegun() bool {
	if j.held > 0 {
		return true
	}
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

// Step is a set of equal tasks of a job.
type Step struct {
	job    *Job
	number int
	spec   *wire.JobStep
	need   resource.Vector
	tasks  []*Task
	done   int
	// held counts the runs that hold room on a worker.
	held int
	// failedRuns counts the failed runs of a gang, and lastFailed is the newest of them.
	failedRuns int
	lastFailed int
}

// Job returns the step's job.
func (s *Step) Job() *Job { return s.job }

// Number returns the step's place in the job, from 0.
func (s *Step) Number() int { return s.number }

// Spec returns what the caller asked for.
func (s *Step) Spec() *wire.JobStep { return s.spec }

// Need returns the room of one task.
func (s *Step) Need() resource.Vector { return s.need }

// Tasks returns the step's tasks.
func (s *Step) Tasks() []*Task { return s.tasks }

// Done reports whether all tasks are done.
func (s *Step) Done() bool { return s.done == len(s.tasks) }

// ActiveRuns returns how many runs of the step hold room on a worker.
func (s *Step) ActiveRuns() int { return s.held }

// Waiting returns how many tasks may get a run.
func (s *Step) Waiting() int {
	switch {
	case s.Done() || s.job.Ended():
		return 0
	case s.spec.GetGang():
		return len(s.tasks) - s.held
	default:
		return len(s.tasks) - s.done - s.held
	}
}

// Ready reports whether the steps before are done and this one is not.
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

// NextRun returns the number of the next run of a task; the members of a gang share it.
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

func (s *Step) finish(t *Task) {
	if !s.spec.GetGang() {
		if !t.done {
			t.done = true
			s.done++
		}
		return
	}
	// The members of a gang end together, so that the end of one tells the end of all.
	for _, member := range s.tasks {
		member.done = true
	}
	s.done = len(s.tasks)
}

func (s *Step) fail(t *Task, worker string) {
	if !slices.Contains(t.failedOn, worker) {
		t.failedOn = append(t.failedOn, worker)
	}
	if !s.spec.GetGang() {
		t.failures++
		return
	}
	if t.run > s.lastFailed {
		s.failedRuns, s.lastFailed = s.failedRuns+1, t.run
	}
}

func (s *Step) failures(t *Task) int {
	if s.spec.GetGang() {
		return s.failedRuns
	}
	return t.failures
}

// saveCheckpoint keeps the newest checkpoint; all members of a gang resume from the same one.
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
	// run is the number of the newest run.
	run         int
	previousRun int
	failures    int
	done        bool
	// life holds the run; nil while the task has none.
	life *Incarnation
	// lastWorker is the worker of the newest run.
	lastWorker string
	checkpoint string
	failedOn   []string
}

// Step returns the task's step.
func (t *Task) Step() *Step { return t.step }

// Index returns the task's place in its step, from 0.
func (t *Task) Index() int { return t.index }

// Run returns the number of the newest run.
func (t *Task) Run() int { return t.run }

// Incarnation returns the worker that holds the task's run; nil when there is no run.
func (t *Task) Incarnation() *Incarnation { return t.life }

// LastWorker returns the worker of the newest run; empty when there was none.
func (t *Task) LastWorker() string { return t.lastWorker }

// Done reports whether the task is done.
func (t *Task) Done() bool { return t.done }

// Waiting reports whether the task may get a run.
func (t *Task) Waiting() bool { return !t.done && t.life == nil && !t.step.job.Ended() }

// Checkpoint returns where the next run resumes; empty is the start.
func (t *Task) Checkpoint() string { return t.checkpoint }

// FailuresLeft returns how many runs may fail before the job fails.
func (t *Task) FailuresLeft() int {
	return max(1, int(t.step.job.queue.GetAttempts())) - t.step.failures(t)
}

// Failed reports whether a run of the task has failed.
func (t *Task) Failed() bool { return len(t.failedOn) > 0 }

// FailedOn reports whether a run failed on a worker.
func (t *Task) FailedOn(worker string) bool { return slices.Contains(t.failedOn, worker) }

// hold takes the room of a run on a worker.
func (t *Task) hold(life *Incarnation) {
	life.take(t)
	t.life = life
	t.step.held++
	t.step.job.held++
}

func (t *Task) release() {
	t.life.give(t)
	t.life = nil
	t.step.held--
	t.step.job.held--
}

func compareTasks(a, b *Task) int {
	return cmp.Or(cmp.Compare(a.step.job.order, b.step.job.order), cmp.Compare(a.step.number, b.step.number),
		cmp.Compare(a.index, b.index))
}
