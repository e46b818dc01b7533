package job

import (
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/wire"
)

// maxFailedOn limits how many of the workers on which a task failed are kept.
const maxFailedOn = 8

// Task is one task of a Job. Its fields change only through the Job.
type Task struct {
	job         *Job
	id          string
	index       uint32
	state       wire.TaskState
	worker      string
	attempt     uint64
	stopping    bool
	stopReason  string
	failures    uint32
	sinceUnixMs int64
	// generation is that of the job when the present attempt was placed.
	generation uint64
	failedOn   []string
	detail     string
	// placedSize is the resources with which the present attempt was placed.
	placedSize resource.Vector

	checkpointFirst bool
	preemptions     uint32
	lostWorker      bool
	// crashedOn holds the workers that crashed soon after they had started the task, and soleCrashes counts those that no
	// other job may have crashed.
	crashedOn   []string
	soleCrashes uint32
}

// Job returns the task's job.
func (t *Task) Job() *Job { return t.job }

// ID returns the id of the task: the job's id, a slash and the index.
func (t *Task) ID() string { return t.id }

// Index returns the task's index in the job, from 0.
func (t *Task) Index() uint32 { return t.index }

// State returns the task's state.
func (t *Task) State() wire.TaskState { return t.state }

// Worker returns the worker of the present attempt; empty when there is none.
func (t *Task) Worker() string { return t.worker }

// Attempt returns the number of the newest attempt.
func (t *Task) Attempt() uint64 { return t.attempt }

// Stopping reports whether the present attempt is asked to stop.
func (t *Task) Stopping() bool { return t.stopping }

// StopReason says why the present attempt is asked to stop.
func (t *Task) StopReason() string { return t.stopReason }

// Failures returns how many attempts have failed since the last success.
func (t *Task) Failures() uint32 { return t.failures }

// SinceUnixMs returns the wall-clock time of the last change of state, for display only.
func (t *Task) SinceUnixMs() int64 { return t.sinceUnixMs }

// FailedOn returns the workers on which the latest attempts failed.
func (t *Task) FailedOn() []string { return t.failedOn }

// Detail returns what the worker reported at the end of the last attempt, or why the task was cancelled.
func (t *Task) Detail() string { return t.detail }

// Placed returns the resources with which the present attempt was placed; a newer row may declare others.
func (t *Task) Placed() resource.Vector { return t.placedSize }

// CheckpointFirst reports whether the stop waits for a checkpoint or its timeout.
func (t *Task) CheckpointFirst() bool { return t.checkpointFirst }

// Preemptions returns how many attempts were stopped in favour of other work.
func (t *Task) Preemptions() uint32 { return t.preemptions }

// Lost reports whether the last attempt ended because its worker was lost or restarted.
func (t *Task) Lost() bool { return t.lostWorker }

// Outdated reports whether the active attempt must be replaced because the row has changed. Attempts of services are
// replaced, and those of all-at-once jobs, whose tasks must all run from the same row. Batch tasks, and tasks that must
// not restart, finish as they were started: stopping a settlement because of a changed row could lose it.
func (t *Task) Outdated() bool {
	if t.job.spec.GetKind() == wire.JobKind_JOB_KIND_BATCH || t.job.spec.GetNeverRestart() {
		return false
	}
	return t.Active() && t.generation != t.job.generation
}

// Active reports whether the task is placed or running, so that an attempt may be executing.
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

// setState changes the state and the job's counts.
func (t *Task) setState(state wire.TaskState, nowUnixMs int64) {
	if t.state == state {
		return
	}
	t.job.addCount(t.state, -1)
	t.job.addCount(state, 1)
	t.state, t.sinceUnixMs = state, nowUnixMs
}

// record encodes the task for a snapshot.
func (t *Task) record() *wire.TaskRecord {
	return &wire.TaskRecord{
		Index: t.index, State: t.state, Worker: t.worker, Attempt: t.attempt, Stopping: t.stopping,
		StopReason: t.stopReason, Failures: t.failures, SinceUnixMs: t.sinceUnixMs, SpecGeneration: t.generation,
		FailedOn: t.failedOn, Detail: t.detail, Placed: t.placedSize.Message(), CheckpointFirst: t.checkpointFirst,
		Preemptions: t.preemptions, Lost: t.lostWorker,
		CrashedOn: t.crashedOn, SoleCrashes: t.soleCrashes,
	}
}
