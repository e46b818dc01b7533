package planner

import (
	"time"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// round is the working state of one call of Decide.
type round struct {
	p       *Planner
	c       *cell.Cell
	now     time.Duration
	d       *wire.Decisions
	w       *workers
	profile profile
	teams   map[string]*team
	weights float64
	// stopping holds the tasks that this round stops.
	stopping  map[string]bool
	preempted int
	// full holds sizes for which no worker had room in this round. Room only shrinks within a round, so a task that is at
	// least as large need not search again.
	full []resource.Vector
	// groupsFull holds sizes and counts of all-at-once jobs that did not fit.
	groupsFull []groupSize
	// doubtful holds jobs with a reason that later placements of the round may have made untrue.
	doubtful []*candidate
	// first is the first job of each team that found no room.
	first map[string]*candidate
}

type groupSize struct {
	need  resource.Vector
	count int64
}

// maxFull bounds the search in full and groupsFull.
const maxFull = 64

// candidate is a waiting job whose tasks a round tries to place.
type candidate struct {
	j     *job.Job
	team  *team
	note  *note
	need  resource.Vector
	level int
	kind  wire.JobKind
	// next is the index of the next task to look at, placed counts those of this round.
	next, placed int
	spread       *spread
}

func (x *candidate) left() int { return x.j.Waiting() - x.placed }

func (x *candidate) urgent() bool { return x.j.Spec().GetUrgency() == wire.Urgency_URGENCY_URGENT }

// backfills reports whether the tasks may use reserved room: they can be stopped again without harm when their declared
// end turns out to be wrong.
func (x *candidate) backfills(longest time.Duration) bool {
	declared := time.Duration(x.j.Spec().GetExpectedRunMs()) * time.Millisecond
	return x.kind == wire.JobKind_JOB_KIND_BATCH && !x.j.Spec().GetNeverRestart() && declared > 0 && declared <= longest
}

func (x *candidate) nextTask() *job.Task {
	tasks := x.j.Tasks()
	for ; x.next < len(tasks); x.next++ {
		if tasks[x.next].Waiting() {
			return tasks[x.next]
		}
	}
	return nil
}

func (r *round) stop(t *job.Task, why reason.Reason, checkpoint bool) {
	if t.Stopping() || r.stopping[t.ID()] {
		return
	}
	r.stopping[t.ID()] = true
	r.p.stopsSeen[t.Attempt()] = r.now
	r.d.Stops = append(r.d.Stops, &wire.TaskStop{Task: t.ID(), Reason: why.String(), CheckpointFirst: checkpoint})
}

// place records a placement and takes its room.
func (r *round) place(x *candidate, t *job.Task, at int) {
	placement := &wire.Placement{Task: t.ID(), Worker: r.w.slots[at].w.Name()}
	if x.need != x.j.Need() {
		placement.Resources = x.need.Message()
	}
	r.d.Placements = append(r.d.Placements, placement)
	r.w.take(at, x.need)
	r.w.slots[at].probed = true
	r.teamUses(x.team, x.need)
	if t.Lost() {
		r.p.tokens--
	}
	if x.spread != nil {
		x.spread.add(&r.w.slots[at], at, 1)
	}
	x.placed++
	x.next++
}
