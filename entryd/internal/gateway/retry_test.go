package gateway_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

// initialBudget is the number of retries in a new retry budget.
const initialBudget = 10

// Guards against retries that amplify an overload. While every target fails, also at peers, there is at most one retry
// per ten requests, plus the initial budget.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const requests = 400
	bound := requests + requests/10 + initialBudget
	t.Run("own targets", func(t *testing.T) {
		s := startTarget(t, func(conn *net.TCPConn, _ *http.Request, _ string, _ int) bool { return reset(conn) })
		entry := newTestEntry(t, nil, s.listener.Addr().String())
		for range requests {
			require.Equal(t, "outcome_unknown", entry.do(get("/free")).outcome)
		}
		require.LessOrEqual(t, s.requests(), bound)
		require.Greater(t, s.requests(), requests, "idempotent requests are retried at all")
	})
	t.Run("targets of peers", func(t *testing.T) {
		calls := 0
		fail := func(context.Context, *wire.ForwardRequest) (*wire.Reply, error) {
			calls++
			return &wire.Reply{Body: &wire.Reply_Forward{Forward: &wire.ForwardReply{
				Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: "target_unreachable", FreeSlots: 8,
			}}}, nil
		}
		entry := newTestEntry(t, peers{"10.0.0.2:1": fail, "10.0.0.3:1": fail, "10.0.0.4:1": fail})
		for range requests {
			got := entry.do(get("/free"))
			require.Equal(t, "not_run", got.outcome)
			require.Equal(t, "target_unreachable", got.reason)
		}
		require.LessOrEqual(t, calls, bound)
	})
}

// Guards against a non-idempotent request that is sent again after it may have run, and against an idempotent one that
// is not retried although another target could answer.
func TestOnlyIdempotentRequestsAreRetried(t *testing.T) {
	s := startTarget(t, func(conn *net.TCPConn, request *http.Request, body string, number int) bool {
		if number%2 == 0 {
			return reset(conn)
		}
		return echo(conn, request, body, number)
	})
	entry := newTestEntry(t, nil, s.listener.Addr().String())
	require.Equal(t, "answered", entry.do(get("/free")).outcome)
	require.Equal(t, 2, s.requests())
	require.Equal(t, "outcome_unknown", entry.do(post("k1", "x")).outcome)
	require.Equal(t, 3, s.requests())
}
