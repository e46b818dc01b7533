package poller

import (
	"context"

	"flamingodrift.example/core/fingerprint"
	"flamingodrift.example/core/wire"
)

// maxRegistrations bounds the registrations that a Poller keeps. At the bound all are dropped; the next reports of the
// workers are then sent in full.
const maxRegistrations = 4_096

// registration is a worker's newest full report as the leader has it: the handle and session that the leader
// assigned, and the report's hash.
type registration struct {
	handle  uint32
	session uint64
	hash    uint64
}

// pendingPoll is one poll of a batch and the channel for its answer.
type pendingPoll struct {
	report *wire.WorkerReport
	hash   uint64
	reply  chan *wire.WorkerOrder
}

// batch is the polls that one message carries. renewals is keyed by handle.
type batch struct {
	poller   *Poller
	full     []pendingPoll
	renewals map[uint32]pendingPoll
	message  *wire.WorkerReports
}

// newBatch sorts polls into full reports and renewals. A poll is a renewal when it states the same as the worker's
// newest full report and the current leader has answered that report; the worker proves it by returning the leader's
// session.
func (p *Poller) newBatch(reports []*wire.WorkerReport, replies []chan *wire.WorkerOrder) *batch {
	b := &batch{poller: p, renewals: map[uint32]pendingPoll{}, message: &wire.WorkerReports{Entry: p.cfg.Entry}}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, report := range reports {
		hash, err := fingerprint.Report(report)
		item := pendingPoll{report: report, hash: hash, reply: replies[i]}
		reg := p.registrations[report.GetWorker()]
		if err != nil || reg == nil || !b.renew(item, reg) {
			b.full = append(b.full, item)
			b.message.Reports = append(b.message.Reports, report)
		}
	}
	return b
}

// renew adds the poll to the message as a renewal, or reports that it must be sent in full.
func (b *batch) renew(item pendingPoll, reg *registration) bool {
	message := b.message
	if reg.hash != item.hash || reg.session != item.report.GetSession() {
		return false
	}
	if _, duplicate := b.renewals[reg.handle]; duplicate ||
		message.GetSession() != 0 && message.GetSession() != reg.session {
		return false
	}
	message.Session = reg.session
	message.RenewedHandles = append(message.RenewedHandles, reg.handle)
	message.RenewedPolls = append(message.RenewedPolls, item.report.GetPoll())
	message.RenewedPrints = append(message.RenewedPrints, item.hash)
	b.renewals[reg.handle] = item
	return true
}

// send sends the batch to the leader and answers the polls. Renewals whose handles the leader does not know are resent
// in full.
func (b *batch) send(ctx context.Context) {
	reply, err := b.poller.cfg.Leader.Call(ctx, &wire.Request{Body: &wire.Request_WorkerReports{WorkerReports: b.message}})
	orders := reply.GetWorkerOrders()
	if err != nil || orders == nil {
		b.failAll()
		return
	}
	b.answerFull(orders)
	resend := b.takeUnknownRenewals(orders)
	b.answerRenewed(orders)
	if resend != nil {
		resend.send(ctx)
	}
}

// failAll answers every poll with nil, which the worker sees as status 503.
func (b *batch) failAll() {
	for _, item := range b.full {
		item.reply <- nil
	}
	for _, item := range b.renewals {
		item.reply <- nil
	}
}

// answerFull answers the polls that were sent in full. The reply lists their orders first, in the order of the reports.
func (b *batch) answerFull(orders *wire.WorkerOrders) {
	for i, item := range b.full {
		var order *wire.WorkerOrder
		if answers := orders.GetWorkers(); i < len(answers) && answers[i].GetWorker() == item.report.GetWorker() &&
			answers[i].GetPoll() == item.report.GetPoll() {
			order = answers[i]
			b.poller.updateRegistration(item, order)
		}
		item.reply <- order
	}
}

// updateRegistration records a full report and the handle and session with which the leader answered it. Without a
// handle, the worker's registration is removed.
func (p *Poller) updateRegistration(item pendingPoll, order *wire.WorkerOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.registrations) >= maxRegistrations {
		p.registrations = map[string]*registration{}
	}
	if order.GetHandle() == 0 {
		delete(p.registrations, item.report.GetWorker())
		return
	}
	p.registrations[item.report.GetWorker()] = &registration{
		handle: order.GetHandle(), session: order.GetSession(), hash: item.hash,
	}
}

// takeUnknownRenewals moves the renewals that the leader needs in full to a new batch; it returns nil if there are
// none.
func (b *batch) takeUnknownRenewals(orders *wire.WorkerOrders) *batch {
	if len(orders.GetUnknownHandles()) == 0 {
		return nil
	}
	resend := &batch{poller: b.poller, message: &wire.WorkerReports{Entry: b.message.GetEntry()}}
	for _, handle := range orders.GetUnknownHandles() {
		if item, ok := b.renewals[handle]; ok {
			delete(b.renewals, handle)
			resend.full = append(resend.full, item)
			resend.message.Reports = append(resend.message.Reports, item.report)
		}
	}
	return resend
}

// answerRenewed answers the renewals. The reply lists a worker only if it is refused or has orders; for the others it
// states one lease, which counts only if the reply comes from the leader of the session.
func (b *batch) answerRenewed(orders *wire.WorkerOrders) {
	byWorker := map[string]*wire.WorkerOrder{}
	for _, order := range orders.GetWorkers()[min(len(b.full), len(orders.GetWorkers())):] {
		byWorker[order.GetWorker()] = order
	}
	for _, item := range b.renewals {
		order := byWorker[item.report.GetWorker()]
		switch {
		case order == nil && orders.GetSession() == b.message.GetSession():
			order = &wire.WorkerOrder{
				Worker: item.report.GetWorker(), Poll: item.report.GetPoll(),
				LeaseMs: orders.GetLeaseMs(), Session: orders.GetSession(),
			}
		case order.GetPoll() != item.report.GetPoll():
			order = nil
		}
		item.reply <- order
	}
}
