package planner

import (
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/core/wire"
)

// restoreFairness stops low-urgency batch tasks of teams above their fair share, for the team below its own that has
// the smallest weighted share and whose job has waited for fairnessAfter. It serves one job per timedRoundInterval,
// which bounds the stops.
func (r *round) restoreFairness() {
	if r.planner.cfg.ArrivalOrder || r.planner.cfg.NoFairnessPreemption ||
		r.now-r.planner.fairnessCheckedAt < timedRoundInterval {
		return
	}
	r.planner.fairnessCheckedAt = r.now
	var leastServed *candidate
	for _, cand := range r.firstBlocked {
		withinShare := cand.team.share+cand.need.Share(r.workers.capacity) <= r.fairShare(cand.team)
		if !withinShare || r.now-cand.record.waitingSince < r.profile.fairnessAfter {
			continue
		}
		if leastServed == nil || lessServed(cand.team, leastServed.team) {
			leastServed = cand
		}
	}
	if leastServed != nil {
		r.preempt(leastServed, 1, overFairShare)
	}
}

func lessServed(a, b *team) bool {
	if a.weightedShare() != b.weightedShare() {
		return a.weightedShare() < b.weightedShare()
	}
	return a.name < b.name
}

// overFairShare is a victimFilter: it allows low-urgency tasks of other teams that use more than their fair share.
func overFairShare(r *round, cand *candidate, t *job.Task) bool {
	owner := r.team(t.Job().Spec().GetTeam())
	return owner != cand.team && t.Job().Spec().GetUrgency() == wire.Urgency_URGENCY_LOW &&
		owner.share > r.fairShare(owner)
}
