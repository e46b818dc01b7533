// Package queuecaller forwards calls about queues to the leader.
package queuecaller

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"flamingodrift.example/core/clock"
	"flamingodrift.example/core/locator"
	"flamingodrift.example/core/wire"
)

const (
	// leaderTimeout limits how long a call looks for a leader. After that it is better for the caller to retry later. It
	// does not limit a change that a leader may have received: giving up would leave its outcome unknown.
	leaderTimeout = 700 * time.Millisecond
	// outageTimeout replaces leaderTimeout once calls have failed for outageThreshold, because the election then takes
	// longer than usual.
	outageTimeout   = 150 * time.Millisecond
	outageThreshold = time.Second
	// minRetryAfter and maxRetryAfter limit the time after which a caller is told to retry while there is no leader.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
	// expectedTimeDivisor divides a job's expected time to get the time after which its caller is told to retry.
	expectedTimeDivisor = 2
	// unknownRetryDelay is the delay before a call is repeated whose outcome the leader did not know.
	unknownRetryDelay = 50 * time.Millisecond
)

// Caller forwards calls about queues to the leader. It is safe for concurrent use.
type Caller struct {
	leader *locator.Locator
	// failingSince is when the first call failed since a leader last answered, in nanoseconds of the host's clock; -1 if
	// none failed. It is 0, the start of the host, until a leader has answered.
	failingSince atomic.Int64
}

// notFailing is the value of failingSince after an answer.
const notFailing = -1

// New returns a Caller.
func New(leader *locator.Locator) *Caller { return &Caller{leader: leader} }

// Call forwards a call and returns the leader's reply. Without a leader, the reply says that the call was turned away,
// or that its outcome is unknown if a leader may have received it. Calls are resent as needed: leaders recognise
// duplicates. A change that a leader may have received is resent until ctx ends.
func (c *Caller) Call(ctx context.Context, call *wire.QueueCall) *wire.QueueReply {
	timeout := c.timeout(clock.New().Now())
	searchEnd := time.Now().Add(timeout)
	if !mutates(call) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	request := &wire.Request{Body: &wire.Request_Queue{Queue: call}}
	uncertain := false
	for {
		reply, resent, err := c.leader.CallWithin(ctx, searchEnd, request)
		uncertain = uncertain || resent && mutates(call)
		if err != nil {
			return c.failureReply(call, err, uncertain)
		}
		c.failingSince.Store(notFailing)
		answer := reply.GetQueue()
		if answer.GetOutcome() != wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN &&
			answer.GetOutcome() != wire.QueueOutcome_QUEUE_OUTCOME_UNSPECIFIED {
			if uncertain && claimsNoEffect(answer.GetOutcome()) {
				// An earlier attempt may still take effect.
				answer.Outcome = wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN
			}
			return answer
		}
		uncertain = true
		if end, ok := ctx.Deadline(); ok {
			searchEnd = end
		}
		select {
		case <-ctx.Done():
			return c.failureReply(call, ctx.Err(), uncertain)
		case <-time.After(unknownRetryDelay):
		}
	}
}

// outage returns how long calls have failed without an answer of a leader in between. Without calls there is no outage:
// an idle process has no answers either.
func (c *Caller) outage(now time.Duration) time.Duration {
	since := c.failingSince.Load()
	if since == notFailing {
		return 0
	}
	return now - time.Duration(since)
}

// timeout returns how long a call looks for a leader.
func (c *Caller) timeout(now time.Duration) time.Duration {
	if c.outage(now) > outageThreshold {
		return outageTimeout
	}
	return leaderTimeout
}

// failureReply returns the reply to a call that failed with err. uncertain says that an earlier attempt may have had an
// effect.
func (c *Caller) failureReply(call *wire.QueueCall, err error, uncertain bool) *wire.QueueReply {
	var refused *locator.RefusedError
	if errors.As(err, &refused) {
		return &wire.QueueReply{Outcome: wire.QueueOutcome_QUEUE_OUTCOME_INVALID, Detail: err.Error()}
	}
	c.failingSince.CompareAndSwap(notFailing, int64(clock.New().Now()))
	var unanswered *locator.UnansweredError
	if mutates(call) && (uncertain || errors.As(err, &unanswered)) {
		return &wire.QueueReply{Outcome: wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN, Detail: err.Error()}
	}
	return &wire.QueueReply{
		Outcome: wire.QueueOutcome_QUEUE_OUTCOME_TURNED_AWAY, Detail: err.Error(),
		RetryAfterMs: uint32(retryAfter(call, c.outage(clock.New().Now())).Milliseconds()),
	}
}

// retryAfter returns the time after which a caller should retry, given the time without a leader so far. Most outages
// are short. In a longer one, a long job loses little by a longer wait, and its caller does not use up its attempts.
func retryAfter(call *wire.QueueCall, outage time.Duration) time.Duration {
	var expected time.Duration
	for _, step := range call.GetSubmit().GetJob().GetSteps() {
		expected += time.Duration(step.GetEstimateMs()) * time.Millisecond
	}
	return max(minRetryAfter, min(maxRetryAfter, expected/expectedTimeDivisor, outage))
}

// claimsNoEffect reports whether an outcome tells a caller that its change was not made.
func claimsNoEffect(outcome wire.QueueOutcome) bool {
	switch outcome {
	case wire.QueueOutcome_QUEUE_OUTCOME_TURNED_AWAY, wire.QueueOutcome_QUEUE_OUTCOME_OVER_RATE,
		wire.QueueOutcome_QUEUE_OUTCOME_NO_QUEUE, wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN_KEY,
		wire.QueueOutcome_QUEUE_OUTCOME_INVALID:
		return true
	default:
		return false
	}
}

// mutates reports whether a call may change state.
func mutates(call *wire.QueueCall) bool {
	switch call.GetBody().(type) {
	case *wire.QueueCall_State, *wire.QueueCall_Count, *wire.QueueCall_ReadConfig, *wire.QueueCall_Helper:
		return false
	default:
		return true
	}
}
