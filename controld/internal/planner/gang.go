package planner

import (
	"slices"

	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
)

// placeGang places all tasks of an all-at-once job or none. A job that has waited long enough gets a reservation.
func (r *round) placeGang(cand *candidate) {
	res := r.planner.reservation
	own := res != nil && res.jobID == cand.job.ID()
	if own {
		r.adjustReserved(res, -1)
	}
	waitReason, subject := r.tryGang(cand)
	if waitReason == reason.None {
		if own {
			r.planner.reservation = nil
		}
		return
	}
	if cand.urgent() && !r.planner.cfg.NoPreemption &&
		(waitReason == reason.WaitsForAll || waitReason == reason.BehindOthers) &&
		r.preempt(cand, cand.remaining(), hasLowerUrgency) {
		waitReason = reason.StopInProgress
	}
	if own {
		r.adjustReserved(res, 1)
	}
	if waitReason == reason.WaitsForAll && r.planner.reservation == nil && !r.planner.cfg.NoReservation &&
		r.now-cand.record.waitingSince >= r.profile.reserveAfter {
		r.reserve(cand)
	}
	r.recordWait(cand, waitReason, resource.Vector{}, subject)
}

// tryGang places all tasks of an all-at-once job, or returns why it cannot; subject completes the reason.
func (r *round) tryGang(cand *candidate) (waitReason reason.Reason, subject string) {
	count := cand.remaining()
	whole := cand.need.Times(int64(count))
	size := gangSize{need: cand.need, count: int64(count)}
	switch {
	case cand.job.Active() > 0 && r.anyStopping(cand.job):
		return reason.StopInProgress, ""
	case cand.job.Active() > 0:
		return reason.WaitsForAll, ""
	case !cand.team.used.Add(whole).Within(cand.team.quota):
		return reason.QuotaReached, cand.team.name
	case r.planner.recoveryTokens < 1 && slices.ContainsFunc(cand.job.Tasks(), (*job.Task).Lost):
		return reason.RecoveryRateLimited, ""
	case r.gangKnownUnplaceable(size) || !r.gangFits(cand.need, int64(count)):
		r.recordUnplaceableGang(size)
		return reason.WaitsForAll, ""
	case len(r.decisions.Placements) > 0 && len(r.decisions.Placements)+count > maxPlacements:
		return reason.BehindOthers, "tasks ahead of it in this round"
	}
	return r.placeAllTasks(cand)
}

func (r *round) anyStopping(j *job.Job) bool {
	return slices.ContainsFunc(j.Tasks(), func(t *job.Task) bool { return t.Stopping() || r.stopping[t.ID()] })
}

func (r *round) gangKnownUnplaceable(size gangSize) bool {
	return slices.ContainsFunc(r.unplaceableGangs, func(g gangSize) bool {
		return g.need.FitsIn(size.need) && g.count <= size.count
	})
}

func (r *round) recordUnplaceableGang(size gangSize) {
	if len(r.unplaceableGangs) < maxUnplaceable && !r.gangKnownUnplaceable(size) {
		r.unplaceableGangs = append(r.unplaceableGangs, size)
	}
}

// gangFits reports whether count tasks of a size fit in the free capacity, reserved capacity included.
func (r *round) gangFits(need resource.Vector, count int64) bool {
	for i := range r.workers.views {
		if r.workers.views[i].worker.Probing() {
			continue
		}
		if count -= need.CopiesIn(r.workers.views[i].free); count <= 0 {
			return true
		}
	}
	return false
}

// placeAllTasks places one task after the other, and reverts all of them if one does not fit.
func (r *round) placeAllTasks(cand *candidate) (waitReason reason.Reason, subject string) {
	firstPlacement, nextIndex, tokens := len(r.decisions.Placements), cand.nextIndex, r.planner.recoveryTokens
	var taken []int
	for t := cand.nextTask(); t != nil; t = cand.nextTask() {
		index, waitReason, subject := r.findWorker(cand, t)
		if waitReason != reason.None {
			for _, index := range taken {
				r.workers.allocate(index, resource.Vector{}.Sub(cand.need))
			}
			r.decisions.Placements = r.decisions.Placements[:firstPlacement]
			r.addUsage(cand.team, resource.Vector{}.Sub(cand.need.Times(int64(len(taken)))))
			cand.nextIndex, cand.placed, cand.spread, r.planner.recoveryTokens = nextIndex, 0, nil, tokens
			return gangReason(waitReason), subject
		}
		r.place(cand, t, index)
		taken = append(taken, index)
	}
	return reason.None, ""
}

// gangReason converts the reason for one task into the reason for the whole job.
func gangReason(waitReason reason.Reason) reason.Reason {
	if waitReason == reason.NoCapacity {
		return reason.WaitsForAll
	}
	return waitReason
}
