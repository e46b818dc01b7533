package controller

import (
	"context"
	"fmt"
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/scheduler"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/wire"
)

// order is a call that is not sent yet, to a worker or to a helper, a process that makes consent calls.
type order struct {
	scheduler *scheduler.Scheduler
	// incarnation is the one that the order is for; nil for a call to a helper.
	incarnation *batch.Incarnation
	timeout     time.Duration
	// call makes the call and returns a function that reports its outcome to the scheduler on the control goroutine.
	call func(context.Context) func(time.Duration)
	// notSent reports to the scheduler that the call was not made.
	notSent func(time.Duration)
	// limited is set for calls that are answered without delay, to which maxCallsInProgress applies. It is not set for
	// renewals that wait at the worker for a run to end, or for consent requests.
	limited bool
}

// maxCallsInProgress bounds the concurrent limited calls. A new leader has orders for all workers, and each needs a new
// connection: all at once would keep the control goroutine from sending heartbeats for longer than the leader lease.
const maxCallsInProgress = 128

// maxAckAge is the age of an order above which a renewal acknowledges no ends: the scheduler takes the time of the
// order as the bound for the age of the answer that names the worker's incarnation.
const maxAckAge = 50 * time.Millisecond

// sendOrders collects the scheduler's orders and sends them in sequence, up to maxCallsInProgress. It sends nothing
// without the leader lease.
func (c *Controller) sendOrders(now time.Duration) {
	s := c.scheduler
	if s == nil {
		return
	}
	end := c.repl.LeaseEnd(now)
	if now >= end {
		return
	}
	c.lease.Store(&orderLease{scheduler: s, end: end})
	c.collectOrders(s)
	for len(c.orders) > 0 {
		o := c.orders[0]
		if o.limited && c.callsInProgress >= maxCallsInProgress {
			return
		}
		c.orders = c.orders[1:]
		if o.scheduler != s || c.isReplaced(o.incarnation) {
			continue
		}
		if o.limited {
			c.callsInProgress++
		}
		c.sendOrder(o)
	}
}

// isReplaced reports whether an incarnation is no longer its worker's present one. The scheduler ignores the outcome of
// orders for it, and counts the lease of the next one from the registration of that.
func (c *Controller) isReplaced(incarnation *batch.Incarnation) bool {
	return incarnation != nil && c.cell.Batch().Incarnation(incarnation.Worker()) != incarnation
}

// collectOrders appends the scheduler's new orders to those that are not sent yet.
func (c *Controller) collectOrders(s *scheduler.Scheduler) {
	work, config := s.Take(), c.cfg.Queues.Scheduler
	add := func(
		incarnation *batch.Incarnation, timeout time.Duration, limited bool, call func(context.Context) func(time.Duration),
		notSent func(time.Duration),
	) {
		c.orders = append(c.orders, order{
			scheduler: s, incarnation: incarnation, timeout: timeout, call: call, notSent: notSent, limited: limited,
		})
	}
	unsent := executor.Answer{Status: executor.NotSent}
	for _, o := range work.Starts {
		add(o.Incarnation, config.AnswerTimeout, true, func(ctx context.Context) func(time.Duration) {
			answer := c.cfg.Queues.Executor.Start(ctx, o.To, o.Order)
			return func(now time.Duration) { s.Started(o, answer, now) }
		}, func(now time.Duration) { s.Started(o, unsent, now) })
	}
	for _, o := range work.Stops {
		add(o.Incarnation, config.AnswerTimeout, true, func(ctx context.Context) func(time.Duration) {
			answer := c.cfg.Queues.Executor.Stop(ctx, o.To, o.Order)
			return func(now time.Duration) { s.Stopped(o, answer, now) }
		}, func(now time.Duration) { s.Stopped(o, unsent, now) })
	}
	for _, o := range work.Renewals {
		add(o.Incarnation, o.Order.Wait+config.AnswerTimeout, o.Order.Wait == 0, func(ctx context.Context) func(time.Duration) {
			if c.cfg.Clock.Now()-o.SentAt > maxAckAge {
				o.Order.AckedEnd = 0
			}
			report, answer := c.cfg.Queues.Executor.Renew(ctx, o.To, o.Order)
			return func(now time.Duration) { s.Renewed(o, report, answer, now) }
		}, func(now time.Duration) { s.Renewed(o, executor.Report{}, unsent, now) })
	}
	for _, r := range work.ConsentRequests {
		add(nil, r.Timeout, false, func(ctx context.Context) func(time.Duration) {
			answer, err := c.requestConsent(ctx, r)
			return func(now time.Duration) { s.Consented(r, answer, err, now) }
		}, func(now time.Duration) { s.Consented(r, executor.Consent{}, errNotSent, now) })
	}
}

// orderLease is the permission to send the orders of a scheduler until the end of the leader lease. Other goroutines
// read it.
type orderLease struct {
	scheduler *scheduler.Scheduler
	end       time.Duration
}

// maySend reports whether the leader lease covers the sending of an order. A process that was paused after the decision
// may have lost it meanwhile, and another leader may have taken over.
func (c *Controller) maySend(o order) bool {
	lease := c.lease.Load()
	return lease != nil && lease.scheduler == o.scheduler && c.cfg.Clock.Now() < lease.end
}

// sendOrder makes a call outside the control goroutine and returns its outcome as an event.
func (c *Controller) sendOrder(o order) {
	c.async(func() {
		deliver := o.notSent
		if c.maySend(o) {
			ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
			defer cancel()
			deliver = o.call(ctx)
		}
		select {
		case c.events <- schedulerEvent{o.scheduler, deliver, o.limited}:
		case <-c.stopped:
		}
	})
}

func (c *Controller) requestConsent(ctx context.Context, r scheduler.ConsentRequest) (executor.Consent, error) {
	request := &wire.Request{Body: &wire.Request_Consent{Consent: &wire.ConsentCall{
		Job: r.Step.Job().ID(), Step: uint32(r.Step.Number()), Workers: r.Workers,
		TimeoutMs: uint32(r.Timeout.Milliseconds()),
	}}}
	reply, err := c.cfg.Messenger.Call(ctx, r.Address, request)
	if err != nil {
		return executor.Consent{}, err
	}
	answer := reply.GetConsent()
	if !answer.GetAnswered() {
		return executor.Consent{Busy: answer.GetBusy()}, errNoConsent
	}
	consent := executor.Consent{Busy: answer.GetBusy()}
	for _, t := range answer.GetTickets() {
		consent.Tickets = append(consent.Tickets, executor.Ticket{Worker: t.GetWorker(), Ticket: t.GetTicket()})
	}
	return consent, nil
}

var errNotSent = fmt.Errorf("the leader lease ended before the request was sent")

var errNoConsent = fmt.Errorf("the helper got no answer from the outside service")
