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

// reservation reserves capacity on some workers for one all-at-once job, so that small tasks do not take it piece by
// piece as it becomes free. Tasks that may be stopped again can use the capacity meanwhile (backfill). Once stopping
// them is all that the job still needs, they are stopped, whatever end they declared.
type reservation struct {
	jobID  string
	urgent bool
	need   resource.Vector
	count  int
	since  time.Duration
	// attempt is the last attempt that was placed before the reservation; later ones are backfilled.
	attempt uint64
	// tasksByWorker is the number of tasks for which capacity is reserved on each worker.
	tasksByWorker map[string]int
	// reclaiming is set once backfilled tasks were stopped; no others may be backfilled.
	reclaiming bool
}

// reservedIndexes returns the indexes of the workers of a reservation in order, or nil if one of them is no longer
// usable.
func (r *round) reservedIndexes(res *reservation) []int {
	indexes := make([]int, 0, len(res.tasksByWorker))
	for name := range res.tasksByWorker {
		index, ok := r.workers.indexByName[name]
		if !ok {
			return nil
		}
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	return indexes
}

// adjustReserved adds the reserved capacity to the workers or, with sign -1, removes it.
func (r *round) adjustReserved(res *reservation, sign int64) {
	for _, index := range r.reservedIndexes(res) {
		view := &r.workers.views[index]
		view.reservedGang = view.reservedGang.Add(res.need.Times(sign * int64(res.tasksByWorker[view.worker.Name()])))
	}
}

// updateReservation applies the reservation to this round, or drops it if its job or one of its workers changed.
func (r *round) updateReservation() {
	res := r.planner.reservation
	if res == nil {
		return
	}
	j := r.cell.Job(res.jobID)
	if j == nil || j.Held() || j.Active() > 0 || j.Waiting() != res.count || r.planner.memory.need(j) != res.need ||
		r.reservedIndexes(res) == nil {
		r.planner.reservation = nil
		return
	}
	r.adjustReserved(res, 1)
	r.reclaimBackfill(res)
}

// reclaimBackfill stops the reclaimable tasks on the reserved workers once that is enough for the job to fit.
func (r *round) reclaimBackfill(res *reservation) {
	var stops []*job.Task
	for _, index := range r.reservedIndexes(res) {
		view := &r.workers.views[index]
		available, needed := view.free, res.need.Times(int64(res.tasksByWorker[view.worker.Name()]))
		tasks := r.tasksOn(view)
		for _, t := range tasks {
			if t.Stopping() || r.stopping[t.ID()] {
				available = available.Add(t.Placed())
			}
		}
		for _, t := range tasks {
			if !needed.FitsIn(available) && r.reclaimable(res, t) {
				available = available.Add(t.Placed())
				stops = append(stops, t)
			}
		}
		if !needed.FitsIn(available) {
			return
		}
	}
	for _, t := range stops {
		r.stop(t, reason.Preempted, true)
		res.reclaiming = true
	}
}

// tasksOn returns the tasks on a worker, the latest attempt first.
func (r *round) tasksOn(view *workerView) []*job.Task {
	tasks := slices.Clone(r.cell.TasksOn(view.worker.Name()))
	slices.Reverse(tasks)
	return tasks
}

// reclaimable reports whether a task may be stopped for a reservation: a backfilled one at any time, and an earlier one
// of low urgency once the reservation has the age reclaimAfter.
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

// reserve makes a reservation on the workers that are likely to have enough free capacity for the job soonest. It goes
// by the capacity that is free now and not by declared ends, which may be wrong.
func (r *round) reserve(cand *candidate) {
	// fitsNow and fitsEmpty are how many tasks fit on the worker now, and if only services ran there.
	type option struct {
		index              int
		fitsNow, fitsEmpty int64
	}
	var options []option
	for i := range r.workers.views {
		view := &r.workers.views[i]
		if view.worker.Probing() {
			continue
		}
		o := option{
			index: i, fitsNow: cand.need.CopiesIn(view.free),
			fitsEmpty: cand.need.CopiesIn(view.worker.Capacity().Sub(r.servicesOn(view))),
		}
		if o.fitsEmpty > 0 {
			options = append(options, o)
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(b.fitsNow, a.fitsNow), cmp.Compare(b.fitsEmpty, a.fitsEmpty))
	})
	res := &reservation{
		jobID: cand.job.ID(), urgent: cand.urgent(), need: cand.need, count: cand.remaining(),
		since: r.now, attempt: r.cell.LatestAttempt(), tasksByWorker: map[string]int{},
	}
	spread, left := r.countSpread(cand), cand.remaining()
	for _, o := range options {
		view := &r.workers.views[o.index]
		for ; left > 0 && o.fitsEmpty > 0 && (spread == nil || spread.allows(view)); left-- {
			res.tasksByWorker[view.worker.Name()]++
			o.fitsEmpty--
			if spread != nil {
				spread.add(view, o.index, 1)
			}
		}
	}
	if left == 0 {
		r.planner.reservation = res
		r.adjustReserved(res, 1)
	}
}

// servicesOn returns the resources of the service tasks on a worker, which are not expected to end.
func (r *round) servicesOn(view *workerView) resource.Vector {
	var total resource.Vector
	for _, t := range r.cell.TasksOn(view.worker.Name()) {
		if t.Job().Spec().GetKind() == wire.JobKind_JOB_KIND_SERVICE {
			total = total.Add(t.Placed())
		}
	}
	return total
}
