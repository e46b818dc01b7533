package planner

import (
	"slices"

	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// open prepares a job for placement; nil when it cannot run now or ever, with the reason noted.
func (r *round) open(j *job.Job, t *team, level int) *candidate {
	x := &candidate{
		j: j, team: t, note: r.noteOf(j), need: r.p.learner.need(j), level: level, kind: j.Spec().GetKind(),
	}
	count := int64(1)
	if x.kind == wire.JobKind_JOB_KIND_ALL_AT_ONCE {
		count = int64(j.Waiting())
	}
	whole := x.need.Times(count)
	fits := r.w.fitsInAll(x.need)
	switch {
	case j.Held():
		r.wait(x, reason.JobHeld, resource.Vector{}, j.HoldReason())
	case len(r.w.kinds) == 0:
		r.wait(x, reason.NoWorkers, resource.Vector{}, "")
	case fits == 0:
		r.wait(x, reason.ExceedsLargestWorker, r.w.largest, "")
	case !whole.Within(t.quota):
		x.need = whole
		r.wait(x, reason.ExceedsQuota, t.quota, t.name)
	case fits < count:
		r.wait(x, reason.ExceedsCell, resource.Vector{}, "")
	case len(r.w.slots) == 0:
		r.wait(x, reason.NoWorkers, resource.Vector{}, "")
	default:
		return x
	}
	return nil
}

// advance places the next task of a job, or all of them for an all-at-once job. It returns false when the job is done
// with for this round.
func (r *round) advance(x *candidate) bool {
	if x.kind == wire.JobKind_JOB_KIND_ALL_AT_ONCE {
		r.placeGroup(x)
		return false
	}
	t := x.nextTask()
	if t == nil {
		return false
	}
	at, why, subject := r.admit(x, t)
	if why != reason.None {
		r.block(x, why, subject)
		return false
	}
	r.place(x, t, at)
	return x.left() > 0
}

// admit returns the slot for a task, or why there is none.
func (r *round) admit(x *candidate, t *job.Task) (at int, why reason.Reason, subject string) {
	switch {
	case !x.team.used.Add(x.need).Within(x.team.quota):
		return -1, reason.QuotaReached, x.team.name
	case t.Lost() && r.p.tokens < 1:
		return -1, reason.RecoveryRateLimited, ""
	}
	return r.find(x, t)
}

// knownFull reports whether an equal or smaller task found no room in this round.
func (r *round) knownFull(need resource.Vector) bool {
	return !need.FitsIn(r.w.roomiest) || slices.ContainsFunc(r.full, func(v resource.Vector) bool { return v.FitsIn(need) })
}

func (r *round) hasRoom(need resource.Vector) bool {
	if r.knownFull(need) {
		return false
	}
	if slices.ContainsFunc(r.w.slots, func(s slot) bool { return need.FitsIn(s.free) && !s.w.Probing() }) {
		return true
	}
	r.noteFull(need)
	return false
}

func (r *round) noteFull(need resource.Vector) {
	r.full = slices.DeleteFunc(r.full, need.FitsIn)
	if len(r.full) < maxFull {
		r.full = append(r.full, need)
	}
}

// find returns the best slot for a task, or why there is none.
func (r *round) find(x *candidate, t *job.Task) (best int, why reason.Reason, subject string) {
	if r.knownFull(x.need) {
		return -1, reason.NoCapacity, ""
	}
	if x.spread == nil {
		x.spread = r.countSpread(x)
	}
	s := search{r: r, x: x, t: t, best: -1, backfills: r.mayUseReserved(x)}
	for i := range r.w.rooms {
		if x.need.FitsIn(r.w.rooms[i]) {
			s.consider(i)
		}
	}
	switch {
	case s.best >= 0:
		return s.best, reason.None, ""
	case s.sawSpread:
		return -1, reason.SpreadUnsatisfied, ""
	case s.sawUrgent:
		return -1, reason.BehindOthers, "urgent work"
	case s.sawGroup:
		return -1, reason.BehindReservation, r.p.reservation.jobID
	}
	if !s.sawProbing {
		r.noteFull(x.need)
	}
	return -1, reason.NoCapacity, ""
}

// mayUseReserved reports whether the reservation does not hold a job back.
func (r *round) mayUseReserved(x *candidate) bool {
	res := r.p.reservation
	if res == nil || x.urgent() && !res.urgent {
		return true
	}
	return !res.closing && x.backfills(r.profile.backfillMax)
}

// search is one pass over the workers for the best slot.
type search struct {
	r         *round
	x         *candidate
	t         *job.Task
	backfills bool
	best      int
	score     float64

	sawSpread, sawUrgent, sawGroup, sawProbing bool
}

func (s *search) consider(i int) {
	slot, need := &s.r.w.slots[i], s.x.need
	if slot.w.Probing() && !mayProbe(s.x, slot) {
		s.sawProbing = true
		return
	}
	room := slot.free.Sub(slot.keptUrgent)
	if !need.FitsIn(room) {
		s.sawUrgent = true
		return
	}
	if !s.backfills && !need.FitsIn(room.Sub(slot.keptGroup)) {
		s.sawGroup = true
		return
	}
	if s.x.spread != nil && !s.x.spread.allows(slot) {
		s.sawSpread = true
		return
	}
	if score := s.rate(slot, i); s.best < 0 || score < s.score {
		s.best, s.score = i, score
	}
}

// mayProbe reports whether a task may run on a worker on probation: one batch task at a time that may run again if it
// fails there.
func mayProbe(x *candidate, s *slot) bool {
	return x.kind == wire.JobKind_JOB_KIND_BATCH && !x.j.Spec().GetNeverRestart() && !x.urgent() &&
		!s.probed && len(s.w.Tasks()) == 0
}

// rate returns how bad a slot is for the task; the smallest wins, and the first by name among equals.
func (s *search) rate(slot *slot, at int) float64 {
	left, total := slot.free.Sub(s.x.need), slot.w.Capacity()
	score := 0.0
	if total.CPU() > 0 && total.Memory() > 0 {
		score = float64(left.CPU())/float64(total.CPU()) + float64(left.Memory())/float64(total.Memory())
	}
	if !s.r.profile.packed {
		score = -score
	}
	// Accelerators are scarce: work that does not need them goes elsewhere while it can.
	if s.x.need.Accelerators() == 0 && left.Accelerators() > 0 {
		score += 8
	}
	// Reserved room is the last resort, also for work that may use it.
	if !s.x.need.FitsIn(slot.free.Sub(slot.keptUrgent).Sub(slot.keptGroup)) {
		score += 16
	}
	if s.x.spread != nil {
		score += s.x.spread.crowding(slot, at)
	}
	if slices.Contains(s.t.FailedOn(), slot.w.Name()) {
		score += 1e6
	}
	return score
}

// block notes why a job waits, after an attempt to make room for urgent work.
func (r *round) block(x *candidate, why reason.Reason, subject string) {
	makesRoom := why == reason.NoCapacity || why == reason.BehindOthers || why == reason.SpreadUnsatisfied
	if x.urgent() && makesRoom && !r.p.cfg.NoPreemption && r.preempt(x, x.left(), outranked) {
		why = reason.StopInProgress
	}
	if why == reason.NoCapacity && r.first[x.team.name] == nil {
		r.first[x.team.name] = x
	}
	r.wait(x, why, resource.Vector{}, subject)
}
