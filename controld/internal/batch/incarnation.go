package batch

import (
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/wire"
)

// Incarnation is one life of a worker. What was known of an earlier life of the same worker does not hold for it.
type Incarnation struct {
	worker   string
	born     int64
	report   *wire.WorkerLife
	room     resource.Vector
	used     resource.Vector
	draining bool
	// tasks are the tasks whose runs hold room here, with whether they were of the most urgent kind when they took it.
	tasks map[*Task]bool
	// urgent is the part of used that runs of the most urgent kind take.
	urgent resource.Vector
}

func newLife(report *wire.WorkerLife) *Incarnation {
	l := &Incarnation{worker: report.GetWorker(), born: report.GetBornUnixMs(), tasks: map[*Task]bool{}}
	l.update(report)
	return l
}

func (l *Incarnation) update(report *wire.WorkerLife) {
	// A worker that leaves does not return within the same life; a late report of an earlier state must not bring it back.
	l.draining = l.draining || report.GetDraining()
	l.report = report
	l.room = resource.New(&wire.Resources{
		CpuMilli: report.GetCpuMillis(), MemoryMb: report.GetMemoryMb(), Accelerators: report.GetGpus(),
	})
}

func (l *Incarnation) take(t *Task) {
	l.used = l.used.Add(t.step.need)
	l.tasks[t] = t.step.job.queue.GetPriority() == 0
	if l.tasks[t] {
		l.urgent = l.urgent.Add(t.step.need)
	}
}

func (l *Incarnation) give(t *Task) {
	l.used = l.used.Sub(t.step.need)
	if l.tasks[t] {
		l.urgent = l.urgent.Sub(t.step.need)
	}
	delete(l.tasks, t)
}

// Worker returns the worker's id.
func (l *Incarnation) Worker() string { return l.worker }

// StartedUnixMs returns when the life began, as the worker tells it, in Unix milliseconds.
func (l *Incarnation) StartedUnixMs() int64 { return l.born }

// Report returns the worker's newest report about itself.
func (l *Incarnation) Report() *wire.WorkerLife { return l.report }

// Draining reports whether the worker leaves and gets no new runs.
func (l *Incarnation) Draining() bool { return l.draining }

// Capacity returns what the worker has.
func (l *Incarnation) Capacity() resource.Vector { return l.room }

// Free returns the room that no run holds. Runs that are being stopped and runs of unknown fate hold theirs.
func (l *Incarnation) Free() resource.Vector { return l.room.Sub(l.used) }

// UrgentUsed returns the room that runs of the most urgent kind hold.
func (l *Incarnation) UrgentUsed() resource.Vector { return l.urgent }

// Tasks returns the tasks whose runs hold room here. The map must not be changed.
func (l *Incarnation) Tasks() map[*Task]bool { return l.tasks }
