package queuecaller_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/locator"
	"flamingodrift.example/core/messenger"
	"flamingodrift.example/core/queuecaller"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

func submit() *wire.QueueCall {
	return &wire.QueueCall{Body: &wire.QueueCall_Submit{Submit: &wire.JobCall{}}}
}

func read() *wire.QueueCall {
	return &wire.QueueCall{Body: &wire.QueueCall_State{State: &wire.JobCall{}}}
}

func replied(outcome wire.QueueOutcome) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Queue{Queue: &wire.QueueReply{Outcome: outcome}}}
}

func noLeader() *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Refusal{Refusal: &wire.Refusal{Reason: reason.NoLeader.String()}}}
}

// caller returns a Caller whose only control process answers with handler.
func caller(t *testing.T, handler messenger.Handler) *queuecaller.Caller {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := messenger.New(messenger.Config{Token: "t", Handler: handler})
	client := messenger.New(messenger.Config{Token: "t"})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		client.Close()
		server.Close()
		_ = listener.Close()
	})
	return queuecaller.New(locator.New(locator.Config{Messenger: client, Controls: []string{listener.Addr().String()}}))
}

// TestOutcomes guards against telling a caller that its call was turned away although the job may have been stored and
// may run.
func TestOutcomes(t *testing.T) {
	silent := func(ctx context.Context, _ *wire.Request) *wire.Reply {
		<-ctx.Done()
		return nil
	}
	always := func(reply *wire.Reply) messenger.Handler {
		return func(context.Context, *wire.Request) *wire.Reply { return reply }
	}
	ok, unknown := wire.QueueOutcome_QUEUE_OUTCOME_OK, wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN
	turnedAway := wire.QueueOutcome_QUEUE_OUTCOME_TURNED_AWAY
	// unknownThenTurnedAway and unknownThenOK first answer that the outcome is unknown.
	unknownThenTurnedAway := func() messenger.Handler {
		var calls atomic.Int64
		return func(context.Context, *wire.Request) *wire.Reply {
			if calls.Add(1) == 1 {
				return replied(unknown)
			}
			return replied(turnedAway)
		}
	}
	unknownThenOK := func() messenger.Handler {
		var calls atomic.Int64
		return func(context.Context, *wire.Request) *wire.Reply {
			if calls.Add(1) == 1 {
				return replied(unknown)
			}
			return replied(ok)
		}
	}
	// lostThen does not answer the first call, and answers the next ones with an outcome.
	lostThen := func(outcome wire.QueueOutcome) messenger.Handler {
		var calls atomic.Int64
		return func(ctx context.Context, _ *wire.Request) *wire.Reply {
			if calls.Add(1) == 1 {
				<-ctx.Done()
				return nil
			}
			return replied(outcome)
		}
	}
	tests := []struct {
		name    string
		handler messenger.Handler
		call    *wire.QueueCall
		outcome wire.QueueOutcome
	}{
		{"answered", always(replied(ok)), submit(), ok},
		{"no leader", always(noLeader()), submit(), turnedAway},
		{"no answer to a change", silent, submit(), unknown},
		{"no answer to a read", silent, read(), turnedAway},
		{"unknown, then turned away", unknownThenTurnedAway(), submit(), unknown},
		{"unknown, then stored", unknownThenOK(), submit(), ok},
		{"answer lost, then stored", lostThen(ok), submit(), ok},
		{"answer lost, then turned away", lostThen(turnedAway), submit(), unknown},
		{"answer lost, then over rate", lostThen(wire.QueueOutcome_QUEUE_OUTCOME_OVER_RATE), submit(), unknown},
		{"answer lost, then no queue", lostThen(wire.QueueOutcome_QUEUE_OUTCOME_NO_QUEUE), submit(), unknown},
		{"answer lost, then key revoked", lostThen(wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN_KEY), submit(), unknown},
		{"answer to a read lost, then turned away", lostThen(turnedAway), read(), turnedAway},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			require.Equal(t, test.outcome, caller(t, test.handler).Call(ctx, test.call).GetOutcome())
		})
	}
}

// TestRetryAfter guards against a reply without a retry time when there is no leader.
func TestRetryAfter(t *testing.T) {
	reply := caller(t, func(context.Context, *wire.Request) *wire.Reply { return noLeader() }).Call(t.Context(), submit())
	require.Positive(t, reply.GetRetryAfterMs())
}

// TestNoLeaderIsCertain guards against telling a caller, while there is no leader, that the outcome of its job is
// unknown. This happens when the last attempt begins just before the end of the call and is cut off by it.
func TestNoLeaderIsCertain(t *testing.T) {
	for answerMs := 0; answerMs <= 48; answerMs += 4 {
		t.Run(fmt.Sprintf("answered after %d ms", answerMs), func(t *testing.T) {
			t.Parallel()
			reply := caller(t, func(context.Context, *wire.Request) *wire.Reply {
				time.Sleep(time.Duration(answerMs) * time.Millisecond)
				return noLeader()
			}).Call(t.Context(), submit())
			require.Equal(t, wire.QueueOutcome_QUEUE_OUTCOME_TURNED_AWAY, reply.GetOutcome())
		})
	}
}

// TestRetryAfterByJobLength guards against retry times that let callers of long jobs use up their attempts during an
// outage, or that make short jobs late.
func TestRetryAfterByJobLength(t *testing.T) {
	tests := []struct {
		estimates []uint32
		after     uint32
	}{
		{nil, 1000},
		{[]uint32{640}, 1000},
		{[]uint32{4000}, 2000},
		{[]uint32{4000, 2000}, 3000},
		{[]uint32{60_000}, 4000},
	}
	for _, test := range tests {
		call := submit()
		job := &wire.SubmittedJob{}
		for _, estimate := range test.estimates {
			job.Steps = append(job.Steps, &wire.JobStep{EstimateMs: estimate})
		}
		call.GetSubmit().Job = job
		c := caller(t, func(context.Context, *wire.Request) *wire.Reply { return noLeader() })
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		reply := c.Call(ctx, call)
		cancel()
		require.Equal(t, wire.QueueOutcome_QUEUE_OUTCOME_TURNED_AWAY, reply.GetOutcome())
		require.Equal(t, test.after, reply.GetRetryAfterMs())
	}
}

// TestRetryAfterInShortOutage guards against making long jobs wait longer than a usual change of leader takes.
func TestRetryAfterInShortOutage(t *testing.T) {
	var gone atomic.Bool
	c := caller(t, func(context.Context, *wire.Request) *wire.Reply {
		if gone.Load() {
			return noLeader()
		}
		return replied(wire.QueueOutcome_QUEUE_OUTCOME_OK)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	call := submit()
	call.GetSubmit().Job = &wire.SubmittedJob{Steps: []*wire.JobStep{{EstimateMs: 60_000}}}
	require.Equal(t, wire.QueueOutcome_QUEUE_OUTCOME_OK, c.Call(ctx, call).GetOutcome())
	gone.Store(true)
	require.EqualValues(t, 1000, c.Call(ctx, call).GetRetryAfterMs())
}

// slowAnswer is longer than a call looks for a leader in an outage, and shorter than it does otherwise.
const slowAnswer = 400 * time.Millisecond

// TestIdleCallerWaits guards against taking a time without calls for an outage: a process that had no calls for some
// time would cut its next one off while the leader commits it.
func TestIdleCallerWaits(t *testing.T) {
	var calls atomic.Int64
	c := caller(t, func(context.Context, *wire.Request) *wire.Reply {
		if calls.Add(1) > 1 {
			time.Sleep(slowAnswer)
		}
		return replied(wire.QueueOutcome_QUEUE_OUTCOME_OK)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	require.Equal(t, wire.QueueOutcome_QUEUE_OUTCOME_OK, c.Call(ctx, submit()).GetOutcome())
	time.Sleep(1100 * time.Millisecond)
	require.Equal(t, wire.QueueOutcome_QUEUE_OUTCOME_OK, c.Call(ctx, read()).GetOutcome())
	require.Equal(t, wire.QueueOutcome_QUEUE_OUTCOME_OK, c.Call(ctx, submit()).GetOutcome())
}

// TestLostAnswerIsAskedForAgain guards against telling a caller that the outcome of its job is unknown while there is
// time to learn it: the leader stopped before it answered, and the next one takes over after longer than a call looks
// for a leader.
func TestLostAnswerIsAskedForAgain(t *testing.T) {
	tests := []struct {
		name string
		// before answers until the next leader takes over.
		before messenger.Handler
	}{
		{"no answer", func(ctx context.Context, _ *wire.Request) *wire.Reply {
			<-ctx.Done()
			return nil
		}},
		{"the leader lost its lease", func(context.Context, *wire.Request) *wire.Reply {
			return replied(wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int64
			var lostAt atomic.Int64
			c := caller(t, func(ctx context.Context, request *wire.Request) *wire.Reply {
				if calls.Add(1) == 1 {
					lostAt.Store(time.Now().UnixNano())
					return test.before(ctx, request)
				}
				if time.Now().UnixNano()-lostAt.Load() < int64(1200*time.Millisecond) {
					return noLeader()
				}
				return replied(wire.QueueOutcome_QUEUE_OUTCOME_OK)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			require.Equal(t, wire.QueueOutcome_QUEUE_OUTCOME_OK, c.Call(ctx, submit()).GetOutcome())
		})
	}
}
