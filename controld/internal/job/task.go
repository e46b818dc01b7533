package job

import (
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/wire"
)

// maxFailedOn bounds the remembered workers on which a task failed.
const maxFailedOn = 8

// Task is one task of a Job. Its fields change only through the Job.
type Task struct {
	job        *Job
	id         string
	index      uint32
	state      wire.TaskState
	worker     string
	attempt    uint64
	stopping   bool
	stopReason string
	failures   uint32
	since      int64
	generation uint64
	failedOn   []string
	detail     string
	placed     resource.Vector

	checkpointFirst bool
	preemptions     uint32
	lost            bool
}

// Job returns the task's job.
func (t *Task) Job() *Job { return t.job }

// ID returns the identity of the task: the job's id, a slash and the index.
func (t *Task) ID() string { return t.id }

// Index returns the position in the job, from 0.
func (t *Task) Index() uint32 { return t.index }

// State returns where the task is in its life.
func (t *Task) State() wire.TaskState { return t.state }

// Worker returns the worker of the present attempt; empty when there is none.
func (t *Task) Worker() string { return t.worker }

// Attempt returns the number of the present or last attempt.
func (t *Task) Attempt() uint64 { return t.attempt }

// Stopping reports whether the present attempt is asked to stop.
func (t *Task) Stopping() bool { return t.stopping }

// StopReason says why it is asked to stop.
func (t *Task) StopReason() string { return t.stopReason }

// Failures returns how many attempts failed.
func (t *Task) Failures() uint32 { return t.failures }

// SinceUnixMs returns the wall-clock time of the last change of state, for people.
func (t *Task) SinceUnixMs() int64 { return t.since }

// FailedOn returns the workers on which the latest attempts failed.
func (t *Task) FailedOn() []string { return t.failedOn }

// Detail returns what the worker said at the end of the last attempt.
func (t *Task) Detail() string { return t.detail }

// Placed returns what the present attempt was placed with; a newer row may declare another size.
func (t *Task) Placed() resource.Vector { return t.placed }

// CheckpointFirst reports whether the stop waits for a checkpoint or its timeout.
func (t *Task) CheckpointFirst() bool { return t.checkpointFirst }

// Preemptions returns how often an attempt was stopped in favour of other work.
func (t *Task) Preemptions() uint32 { return t.preemptions }

// Lost reports whether the last attempt ended with its worker.
func (t *Task) Lost() bool { return t.lost }

// Outdated reports whether the running attempt must be replaced because the row has changed. Services are replaced, and
// all-at-once jobs, whose tasks must be alike. A batch run that has started, and every run that must not start twice,
// finishes as it was started: stopping a settlement for a changed row could lose it.
func (t *Task) Outdated() bool {
	if t.job.spec.GetKind() == wire.JobKind_JOB_KIND_BATCH || t.job.spec.GetNeverRestart() {
		return false
	}
	return t.Active() && t.generation != t.job.generation
}

// Active reports whether an attempt may be running.
func (t *Task) Active() bool {
	return t.state == wire.TaskState_TASK_STATE_PLACED || t.state == wire.TaskState_TASK_STATE_RUNNING
}

// Waiting reports whether the task waits for a worker.
func (t *Task) Waiting() bool { return t.state == wire.TaskState_TASK_STATE_WAITING }

// Done reports whether the task will not run again.
func (t *Task) Done() bool {
	switch t.state {
	case wire.TaskState_TASK_STATE_SUCCEEDED, wire.TaskState_TASK_STATE_FAILED, wire.TaskState_TASK_STATE_CANCELLED:
		return true
	default:
		return false
	}
}

func (t *Task) set(state wire.TaskState, nowUnixMs int64) {
	if t.state == state {
		return
	}
	t.job.count(t.state, -1)
	t.job.count(state, 1)
	t.state, t.since = state, nowUnixMs
}

func (t *Task) record() *wire.TaskRecord {
	return &wire.TaskRecord{
		Index: t.index, State: t.state, Worker: t.worker, Attempt: t.attempt, Stopping: t.stopping,
		StopReason: t.stopReason, Failures: t.failures, SinceUnixMs: t.since, SpecGeneration: t.generation,
		FailedOn: t.failedOn, Detail: t.detail, Placed: t.placed.Message(), CheckpointFirst: t.checkpointFirst,
		Preemptions: t.preemptions, Lost: t.lost,
	}
}
