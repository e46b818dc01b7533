// Package queuecaller passes calls about queues on to the leader.
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
	// leaderWait bounds how long a call waits for a leader. A caller that would wait longer is better told to come back.
	leaderWait = 700 * time.Millisecond
	// leaderlessWait bounds it once no leader has answered for leaderlessAfter: then an election takes longer than usual.
	leaderlessWait  = 150 * time.Millisecond
	leaderlessAfter = time.Second
	// retryAfter is when a caller may come back while there is no leader, at the soonest; longestRetry is the latest.
	retryAfter   = time.Second
	longestRetry = 4 * time.Second
	// retryShare is the inverse of the share of a job's expected time after which its caller may come back.
	retryShare = 2
	// unknownPause is the pause before a call is repeated whose fate a leader could not tell.
	unknownPause = 50 * time.Millisecond
)

// Caller is safe for concurrent use.
type Caller struct {
	leader *locator.Locator
	// answered is when a leader last answered, in nanoseconds of the host's clock.
	answered atomic.Int64
}

// New returns a Caller.
func New(leader *locator.Locator) *Caller { return &Caller{leader: leader} }

// Call passes a call on and returns the leader's reply. Without a leader it answers that the call was turned away, or
// that its fate is unknown when a leader may have got it. Every call may be repeated: leaders recognise a repetition.
func (c *Caller) Call(ctx context.Context, call *wire.QueueCall) *wire.QueueReply {
	ctx, cancel := context.WithTimeout(ctx, c.wait(clock.New().Now()))
	defer cancel()
	request := &wire.Request{Body: &wire.Request_Queue{Queue: call}}
	uncertain := false
	for {
		reply, err := c.leader.Call(ctx, request)
		if err != nil {
			return c.failure(call, err, uncertain)
		}
		c.answered.Store(int64(clock.New().Now()))
		answer := reply.GetQueue()
		if answer.GetOutcome() != wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN &&
			answer.GetOutcome() != wire.QueueOutcome_QUEUE_OUTCOME_UNSPECIFIED {
			if uncertain && answer.GetOutcome() == wire.QueueOutcome_QUEUE_OUTCOME_TURNED_AWAY {
				// An earlier sending may still take effect.
				answer.Outcome = wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN
			}
			return answer
		}
		uncertain = true
		select {
		case <-ctx.Done():
			return c.failure(call, ctx.Err(), uncertain)
		case <-time.After(unknownPause):
		}
	}
}

// leaderless returns how long no leader has answered.
func (c *Caller) leaderless(now time.Duration) time.Duration {
	return now - time.Duration(c.answered.Load())
}

func (c *Caller) wait(now time.Duration) time.Duration {
	if c.leaderless(now) > leaderlessAfter {
		return leaderlessWait
	}
	return leaderWait
}

func (c *Caller) failure(call *wire.QueueCall, err error, uncertain bool) *wire.QueueReply {
	var refused *locator.RefusedError
	if errors.As(err, &refused) {
		return &wire.QueueReply{Outcome: wire.QueueOutcome_QUEUE_OUTCOME_INVALID, Detail: err.Error()}
	}
	var unanswered *locator.UnansweredError
	if changes(call) && (uncertain || errors.As(err, &unanswered)) {
		return &wire.QueueReply{Outcome: wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN, Detail: err.Error()}
	}
	return &wire.QueueReply{
		Outcome: wire.QueueOutcome_QUEUE_OUTCOME_TURNED_AWAY, Detail: err.Error(),
		RetryAfterMs: uint32(comeBack(call, c.leaderless(clock.New().Now())).Milliseconds()),
	}
}

// comeBack returns when a caller may come back after a time without a leader. Most outages are short; in one that lasts, a
// long job loses little by a longer wait, and its caller does not use up its attempts.
func comeBack(call *wire.QueueCall, leaderless time.Duration) time.Duration {
	var expected time.Duration
	for _, step := range call.GetSubmit().GetJob().GetSteps() {
		expected += time.Duration(step.GetEstimateMs()) * time.Millisecond
	}
	return max(retryAfter, min(longestRetry, expected/retryShare, leaderless))
}

// changes reports whether a call may have an effect.
func changes(call *wire.QueueCall) bool {
	switch call.GetBody().(type) {
	case *wire.QueueCall_State, *wire.QueueCall_Count, *wire.QueueCall_ReadConfig, *wire.QueueCall_Helper:
		return false
	default:
		return true
	}
}
