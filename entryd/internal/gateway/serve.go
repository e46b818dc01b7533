package gateway

import (
	"context"
	"errors"
	"time"

	"flamingodrift.example/entryd/internal/dispatcher"
	"flamingodrift.example/entryd/internal/retrier"

	"flamingodrift.example/core/reason"
)

// requeueInterval bounds how long a request waits for a slot of this process before it asks the others again. It keeps
// its place in the queue.
const requeueInterval = 100 * time.Millisecond

// step is what one attempt came to: a result, a failure, or why nothing was free.
type step struct {
	res     *result
	failure *dispatcher.Failure
	waits   reason.Reason
}

// serve sends a request to a target of this process or of a peer, until it is answered, may not be sent again, or its
// deadline has passed.
func (g *Gateway) serve(ctx context.Context, c *call) *result {
	sent, waited, last := false, reason.None, (*dispatcher.Failure)(nil)
	ticket := &dispatcher.Ticket{}
	for attempt := 1; ; {
		if ctx.Err() != nil {
			return expired(sent, waited, last)
		}
		s := g.attempt(ctx, c, ticket)
		switch {
		case s.res != nil:
			return s.res
		case s.failure == nil:
			// Nothing was free and nothing was sent: this is waiting and costs no retry.
			waited = s.waits
			continue
		case final(s.failure.Reason):
			return ended(sent || s.failure.Sent, s.failure, reason.None)
		}
		sent, waited = sent || s.failure.Sent, reason.None
		last = s.failure
		may, why := g.cfg.Retrier.Spend(retrier.Attempt{Number: attempt, Sent: s.failure.Sent, Idempotent: c.idempotent})
		if !may {
			return ended(sent, s.failure, why)
		}
		g.cfg.Meter.Retried(s.failure.Reason)
		attempt++
	}
}

// final reports whether another attempt would end the same way.
func final(why reason.Reason) bool {
	switch why {
	case reason.QueueFull, reason.DeadlineExceeded, reason.RequestInvalid, reason.AnswerTooLarge:
		return true
	default:
		return false
	}
}

func ended(sent bool, failure *dispatcher.Failure, why reason.Reason) *result {
	detail := failure.Error()
	if why == reason.RetryBudgetSpent {
		detail += "; not sent again: " + why.String()
	}
	if sent {
		return unknown(failure.Reason, detail)
	}
	return notRun(failure.Reason, detail)
}

// expired ends a request whose deadline passed. One that was not sent is told why its last attempt failed, or what it
// waited for.
func expired(sent bool, waited reason.Reason, last *dispatcher.Failure) *result {
	switch {
	case sent:
		return unknown(reason.DeadlineExceeded, "the deadline passed after the request was sent")
	case last != nil:
		return notRun(last.Reason, "the deadline passed before another attempt; the last one failed: "+last.Error())
	case waited != reason.None:
		return notRun(waited, "the deadline passed while the request waited")
	default:
		return notRun(reason.DeadlineExceeded, "the deadline passed before the request was sent")
	}
}

// attempt tries a local slot, then a peer, then waits a little for a local slot.
func (g *Gateway) attempt(ctx context.Context, c *call, ticket *dispatcher.Ticket) step {
	name := c.service.GetName()
	slot, _ := g.cfg.Dispatcher.Acquire(name, g.cfg.Clock.Now())
	if slot == nil {
		if s := g.forward(ctx, c); s.res != nil || s.failure != nil {
			return s
		}
		waitCtx, cancel := context.WithTimeout(ctx, requeueInterval)
		defer cancel()
		var why reason.Reason
		slot, why = g.cfg.Dispatcher.Wait(waitCtx, name, int(c.service.GetQueue()), ticket)
		switch {
		case why == reason.QueueFull:
			return step{failure: &dispatcher.Failure{Reason: why, Cause: errors.New("the queue of the service is full")}}
		case slot == nil:
			return step{waits: why}
		}
	}
	defer slot.Release()
	if ctx.Err() != nil {
		return step{waits: reason.NoFreeSlot}
	}
	answer, failure := slot.Send(ctx, c.request)
	if failure != nil {
		return step{failure: failure}
	}
	return step{res: answered(answer)}
}
