package gateway_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

// Guards against sending a request whose key was not granted, and against a wrong outcome for it.
func TestClaimDecidesWhetherARequestIsSent(t *testing.T) {
	cases := []struct {
		state           wire.ClaimState
		answer          *wire.Answer
		outcome, reason string
		sent            int
	}{
		{wire.ClaimState_CLAIM_STATE_GRANTED, nil, "answered", "", 1},
		{wire.ClaimState_CLAIM_STATE_RUNNING, nil, "outcome_unknown", "still_running", 0},
		{wire.ClaimState_CLAIM_STATE_ANSWERED, &wire.Answer{Status: 201, Body: []byte("kept")}, "answered", "", 0},
		{wire.ClaimState_CLAIM_STATE_ANSWERED, &wire.Answer{Status: 201, Dropped: true}, "outcome_unknown", "answer_not_kept", 0},
		{wire.ClaimState_CLAIM_STATE_UNKNOWN, nil, "outcome_unknown", "outcome_unknown", 0},
		{wire.ClaimState_CLAIM_STATE_KEY_REUSED, nil, "not_run", "key_reused", 0},
		{wire.ClaimState_CLAIM_STATE_FULL, nil, "not_run", "claims_full", 0},
		{wire.ClaimState_CLAIM_STATE_WITHDRAWN, nil, "outcome_unknown", "claim_unavailable", 0},
	}
	for _, c := range cases {
		t.Run(c.state.String()+c.outcome, func(t *testing.T) {
			s := startTarget(t, echo)
			entry := newTestEntry(t, nil, s.listener.Addr().String())
			entry.leader.call = func(ctx context.Context, request *wire.Request) (*wire.Reply, error) {
				if request.GetClaim() == nil {
					return grantAll(ctx, request)
				}
				return &wire.Reply{Body: &wire.Reply_Claim{Claim: &wire.ClaimReply{State: c.state, Answer: c.answer}}}, nil
			}
			got := entry.do(post("k1", "x"))
			require.Equal(t, c.outcome, got.outcome)
			require.Equal(t, c.reason, got.reason)
			require.Equal(t, c.sent, s.requests())
		})
	}
}

// Guards against a request that is sent, or a claim that stays running forever, after the reply that granted the claim
// was lost.
func TestClaimWithLostReplyIsWithdrawn(t *testing.T) {
	s := startTarget(t, echo)
	entry := newTestEntry(t, nil, s.listener.Addr().String())
	var once sync.Once
	withdrawn := make(chan *wire.SettleRequest, 1)
	entry.leader.call = func(ctx context.Context, request *wire.Request) (*wire.Reply, error) {
		if settlement := request.GetSettle(); settlement != nil {
			failed := false
			once.Do(func() { failed = true })
			if failed {
				return nil, errors.New("no leader")
			}
			withdrawn <- settlement
			return grantAll(ctx, request)
		}
		return nil, errors.New("the reply was lost")
	}
	got := entry.do(post("k1", "x"))
	// This attempt was not run, but without the claim it is unknown whether an earlier one was.
	require.Equal(t, "outcome_unknown", got.outcome)
	require.Equal(t, "claim_unavailable", got.reason)
	require.Zero(t, s.requests())
	settlement := <-withdrawn
	require.Equal(t, wire.ClaimState_CLAIM_STATE_UNSPECIFIED, settlement.GetState())
	require.Equal(t, entry.leader.calls[0].GetClaim().GetClaimId(), settlement.GetClaimId())
	require.Eventually(t, func() bool { return entry.claimer.Pending() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against withholding the answer from the caller, or losing the settlement, while there is no leader.
func TestAnswerIsDeliveredWithoutLeader(t *testing.T) {
	s := startTarget(t, echo)
	entry := newTestEntry(t, nil, s.listener.Addr().String())
	var mu sync.Mutex
	noLeader := true
	entry.leader.call = func(ctx context.Context, request *wire.Request) (*wire.Reply, error) {
		mu.Lock()
		defer mu.Unlock()
		if request.GetSettle() != nil && noLeader {
			return nil, errors.New("no leader")
		}
		return grantAll(ctx, request)
	}
	require.Equal(t, "answered", entry.do(post("k1", "x")).outcome)
	require.Equal(t, 1, entry.claimer.Pending())
	mu.Lock()
	noLeader = false
	mu.Unlock()
	require.Eventually(t, func() bool { return entry.claimer.Pending() == 0 }, 10*time.Second, time.Millisecond)
	settlements := entry.leader.settled()
	require.Equal(t, wire.ClaimState_CLAIM_STATE_ANSWERED, settlements[len(settlements)-1].GetState())
}

// Guards against equal digests of different requests.
func TestDigestCoversTheRequest(t *testing.T) {
	entry := newTestEntry(t, nil, startTarget(t, echo).listener.Addr().String())
	seen := map[string]bool{}
	put := post("k1", "x")
	put.Method = http.MethodPut
	other := post("k1", "x")
	other.URL.Path += "/2"
	query := post("k1", "x")
	query.URL.RawQuery = "a=1"
	for _, request := range []*http.Request{post("k1", "x"), post("k1", "y"), put, other, query} {
		require.Equal(t, "answered", entry.do(request).outcome)
	}
	for _, call := range entry.leader.calls {
		if call.GetClaim() != nil {
			seen[string(call.GetClaim().GetDigest())] = true
		}
	}
	require.Len(t, seen, 5)
}

// Guards against a shutdown that does not wait for a forwarded request in progress or accepts a new one.
func TestClosedGatewayFinishesForwardedRequests(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	s := startTarget(t, func(conn *net.TCPConn, request *http.Request, body string, n int) bool {
		close(arrived)
		<-proceed
		return echo(conn, request, body, n)
	})
	entry := newTestEntry(t, nil, s.listener.Addr().String())
	request := &wire.ForwardRequest{Service: "chairbook", Method: http.MethodGet, Path: "/free", DeadlineMs: 10_000}
	done := make(chan *wire.Reply, 1)
	go func() { done <- entry.gateway.ServeForwarded(context.Background(), request) }()
	<-arrived
	entry.gateway.Close()
	require.EqualValues(t, 1, entry.gateway.Active())
	require.Equal(t, "shutting_down", entry.gateway.ServeForwarded(context.Background(), request).GetForward().GetReason())
	close(proceed)
	require.Equal(t, wire.Outcome_OUTCOME_ANSWERED, (<-done).GetForward().GetOutcome())
	require.Zero(t, entry.gateway.Active())
}
