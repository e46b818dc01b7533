package planner

import (
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/core/wire"
)

// restoreFairness stops low-urgency batch tasks of teams above their fair share for the team that has the least of its
// own and has waited long. One job per round bounds the stops.
func (r *round) restoreFairness() {
	if r.p.cfg.ArrivalOrder || r.p.cfg.NoFairnessPreemption || r.now-r.p.givenBack < wakeInterval {
		return
	}
	r.p.givenBack = r.now
	var poorest *candidate
	for _, x := range r.first {
		below := x.team.share+x.need.Share(r.w.capacity) <= r.fair(x.team)
		if !below || r.now-x.note.first < r.profile.fairAfter {
			continue
		}
		if poorest == nil || poorer(x.team, poorest.team) {
			poorest = x
		}
	}
	if poorest != nil {
		r.preempt(poorest, 1, borrowed)
	}
}

func poorer(a, b *team) bool {
	if a.weighted() != b.weighted() {
		return a.weighted() < b.weighted()
	}
	return a.name < b.name
}

// borrowed allows low-urgency tasks of other teams that take more than their fair share.
func borrowed(r *round, x *candidate, t *job.Task) bool {
	owner := r.team(t.Job().Spec().GetTeam())
	return owner != x.team && t.Job().Spec().GetUrgency() == wire.Urgency_URGENCY_LOW && owner.share > r.fair(owner)
}
