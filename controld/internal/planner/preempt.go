package planner

import (
	"slices"
	"time"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// victimRule says whether a task may be stopped for a candidate. It is asked only about tasks that preemptible allows.
type victimRule func(r *round, x *candidate, t *job.Task) bool

// outranked allows tasks of lower urgency.
func outranked(_ *round, x *candidate, t *job.Task) bool { return urgencyOf(t) > x.level/2 }

func urgencyOf(t *job.Task) int { return cell.LevelOf(t.Job().Spec()) / 2 }

// preemptible reports whether a task may ever be stopped for another: never a service, never a part of an all-at-once
// job, never a run that must not start twice, and no task that was stopped too often already.
func preemptible(t *job.Task) bool {
	spec := t.Job().Spec()
	return spec.GetKind() == wire.JobKind_JOB_KIND_BATCH && !spec.GetNeverRestart() && t.Preemptions() < maxPreemptions &&
		spec.GetUrgency() != wire.Urgency_URGENCY_URGENT
}

// findVictims fills in, once per round, what is stopping and what may be stopped on each worker.
func (r *round) findVictims() {
	if r.w.preempts {
		return
	}
	r.w.preempts = true
	seen := r.p.stopsSeen
	r.p.stopsSeen = map[uint64]time.Duration{}
	for i := range r.w.slots {
		s := &r.w.slots[i]
		// The least urgent goes first, and of those the latest: the least work is lost with it.
		var normal []*job.Task
		tasks := r.c.TasksOn(s.w.Name())
		for n := len(tasks) - 1; n >= 0; n-- {
			t := tasks[n]
			switch {
			case t.Stopping() || r.stopping[t.ID()]:
				since, known := seen[t.Attempt()]
				if !known {
					since = r.now
				}
				r.p.stopsSeen[t.Attempt()] = since
				// A stop that takes longer may take any time, so urgent work does not rely on it.
				if r.now-since <= stopTimeout {
					s.incoming = s.incoming.Add(t.Placed())
				}
			case !preemptible(t):
			case urgencyOf(t) == 2:
				s.victims = append(s.victims, t)
			default:
				normal = append(normal, t)
			}
		}
		s.victims = append(s.victims, normal...)
	}
}

// claim is room for one task of a candidate on a slot, with the tasks that must stop for it.
type claim struct {
	at      int
	victims []*job.Task
}

// preempt makes room for count tasks by stopping others, and keeps that room for them. All tasks of an all-at-once job
// get room or nothing is stopped. It returns false when it found no room for any.
func (r *round) preempt(x *candidate, count int, allowed victimRule) bool {
	r.findVictims()
	if x.spread == nil {
		x.spread = r.countSpread(x)
	}
	before := x.spread.clone()
	var claims []claim
	for range count {
		c, ok := r.cheapest(x, allowed)
		if !ok {
			break
		}
		r.hold(x, c, 1)
		claims = append(claims, c)
	}
	stops := 0
	for _, c := range claims {
		stops += len(c.victims)
	}
	whole := x.kind != wire.JobKind_JOB_KIND_ALL_AT_ONCE || len(claims) == count
	if !whole || r.preempted+stops > maxRoundStops && stops > 0 {
		for _, c := range claims {
			r.hold(x, c, -1)
		}
		x.spread = before
		return false
	}
	r.preempted += stops
	for _, c := range claims {
		for _, t := range c.victims {
			r.stop(t, reason.Preempted, true)
		}
	}
	x.spread = before
	return len(claims) > 0
}

// hold keeps, or with sign -1 gives back, the room of a claim.
func (r *round) hold(x *candidate, c claim, sign int64) {
	s := &r.w.slots[c.at]
	s.keptUrgent = s.keptUrgent.Add(x.need.Times(sign))
	for _, t := range c.victims {
		s.incoming = s.incoming.Add(t.Placed().Times(sign))
		if sign > 0 {
			s.victims = slices.DeleteFunc(slices.Clone(s.victims), func(v *job.Task) bool { return v == t })
		} else {
			s.victims = append(s.victims, t)
		}
	}
	if x.spread != nil {
		x.spread.add(s, c.at, int(sign))
	}
}

// cheapest returns the slot on which the fewest and least urgent tasks must stop for one task.
func (r *round) cheapest(x *candidate, allowed victimRule) (claim, bool) {
	best, bestCost, found := claim{}, 0, false
	for i := range r.w.slots {
		s := &r.w.slots[i]
		if s.w.Probing() || !x.need.FitsIn(s.w.Capacity()) || x.spread != nil && !x.spread.allows(s) {
			continue
		}
		if victims, cost, ok := r.victimsOn(s, x, allowed); ok && (!found || cost < bestCost) {
			best, bestCost, found = claim{at: i, victims: victims}, cost, true
		}
	}
	return best, found
}

func (r *round) victimsOn(s *slot, x *candidate, allowed victimRule) (victims []*job.Task, cost int, ok bool) {
	room := s.free.Add(s.incoming).Sub(s.keptUrgent)
	if !x.urgent() {
		room = room.Sub(s.keptGroup)
	}
	if s.keptGroup != (resource.Vector{}) {
		cost++
	}
	for _, t := range s.victims {
		if x.need.FitsIn(room) {
			break
		}
		if !allowed(r, x, t) || !useful(x.need, room, t.Placed()) {
			continue
		}
		victims = append(victims, t)
		room = room.Add(t.Placed())
		// A task of normal urgency costs more than any number of low ones on the worker.
		cost++
		if urgencyOf(t) < 2 {
			cost += 1_000
		}
	}
	return victims, cost, x.need.FitsIn(room)
}

// useful reports whether a task gives back a resource that is short.
func useful(need, room, placed resource.Vector) bool {
	short := need.Sub(room)
	return short.CPU() > 0 && placed.CPU() > 0 || short.Memory() > 0 && placed.Memory() > 0 ||
		short.Accelerators() > 0 && placed.Accelerators() > 0
}
