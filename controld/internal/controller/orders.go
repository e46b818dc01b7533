package controller

import (
	"context"
	"fmt"
	"time"

	"flamingodrift.example/controld/internal/scheduler"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/wire"
)

// order is a call to a worker or a helper that waits for its turn.
type order struct {
	scheduler *scheduler.Scheduler
	timeout   time.Duration
	call      func(context.Context) func(time.Duration)
	// counted is set for calls that are answered at once; renewals wait at the worker for an end.
	counted bool
}

// mostOrders bounds the calls in progress that are answered at once. A new leader has orders for all workers, and each
// needs a new connection: all at a time would keep the control thread from its heartbeats for longer than its lease.
const mostOrders = 128

// staleAcknowledgement is the age from which a renewal acknowledges no ends any more: the scheduler bounds by the time
// of the order how old the answer may be that names the life.
const staleAcknowledgement = 50 * time.Millisecond

// sendOrders takes the scheduler's orders and sends those whose turn it is. The caller has checked the leader lease.
func (c *Controller) sendOrders(now time.Duration) {
	f := c.scheduler
	if f == nil || !c.repl.HasLease(now) {
		return
	}
	c.takeOrders(f, now)
	for len(c.orders) > 0 {
		o := c.orders[0]
		if o.counted && c.inProgress >= mostOrders {
			return
		}
		c.orders = c.orders[1:]
		if o.scheduler != f {
			continue
		}
		if o.counted {
			c.inProgress++
		}
		c.send(o)
	}
}

// takeOrders appends the scheduler's orders to those that wait for their turn.
func (c *Controller) takeOrders(f *scheduler.Scheduler, now time.Duration) {
	work, config := f.Take(), c.cfg.Queues.Scheduler
	add := func(timeout time.Duration, counted bool, call func(context.Context) func(time.Duration)) {
		c.orders = append(c.orders, order{scheduler: f, timeout: timeout, call: call, counted: counted})
	}
	for _, o := range work.Starts {
		add(config.AnswerTimeout, true, func(ctx context.Context) func(time.Duration) {
			answer := c.cfg.Queues.Executor.Start(ctx, o.To, o.Order)
			return func(now time.Duration) { f.Started(o, answer, now) }
		})
	}
	for _, o := range work.Stops {
		add(config.AnswerTimeout, true, func(ctx context.Context) func(time.Duration) {
			answer := c.cfg.Queues.Executor.Stop(ctx, o.To, o.Order)
			return func(now time.Duration) { f.Stopped(o, answer, now) }
		})
	}
	for _, o := range work.Renewals {
		add(o.Order.Wait+config.AnswerTimeout, o.Order.Wait == 0, func(ctx context.Context) func(time.Duration) {
			if c.cfg.Clock.Now()-now > staleAcknowledgement {
				o.Order.AckedEnd = 0
			}
			report, answer := c.cfg.Queues.Executor.Renew(ctx, o.To, o.Order)
			return func(now time.Duration) { f.Renewed(o, report, answer, now) }
		})
	}
	for _, a := range work.ConsentRequests {
		add(a.Timeout, false, func(ctx context.Context) func(time.Duration) {
			answer, err := c.consent(ctx, a)
			return func(now time.Duration) { f.Consented(a, answer, err, now) }
		})
	}
}

// send makes a call beside the control thread and brings its outcome back.
func (c *Controller) send(o order) {
	c.async(func() {
		ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
		defer cancel()
		tell := o.call(ctx)
		select {
		case c.queue <- schedulerEvent{o.scheduler, tell, o.counted}:
		case <-c.stopped:
		}
	})
}

func (c *Controller) consent(ctx context.Context, a scheduler.ConsentRequest) (executor.Consent, error) {
	request := &wire.Request{Body: &wire.Request_Consent{Consent: &wire.ConsentCall{
		Job: a.Step.Job().ID(), Step: uint32(a.Step.Number()), Workers: a.Workers, TimeoutMs: uint32(a.Timeout.Milliseconds()),
	}}}
	reply, err := c.cfg.Messenger.Call(ctx, a.Address, request)
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

var errNoConsent = fmt.Errorf("the helper got no answer from the outside service")
