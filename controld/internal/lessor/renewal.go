package lessor

import (
	"time"

	"flamingodrift.example/core/fingerprint"
	"flamingodrift.example/core/wire"
)

// usageInterval is how old the usage of a worker's tasks may get.
const usageInterval = time.Minute

// lastReport is the newest full report of a worker to this leader.
type lastReport struct {
	handle uint32
	at     time.Duration
	print  uint64
	report *wire.WorkerReport
}

// renewed returns the report as it reads with a later poll. It shares the tasks with the full report, which nobody
// changes: a copy of them for each of several hundred polls a second would be wasted.
func (l *lastReport) renewed(poll, session uint64) *wire.WorkerReport {
	return &wire.WorkerReport{
		Worker: l.report.GetWorker(), Boot: l.report.GetBoot(), Poll: poll, Session: session, Capacity: l.report.GetCapacity(),
		Rack: l.report.GetRack(), FailureDomain: l.report.GetFailureDomain(), Tasks: l.report.GetTasks(),
	}
}

// renewals recognises polls that repeat a worker's newest full report.
type renewals struct {
	workers map[string]*lastReport
	handles []*lastReport
}

// Expand returns the full reports of a batch, and after them those that renewals stand for. A renewal counts only when
// its fingerprint is that of the newest full report that this leader received itself; all others are listed in the reply
// as unknown.
//
// A report is wanted in full again after usageInterval, because renewals do not carry the usage. The leader decides this
// and not each entry process, so that a worker whose polls reach many entry processes is not asked by all of them.
func (r *Lessor) Expand(batch *wire.WorkerReports, reply *wire.WorkerOrders, now time.Duration) []*wire.WorkerReport {
	reply.Session, reply.LeaseMs = r.term, uint32(r.cfg.WorkerLease.Milliseconds())
	reports := append([]*wire.WorkerReport(nil), batch.GetReports()...)
	for _, report := range reports {
		r.renewals.remember(report, now)
	}
	polls, prints := batch.GetRenewedPolls(), batch.GetRenewedPrints()
	for i, handle := range batch.GetRenewedHandles() {
		last := r.renewals.find(handle)
		if batch.GetSession() != r.term || last == nil || i >= len(polls) || i >= len(prints) || prints[i] != last.print ||
			now-last.at >= usageInterval {
			reply.UnknownHandles = append(reply.UnknownHandles, handle)
			continue
		}
		reports = append(reports, last.renewed(polls[i], r.term))
	}
	return reports
}

// Compact adds the handles to the orders for full reports and leaves out those for renewals that say nothing but the
// lease. reply.Workers must hold the orders for what Expand returned, in that sequence.
func (r *Lessor) Compact(batch *wire.WorkerReports, reply *wire.WorkerOrders) {
	full := len(batch.GetReports())
	kept := reply.Workers[:full]
	for i, order := range kept {
		if last := r.renewals.workers[batch.GetReports()[i].GetWorker()]; last != nil && order.GetRefused() == "" {
			order.Handle = last.handle
		}
	}
	for _, order := range reply.GetWorkers()[full:] {
		if order.GetRefused() != "" || len(order.GetOrders()) > 0 {
			kept = append(kept, order)
		}
	}
	reply.Workers = kept
}

func (n *renewals) find(handle uint32) *lastReport {
	if handle == 0 || int(handle) > len(n.handles) {
		return nil
	}
	return n.handles[handle-1]
}

// remember keeps a full report, unless a newer one of the worker is kept already.
func (n *renewals) remember(report *wire.WorkerReport, now time.Duration) {
	hash, err := fingerprint.Report(report)
	if err != nil {
		return
	}
	last := n.workers[report.GetWorker()]
	if last == nil {
		last = &lastReport{handle: uint32(len(n.handles) + 1)}
		n.handles = append(n.handles, last)
		n.workers[report.GetWorker()] = last
	}
	if old := last.report; old != nil &&
		(report.GetBoot() < old.GetBoot() || report.GetBoot() == old.GetBoot() && report.GetPoll() < old.GetPoll()) {
		return
	}
	last.print, last.report, last.at = hash, report, now
}
