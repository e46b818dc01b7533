// Package job is the aggregate of one row of the sheet and its tasks.
package job

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// maxAttemptFailures is how many failed attempts in a row end a batch or all-at-once task for good. A job that fails on
// three different workers is held earlier, by the planner.
const maxAttemptFailures = 10

// Job holds the tasks of one row. It is owned by the thread that applies the log.
type Job struct {
	id         string
	spec       *wire.JobSpec
	need       resource.Vector
	generation uint64
	order      uint64
	tasks      []*Task
	counts     [6]int
	removed    bool
	held       bool
	holdReason string
	since      int64
}

// ID returns the identity of a row: the key, and for runs the run.
func ID(spec *wire.JobSpec) string {
	if spec.GetRun() == "" {
		return spec.GetKey()
	}
	return spec.GetKey() + "@" + spec.GetRun()
}

// New returns a job whose tasks all wait. order is its place among all jobs by time of arrival.
func New(spec *wire.JobSpec, order uint64, nowUnixMs int64) *Job {
	j := &Job{id: ID(spec), generation: 1, order: order, since: nowUnixMs}
	j.setSpec(spec)
	j.resize(nowUnixMs)
	return j
}

// Restore returns a job from a snapshot.
func Restore(s *wire.JobState) *Job {
	j := &Job{
		id: ID(s.GetSpec()), generation: s.GetGeneration(), order: s.GetOrder(), removed: s.GetRemoved(),
		held: s.GetHeld(), holdReason: s.GetHoldReason(), since: s.GetSinceUnixMs(),
	}
	j.setSpec(s.GetSpec())
	for _, r := range s.GetTasks() {
		t := &Task{
			job: j, id: fmt.Sprintf("%s/%d", j.id, r.GetIndex()), index: r.GetIndex(), state: r.GetState(),
			worker: r.GetWorker(), attempt: r.GetAttempt(), stopping: r.GetStopping(), stopReason: r.GetStopReason(),
			failures: r.GetFailures(), since: r.GetSinceUnixMs(), generation: r.GetSpecGeneration(),
			failedOn: r.GetFailedOn(), detail: r.GetDetail(), placed: resource.New(r.GetPlaced()),
			checkpointFirst: r.GetCheckpointFirst(), preemptions: r.GetPreemptions(), lost: r.GetLost(),
		}
		j.tasks = append(j.tasks, t)
		j.count(t.state, 1)
	}
	return j
}

// Record returns the job for a snapshot.
func (j *Job) Record() *wire.JobState {
	s := &wire.JobState{
		Spec: j.spec, Generation: j.generation, Removed: j.removed, Held: j.held, HoldReason: j.holdReason,
		SinceUnixMs: j.since, Order: j.order,
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

func (j *Job) count(state wire.TaskState, by int) { j.counts[state] += by }

func (j *Job) resize(nowUnixMs int64) {
	for i := uint32(len(j.tasks)); i < j.spec.GetTasks(); i++ {
		t := &Task{job: j, id: fmt.Sprintf("%s/%d", j.id, i), index: i, since: nowUnixMs}
		j.tasks = append(j.tasks, t)
		j.count(t.state, 1)
	}
	for _, t := range j.tasks {
		if t.index >= j.spec.GetTasks() {
			j.retire(t, reason.RemovedFromSheet, nowUnixMs)
		} else if t.state == wire.TaskState_TASK_STATE_CANCELLED && !j.removed {
			t.set(wire.TaskState_TASK_STATE_WAITING, nowUnixMs)
		}
	}
}

// Update takes over a row of a newer sheet. A row that comes back resumes; a changed row starts a new generation, and
// the planner replaces the tasks of the old one.
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

// startGeneration forgets failures of the old row. The tasks of an all-at-once job run together again, so those that
// have succeeded wait anew.
func (j *Job) startGeneration(spec *wire.JobSpec, nowUnixMs int64) {
	j.generation++
	j.held, j.holdReason = false, ""
	for _, t := range j.tasks {
		t.failedOn = nil
		if spec.GetKind() == wire.JobKind_JOB_KIND_ALL_AT_ONCE && t.state == wire.TaskState_TASK_STATE_SUCCEEDED {
			t.set(wire.TaskState_TASK_STATE_WAITING, nowUnixMs)
		}
	}
}

// restartNeeded reports whether running tasks do not match the newer row. An all-at-once job restarts when its number of
// tasks changes: the added tasks could otherwise wait for ever for a moment at which no other runs.
func restartNeeded(a, b *wire.JobSpec) bool {
	if b.GetKind() == wire.JobKind_JOB_KIND_ALL_AT_ONCE && a.GetTasks() != b.GetTasks() {
		return true
	}
	return a.GetCommand() != b.GetCommand() || !proto.Equal(a.GetResources(), b.GetResources()) ||
		a.GetKind() != b.GetKind()
}

// Remove takes the row out of the day's intended state. Waiting tasks are cancelled; tasks of a service stop
// gracefully; a run that has started may finish.
func (j *Job) Remove(nowUnixMs int64) {
	j.removed = true
	started := j.Active() > 0 && j.spec.GetKind() != wire.JobKind_JOB_KIND_SERVICE
	for _, t := range j.tasks {
		if !started || t.Waiting() {
			j.retire(t, reason.RemovedFromSheet, nowUnixMs)
		}
	}
}

// Cancel ends the job: waiting tasks at once, running ones by a stop.
func (j *Job) Cancel(nowUnixMs int64) {
	j.removed = true
	for _, t := range j.tasks {
		j.retire(t, reason.Cancelled, nowUnixMs)
		if t.state == wire.TaskState_TASK_STATE_CANCELLED {
			// Also a task that ended when its row left the sheet must not resume if the row returns.
			t.detail = reason.Cancelled.String()
		}
	}
}

func (j *Job) retire(t *Task, why reason.Reason, nowUnixMs int64) {
	switch {
	case t.Active():
		t.stopping, t.stopReason = true, why.String()
	case t.Waiting():
		t.set(wire.TaskState_TASK_STATE_CANCELLED, nowUnixMs)
		t.detail = why.String()
	}
}

// Place starts a new attempt on a worker. The caller has reserved the room of size.
func (j *Job) Place(t *Task, worker string, attempt uint64, size resource.Vector, nowUnixMs int64) {
	t.worker, t.attempt, t.generation, t.placed = worker, attempt, j.generation, size
	t.stopping, t.stopReason, t.detail = false, "", ""
	t.checkpointFirst, t.lost = false, false
	t.set(wire.TaskState_TASK_STATE_PLACED, nowUnixMs)
}

// MarkStarted records that the worker runs the present attempt.
func (j *Job) MarkStarted(t *Task, nowUnixMs int64) {
	t.set(wire.TaskState_TASK_STATE_RUNNING, nowUnixMs)
}

// Stop asks the present attempt to stop, with checkpointFirst only after a checkpoint or its timeout.
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
	// Lost is true when the worker's lease ran out or the worker restarted.
	Lost bool
}

// MarkEnded records the end of the present attempt and decides whether the task waits again.
func (j *Job) MarkEnded(t *Task, end End, nowUnixMs int64) {
	worker := t.worker
	wasStopping, stopReason := t.stopping, t.stopReason
	t.worker, t.stopping, t.stopReason, t.detail = "", false, "", end.Detail
	t.checkpointFirst, t.lost = false, end.Lost
	service := j.spec.GetKind() == wire.JobKind_JOB_KIND_SERVICE
	switch {
	case end.Phase == wire.TaskPhase_TASK_PHASE_SUCCEEDED && !service:
		t.failures = 0
		t.set(wire.TaskState_TASK_STATE_SUCCEEDED, nowUnixMs)
		return
	case end.Phase == wire.TaskPhase_TASK_PHASE_FAILED && !wasStopping:
		t.failures++
		t.failedOn = appendBounded(t.failedOn, worker)
	}
	switch {
	case j.wanted(t) && stopReason == reason.RemovedFromSheet.String():
		// The row returned, or grew again, while the task stopped for an earlier sheet.
		t.set(wire.TaskState_TASK_STATE_WAITING, nowUnixMs)
	case !j.wanted(t) && (stopReason == reason.Cancelled.String() || stopReason == reason.RemovedFromSheet.String()) || j.removed && service:
		t.set(wire.TaskState_TASK_STATE_CANCELLED, nowUnixMs)
		t.detail = stopReason
	case j.spec.GetNeverRestart():
		t.set(wire.TaskState_TASK_STATE_FAILED, nowUnixMs)
	case !service && t.failures >= maxAttemptFailures:
		t.set(wire.TaskState_TASK_STATE_FAILED, nowUnixMs)
	default:
		t.set(wire.TaskState_TASK_STATE_WAITING, nowUnixMs)
		j.restartGroup(t, nowUnixMs)
	}
}

// wanted reports whether the sheet in force asks for the task.
func (j *Job) wanted(t *Task) bool { return !j.removed && t.index < j.spec.GetTasks() }

// restartGroup asks the rest of an all-at-once job to stop, because its tasks run together or not at all.
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
			t.set(wire.TaskState_TASK_STATE_WAITING, nowUnixMs)
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

// RemoveFailedWorker drops a worker from those on which the job's tasks failed, because the worker turned out to be at
// fault.
func (j *Job) RemoveFailedWorker(worker string) {
	for _, t := range j.tasks {
		t.failedOn = slices.DeleteFunc(t.failedOn, func(w string) bool { return w == worker })
	}
}

// FailedWorkers returns the different workers on which the job's tasks failed, in order of name.
func (j *Job) FailedWorkers() []string {
	var workers []string
	for _, t := range j.tasks {
		workers = append(workers, t.failedOn...)
	}
	slices.Sort(workers)
	return slices.Compact(workers)
}

// NextOutdated returns the task to replace next because the row has changed: one at a time, and none while another is
// stopping or waiting. It returns nil when there is none.
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

// HasOutdated reports whether a running task was started from an older row.
func (j *Job) HasOutdated() bool {
	return j.generation > 1 && slices.ContainsFunc(j.tasks, (*Task).Outdated)
}

// SetHeld says whether the job's tasks are kept from being placed.
func (j *Job) SetHeld(held bool, why string) { j.held, j.holdReason = held, why }

// ID returns the job's identity.
func (j *Job) ID() string { return j.id }

// Spec returns the row. It must not be changed.
func (j *Job) Spec() *wire.JobSpec { return j.spec }

// Need returns what each task takes.
func (j *Job) Need() resource.Vector { return j.need }

// Order returns the job's place by time of arrival.
func (j *Job) Order() uint64 { return j.order }

// Tasks returns the tasks by index. The slice must not be changed.
func (j *Job) Tasks() []*Task { return j.tasks }

// Removed reports whether the row has left the sheet.
func (j *Job) Removed() bool { return j.removed }

// Held reports whether the job's tasks are kept from being placed.
func (j *Job) Held() bool { return j.held }

// HoldReason says why.
func (j *Job) HoldReason() string { return j.holdReason }

// SinceUnixMs returns the wall-clock time of the job's arrival, for people.
func (j *Job) SinceUnixMs() int64 { return j.since }

// Waiting returns how many tasks wait for a worker.
func (j *Job) Waiting() int { return j.counts[wire.TaskState_TASK_STATE_WAITING] }

// Active returns how many tasks may be running.
func (j *Job) Active() int {
	return j.counts[wire.TaskState_TASK_STATE_PLACED] + j.counts[wire.TaskState_TASK_STATE_RUNNING]
}

// Finished reports whether no task of the job will run again.
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
