package planner

import (
	"slices"

	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// newCandidate prepares a job for placement. If the job cannot run in the present cell, it records the reason and
// returns nil.
func (r *round) newCandidate(j *job.Job, t *team, level int) *candidate {
	cand := &candidate{
		job: j, team: t, record: r.waitRecordOf(j), need: r.planner.memory.need(j), level: level,
		kind: j.Spec().GetKind(),
	}
	count := int64(1)
	if cand.kind == wire.JobKind_JOB_KIND_ALL_AT_ONCE {
		count = int64(j.Waiting())
	}
	whole := cand.need.Times(count)
	fits := r.workers.maxCopies(cand.need)
	switch {
	case j.Held():
		r.recordWait(cand, reason.JobHeld, resource.Vector{}, j.HoldReason())
	case len(r.workers.sizes) == 0:
		r.recordWait(cand, reason.NoWorkers, resource.Vector{}, "")
	case fits == 0:
		r.recordWait(cand, reason.ExceedsLargestWorker, r.workers.maxCapacity, "")
	case !whole.Within(t.quota):
		cand.need = whole
		r.recordWait(cand, reason.ExceedsQuota, t.quota, t.name)
	case fits < count:
		r.recordWait(cand, reason.ExceedsCell, resource.Vector{}, "")
	case len(r.workers.views) == 0:
		r.recordWait(cand, reason.NoWorkers, resource.Vector{}, "")
	default:
		return cand
	}
	return nil
}

// placeNext places the next task of a job, or all of them for an all-at-once job. It returns false if this round should
// not try further tasks of the job.
func (r *round) placeNext(cand *candidate) bool {
	if cand.kind == wire.JobKind_JOB_KIND_ALL_AT_ONCE {
		r.placeGang(cand)
		return false
	}
	t := cand.nextTask()
	if t == nil {
		return false
	}
	index, waitReason, subject := r.admit(cand, t)
	if waitReason != reason.None {
		r.recordBlocked(cand, waitReason, subject)
		return false
	}
	r.place(cand, t, index)
	return cand.remaining() > 0
}

// admit returns the index of the worker for a task within the quota and the recovery rate, or why there is none.
func (r *round) admit(cand *candidate, t *job.Task) (index int, waitReason reason.Reason, subject string) {
	switch {
	case !cand.team.used.Add(cand.need).Within(cand.team.quota):
		return -1, reason.QuotaReached, cand.team.name
	case t.Lost() && r.planner.recoveryTokens < 1:
		return -1, reason.RecoveryRateLimited, ""
	}
	return r.findWorker(cand, t)
}

// knownUnplaceable reports whether an equal or smaller task did not fit on any worker in this round.
func (r *round) knownUnplaceable(need resource.Vector) bool {
	return !need.FitsIn(r.workers.maxFree) ||
		slices.ContainsFunc(r.unplaceable, func(v resource.Vector) bool { return v.FitsIn(need) })
}

// fitsOnAny reports whether any worker that is not on probation has enough free capacity, reserved capacity included.
func (r *round) fitsOnAny(need resource.Vector) bool {
	if r.knownUnplaceable(need) {
		return false
	}
	if slices.ContainsFunc(r.workers.views, func(view workerView) bool {
		return need.FitsIn(view.free) && !view.worker.Probing()
	}) {
		return true
	}
	r.recordUnplaceable(need)
	return false
}

func (r *round) recordUnplaceable(need resource.Vector) {
	r.unplaceable = slices.DeleteFunc(r.unplaceable, need.FitsIn)
	if len(r.unplaceable) < maxUnplaceable {
		r.unplaceable = append(r.unplaceable, need)
	}
}

// findWorker returns the index of the best worker for a task, or why there is none.
func (r *round) findWorker(cand *candidate, t *job.Task) (best int, waitReason reason.Reason, subject string) {
	if r.knownUnplaceable(cand.need) {
		return -1, reason.NoCapacity, ""
	}
	if cand.spread == nil {
		cand.spread = r.countSpread(cand)
	}
	s := search{round: r, cand: cand, task: t, best: -1, mayUseReserved: r.mayUseReserved(cand)}
	for i := range r.workers.free {
		if cand.need.FitsIn(r.workers.free[i]) {
			s.consider(i)
		}
	}
	switch {
	case s.best >= 0:
		return s.best, reason.None, ""
	case s.refusedBySpread:
		return -1, reason.SpreadUnsatisfied, ""
	case s.refusedByUrgent:
		return -1, reason.BehindOthers, "urgent work"
	case s.refusedByReservation:
		return -1, reason.BehindReservation, r.planner.reservation.jobID
	}
	if s.refusedBySuspect {
		return -1, reason.WaitsForIsolation, ""
	}
	if !s.refusedByProbation {
		r.recordUnplaceable(cand.need)
	}
	return -1, reason.NoCapacity, ""
}

// mayUseReserved reports whether a job may use the capacity that is reserved for an all-at-once job.
func (r *round) mayUseReserved(cand *candidate) bool {
	res := r.planner.reservation
	if res == nil || cand.urgent() && !res.urgent {
		return true
	}
	return !res.reclaiming && cand.mayBackfill(r.profile.maxBackfillRun)
}

// search is one pass over the workers for the best one.
type search struct {
	round          *round
	cand           *candidate
	task           *job.Task
	mayUseReserved bool
	best           int
	score          float64

	// refusedBy... are set if the task fits on a worker but may not use it, because of the spread, of capacity reserved
	// for urgent tasks or for an all-at-once job, of a probation, or of a task under which workers crashed.
	refusedBySpread, refusedByUrgent, refusedByReservation, refusedByProbation, refusedBySuspect bool
}

// consider updates the best worker if the task may run on the i-th worker.
func (s *search) consider(i int) {
	view, need := &s.round.workers.views[i], s.cand.need
	if view.worker.Probing() && !mayProbe(s.cand, view) {
		s.refusedByProbation = true
		return
	}
	if !s.round.startsApart(s.task, view) {
		s.refusedBySuspect = true
		return
	}
	available := view.free.Sub(view.reservedUrgent)
	if !need.FitsIn(available) {
		s.refusedByUrgent = true
		return
	}
	if !s.mayUseReserved && !need.FitsIn(available.Sub(view.reservedGang)) {
		s.refusedByReservation = true
		return
	}
	if s.cand.spread != nil && !s.cand.spread.allows(view) {
		s.refusedBySpread = true
		return
	}
	if score := s.scoreWorker(view, i); s.best < 0 || score < s.score {
		s.best, s.score = i, score
	}
}

// mayProbe reports whether a task may run on a worker on probation, which takes one task at a time: a batch task that
// is not urgent and may run again if it fails there.
func mayProbe(cand *candidate, view *workerView) bool {
	return cand.kind == wire.JobKind_JOB_KIND_BATCH && !cand.job.Spec().GetNeverRestart() && !cand.urgent() &&
		!view.placedOn && len(view.worker.Tasks()) == 0
}

// scoreWorker returns the cost of a worker for the task. The worker with the lowest cost is chosen, and the first by
// name among equals. More important terms have larger weights.
func (s *search) scoreWorker(view *workerView, index int) float64 {
	left, capacity := view.free.Sub(s.cand.need), view.worker.Capacity()
	score := 0.0
	if capacity.CPU() > 0 && capacity.Memory() > 0 {
		score = float64(left.CPU())/float64(capacity.CPU()) + float64(left.Memory())/float64(capacity.Memory())
	}
	if !s.round.profile.binPack {
		score = -score
	}
	// Accelerators are scarce, so tasks that do not need them avoid workers that have some free.
	if s.cand.need.Accelerators() == 0 && left.Accelerators() > 0 {
		score += 8
	}
	// Tasks that may use reserved capacity prefer unreserved capacity.
	if !s.cand.need.FitsIn(view.free.Sub(view.reservedUrgent).Sub(view.reservedGang)) {
		score += 16
	}
	if s.cand.spread != nil {
		score += s.cand.spread.crowdingPenalty(view, index)
	}
	if slices.Contains(s.task.FailedOn(), view.worker.Name()) {
		score += 1e6
	}
	return score
}

// recordBlocked records why a job waits. For an urgent job it first tries to preempt other tasks.
func (r *round) recordBlocked(cand *candidate, waitReason reason.Reason, subject string) {
	mayPreempt := waitReason == reason.NoCapacity || waitReason == reason.BehindOthers ||
		waitReason == reason.SpreadUnsatisfied
	if cand.urgent() && mayPreempt && !r.planner.cfg.NoPreemption &&
		r.preempt(cand, cand.remaining(), hasLowerUrgency) {
		waitReason = reason.StopInProgress
	}
	if waitReason == reason.NoCapacity && r.firstBlocked[cand.team.name] == nil {
		r.firstBlocked[cand.team.name] = cand
	}
	r.recordWait(cand, waitReason, resource.Vector{}, subject)
}
