package planner

import (
	"fmt"
	"time"

	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// note is why a job waits. The sentence is made only when somebody asks: one round may look at 10,000 jobs.
type note struct {
	why   reason.Reason
	since time.Duration
	// first is when the job was first seen waiting.
	first time.Duration
	round uint64
	tasks int
	// need and limit are what one task asks for and what it is measured against.
	need, limit resource.Vector
	// subject names the team, the worker or the job that the reason is about.
	subject string
}

func (r *round) noteOf(j *job.Job) *note {
	n := r.p.notes[j.ID()]
	if n == nil {
		n = &note{since: r.now, first: r.now}
		r.p.notes[j.ID()] = n
	} else if n.round != 0 && n.round+1 < r.p.round {
		// The job was placed in between and waits again.
		n.first, n.since = r.now, r.now
	}
	return n
}

func (r *round) wait(x *candidate, why reason.Reason, limit resource.Vector, subject string) {
	n := x.note
	if n.why != why {
		n.why, n.since = why, r.now
	}
	if doubtful(why) {
		r.doubtful = append(r.doubtful, x)
	}
	n.round, n.tasks, n.need, n.limit, n.subject = r.p.round, x.left(), x.need, limit, subject
}

// settleReasons corrects the reasons of jobs for which there was room that others have taken later in the round.
func (r *round) settleReasons() {
	for _, x := range r.doubtful {
		switch {
		case x.kind != wire.JobKind_JOB_KIND_ALL_AT_ONCE && !r.hasRoom(x.need):
			r.wait(x, reason.NoCapacity, resource.Vector{}, "")
		case x.kind == wire.JobKind_JOB_KIND_ALL_AT_ONCE && !r.roomForAll(x.need, int64(x.left())):
			r.wait(x, reason.WaitsForAll, resource.Vector{}, "")
		}
	}
}

// doubtful reports whether a reason says that there is room which the job may not take.
func doubtful(why reason.Reason) bool {
	return why == reason.BehindOthers || why == reason.BehindReservation || why == reason.SpreadUnsatisfied
}

func amounts(v resource.Vector) string {
	text := fmt.Sprintf("%.1f processors and %d MB", float64(v.CPU())/1000, v.Memory())
	if v.Accelerators() > 0 {
		text += fmt.Sprintf(" and %d accelerators", v.Accelerators())
	}
	return text
}

// sentence says what would release the job.
func (n *note) sentence() string {
	switch n.why {
	case reason.NoCapacity:
		return fmt.Sprintf("It starts when one worker has %s free.", amounts(n.need))
	case reason.QuotaReached:
		return fmt.Sprintf("It starts when team %s takes at least %s less than its quota.", n.subject, amounts(n.need))
	case reason.ExceedsLargestWorker:
		return fmt.Sprintf("A task asks for %s; no worker has more than %s.", amounts(n.need), amounts(n.limit))
	case reason.ExceedsQuota:
		return fmt.Sprintf("It asks for %s, and the whole quota of team %s is %s (zero is no limit).", amounts(n.need), n.subject, amounts(n.limit))
	case reason.ExceedsCell:
		return fmt.Sprintf("It asks for %d tasks of %s at once; all workers together hold fewer, so ask for fewer or smaller tasks.", n.tasks, amounts(n.need))
	case reason.WaitsForAll:
		return fmt.Sprintf("It starts when there is room for %d tasks of %s at the same time.", n.tasks, amounts(n.need))
	case reason.BehindOthers:
		return fmt.Sprintf("It starts when room beyond that kept for %s is free.", n.subject)
	case reason.BehindReservation:
		return fmt.Sprintf("It starts when job %s has started, or when other room is free.", n.subject)
	case reason.SpreadUnsatisfied:
		return fmt.Sprintf("It starts when a worker in another rack or failure domain has %s free.", amounts(n.need))
	case reason.JobHeld:
		return fmt.Sprintf("It starts when its row changes; %s.", n.subject)
	case reason.StopInProgress:
		return "It starts when tasks that are stopping have ended."
	case reason.NoWorkers:
		return "It starts when a worker joins, returns or is released."
	case reason.RecoveryRateLimited:
		return fmt.Sprintf("At most %.0f tasks per second start anew after a loss.", recoveryRate)
	default:
		return ""
	}
}
