// Package worker models one worker: its capacity, its state, and the tasks that may still run on it.
package worker

import (
	"slices"

	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/wire"
)

// FailuresToHold is the number of different jobs that must fail on a worker before the failures are attributed to the
// worker rather than to the jobs.
const FailuresToHold = 3

// Worker accounts for the tasks that are placed on one worker. Only the goroutine that applies the log may use it.
type Worker struct {
	name          string
	boot          string
	capacity      resource.Vector
	used          resource.Vector
	rack          string
	failureDomain string
	lost          bool
	draining      bool
	held          bool
	holdReason    string
	sinceUnixMs   int64
	// tasks maps the task id to its attempt.
	tasks      map[string]uint64
	failedJobs []string
	// holds counts the holds since the last success.
	holds uint32
	// probing is set while the worker is on probation after a hold.
	probing bool
}

// New returns a worker from its first registration.
func New(name string, seen *wire.WorkerSeen, nowUnixMs int64) *Worker {
	w := &Worker{name: name, tasks: map[string]uint64{}}
	w.Register(seen, nowUnixMs)
	return w
}

// Restore returns a worker from a snapshot, without its tasks, which RestoreTask adds.
func Restore(s *wire.WorkerState) *Worker {
	return &Worker{
		name: s.GetWorker(), boot: s.GetBoot(), capacity: resource.New(s.GetCapacity()), rack: s.GetRack(),
		failureDomain: s.GetFailureDomain(), lost: s.GetLost(), draining: s.GetDraining(), held: s.GetHeld(),
		holdReason: s.GetHoldReason(), sinceUnixMs: s.GetSinceUnixMs(), tasks: map[string]uint64{},
		failedJobs: s.GetFailedJobs(), holds: s.GetHolds(), probing: s.GetProbing(),
	}
}

// State returns the state of the worker for a snapshot, without its tasks.
func (w *Worker) State() *wire.WorkerState {
	return &wire.WorkerState{
		Worker: w.name, Boot: w.boot, Capacity: w.capacity.Message(), Rack: w.rack, FailureDomain: w.failureDomain,
		Lost: w.lost, Draining: w.draining, Held: w.held, HoldReason: w.holdReason, SinceUnixMs: w.sinceUnixMs,
		FailedJobs: w.failedJobs, Holds: w.holds, Probing: w.probing,
	}
}

// Register updates the worker from its registration, which also ends a loss.
func (w *Worker) Register(seen *wire.WorkerSeen, nowUnixMs int64) {
	if w.boot != seen.GetBoot() || w.lost {
		w.sinceUnixMs = nowUnixMs
	}
	w.boot, w.lost = seen.GetBoot(), false
	w.capacity = resource.New(seen.GetCapacity())
	w.rack, w.failureDomain = seen.GetRack(), seen.GetFailureDomain()
}

// MarkLost records that the worker's lease has certainly expired.
func (w *Worker) MarkLost(nowUnixMs int64) {
	w.lost, w.sinceUnixMs = true, nowUnixMs
}

// SetDraining starts or ends draining. A draining worker gets no new tasks.
func (w *Worker) SetDraining(draining bool) { w.draining = draining }

// SetHeld holds the worker because tasks fail on it, or releases it. A released worker is on probation: it runs one
// batch task at a time until one succeeds. Releasing a worker that is not held ends its probation.
func (w *Worker) SetHeld(held bool, reason string) {
	switch {
	case held && !w.held:
		w.holds++
		w.probing = false
	case !held && w.held:
		w.probing = true
	case !held:
		w.probing, w.holds = false, 0
	}
	w.failedJobs = nil
	w.held, w.holdReason = held, reason
}

// NoteFailure records that an attempt of a job failed on the worker.
func (w *Worker) NoteFailure(job string) {
	if !slices.Contains(w.failedJobs, job) && len(w.failedJobs) < FailuresToHold {
		w.failedJobs = append(w.failedJobs, job)
	}
}

// NoteSuccess ends a probation and clears the failures and the count of holds.
func (w *Worker) NoteSuccess() { w.failedJobs, w.holds, w.probing = nil, 0, false }

// RemoveFailedJob removes a job from FailedJobs, because the job itself was found to be at fault.
func (w *Worker) RemoveFailedJob(job string) {
	w.failedJobs = slices.DeleteFunc(w.failedJobs, func(id string) bool { return id == job })
}

// Place allocates resources for an attempt. It returns false if the worker is lost, already has the task, or has too
// little free.
func (w *Worker) Place(task string, attempt uint64, need resource.Vector) bool {
	if _, ok := w.tasks[task]; ok || w.lost || !need.FitsIn(w.Free()) {
		return false
	}
	w.addTask(task, attempt, need)
	return true
}

// RestoreTask allocates resources for an attempt from a snapshot, even if they exceed the present capacity.
func (w *Worker) RestoreTask(task string, attempt uint64, need resource.Vector) {
	w.addTask(task, attempt, need)
}

func (w *Worker) addTask(task string, attempt uint64, need resource.Vector) {
	w.tasks[task] = attempt
	w.used = w.used.Add(need)
}

// Release frees the resources of an ended attempt.
func (w *Worker) Release(task string, need resource.Vector) {
	if _, ok := w.tasks[task]; !ok {
		return
	}
	delete(w.tasks, task)
	w.used = w.used.Sub(need)
}

// FailedJobs returns the different jobs that failed on the worker since its last success, hold or release, at most
// FailuresToHold.
func (w *Worker) FailedJobs() []string { return w.failedJobs }

// Suspect reports whether the worker should be held: FailuresToHold different jobs failed, or one did during a
// probation.
func (w *Worker) Suspect() bool {
	return !w.held && (len(w.failedJobs) >= FailuresToHold || w.probing && len(w.failedJobs) > 0)
}

// Holds returns how often the worker was held since its last success.
func (w *Worker) Holds() uint32 { return w.holds }

// Probing reports whether the worker is on probation.
func (w *Worker) Probing() bool { return w.probing }

// Name returns the name of the worker, unique in the cell.
func (w *Worker) Name() string { return w.name }

// Boot returns the id of the worker's current boot.
func (w *Worker) Boot() string { return w.boot }

// Capacity returns the total resources of the worker.
func (w *Worker) Capacity() resource.Vector { return w.capacity }

// Used returns the resources of all attempts that may still run on the worker.
func (w *Worker) Used() resource.Vector { return w.used }

// Free returns the unallocated resources, which are negative if the capacity shrank below the allocation.
func (w *Worker) Free() resource.Vector { return w.capacity.Sub(w.used) }

// Rack returns the rack that the worker gave at registration.
func (w *Worker) Rack() string { return w.rack }

// FailureDomain returns the failure domain that the worker gave at registration.
func (w *Worker) FailureDomain() string { return w.failureDomain }

// Lost reports whether the worker's lease expired.
func (w *Worker) Lost() bool { return w.lost }

// Draining reports whether an operator is draining the worker.
func (w *Worker) Draining() bool { return w.draining }

// Held reports whether the worker gets no tasks because of earlier failures.
func (w *Worker) Held() bool { return w.held }

// HoldReason returns the sentence given with the last hold.
func (w *Worker) HoldReason() string { return w.holdReason }

// SinceUnixMs returns the wall-clock time of the last boot, return or loss, for display only.
func (w *Worker) SinceUnixMs() int64 { return w.sinceUnixMs }

// Usable reports whether new tasks may be placed on the worker.
func (w *Worker) Usable() bool { return !w.lost && !w.draining && !w.held }

// Tasks returns the attempt by task id of each task that may still run on the worker. The caller must not modify the
// map.
func (w *Worker) Tasks() map[string]uint64 { return w.tasks }
