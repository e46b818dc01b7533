package planner

import (
	"slices"
	"time"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
)

// class groups the runs that are expected to take alike: the same key of the same team.
type class struct{ team, key string }

// excess is an attempt that takes more memory than it was placed with.
type excess struct {
	attempt uint64
	since   time.Duration
}

// learner keeps the peak memory of each class of runs that took more than declared. It never lowers a declared size.
type learner struct {
	peaks   map[class]int64
	over    map[string]excess
	version uint64
}

func newLearner() *learner { return &learner{peaks: map[class]int64{}, over: map[string]excess{}} }

func classOf(j *job.Job) class { return class{team: j.Spec().GetTeam(), key: j.Spec().GetKey()} }

func (l *learner) observe(t *job.Task, usage resource.Vector, now time.Duration) {
	if usage.Memory() <= t.Placed().Memory() {
		if _, ok := l.over[t.ID()]; ok {
			delete(l.over, t.ID())
			l.version++
		}
		return
	}
	if known, ok := l.over[t.ID()]; !ok || known.attempt != t.Attempt() {
		l.over[t.ID()] = excess{attempt: t.Attempt(), since: now}
		l.version++
	}
	c := classOf(t.Job())
	if peak, known := l.peaks[c]; usage.Memory() > peak && (known || len(l.peaks) < maxLearnedClasses) {
		l.peaks[c] = usage.Memory()
		l.version++
	}
}

func (l *learner) isOver(task string, attempt uint64) bool {
	e, ok := l.over[task]
	return ok && e.attempt == attempt
}

// need returns the size of a job's next task: the declared one, with more memory when runs of its class took more.
func (l *learner) need(j *job.Job) resource.Vector {
	declared := j.Need()
	if len(l.peaks) == 0 {
		return declared
	}
	peak, ok := l.peaks[classOf(j)]
	if !ok || peak <= declared.Memory() {
		return declared
	}
	peak = min(peak+peak*learnedSlackPercent/100, declared.Memory()*learnedMaxFactor)
	return declared.Max(resource.NewMemory(peak))
}

// overdue returns the attempts that stayed above their memory for longer than the grace time, in order of task id, and
// forgets those that have ended.
func (l *learner) overdue(c *cell.Cell, now time.Duration) []*job.Task {
	var ids []string
	for id, e := range l.over {
		t := c.Task(id)
		switch {
		case t == nil || !t.Active() || t.Attempt() != e.attempt:
			delete(l.over, id)
		case now-e.since >= overMemoryGrace && !t.Stopping():
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
