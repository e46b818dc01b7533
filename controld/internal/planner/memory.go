package planner

import (
	"slices"
	"time"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
)

// runClass groups the runs that are expected to use similar amounts of memory: those with the same team and key.
type runClass struct{ team, key string }

// overrun is an attempt that uses more memory than it was placed with.
type overrun struct {
	attempt uint64
	since   time.Duration
}

// memoryTracker tracks the attempts that use more memory than they were placed with, and the peak of each class with
// such runs. It raises the size of later runs of the class, and never lowers a declared size.
type memoryTracker struct {
	peaks map[runClass]int64
	// overruns is keyed by task id.
	overruns map[string]overrun
	// version counts the changes that may affect a decision.
	version uint64
}

func newMemoryTracker() *memoryTracker {
	return &memoryTracker{peaks: map[runClass]int64{}, overruns: map[string]overrun{}}
}

func classOf(j *job.Job) runClass { return runClass{team: j.Spec().GetTeam(), key: j.Spec().GetKey()} }

func (m *memoryTracker) observe(t *job.Task, usage resource.Vector, now time.Duration) {
	if usage.Memory() <= t.Placed().Memory() {
		if _, ok := m.overruns[t.ID()]; ok {
			delete(m.overruns, t.ID())
			m.version++
		}
		return
	}
	if known, ok := m.overruns[t.ID()]; !ok || known.attempt != t.Attempt() {
		m.overruns[t.ID()] = overrun{attempt: t.Attempt(), since: now}
		m.version++
	}
	class := classOf(t.Job())
	if peak, known := m.peaks[class]; usage.Memory() > peak && (known || len(m.peaks) < maxRunClasses) {
		m.peaks[class] = usage.Memory()
		m.version++
	}
}

func (m *memoryTracker) isOverrunning(task string, attempt uint64) bool {
	run, ok := m.overruns[task]
	return ok && run.attempt == attempt
}

// need returns the size with which a job's next task is placed: the declared one, with more memory if runs of its class
// used more.
func (m *memoryTracker) need(j *job.Job) resource.Vector {
	declared := j.Need()
	if len(m.peaks) == 0 {
		return declared
	}
	peak, ok := m.peaks[classOf(j)]
	if !ok || peak <= declared.Memory() {
		return declared
	}
	peak = min(peak+peak*peakMarginPercent/100, declared.Memory()*maxPeakFactor)
	return declared.Max(resource.NewMemory(peak))
}

// overrunsPastGrace returns the tasks that have been above their memory for overMemoryGrace, in order of task id, and
// drops the attempts that have ended.
func (m *memoryTracker) overrunsPastGrace(c *cell.Cell, now time.Duration) []*job.Task {
	var ids []string
	for id, run := range m.overruns {
		t := c.Task(id)
		switch {
		case t == nil || !t.Active() || t.Attempt() != run.attempt:
			delete(m.overruns, id)
		case now-run.since >= overMemoryGrace && !t.Stopping():
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	tasks := make([]*job.Task, 0, len(ids))
	for _, id := range ids {
		tasks = append(tasks, c.Task(id))
	}
	return tasks
}
