// Package baseline implements a first-come, first-fit planner, with which the replay tests compare package planner.
package baseline

import (
	"sort"
	"time"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/controld/internal/worker"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// maxPlacements is the number of placements after which a round considers no further job, so that its log entry stays
// small.
const maxPlacements = 1_000

// Config is empty: the baseline has no parameters.
type Config struct{}

// WaitStatus is why a job's tasks wait.
type WaitStatus struct {
	Reason reason.Reason
	Detail string
	Since  time.Duration
}

// Planner places tasks first come, first fit. Only the control goroutine of the leader may use it.
type Planner struct {
	waiting map[string]WaitStatus
}

// New returns a Planner.
func New(Config) *Planner { return &Planner{waiting: map[string]WaitStatus{}} }

// Decide returns the decisions of one round, or nil if there are none.
func (p *Planner) Decide(c *cell.Cell, now time.Duration) *wire.Decisions {
	d := &wire.Decisions{}
	p.stopOutdated(c, d)
	free := map[string]resource.Vector{}
	workers := usableWorkers(c)
	for _, w := range workers {
		free[w.Name()] = w.Free()
	}
	waiting := map[string]WaitStatus{}
	for _, j := range sortedJobs(c) {
		if len(d.Placements) >= maxPlacements {
			break
		}
		if waitReason := p.placeJob(j, workers, free, d); waitReason != reason.None {
			entry := p.waiting[j.ID()]
			if entry.Reason != waitReason {
				entry = WaitStatus{Reason: waitReason, Since: now}
			}
			waiting[j.ID()] = entry
		}
	}
	p.waiting = waiting
	if len(d.Placements) == 0 && len(d.Stops) == 0 {
		return nil
	}
	return d
}

// WaitStatus returns why a job waits, as of the last round. The bool is false if that round recorded no reason.
func (p *Planner) WaitStatus(jobID string) (WaitStatus, bool) {
	w, ok := p.waiting[jobID]
	return w, ok
}

func sortedJobs(c *cell.Cell) []*job.Job {
	jobs := make([]*job.Job, 0, len(c.WaitingJobs()))
	for _, j := range c.WaitingJobs() {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool {
		ua, ub := jobs[a].Spec().GetUrgency(), jobs[b].Spec().GetUrgency()
		if ua != ub {
			return urgencyRank(ua) < urgencyRank(ub)
		}
		return jobs[a].Order() < jobs[b].Order()
	})
	return jobs
}

func urgencyRank(u wire.Urgency) int {
	switch u {
	case wire.Urgency_URGENCY_URGENT:
		return 0
	case wire.Urgency_URGENCY_LOW:
		return 2
	default:
		return 1
	}
}

func usableWorkers(c *cell.Cell) []*worker.Worker {
	workers := make([]*worker.Worker, 0, len(c.Workers()))
	for _, w := range c.Workers() {
		if w.Usable() {
			workers = append(workers, w)
		}
	}
	sort.Slice(workers, func(a, b int) bool { return workers[a].Name() < workers[b].Name() })
	return workers
}

// stopOutdated stops the outdated tasks of each changed job one at a time, and all tasks on draining workers.
func (p *Planner) stopOutdated(c *cell.Cell, d *wire.Decisions) {
	for _, j := range c.Jobs() {
		if t := j.NextOutdated(); t != nil {
			d.Stops = append(d.Stops, &wire.TaskStop{Task: t.ID(), Reason: reason.SpecChanged.String()})
		}
	}
	for _, w := range c.Workers() {
		if !w.Draining() {
			continue
		}
		for id := range w.Tasks() {
			if t := c.Task(id); !t.Stopping() {
				d.Stops = append(d.Stops, &wire.TaskStop{Task: id, Reason: reason.WorkerDraining.String()})
			}
		}
	}
}

func (p *Planner) placeJob(
	j *job.Job, workers []*worker.Worker, free map[string]resource.Vector, d *wire.Decisions,
) reason.Reason {
	if j.Held() {
		return reason.JobHeld
	}
	if len(workers) == 0 {
		return reason.NoWorkers
	}
	allAtOnce := j.Spec().GetKind() == wire.JobKind_JOB_KIND_ALL_AT_ONCE
	if allAtOnce && j.Active() > 0 {
		return reason.StopInProgress
	}
	start := len(d.Placements)
	for _, t := range j.Tasks() {
		if !t.Waiting() {
			continue
		}
		w := firstFit(j, workers, free)
		if w == nil {
			if allAtOnce {
				revertPlacements(j, free, d, start)
				return reason.WaitsForAll
			}
			return reason.NoCapacity
		}
		free[w.Name()] = free[w.Name()].Sub(j.Need())
		d.Placements = append(d.Placements, &wire.Placement{Task: t.ID(), Worker: w.Name()})
	}
	return reason.None
}

func firstFit(j *job.Job, workers []*worker.Worker, free map[string]resource.Vector) *worker.Worker {
	for _, w := range workers {
		if j.Need().FitsIn(free[w.Name()]) {
			return w
		}
	}
	return nil
}

func revertPlacements(j *job.Job, free map[string]resource.Vector, d *wire.Decisions, start int) {
	for _, p := range d.Placements[start:] {
		free[p.GetWorker()] = free[p.GetWorker()].Add(j.Need())
	}
	d.Placements = d.Placements[:start]
}
