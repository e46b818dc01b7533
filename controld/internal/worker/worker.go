// Package worker is the aggregate of one worker: its capacity and everything that may still run there.
package worker

import (
	"slices"

	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/wire"
)

// FailuresToHold is how many different jobs must fail on a worker before the worker is blamed and not the jobs.
const FailuresToHold = 3

// Worker counts what is placed on one worker. It is owned by the thread that applies the log.
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
	tasks         map[string]uint64
	failedJobs    []string
	holds         uint32
	probing       bool
}

// New returns a worker that was just seen.
func New(name string, seen *wire.WorkerSeen, nowUnixMs int64) *Worker {
	w := &Worker{name: name, tasks: map[string]uint64{}}
	w.Register(seen, nowUnixMs)
	return w
}

// Restore returns a worker from a snapshot, without its tasks: the jobs place them again.
func Restore(s *wire.WorkerState) *Worker {
	return &Worker{
		name: s.GetWorker(), boot: s.GetBoot(), capacity: resource.New(s.GetCapacity()), rack: s.GetRack(),
		failureDomain: s.GetFailureDomain(), lost: s.GetLost(), draining: s.GetDraining(), held: s.GetHeld(),
		holdReason: s.GetHoldReason(), sinceUnixMs: s.GetSinceUnixMs(), tasks: map[string]uint64{},
		failedJobs: s.GetFailedJobs(), holds: s.GetHolds(), probing: s.GetProbing(),
	}
}

// State returns the worker for a snapshot.
func (w *Worker) State() *wire.WorkerState {
	return &wire.WorkerState{
		Worker: w.name, Boot: w.boot, Capacity: w.capacity.Message(), Rack: w.rack, FailureDomain: w.failureDomain,
		Lost: w.lost, Draining: w.draining, Held: w.held, HoldReason: w.holdReason, SinceUnixMs: w.sinceUnixMs,
		FailedJobs: w.failedJobs, Holds: w.holds, Probing: w.probing,
	}
}

// Register takes over what the worker says of itself.
func (w *Worker) Register(seen *wire.WorkerSeen, nowUnixMs int64) {
	if w.boot != seen.GetBoot() || w.lost {
		w.sinceUnixMs = nowUnixMs
	}
	w.boot, w.lost = seen.GetBoot(), false
	w.capacity = resource.New(seen.GetCapacity())
	w.rack, w.failureDomain = seen.GetRack(), seen.GetFailureDomain()
}

// MarkLost records that the lease has surely run out.
func (w *Worker) MarkLost(nowUnixMs int64) {
	w.lost, w.sinceUnixMs = true, nowUnixMs
}

// SetDraining says whether the worker gets no new tasks by an operator's wish.
func (w *Worker) SetDraining(draining bool) { w.draining = draining }

// SetHeld says whether the worker is set aside because tasks fail there. A released worker is on probation: it runs one
// batch task at a time until one succeeds. A release of a worker that is not held ends its probation.
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

// NoteFailure counts a failed attempt of a job.
func (w *Worker) NoteFailure(job string) {
	if !slices.Contains(w.failedJobs, job) && len(w.failedJobs) < FailuresToHold {
		w.failedJobs = append(w.failedJobs, job)
	}
}

// NoteSuccess ends a probation and forgets earlier failures.
func (w *Worker) NoteSuccess() { w.failedJobs, w.holds, w.probing = nil, 0, false }

// RemoveFailedJob drops a job from those that failed here, because the job itself turned out to be at fault.
func (w *Worker) RemoveFailedJob(job string) {
	w.failedJobs = slices.DeleteFunc(w.failedJobs, func(id string) bool { return id == job })
}

// Place reserves room for an attempt. It returns false when the worker cannot take it.
func (w *Worker) Place(task string, attempt uint64, need resource.Vector) bool {
	if _, ok := w.tasks[task]; ok || w.lost || !need.FitsIn(w.Free()) {
		return false
	}
	w.adopt(task, attempt, need)
	return true
}

// RestoreTask counts an attempt from a snapshot, whatever the present capacity is.
func (w *Worker) RestoreTask(task string, attempt uint64, need resource.Vector) {
	w.adopt(task, attempt, need)
}

func (w *Worker) adopt(task string, attempt uint64, need resource.Vector) {
	w.tasks[task] = attempt
	w.used = w.used.Add(need)
}

// Release gives the room of an ended attempt back.
func (w *Worker) Release(task string, need resource.Vector) {
	if _, ok := w.tasks[task]; !ok {
		return
	}
	delete(w.tasks, task)
	w.used = w.used.Sub(need)
}

// FailedJobs returns the different jobs that failed here since the last success, at most FailuresToHold.
func (w *Worker) FailedJobs() []string { return w.failedJobs }

// Suspect reports whether the worker should be held: three different jobs failed, or one did during a probation.
func (w *Worker) Suspect() bool {
	return !w.held && (len(w.failedJobs) >= FailuresToHold || w.probing && len(w.failedJobs) > 0)
}

// Holds returns how often the worker was held in a row without a success in between.
func (w *Worker) Holds() uint32 { return w.holds }

// Probing reports whether the worker is on probation.
func (w *Worker) Probing() bool { return w.probing }

// Name returns the worker's name.
func (w *Worker) Name() string { return w.name }

// Boot returns the identity of the worker's present start.
func (w *Worker) Boot() string { return w.boot }

// Capacity returns what the worker has.
func (w *Worker) Capacity() resource.Vector { return w.capacity }

// Used returns what is reserved for everything that may still run on the worker.
func (w *Worker) Used() resource.Vector { return w.used }

// Free returns what is left; negative when the capacity shrank.
func (w *Worker) Free() resource.Vector { return w.capacity.Sub(w.used) }

// Rack returns the worker's rack.
func (w *Worker) Rack() string { return w.rack }

// FailureDomain returns the worker's failure domain.
func (w *Worker) FailureDomain() string { return w.failureDomain }

// Lost reports whether the worker's lease ran out.
func (w *Worker) Lost() bool { return w.lost }

// Draining reports whether an operator drains the worker.
func (w *Worker) Draining() bool { return w.draining }

// Held reports whether the worker is set aside.
func (w *Worker) Held() bool { return w.held }

// HoldReason says why the worker is set aside.
func (w *Worker) HoldReason() string { return w.holdReason }

// SinceUnixMs returns the wall-clock time of the last registration or loss, for people.
func (w *Worker) SinceUnixMs() int64 { return w.sinceUnixMs }

// Usable reports whether new tasks may be placed.
func (w *Worker) Usable() bool { return !w.lost && !w.draining && !w.held }

// Tasks returns the attempt of each task that may still run on the worker. The map must not be changed.
func (w *Worker) Tasks() map[string]uint64 { return w.tasks }
