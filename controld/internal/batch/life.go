package batch

import (
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/wire"
)

// Life is one life of a worker. What was known of an earlier life of the same worker does not hold for it.
type Life struct {
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

func newLife(report *wire.WorkerLife) *Life {
	l := &Life{worker: report.GetWorker(), born: report.GetBornUnixMs(), tasks: map[*Task]bool{}}
	l.update(report)
	return l
}

func (l *Life) update(report *wire.WorkerLife) {
	// A worker that leaves does not return within the same life; a late report of an earlier state must not bring it back.
	l.draining = l.draining || report.GetDraining()
	l.report = report
	l.room = resource.New(&wire.Resources{
		CpuMilli: report.GetCpuMillis(), MemoryMb: report.GetMemoryMb(), Accelerators: report.GetGpus(),
	})
}

func (l *Life) take(t *Task) {
	l.used = l.used.Add(t.step.need)
	l.tasks[t] = t.step.job.queue.GetPriority() == 0
	if l.tasks[t] {
		l.urgent = l.urgent.Add(t.step.need)
	}
}

func (l *Life) give(t *Task) {
	l.used = l.used.Sub(t.step.need)
	if l.tasks[t] {
		l.urgent = l.urgent.Sub(t.step.need)
	}
	delete(l.tasks, t)
}

// Worker returns the worker's id.
func (l *Life) Worker() string { return l.worker }

// Born returns when the life began, as the worker tells it, in Unix milliseconds.
func (l *Life) Born() int64 { return l.born }

// Report returns the worker's newest report about itself.
func (l *Life) Report() *wire.WorkerLife { return l.report }

// Draining reports whether the worker leaves and gets no new runs.
func (l *Life) Draining() bool { return l.draining }

// Room returns what the worker has.
func (l *Life) Room() resource.Vector { return l.room }

// Free returns the room that no run holds. Runs that are being stopped and runs of unknown fate hold theirs.
func (l *Life) Free() resource.Vector { return l.room.Sub(l.used) }

// Urgent returns the room that runs of the most urgent kind hold.
func (l *Life) Urgent() resource.Vector { return l.urgent }

// Tasks returns the tasks whose runs hold room here. The map must not be changed.
func (l *Life) Tasks() map[*Task]bool { return l.tasks }
