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

// TestOutcomes guards what a caller is told when no leader answers: "turned away" only when the job cannot have been
// stored, as it may be run otherwise.
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
	// thenTurnedAway says first that the fate is unknown.
	thenTurnedAway := func() messenger.Handler {
		var calls atomic.Int64
		return func(context.Context, *wire.Request) *wire.Reply {
			if calls.Add(1) == 1 {
				return replied(unknown)
			}
			return replied(turnedAway)
		}
	}
	thenOK := func() messenger.Handler {
		var calls atomic.Int64
		return func(context.Context, *wire.Request) *wire.Reply {
			if calls.Add(1) == 1 {
				return replied(unknown)
			}
			return replied(ok)
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
		{"no answer to a question", silent, read(), turnedAway},
		{"unknown, then turned away", thenTurnedAway(), submit(), unknown},
		{"unknown, then stored", thenOK(), submit(), ok},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			require.Equal(t, test.outcome, caller(t, test.handler).Call(ctx, test.call).GetOutcome())
		})
	}
}

// TestRetryAfter guards that a caller without a leader is told when to come back.
func TestRetryAfter(t *testing.T) {
	reply := caller(t, func(context.Context, *wire.Request) *wire.Reply { return noLeader() }).Call(t.Context(), submit())
	require.Positive(t, reply.GetRetryAfterMs())
}

// TestNoLeaderIsCertain guards a caller without a leader against being told that the fate of its job is unknown: the last
// attempt was cut off by the end of the call when it began just before.
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

// TestComeBack guards the callers of long jobs against using up their attempts while an outage lasts, and those of short
// ones against a wait that makes their jobs late.
func TestComeBack(t *testing.T) {
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

// TestComeBackSoonAtFirst guards long jobs against a longer wait than a usual change of the leader takes.
func TestComeBackSoonAtFirst(t *testing.T) {
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
