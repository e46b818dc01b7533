package planner

import (
	"slices"

	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
)

// placeGroup places all tasks of an all-at-once job or none.
func (r *round) placeGroup(x *candidate) {
	res := r.p.reservation
	own := res != nil && res.jobID == x.j.ID()
	if own {
		r.keep(res, -1)
	}
	why, subject := r.tryGroup(x)
	if why == reason.None {
		if own {
			r.p.reservation = nil
		}
		return
	}
	if x.urgent() && !r.p.cfg.NoPreemption && (why == reason.WaitsForAll || why == reason.BehindOthers) && r.preempt(x, x.left(), outranked) {
		why = reason.StopInProgress
	}
	if own {
		r.keep(res, 1)
	}
	if why == reason.WaitsForAll && r.p.reservation == nil && !r.p.cfg.NoReservation && r.now-x.note.first >= r.profile.reserveAfter {
		r.reserve(x)
	}
	r.wait(x, why, resource.Vector{}, subject)
}

func (r *round) tryGroup(x *candidate) (why reason.Reason, subject string) {
	count := x.left()
	whole := x.need.Times(int64(count))
	size := groupSize{need: x.need, count: int64(count)}
	switch {
	case x.j.Active() > 0 && r.anyStopping(x.j):
		return reason.StopInProgress, ""
	case x.j.Active() > 0:
		return reason.WaitsForAll, ""
	case !x.team.used.Add(whole).Within(x.team.quota):
		return reason.QuotaReached, x.team.name
	case r.p.tokens < 1 && slices.ContainsFunc(x.j.Tasks(), (*job.Task).Lost):
		return reason.RecoveryRateLimited, ""
	case r.groupKnownFull(size) || !r.roomForAll(x.need, int64(count)):
		r.noteGroupFull(size)
		return reason.WaitsForAll, ""
	case len(r.d.Placements) > 0 && len(r.d.Placements)+count > maxPlacements:
		return reason.BehindOthers, "tasks ahead of it in this round"
	}
	return r.placeAll(x)
}

func (r *round) anyStopping(j *job.Job) bool {
	return slices.ContainsFunc(j.Tasks(), func(t *job.Task) bool { return t.Stopping() || r.stopping[t.ID()] })
}

func (r *round) groupKnownFull(size groupSize) bool {
	return slices.ContainsFunc(r.groupsFull, func(g groupSize) bool {
		return g.need.FitsIn(size.need) && g.count <= size.count
	})
}

func (r *round) noteGroupFull(size groupSize) {
	if len(r.groupsFull) < maxFull && !r.groupKnownFull(size) {
		r.groupsFull = append(r.groupsFull, size)
	}
}

// roomForAll reports whether the free room holds so many tasks, whoever it is kept for.
func (r *round) roomForAll(need resource.Vector, count int64) bool {
	for i := range r.w.slots {
		if r.w.slots[i].w.Probing() {
			continue
		}
		if count -= need.CopiesIn(r.w.slots[i].free); count <= 0 {
			return true
		}
	}
	return false
}

// placeAll places one task after the other and takes everything back when one finds no room.
func (r *round) placeAll(x *candidate) (why reason.Reason, subject string) {
	first, next, tokens := len(r.d.Placements), x.next, r.p.tokens
	var taken []int
	for t := x.nextTask(); t != nil; t = x.nextTask() {
		at, why, subject := r.find(x, t)
		if why != reason.None {
			for _, at := range taken {
				r.w.take(at, resource.Vector{}.Sub(x.need))
			}
			r.d.Placements = r.d.Placements[:first]
			r.teamUses(x.team, resource.Vector{}.Sub(x.need.Times(int64(len(taken)))))
			x.next, x.placed, x.spread, r.p.tokens = next, 0, nil, tokens
			return groupReason(why), subject
		}
		r.place(x, t, at)
		taken = append(taken, at)
	}
	return reason.None, ""
}

// groupReason turns the reason of one task into that of the whole job.
func groupReason(why reason.Reason) reason.Reason {
	if why == reason.NoCapacity {
		return reason.WaitsForAll
	}
	return why
}
