// Package job holds the replicated state of one row of the sheet and its tasks.
package job

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// maxAttemptFailures is how many failed attempts since its last success make a batch or all-at-once task fail
// permanently. The planner puts a job that has failed on three different workers on hold earlier.
const maxAttemptFailures = 10

// Job holds the tasks of one row. It belongs to the goroutine that applies the log.
type Job struct {
	id   string
	spec *wire.JobSpec
	need resource.Vector
	// generation counts the changes of the row after which tasks must be restarted, from 1.
	generation uint64
	order      uint64
	tasks      []*Task
	// counts is the number of tasks by wire.TaskState.
	counts      [6]int
	removed     bool
	held        bool
	holdReason  string
	sinceUnixMs int64
}

// ID returns the id of the job of a row: its key, followed by @ and the run if the row has one.
func ID(spec *wire.JobSpec) string {
	if spec.GetRun() == "" {
		return spec.GetKey()
	}
	return spec.GetKey() + "@" + spec.GetRun()
}

// New returns a job whose tasks are all waiting. The order is the job's position among all jobs by time of arrival.
func New(spec *wire.JobSpec, order uint64, nowUnixMs int64) *Job {
	j := &Job{id: ID(spec), generation: 1, order: order, sinceUnixMs: nowUnixMs}
	j.setSpec(spec)
	j.resize(nowUnixMs)
	return j
}

// Restore decodes a job from a snapshot.
func Restore(s *wire.JobState) *Job {
	j := &Job{
		id: ID(s.GetSpec()), generation: s.GetGeneration(), order: s.GetOrder(), removed: s.GetRemoved(),
		held: s.GetHeld(), holdReason: s.GetHoldReason(), sinceUnixMs: s.GetSinceUnixMs(),
	}
	j.setSpec(s.GetSpec())
	for _, r := range s.GetTasks() {
		t := &Task{
			job: j, id: fmt.Sprintf("%s/%d", j.id, r.GetIndex()), index: r.GetIndex(), state: r.GetState(),
			worker: r.GetWorker(), attempt: r.GetAttempt(), stopping: r.GetStopping(), stopReason: r.GetStopReason(),
			failures: r.GetFailures(), sinceUnixMs: r.GetSinceUnixMs(), generation: r.GetSpecGeneration(),
			failedOn: r.GetFailedOn(), detail: r.GetDetail(), placedSize: resource.New(r.GetPlaced()),
			checkpointFirst: r.GetCheckpointFirst(), preemptions: r.GetPreemptions(), lostWorker: r.GetLost(),
			crashedOn: r.GetCrashedOn(), soleCrashes: r.GetSoleCrashes(),
		}
		j.tasks = append(j.tasks, t)
		j.addCount(t.state, 1)
	}
	return j
}

// Record encodes the job for a snapshot.
func (j *Job) Record() *wire.JobState {
	s := &wire.JobState{
		Spec: j.spec, Generation: j.generation, Removed: j.removed, Held: j.held, HoldReason: j.holdReason,
		SinceUnixMs: j.sinceUnixMs, Order: j.order,
	}
	for _, t := range j.tasks {
		s.Tasks = append(s.Tasks, t.record())
	}
	return s
}

func (j *Job) setSpec(spec *wire.JobSpec) {
	j.spec = spec
	j.need = resource.New(spec.GetResources())
}

func (j *Job) addCount(state wire.TaskState, by int) { j.counts[state] += by }

// resize brings the tasks in line with the number that the row asks for: it adds missing tasks, resumes cancelled ones
// and cancels or stops those beyond the number.
func (j *Job) resize(nowUnixMs int64) {
	for i := uint32(len(j.tasks)); i < j.spec.GetTasks(); i++ {
		t := &Task{job: j, id: fmt.Sprintf("%s/%d", j.id, i), index: i, sinceUnixMs: nowUnixMs}
		j.tasks = append(j.tasks, t)
		j.addCount(t.state, 1)
	}
	for _, t := range j.tasks {
		if t.index >= j.spec.GetTasks() {
			j.cancelOrStop(t, reason.RemovedFromSheet, nowUnixMs)
		} else if t.state == wire.TaskState_TASK_STATE_CANCELLED && !j.removed {
			t.setState(wire.TaskState_TASK_STATE_WAITING, nowUnixMs)
		}
	}
}

// Update applies the row of a newer sheet. A removed row that returns resumes its tasks. A change that needs a restart
// begins a new generation, and the planner replaces the tasks of the old one.
func (j *Job) Update(spec *wire.JobSpec, nowUnixMs int64) {
	returned := j.removed
	j.removed = false
	changed := !proto.Equal(j.spec, spec)
	if !changed && !returned {
		return
	}
	if changed {
		if restartNeeded(j.spec, spec) {
			j.startGeneration(spec, nowUnixMs)
		}
		j.setSpec(spec)
	}
	j.resize(nowUnixMs)
}

// startGeneration begins a new generation. It releases the hold and forgets on which workers tasks of the old row
// failed. All tasks of an all-at-once job must run together again, so those that have succeeded wait once more.
func (j *Job) startGeneration(spec *wire.JobSpec, nowUnixMs int64) {
	j.generation++
	j.held, j.holdReason = false, ""
	for _, t := range j.tasks {
		t.failedOn = nil
		t.clearCrashes()
		if spec.GetKind() == wire.JobKind_JOB_KIND_ALL_AT_ONCE && t.state == wire.TaskState_TASK_STATE_SUCCEEDED {
			t.setState(wire.TaskState_TASK_STATE_WAITING, nowUnixMs)
		}
	}
}

// restartNeeded reports whether running tasks of the old row do not match the updated one. An all-at-once job restarts
// when its number of tasks changes: it is placed only when none of its tasks runs, so added tasks might otherwise wait
// forever.
func restartNeeded(old, updated *wire.JobSpec) bool {
	if updated.GetKind() == wire.JobKind_JOB_KIND_ALL_AT_ONCE && old.GetTasks() != updated.GetTasks() {
		return true
	}
	return old.GetCommand() != updated.GetCommand() || !proto.Equal(old.GetResources(), updated.GetResources()) ||
		old.GetKind() != updated.GetKind()
}

// Remove handles the removal of the row from the sheet. Waiting tasks are cancelled, tasks of a service stop
// gracefully, and the active tasks of any other job may finish.
func (j *Job) Remove(nowUnixMs int64) {
	j.removed = true
	started := j.Active() > 0 && j.spec.GetKind() != wire.JobKind_JOB_KIND_SERVICE
	for _, t := range j.tasks {
		if !started || t.Waiting() {
			j.cancelOrStop(t, reason.RemovedFromSheet, nowUnixMs)
		}
	}
}

// Cancel ends the job: it cancels waiting tasks at once and asks active ones to stop.
func (j *Job) Cancel(nowUnixMs int64) {
	j.removed = true
	for _, t := range j.tasks {
		j.cancelOrStop(t, reason.Cancelled, nowUnixMs)
		if t.state == wire.TaskState_TASK_STATE_CANCELLED {
			// This covers tasks that were cancelled earlier, when the row left the sheet. By this detail the cell knows
			// that an operator cancelled the run, and does not resume it if the row returns.
			t.detail = reason.Cancelled.String()
		}
	}
}

// cancelOrStop cancels a waiting task and asks an active one to stop.
func (j *Job) cancelOrStop(t *Task, why reason.Reason, nowUnixMs int64) {
	switch {
	case t.Active():
		t.stopping, t.stopReason = true, why.String()
	case t.Waiting():
		t.setState(wire.TaskState_TASK_STATE_CANCELLED, nowUnixMs)
		t.detail = why.String()
	}
}

// Place begins a new attempt on a worker. The caller has already reserved size on the worker.
func (j *Job) Place(t *Task, worker string, attempt uint64, size resource.Vector, nowUnixMs int64) {
	t.worker, t.attempt, t.generation, t.placedSize = worker, attempt, j.generation, size
	t.stopping, t.stopReason, t.detail = false, "", ""
	t.checkpointFirst, t.lostWorker = false, false
	t.setState(wire.TaskState_TASK_STATE_PLACED, nowUnixMs)
}

// MarkStarted records that the worker is executing the present attempt.
func (j *Job) MarkStarted(t *Task, nowUnixMs int64) {
	t.setState(wire.TaskState_TASK_STATE_RUNNING, nowUnixMs)
}

// Stop asks the present attempt to stop. With checkpointFirst the worker stops it only after a checkpoint or the
// timeout of the checkpoint.
func (j *Job) Stop(t *Task, why string, checkpointFirst bool) {
	if !t.Active() || t.stopping {
		return
	}
	t.stopping, t.stopReason, t.checkpointFirst = true, why, checkpointFirst
	if why == reason.Preempted.String() {
		t.preemptions++
	}
}

// End describes how an attempt ended.
type End struct {
	Phase  wire.TaskPhase
	Detail string
	// Lost is set when the attempt ended because the worker's lease expired or the worker restarted.
	Lost bool
	// Suspicion says whether the worker may have crashed because of the task.
	Suspicion Suspicion
}

// MarkEnded records the end of the present attempt and decides whether the task waits again.
func (j *Job) MarkEnded(t *Task, end End, nowUnixMs int64) {
	worker := t.worker
	wasStopping, stopReason := t.stopping, t.stopReason
	t.worker, t.stopping, t.stopReason, t.detail = "", false, "", end.Detail
	t.checkpointFirst, t.lostWorker = false, end.Lost
	t.recordCrash(worker, end.Suspicion)
	service := j.spec.GetKind() == wire.JobKind_JOB_KIND_SERVICE
	switch {
	case end.Phase == wire.TaskPhase_TASK_PHASE_SUCCEEDED && !service:
		t.failures = 0
		t.clearCrashes()
		t.setState(wire.TaskState_TASK_STATE_SUCCEEDED, nowUnixMs)
		return
	case end.Phase == wire.TaskPhase_TASK_PHASE_FAILED && !wasStopping:
		t.failures++
		t.failedOn = appendBounded(t.failedOn, worker)
	}
	switch {
	case j.inSheet(t) && stopReason == reason.RemovedFromSheet.String():
		// An earlier sheet asked for the stop, but the row has returned or grown again since.
		t.setState(wire.TaskState_TASK_STATE_WAITING, nowUnixMs)
	case !j.inSheet(t) &&
		(stopReason == reason.Cancelled.String() || stopReason == reason.RemovedFromSheet.String()) ||
		j.removed && service:
		t.setState(wire.TaskState_TASK_STATE_CANCELLED, nowUnixMs)
		t.detail = stopReason
	case j.spec.GetNeverRestart():
		t.setState(wire.TaskState_TASK_STATE_FAILED, nowUnixMs)
	case !service && t.failures >= maxAttemptFailures:
		t.setState(wire.TaskState_TASK_STATE_FAILED, nowUnixMs)
	default:
		t.setState(wire.TaskState_TASK_STATE_WAITING, nowUnixMs)
		j.restartGroup(t, nowUnixMs)
	}
}

// inSheet reports whether the sheet in force contains the task.
func (j *Job) inSheet(t *Task) bool { return !j.removed && t.index < j.spec.GetTasks() }

// restartGroup restarts the other tasks of an all-at-once job after one has ended, because its tasks run together or
// not at all. It stops the active tasks, and those that have succeeded wait again.
func (j *Job) restartGroup(ended *Task, nowUnixMs int64) {
	if j.spec.GetKind() != wire.JobKind_JOB_KIND_ALL_AT_ONCE {
		return
	}
	for _, t := range j.tasks {
		switch {
		case t == ended:
		case t.Active():
			j.Stop(t, reason.WaitsForAll.String(), false)
		case t.state == wire.TaskState_TASK_STATE_SUCCEEDED:
			t.setState(wire.TaskState_TASK_STATE_WAITING, nowUnixMs)
		}
	}
}

func appendBounded(list []string, value string) []string {
	list = append(list, value)
	if len(list) > maxFailedOn {
		list = list[len(list)-maxFailedOn:]
	}
	return list
}

// RemoveFailedWorker removes a worker from the list of those on which the job's tasks failed. It is called when the
// worker, not the job, turned out to be at fault.
func (j *Job) RemoveFailedWorker(worker string) {
	for _, t := range j.tasks {
		t.failedOn = slices.DeleteFunc(t.failedOn, func(w string) bool { return w == worker })
	}
}

// FailedWorkers returns the distinct workers on which the job's tasks failed, sorted by name.
func (j *Job) FailedWorkers() []string {
	var workers []string
	for _, t := range j.tasks {
		workers = append(workers, t.failedOn...)
	}
	slices.Sort(workers)
	return slices.Compact(workers)
}

// NextOutdated returns the task to replace next because the row has changed, or nil when there is none. Tasks are
// replaced one at a time, and none while another task is stopping or waiting.
func (j *Job) NextOutdated() *Task {
	var next *Task
	for _, t := range j.tasks {
		switch {
		case t.Stopping() || t.Waiting():
			return nil
		case next == nil && t.Outdated():
			next = t
		}
	}
	return next
}

// HasOutdated reports whether an active task must be replaced because the row has changed.
func (j *Job) HasOutdated() bool {
	return j.generation > 1 && slices.ContainsFunc(j.tasks, (*Task).Outdated)
}

// SetHeld puts the job on hold or releases it. The tasks of a job on hold are not placed.
func (j *Job) SetHeld(held bool, why string) { j.held, j.holdReason = held, why }

// ID returns the job's id, as ID returns it for the row.
func (j *Job) ID() string { return j.id }

// Spec returns the row, which must not be changed.
func (j *Job) Spec() *wire.JobSpec { return j.spec }

// Need returns the resources that each task needs.
func (j *Job) Need() resource.Vector { return j.need }

// Order returns the job's position among all jobs by time of arrival.
func (j *Job) Order() uint64 { return j.order }

// Tasks returns the tasks by index. The slice must not be changed.
func (j *Job) Tasks() []*Task { return j.tasks }

// Removed reports whether the row has left the sheet.
func (j *Job) Removed() bool { return j.removed }

// Held reports whether the job is on hold, so that its tasks are not placed.
func (j *Job) Held() bool { return j.held }

// HoldReason says why the job is on hold.
func (j *Job) HoldReason() string { return j.holdReason }

// SinceUnixMs returns the wall-clock time of the job's arrival, for display only.
func (j *Job) SinceUnixMs() int64 { return j.sinceUnixMs }

// Waiting returns how many tasks wait for a worker.
func (j *Job) Waiting() int { return j.counts[wire.TaskState_TASK_STATE_WAITING] }

// Active returns how many tasks are placed or running.
func (j *Job) Active() int {
	return j.counts[wire.TaskState_TASK_STATE_PLACED] + j.counts[wire.TaskState_TASK_STATE_RUNNING]
}

// Finished reports whether no task of the job is waiting or active.
func (j *Job) Finished() bool { return j.Waiting() == 0 && j.Active() == 0 }

// EverPlaced reports whether any task was ever placed.
func (j *Job) EverPlaced() bool {
	for _, t := range j.tasks {
		if t.attempt > 0 {
			return true
		}
	}
	return false
}
