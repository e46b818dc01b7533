package planner_test

import (
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/controld/internal/worker"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// refute returns why a reason is untrue in the present state; empty when it holds. It looks at the cell alone.
func (m *machine) refute(j *job.Job, why string) string {
	need, spec := j.Need(), j.Spec()
	quota := resource.New(m.f.c.Team(spec.GetTeam()).GetQuota())
	whole := need
	if spec.GetKind() == wire.JobKind_JOB_KIND_ALL_AT_ONCE {
		whole = need.Times(int64(j.Waiting()))
	}
	var holds bool
	switch reason.Reason(why) {
	case reason.NoCapacity:
		holds = m.room(need) == 0
	case reason.WaitsForAll:
		holds = m.room(need) < int64(j.Waiting()) || j.Active() > 0 || spec.GetSpread() != wire.Spread_SPREAD_NONE ||
			m.keptRoom()
	case reason.BehindReservation, reason.BehindOthers:
		holds = m.room(need) > 0
	case reason.SpreadUnsatisfied:
		holds = m.room(need) > 0 && spec.GetSpread() != wire.Spread_SPREAD_NONE
	case reason.QuotaReached:
		holds = !m.f.c.WithinQuota(spec.GetTeam(), whole) && whole.Within(quota)
	case reason.ExceedsQuota:
		holds = !whole.Within(quota)
	case reason.ExceedsLargestWorker:
		holds = m.count(need, func(w *worker.Worker) resource.Vector { return w.Capacity() }) == 0
	case reason.ExceedsCell:
		holds = m.count(need, func(w *worker.Worker) resource.Vector { return w.Capacity() }) < int64(j.Waiting())
	case reason.JobHeld:
		holds = j.Held()
	case reason.NoWorkers:
		for _, w := range m.f.c.Workers() {
			if w.Usable() {
				return "worker " + w.Name() + " is usable"
			}
		}
		holds = true
	case reason.StopInProgress:
		holds = m.anyStopping()
	case reason.RecoveryRateLimited:
		for _, t := range j.Tasks() {
			holds = holds || t.Waiting() && t.Lost()
		}
	default:
		return "that is not a reason to wait"
	}
	if !holds {
		return "the state does not confirm it"
	}
	return ""
}

// room counts the tasks of a size that the usable workers could take now.
func (m *machine) room(need resource.Vector) int64 {
	return m.count(need, func(w *worker.Worker) resource.Vector {
		if !w.Usable() || w.Probing() {
			return resource.Vector{}
		}
		return w.Free()
	})
}

func (m *machine) count(need resource.Vector, of func(*worker.Worker) resource.Vector) int64 {
	sum := int64(0)
	for _, w := range m.f.c.Workers() {
		sum += need.CopiesIn(of(w))
	}
	return sum
}

// keptRoom reports whether urgent work waits, for which room may be kept.
func (m *machine) keptRoom() bool {
	for _, j := range m.f.c.WaitingJobs() {
		if j.Spec().GetUrgency() == wire.Urgency_URGENCY_URGENT {
			return true
		}
	}
	return false
}

func (m *machine) anyStopping() bool {
	for _, j := range m.f.c.Jobs() {
		for _, t := range j.Tasks() {
			if t.Active() && t.Stopping() {
				return true
			}
		}
	}
	return false
}
