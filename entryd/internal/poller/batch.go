package poller

import (
	"context"

	"flamingodrift.example/core/fingerprint"
	"flamingodrift.example/core/wire"
)

const (
	// maxKnown bounds the workers that are remembered.
	maxKnown = 4_096
)

// known is what the leader has of a worker from this process.
type known struct {
	handle  uint32
	session uint64
	print   uint64
}

// item is one poll of a batch.
type item struct {
	report *wire.WorkerReport
	print  uint64
	turn   chan *wire.WorkerOrder
}

// batch is the polls that one message carries.
type batch struct {
	poller  *Poller
	full    []item
	renewed map[uint32]item
	message *wire.WorkerReports
}

// newBatch sorts polls into full reports and renewals. A poll is a renewal when it says the same as the newest full
// report of the worker, which the present leader answered; the worker proves that by returning the leader's session.
func (p *Poller) newBatch(reports []*wire.WorkerReport, waiting []chan *wire.WorkerOrder) *batch {
	b := &batch{poller: p, renewed: map[uint32]item{}, message: &wire.WorkerReports{Entry: p.cfg.Entry}}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, report := range reports {
		hash, err := fingerprint.Report(report)
		it := item{report: report, print: hash, turn: waiting[i]}
		k := p.known[report.GetWorker()]
		if err != nil || k == nil || !b.renew(it, k) {
			b.full = append(b.full, it)
			b.message.Reports = append(b.message.Reports, report)
		}
	}
	return b
}

func (b *batch) renew(it item, k *known) bool {
	m := b.message
	if k.print != it.print || k.session != it.report.GetSession() {
		return false
	}
	if _, twice := b.renewed[k.handle]; twice || m.GetSession() != 0 && m.GetSession() != k.session {
		return false
	}
	m.Session = k.session
	m.RenewedHandles = append(m.RenewedHandles, k.handle)
	m.RenewedPolls = append(m.RenewedPolls, it.report.GetPoll())
	m.RenewedPrints = append(m.RenewedPrints, it.print)
	b.renewed[k.handle] = it
	return true
}

// send asks the leader and answers the polls. Renewals that the leader does not know are sent in full.
func (b *batch) send(ctx context.Context) {
	reply, err := b.poller.cfg.Leader.Call(ctx, &wire.Request{Body: &wire.Request_WorkerReports{WorkerReports: b.message}})
	orders := reply.GetWorkerOrders()
	if err != nil || orders == nil {
		b.fail()
		return
	}
	b.answerFull(orders)
	again := b.takeUnknown(orders)
	b.answerRenewed(orders)
	if again != nil {
		again.send(ctx)
	}
}

func (b *batch) fail() {
	for _, it := range b.full {
		it.turn <- nil
	}
	for _, it := range b.renewed {
		it.turn <- nil
	}
}

func (b *batch) answerFull(orders *wire.WorkerOrders) {
	for i, it := range b.full {
		var order *wire.WorkerOrder
		if list := orders.GetWorkers(); i < len(list) && list[i].GetWorker() == it.report.GetWorker() && list[i].GetPoll() == it.report.GetPoll() {
			order = list[i]
			b.poller.remember(it, order)
		}
		it.turn <- order
	}
}

func (p *Poller) remember(it item, order *wire.WorkerOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.known) >= maxKnown {
		p.known = map[string]*known{}
	}
	if order.GetHandle() == 0 {
		delete(p.known, it.report.GetWorker())
		return
	}
	p.known[it.report.GetWorker()] = &known{
		handle: order.GetHandle(), session: order.GetSession(), print: it.print,
	}
}

// takeUnknown returns a batch of the renewals that the leader needs in full; nil when there are none.
func (b *batch) takeUnknown(orders *wire.WorkerOrders) *batch {
	if len(orders.GetUnknownHandles()) == 0 {
		return nil
	}
	again := &batch{poller: b.poller, message: &wire.WorkerReports{Entry: b.message.GetEntry()}}
	for _, handle := range orders.GetUnknownHandles() {
		if it, ok := b.renewed[handle]; ok {
			delete(b.renewed, handle)
			again.full = append(again.full, it)
			again.message.Reports = append(again.message.Reports, it.report)
		}
	}
	return again
}

func (b *batch) answerRenewed(orders *wire.WorkerOrders) {
	listed := map[string]*wire.WorkerOrder{}
	for _, order := range orders.GetWorkers()[min(len(b.full), len(orders.GetWorkers())):] {
		listed[order.GetWorker()] = order
	}
	for _, it := range b.renewed {
		order := listed[it.report.GetWorker()]
		switch {
		case order == nil && orders.GetSession() == b.message.GetSession():
			order = &wire.WorkerOrder{
				Worker: it.report.GetWorker(), Poll: it.report.GetPoll(), LeaseMs: orders.GetLeaseMs(), Session: orders.GetSession(),
			}
		case order.GetPoll() != it.report.GetPoll():
			order = nil
		}
		it.turn <- order
	}
}
