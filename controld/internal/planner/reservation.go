package planner

import (
	"cmp"
	"slices"
	"time"

	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// reservation keeps room on some workers for one all-at-once job, so that small work does not take each piece that
// becomes free. Work that may be stopped again can use the room meanwhile; when the rest is free, that work is stopped
// whatever end it declared.
type reservation struct {
	jobID  string
	urgent bool
	need   resource.Vector
	count  int
	since  time.Duration
	// attempt is the number of the last attempt placed before the reservation.
	attempt uint64
	// places counts the tasks for which each worker is kept.
	places map[string]int
	// closing is true once backfilled work was asked to stop; no more of it may come.
	closing bool
}

// slots returns the indexes of the reserved slots in order; nil when one is not usable any more.
func (r *round) reservedSlots(res *reservation) []int {
	slots := make([]int, 0, len(res.places))
	for name := range res.places {
		at, ok := r.w.byName[name]
		if !ok {
			return nil
		}
		slots = append(slots, at)
	}
	slices.Sort(slots)
	return slots
}

// keep adds or, with sign -1, takes back what the reservation keeps.
func (r *round) keep(res *reservation, sign int64) {
	for _, at := range r.reservedSlots(res) {
		s := &r.w.slots[at]
		s.keptGroup = s.keptGroup.Add(res.need.Times(sign * int64(res.places[s.w.Name()])))
	}
}

// keepReservation carries the reservation over to this round, or drops it when its job or workers changed.
func (r *round) keepReservation() {
	res := r.p.reservation
	if res == nil {
		return
	}
	j := r.c.Job(res.jobID)
	if j == nil || j.Held() || j.Active() > 0 || j.Waiting() != res.count || r.p.learner.need(j) != res.need ||
		r.reservedSlots(res) == nil {
		r.p.reservation = nil
		return
	}
	r.keep(res, 1)
	r.closeBackfill(res)
}

// closeBackfill stops the backfilled work as soon as nothing else stands in the way of the job.
func (r *round) closeBackfill(res *reservation) {
	var stops []*job.Task
	for _, at := range r.reservedSlots(res) {
		s := &r.w.slots[at]
		room, want := s.free, res.need.Times(int64(res.places[s.w.Name()]))
		tasks := r.tasksOn(s)
		for _, t := range tasks {
			if t.Stopping() || r.stopping[t.ID()] {
				room = room.Add(t.Placed())
			}
		}
		for _, t := range tasks {
			if !want.FitsIn(room) && r.reclaimable(res, t) {
				room = room.Add(t.Placed())
				stops = append(stops, t)
			}
		}
		if !want.FitsIn(room) {
			return
		}
	}
	for _, t := range stops {
		r.stop(t, reason.Preempted, true)
		res.closing = true
	}
}

// tasksOn returns the tasks of a worker, the latest attempt first.
func (r *round) tasksOn(s *slot) []*job.Task {
	tasks := slices.Clone(r.c.TasksOn(s.w.Name()))
	slices.Reverse(tasks)
	return tasks
}

// reclaimable reports whether a task may be stopped for a reservation: one that was backfilled into it, or a
// low-urgency one when the reservation is old.
func (r *round) reclaimable(res *reservation, t *job.Task) bool {
	spec := t.Job().Spec()
	if t.Stopping() || r.stopping[t.ID()] || spec.GetKind() != wire.JobKind_JOB_KIND_BATCH || spec.GetNeverRestart() ||
		spec.GetUrgency() == wire.Urgency_URGENCY_URGENT {
		return false
	}
	if t.Attempt() > res.attempt {
		return true
	}
	return r.now-res.since >= r.profile.reclaimAfter && spec.GetUrgency() == wire.Urgency_URGENCY_LOW &&
		t.Preemptions() < maxPreemptions
}

// reserve picks the workers on which a job's room becomes free soonest, going by what is free now and not by declared
// ends, and keeps them from this round on.
func (r *round) reserve(x *candidate) {
	type option struct {
		at             int
		now, potential int64
	}
	var options []option
	for i := range r.w.slots {
		s := &r.w.slots[i]
		if s.w.Probing() {
			continue
		}
		o := option{at: i, now: x.need.CopiesIn(s.free), potential: x.need.CopiesIn(s.w.Capacity().Sub(r.servicesOn(s)))}
		if o.potential > 0 {
			options = append(options, o)
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(b.now, a.now), cmp.Compare(b.potential, a.potential))
	})
	res := &reservation{
		jobID: x.j.ID(), urgent: x.urgent(), need: x.need, count: x.left(), since: r.now, attempt: r.c.NextAttempt(),
		places: map[string]int{},
	}
	sp, left := r.countSpread(x), x.left()
	for _, o := range options {
		s := &r.w.slots[o.at]
		for ; left > 0 && o.potential > 0 && (sp == nil || sp.allows(s)); left-- {
			res.places[s.w.Name()]++
			o.potential--
			if sp != nil {
				sp.add(s, o.at, 1)
			}
		}
	}
	if left == 0 {
		r.p.reservation = res
		r.keep(res, 1)
	}
}

// servicesOn returns what tasks take that are not expected to end.
func (r *round) servicesOn(s *slot) resource.Vector {
	var sum resource.Vector
	for _, t := range r.c.TasksOn(s.w.Name()) {
		if t.Job().Spec().GetKind() == wire.JobKind_JOB_KIND_SERVICE {
			sum = sum.Add(t.Placed())
		}
	}
	return sum
}
