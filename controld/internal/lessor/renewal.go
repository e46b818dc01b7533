package lessor

import (
	"time"

	"flamingodrift.example/core/fingerprint"
	"flamingodrift.example/core/wire"
)

// usageInterval is the maximum age of the resource usage of a worker's tasks.
const usageInterval = time.Minute

// lastReport is the newest full report that this leader received from a worker.
type lastReport struct {
	handle      uint32
	receivedAt  time.Duration
	fingerprint uint64
	report      *wire.WorkerReport
}

// withPoll returns a copy of the report with a later poll number. The copy shares the tasks, which are never modified,
// with the full report to avoid copying them for each of several hundred polls a second.
func (l *lastReport) withPoll(poll, session uint64) *wire.WorkerReport {
	return &wire.WorkerReport{
		Worker: l.report.GetWorker(), Boot: l.report.GetBoot(), Poll: poll, Session: session,
		Capacity: l.report.GetCapacity(), Rack: l.report.GetRack(), FailureDomain: l.report.GetFailureDomain(),
		Tasks: l.report.GetTasks(),
	}
}

// renewalTable holds the newest full report of each worker, so that a poll can refer to it instead of repeating it.
type renewalTable struct {
	workers map[string]*lastReport
	handles []*lastReport
}

// Expand returns the full reports of a batch, followed by the reports that its renewals refer to. A renewal is accepted
// only if its fingerprint equals that of the newest full report that this leader itself received from the worker. The
// handles of all other renewals are listed as unknown in the reply.
//
// A full report is requested again after usageInterval, because renewals do not contain resource usage. The leader
// decides this rather than each entry process, so that a worker whose polls reach many entry processes is not asked by
// all of them.
func (l *Lessor) Expand(batch *wire.WorkerReports, reply *wire.WorkerOrders, now time.Duration) []*wire.WorkerReport {
	reply.Session, reply.LeaseMs = l.term, uint32(l.cfg.WorkerLease.Milliseconds())
	reports := append([]*wire.WorkerReport(nil), batch.GetReports()...)
	for _, report := range reports {
		l.renewals.store(report, now)
	}
	polls, prints := batch.GetRenewedPolls(), batch.GetRenewedPrints()
	for i, handle := range batch.GetRenewedHandles() {
		last := l.renewals.byHandle(handle)
		if batch.GetSession() != l.term || last == nil || i >= len(polls) || i >= len(prints) ||
			prints[i] != last.fingerprint || now-last.receivedAt >= usageInterval {
			reply.UnknownHandles = append(reply.UnknownHandles, handle)
			continue
		}
		reports = append(reports, last.withPoll(polls[i], l.term))
	}
	return reports
}

// Compact adds the handles to the orders for full reports, and removes the orders for renewals that only grant the
// lease. reply.Workers must contain the orders for the reports that Expand returned, in the same order.
func (l *Lessor) Compact(batch *wire.WorkerReports, reply *wire.WorkerOrders) {
	full := len(batch.GetReports())
	kept := reply.Workers[:full]
	for i, order := range kept {
		if last := l.renewals.workers[batch.GetReports()[i].GetWorker()]; last != nil && order.GetRefused() == "" {
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

// byHandle returns the report with a handle, or nil if there is none. Handles count from 1.
func (t *renewalTable) byHandle(handle uint32) *lastReport {
	if handle == 0 || int(handle) > len(t.handles) {
		return nil
	}
	return t.handles[handle-1]
}

// store stores a full report unless a newer one of the same worker is already stored.
func (t *renewalTable) store(report *wire.WorkerReport, now time.Duration) {
	hash, err := fingerprint.Report(report)
	if err != nil {
		return
	}
	last := t.workers[report.GetWorker()]
	if last == nil {
		last = &lastReport{handle: uint32(len(t.handles) + 1)}
		t.handles = append(t.handles, last)
		t.workers[report.GetWorker()] = last
	}
	if old := last.report; old != nil &&
		(report.GetBoot() < old.GetBoot() || report.GetBoot() == old.GetBoot() && report.GetPoll() < old.GetPoll()) {
		return
	}
	last.fingerprint, last.report, last.receivedAt = hash, report, now
}
