package gateway

import (
	"context"
	"errors"
	"time"

	"flamingodrift.example/entryd/internal/dispatcher"
	"flamingodrift.example/entryd/internal/retrier"

	"flamingodrift.example/core/reason"
)

// localWaitTimeout limits how long a request waits for a slot of this process before it asks the peers again. The
// request keeps its position in the queue.
const localWaitTimeout = 100 * time.Millisecond

// attemptResult is the result of one attempt: a final result, a failure, or the reason why the request still waits for
// a slot.
type attemptResult struct {
	res        *result
	failure    *dispatcher.Failure
	waitReason reason.Reason
}

// serve sends a request to a target of this process or of a peer, until it is answered, may not be retried, or its
// deadline passes.
func (g *Gateway) serve(ctx context.Context, c *call) *result {
	sent, waitedFor, lastFailure := false, reason.None, (*dispatcher.Failure)(nil)
	ticket := &dispatcher.Ticket{}
	for attempt := 1; ; {
		if ctx.Err() != nil {
			return deadlineResult(sent, waitedFor, lastFailure)
		}
		s := g.attempt(ctx, c, ticket)
		switch {
		case s.res != nil:
			return s.res
		case s.failure == nil:
			// No slot was free and nothing was sent, so the attempt does not count as a retry.
			waitedFor = s.waitReason
			continue
		case isFinal(s.failure.Reason):
			return failureResult(sent || s.failure.Sent, s.failure, reason.None)
		}
		sent, waitedFor = sent || s.failure.Sent, reason.None
		lastFailure = s.failure
		allowed, why := g.cfg.Retrier.Spend(
			retrier.Attempt{Number: attempt, Sent: s.failure.Sent, Idempotent: c.idempotent})
		if !allowed {
			return failureResult(sent, s.failure, why)
		}
		g.cfg.Meter.Retried(s.failure.Reason)
		attempt++
	}
}

// isFinal reports whether another attempt would fail in the same way.
func isFinal(why reason.Reason) bool {
	switch why {
	case reason.QueueFull, reason.DeadlineExceeded, reason.RequestInvalid, reason.AnswerTooLarge:
		return true
	default:
		return false
	}
}

func failureResult(sent bool, failure *dispatcher.Failure, why reason.Reason) *result {
	detail := failure.Error()
	if why == reason.RetryBudgetSpent {
		detail += "; not sent again: " + why.String()
	}
	if sent {
		return unknown(failure.Reason, detail)
	}
	return notRun(failure.Reason, detail)
}

// deadlineResult returns the result of a request whose deadline passed. If nothing was sent, it states the last failure
// or what the request waited for.
func deadlineResult(sent bool, waitedFor reason.Reason, lastFailure *dispatcher.Failure) *result {
	switch {
	case sent:
		return unknown(reason.DeadlineExceeded, "the deadline passed after the request was sent")
	case lastFailure != nil:
		return notRun(lastFailure.Reason,
			"the deadline passed before another attempt; the last one failed: "+lastFailure.Error())
	case waitedFor != reason.None:
		return notRun(waitedFor, "the deadline passed while the request waited")
	default:
		return notRun(reason.DeadlineExceeded, "the deadline passed before the request was sent")
	}
}

// attempt tries a local slot, then the peers, then waits up to localWaitTimeout for a local slot.
func (g *Gateway) attempt(ctx context.Context, c *call, ticket *dispatcher.Ticket) attemptResult {
	name := c.service.GetName()
	slot, _ := g.cfg.Dispatcher.Acquire(name, g.cfg.Clock.Now())
	if slot == nil {
		if s := g.forward(ctx, c); s.res != nil || s.failure != nil {
			return s
		}
		waitCtx, cancel := context.WithTimeout(ctx, localWaitTimeout)
		defer cancel()
		var why reason.Reason
		slot, why = g.cfg.Dispatcher.Wait(waitCtx, name, int(c.service.GetQueue()), ticket)
		switch {
		case why == reason.QueueFull:
			return attemptResult{failure: &dispatcher.Failure{Reason: why, Cause: errors.New(
				"the queue of the service is full")}}
		case slot == nil:
			return attemptResult{waitReason: why}
		}
	}
	defer slot.Release()
	if ctx.Err() != nil {
		return attemptResult{waitReason: reason.NoFreeSlot}
	}
	answer, failure := slot.Send(ctx, c.request)
	if failure != nil {
		return attemptResult{failure: failure}
	}
	return attemptResult{res: answered(answer)}
}
