package batch

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/wire"
)

// Incarnation is one execution of a worker process, from its start to its end; a restart begins a new one. Nothing known
// about an earlier incarnation applies to a later one.
type Incarnation struct {
	worker        string
	startedUnixMs int64
	report        *wire.WorkerLife
	capacity      resource.Vector
	used          resource.Vector
	draining      bool
	// restarted is set if an earlier incarnation of the worker was known when this one was registered.
	restarted bool
	// tasks holds the tasks whose runs occupy resources here. The value says whether the queue had priority 0 when the
	// run was placed; a newer configuration may change the priority.
	tasks map[*Task]bool
	// urgentUsed is the part of used that the runs of priority 0 occupy.
	urgentUsed resource.Vector
}

func newIncarnation(report *wire.WorkerLife) *Incarnation {
	inc := &Incarnation{worker: report.GetWorker(), startedUnixMs: report.GetBornUnixMs(), tasks: map[*Task]bool{}}
	inc.update(report)
	return inc
}

// update records a report and returns whether it changes what the worker can run.
func (inc *Incarnation) update(report *wire.WorkerLife) (changed bool) {
	// A draining worker stays draining until it restarts, so an older report of it is still true, and one of its former state
	// that arrives late must not undo it.
	changed = report.GetDraining() && !inc.draining
	inc.draining = inc.draining || report.GetDraining()
	if inc.IsOutdated(report) {
		return changed
	}
	changed = changed || inc.DiffersFrom(report)
	inc.report = report
	inc.capacity = resource.New(&wire.Resources{
		CpuMilli: report.GetCpuMillis(), MemoryMb: report.GetMemoryMb(), Accelerators: report.GetGpus(),
	})
	return changed
}

// DiffersFrom reports whether a report describes another pool, rack, capacity or other labels than the newest one.
func (inc *Incarnation) DiffersFrom(report *wire.WorkerLife) bool {
	present := inc.report
	return report.GetPool() != present.GetPool() || report.GetRack() != present.GetRack() ||
		report.GetCpuMillis() != present.GetCpuMillis() || report.GetMemoryMb() != present.GetMemoryMb() ||
		report.GetGpus() != present.GetGpus() || !slices.Equal(report.GetLabels(), present.GetLabels())
}

// ReportFields returns a worker's report as fields of a log event.
func ReportFields(report *wire.WorkerLife) []any {
	return []any{
		"worker", report.GetWorker(), "born_unix_ms", report.GetBornUnixMs(), "address", report.GetAddress(),
		"rack", report.GetRack(), "pool", report.GetPool(),
	}
}

// DrainCommand returns the command that records that an incarnation is draining.
func DrainCommand(inc *Incarnation) *wire.QueueCommand {
	report := proto.Clone(inc.report).(*wire.WorkerLife)
	report.Draining = true
	return &wire.QueueCommand{Workers: []*wire.WorkerLife{report}}
}

func (inc *Incarnation) addRun(t *Task) {
	inc.used = inc.used.Add(t.step.need)
	inc.tasks[t] = t.step.job.queue.GetPriority() == 0
	if inc.tasks[t] {
		inc.urgentUsed = inc.urgentUsed.Add(t.step.need)
	}
}

func (inc *Incarnation) removeRun(t *Task) {
	inc.used = inc.used.Sub(t.step.need)
	if inc.tasks[t] {
		inc.urgentUsed = inc.urgentUsed.Sub(t.step.need)
	}
	delete(inc.tasks, t)
}

// IsOutdated reports whether a report of the incarnation is older than one that was committed. It may give a capacity
// that has shrunk since.
func (inc *Incarnation) IsOutdated(report *wire.WorkerLife) bool {
	return report.GetSequence() > 0 && report.GetSequence() < inc.report.GetSequence()
}

// Worker returns the worker's id.
func (inc *Incarnation) Worker() string { return inc.worker }

// StartedUnixMs returns when the incarnation began, by the worker's own clock.
func (inc *Incarnation) StartedUnixMs() int64 { return inc.startedUnixMs }

// Restarted reports whether the incarnation replaced an earlier one of the worker. Orders for the earlier one may have
// reached this one.
func (inc *Incarnation) Restarted() bool { return inc.restarted }

// Report returns the worker's newest report about itself.
func (inc *Incarnation) Report() *wire.WorkerLife { return inc.report }

// Draining reports whether the worker is draining and gets no new runs.
func (inc *Incarnation) Draining() bool { return inc.draining }

// Capacity returns the resources of the worker.
func (inc *Incarnation) Capacity() resource.Vector { return inc.capacity }

// Free returns the capacity that no run occupies. Runs that are stopping and runs whose outcome is unknown still
// occupy theirs.
func (inc *Incarnation) Free() resource.Vector { return inc.capacity.Sub(inc.used) }

// UrgentUsed returns the resources that runs of priority 0 occupy.
func (inc *Incarnation) UrgentUsed() resource.Vector { return inc.urgentUsed }

// Tasks returns the tasks whose runs occupy resources here; the value says whether the run has priority 0. The map must
// not be changed.
func (inc *Incarnation) Tasks() map[*Task]bool { return inc.tasks }
