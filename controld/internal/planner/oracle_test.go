package planner_test

import (
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/controld/internal/worker"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// refute returns why a reason for waiting is wrong in the present state, or an empty string if it is right. It derives
// this from the cell alone, without the planner.
func (h *harness) refute(j *job.Job, waitReason string) string {
	need, spec := j.Need(), j.Spec()
	quota := resource.New(h.f.cell.Team(spec.GetTeam()).GetQuota())
	whole := need
	if spec.GetKind() == wire.JobKind_JOB_KIND_ALL_AT_ONCE {
		whole = need.Times(int64(j.Waiting()))
	}
	var valid bool
	switch reason.Reason(waitReason) {
	case reason.NoCapacity:
		valid = h.copiesInFree(need) == 0
	case reason.WaitsForAll:
		valid = h.copiesInFree(need) < int64(j.Waiting()) || j.Active() > 0 ||
			spec.GetSpread() != wire.Spread_SPREAD_NONE || h.mayReserveForUrgent()
	case reason.BehindReservation, reason.BehindOthers:
		valid = h.copiesInFree(need) > 0
	case reason.SpreadUnsatisfied:
		valid = h.copiesInFree(need) > 0 && spec.GetSpread() != wire.Spread_SPREAD_NONE
	case reason.QuotaReached:
		valid = !h.f.cell.WithinQuota(spec.GetTeam(), whole) && whole.Within(quota)
	case reason.ExceedsQuota:
		valid = !whole.Within(quota)
	case reason.ExceedsLargestWorker:
		valid = h.count(need, func(w *worker.Worker) resource.Vector { return w.Capacity() }) == 0
	case reason.ExceedsCell:
		valid = h.count(need, func(w *worker.Worker) resource.Vector { return w.Capacity() }) < int64(j.Waiting())
	case reason.JobHeld:
		valid = j.Held()
	case reason.NoWorkers:
		for _, w := range h.f.cell.Workers() {
			if w.Usable() {
				return "worker " + w.Name() + " is usable"
			}
		}
		valid = true
	case reason.StopInProgress:
		valid = h.anyStopping()
	case reason.RecoveryRateLimited:
		for _, t := range j.Tasks() {
			valid = valid || t.Waiting() && t.Lost()
		}
	default:
		return "that is not a reason to wait"
	}
	if !valid {
		return "the state does not confirm it"
	}
	return ""
}

// copiesInFree counts the tasks of a size that fit on the usable workers now.
func (h *harness) copiesInFree(need resource.Vector) int64 {
	return h.count(need, func(w *worker.Worker) resource.Vector {
		if !w.Usable() || w.Probing() {
			return resource.Vector{}
		}
		return w.Free()
	})
}

func (h *harness) count(need resource.Vector, of func(*worker.Worker) resource.Vector) int64 {
	sum := int64(0)
	for _, w := range h.f.cell.Workers() {
		sum += need.CopiesIn(of(w))
	}
	return sum
}

// mayReserveForUrgent reports whether urgent tasks wait, for which capacity may be reserved.
func (h *harness) mayReserveForUrgent() bool {
	for _, j := range h.f.cell.WaitingJobs() {
		if j.Spec().GetUrgency() == wire.Urgency_URGENCY_URGENT {
			return true
		}
	}
	return false
}

func (h *harness) anyStopping() bool {
	for _, j := range h.f.cell.Jobs() {
		for _, t := range j.Tasks() {
			if t.Active() && t.Stopping() {
				return true
			}
		}
	}
	return false
}
