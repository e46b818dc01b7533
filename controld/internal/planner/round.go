package planner

import (
	"time"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// round is the state of one call of Decide.
type round struct {
	planner     *Planner
	cell        *cell.Cell
	now         time.Duration
	decisions   *wire.Decisions
	workers     *workerSet
	profile     profile
	teams       map[string]*team
	totalWeight float64
	// stopping holds the ids of the tasks that this round stops.
	stopping  map[string]bool
	preempted int
	// unplaceable holds task sizes for which no worker had enough free capacity. Free capacity only shrinks within a
	// round, so the search is skipped for a task that is at least as large.
	unplaceable []resource.Vector
	// unplaceableGangs holds the same for all-at-once jobs.
	unplaceableGangs []gangSize
	// recheck holds jobs whose reason to wait may become wrong by later placements of the round.
	recheck []*candidate
	// firstBlocked is, by team, the first job for which no worker had enough free capacity.
	firstBlocked map[string]*candidate
}

// gangSize is the number of tasks of an all-at-once job and the size of each.
type gangSize struct {
	need  resource.Vector
	count int64
}

// maxUnplaceable bounds unplaceable and unplaceableGangs, which are searched linearly.
const maxUnplaceable = 64

// candidate is a waiting job that a round tries to place.
type candidate struct {
	job    *job.Job
	team   *team
	record *waitRecord
	need   resource.Vector
	level  int
	kind   wire.JobKind
	// nextIndex is the index of the next task to consider; placed counts the tasks placed in this round.
	nextIndex, placed int
	spread            *spread
}

// remaining returns the number of tasks that are still to be placed.
func (cand *candidate) remaining() int { return cand.job.Waiting() - cand.placed }

func (cand *candidate) urgent() bool {
	return cand.job.Spec().GetUrgency() == wire.Urgency_URGENCY_URGENT
}

// mayBackfill reports whether the tasks may use reserved capacity: they are declared to run no longer than longest, and
// they can be stopped and run again if that declaration is wrong.
func (cand *candidate) mayBackfill(longest time.Duration) bool {
	declared := time.Duration(cand.job.Spec().GetExpectedRunMs()) * time.Millisecond
	return cand.kind == wire.JobKind_JOB_KIND_BATCH && !cand.job.Spec().GetNeverRestart() &&
		declared > 0 && declared <= longest
}

func (cand *candidate) nextTask() *job.Task {
	tasks := cand.job.Tasks()
	for ; cand.nextIndex < len(tasks); cand.nextIndex++ {
		if tasks[cand.nextIndex].Waiting() {
			return tasks[cand.nextIndex]
		}
	}
	return nil
}

// stop records a decision to stop a task, unless it is stopping already.
func (r *round) stop(t *job.Task, stopReason reason.Reason, checkpoint bool) {
	if t.Stopping() || r.stopping[t.ID()] {
		return
	}
	r.stopping[t.ID()] = true
	r.planner.stopSeenAt[t.Attempt()] = r.now
	r.decisions.Stops = append(r.decisions.Stops, &wire.TaskStop{
		Task: t.ID(), Reason: stopReason.String(), CheckpointFirst: checkpoint,
	})
}

// place records a decision to place a task and allocates its resources.
func (r *round) place(cand *candidate, t *job.Task, index int) {
	placement := &wire.Placement{Task: t.ID(), Worker: r.workers.views[index].worker.Name()}
	if cand.need != cand.job.Need() {
		placement.Resources = cand.need.Message()
	}
	r.decisions.Placements = append(r.decisions.Placements, placement)
	r.workers.allocate(index, cand.need)
	r.workers.views[index].placedOn = true
	r.workers.views[index].hasSuspect = r.workers.views[index].hasSuspect || len(t.CrashedOn()) > 0
	r.addUsage(cand.team, cand.need)
	if t.Lost() {
		r.planner.recoveryTokens--
	}
	if cand.spread != nil {
		cand.spread.add(&r.workers.views[index], index, 1)
	}
	cand.placed++
	cand.nextIndex++
}
