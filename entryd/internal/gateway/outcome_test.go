package gateway_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/messenger"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

type script = func(conn *net.TCPConn, request *http.Request, body string, number int) bool

func alwaysAnswer(format string, args ...any) script {
	return func(conn *net.TCPConn, _ *http.Request, _ string, _ int) bool { return writeRaw(conn, format, args...) }
}

func answerThenClose(text string) script {
	return func(conn *net.TCPConn, _ *http.Request, _ string, _ int) bool {
		writeRaw(conn, "%s", text)
		return false
	}
}

func neverAnswer(conn *net.TCPConn, _ *http.Request, _ string, _ int) bool {
	_, _ = conn.Read(make([]byte, 1))
	return false
}

// Guards against a wrong outcome: not_run for a request that a target may have run, or answered without the whole
// answer. The request is not idempotent, so that no retry hides the outcome.
func TestOutcomeOfEachFailureOfATarget(t *testing.T) {
	const megabyte = 1 << 20
	cases := []struct {
		name            string
		script          script
		deadlineMs      int
		outcome, reason string
		body            string
	}{
		{"answer", echo, 0, "answered", "", "/charge"},
		{"server error is an answer", alwaysAnswer("HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno"), 0, "answered", "", "no"},
		{"interim answers first", alwaysAnswer("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), 0, "answered", "", "ok"},
		{"chunked", alwaysAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), 0, "answered", "", "ok"},
		{"more bytes than the length", alwaysAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok, and more"), 0, "answered", "", "ok"},
		{"reset after the request", func(conn *net.TCPConn, _ *http.Request, _ string, _ int) bool { return reset(conn) }, 0, "outcome_unknown", "answer_broken", ""},
		{"closed after the request", answerThenClose(""), 0, "outcome_unknown", "answer_broken", ""},
		{"half an answer", answerThenClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"), 0, "outcome_unknown", "answer_broken", ""},
		{"half a head", answerThenClose("HTTP/1.1 200 OK\r\nContent-Le"), 0, "outcome_unknown", "answer_broken", ""},
		{"half a chunk", answerThenClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"), 0, "outcome_unknown", "answer_broken", ""},
		{"no last chunk", answerThenClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), 0, "outcome_unknown", "answer_broken", ""},
		{"no length", answerThenClose("HTTP/1.1 200 OK\r\n\r\nall?"), 0, "outcome_unknown", "answer_broken", ""},
		{"two lengths", alwaysAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!"), 0, "outcome_unknown", "answer_broken", ""},
		{"switched protocols", alwaysAnswer("HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"), 0, "outcome_unknown", "answer_broken", ""},
		{"only interim answers", alwaysAnswer("%s", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)), 0, "outcome_unknown", "answer_broken", ""},
		{"no HTTP", alwaysAnswer("hello\r\n\r\n"), 0, "outcome_unknown", "answer_broken", ""},
		{"answer too large", alwaysAnswer("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 8*megabyte+1, strings.Repeat("x", 8*megabyte+1)), 0, "outcome_unknown", "answer_too_large", ""},
		{"head too large", alwaysAnswer("HTTP/1.1 200 OK\r\nX: %s\r\nContent-Length: 0\r\n\r\n", strings.Repeat("x", 9*megabyte)), 0, "outcome_unknown", "answer_too_large", ""},
		{"too many headers", alwaysAnswer("HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", strings.Repeat("X: y\r\n", 129)), 0, "outcome_unknown", "answer_too_large", ""},
		{"deadline after sending", neverAnswer, 300, "outcome_unknown", "deadline_exceeded", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startTarget(t, c.script)
			entry := newTestEntry(t, nil, s.listener.Addr().String())
			request := post("k1", "deposit")
			if c.deadlineMs > 0 {
				request = withDeadline(request, c.deadlineMs)
			}
			got := entry.do(request)
			require.Equal(t, c.outcome, got.outcome, got.body)
			require.Equal(t, c.reason, got.reason, got.body)
			if c.outcome == "answered" {
				require.Equal(t, c.body, got.body)
			}
			require.Equal(t, 1, s.requests())
			require.Zero(t, entry.dispatcher.Busy())
			require.Zero(t, entry.gateway.Active())
			settlements := entry.leader.settled()
			require.Len(t, settlements, 1)
			want := map[string]wire.ClaimState{
				"answered": wire.ClaimState_CLAIM_STATE_ANSWERED, "outcome_unknown": wire.ClaimState_CLAIM_STATE_UNKNOWN,
			}
			require.Equal(t, want[c.outcome], settlements[0].GetState())
		})
	}
}

// firstAttempt marks a request that its caller has not sent before, so that a refusal before the claim is opened
// applies to all attempts.
func firstAttempt(request *http.Request) *http.Request {
	request.Header.Set("Flamingo-First-Attempt", "true")
	return request
}

// Guards against a reason that does not name the cause of not_run, and against a key that stays claimed.
func TestReasonsOfNotRun(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := closed.Addr().String()
	require.NoError(t, closed.Close())
	cases := []struct {
		name    string
		prepare func(s *testEntry)
		request *http.Request
		reason  string
	}{
		{"connection refused", func(*testEntry) {}, post("k1", "x"), "target_unreachable"},
		{"no target", func(s *testEntry) { s.grantTargets(1) }, withDeadline(post("k1", "x"), 50), "no_target"},
		{"all slots in use", func(s *testEntry) { s.dispatcher.Acquire("chairbook", 0) }, withDeadline(post("k1", "x"), 50), "no_free_slot"},
		{"queue full", func(s *testEntry) {
			s.dispatcher.Acquire("chairbook", 0)
			s.control.state.Services["chairbook"].Queue = 0
		}, post("k1", "x"), "queue_full"},
		{"deadline before sending", func(*testEntry) {}, firstAttempt(withDeadline(post("k1", "x"), 0)), "deadline_exceeded"},
		{"not current", func(s *testEntry) { s.control.why = reason.NotCurrent }, firstAttempt(post("k1", "x")), "not_current"},
		{"too many connections", func(s *testEntry) { s.full = true }, firstAttempt(post("k1", "x")), "limit_reached"},
		{"shutting down", func(s *testEntry) { s.gateway.Close() }, firstAttempt(post("k1", "x")), "shutting_down"},
		{"no key", func(*testEntry) {}, post("", "x"), "key_missing"},
		{"body too large", func(*testEntry) {}, post("k1", strings.Repeat("x", 1<<20+1)), "request_too_large"},
		{"deadline is no number", func(*testEntry) {}, func() *http.Request {
			request := post("k1", "x")
			request.Header.Set("Flamingo-Deadline-Ms", "soon")
			return firstAttempt(request)
		}(), "request_invalid"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			entry := newTestEntry(t, nil, address)
			c.prepare(entry)
			busy := entry.dispatcher.Busy()
			got := entry.do(c.request)
			require.Equal(t, "not_run", got.outcome, got.body)
			require.Equal(t, c.reason, got.reason, got.body)
			require.Equal(t, busy, entry.dispatcher.Busy())
			for _, settlement := range entry.leader.settled() {
				require.Equal(t, wire.ClaimState_CLAIM_STATE_UNSPECIFIED, settlement.GetState())
			}
		})
	}
}

// Guards against taking bytes that arrived on an idle connection for the answer to the next request.
func TestNextRequestGetsItsOwnAnswer(t *testing.T) {
	const stale = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
	cases := []struct {
		name  string
		first script
	}{
		{"another answer at once", func(conn *net.TCPConn, request *http.Request, body string, n int) bool {
			return echo(conn, request, body, n) && writeRaw(conn, stale)
		}},
		{"body longer than stated", alwaysAnswer("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n/first%s", stale)},
		{"reset while idle", func(conn *net.TCPConn, request *http.Request, body string, n int) bool {
			echo(conn, request, body, n)
			return false
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ended := make(chan struct{})
			var mu sync.Mutex
			var paths []string
			s := startTarget(t, func(conn *net.TCPConn, request *http.Request, body string, number int) bool {
				mu.Lock()
				paths = append(paths, request.URL.Path)
				mu.Unlock()
				if number > 0 {
					return echo(conn, request, body, number)
				}
				defer close(ended)
				proceed := c.first(conn, request, body, number)
				if !proceed {
					reset(conn)
				}
				return proceed
			})
			entry := newTestEntry(t, nil, s.listener.Addr().String())
			require.Equal(t, "/first", entry.do(get("/first")).body)
			<-ended
			second := entry.do(get("/second"))
			require.Equal(t, "answered", second.outcome, second.body)
			require.Equal(t, "/second", second.body)
			mu.Lock()
			defer mu.Unlock()
			// The reset can overtake the first answer, and the first request is then retried. So only the second
			// request is counted.
			seconds := slices.DeleteFunc(slices.Clone(paths), func(path string) bool { return path != "/second" })
			require.Equal(t, []string{"/second"}, seconds, "the second request was sent once; all: %v", paths)
		})
	}
}

// Guards against a wrong outcome of a request that is forwarded to a peer.
func TestOutcomeOfEachFailureOfAPeer(t *testing.T) {
	reply := func(r *wire.ForwardReply) func(context.Context, *wire.ForwardRequest) (*wire.Reply, error) {
		return func(context.Context, *wire.ForwardRequest) (*wire.Reply, error) {
			return &wire.Reply{Body: &wire.Reply_Forward{Forward: r}}, nil
		}
	}
	lost := func(sent bool) func(context.Context, *wire.ForwardRequest) (*wire.Reply, error) {
		return func(context.Context, *wire.ForwardRequest) (*wire.Reply, error) {
			return nil, &messenger.Error{Sent: sent, Cause: context.Canceled}
		}
	}
	cases := []struct {
		name            string
		peer            func(context.Context, *wire.ForwardRequest) (*wire.Reply, error)
		outcome, reason string
	}{
		{"answer", reply(&wire.ForwardReply{Outcome: wire.Outcome_OUTCOME_ANSWERED, Answer: &wire.Answer{Status: 200}}), "answered", ""},
		{"peer died or its reply was lost", lost(true), "outcome_unknown", "answer_broken"},
		{"peer cannot be reached", lost(false), "not_run", "no_target"},
		{"peer has no free slot", reply(&wire.ForwardReply{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: "no_free_slot"}), "not_run", "no_target"},
		{"target of the peer refused", reply(&wire.ForwardReply{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: "target_unreachable"}), "not_run", "target_unreachable"},
		{"unknown at the peer", reply(&wire.ForwardReply{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: "answer_broken"}), "outcome_unknown", "answer_broken"},
		{"answer without content", reply(&wire.ForwardReply{Outcome: wire.Outcome_OUTCOME_ANSWERED}), "outcome_unknown", "answer_broken"},
		{"reply of another kind", func(context.Context, *wire.ForwardRequest) (*wire.Reply, error) { return &wire.Reply{}, nil }, "outcome_unknown", "answer_broken"},
		{"refusal", func(context.Context, *wire.ForwardRequest) (*wire.Reply, error) {
			return &wire.Reply{Body: &wire.Reply_Refusal{Refusal: &wire.Refusal{Reason: "request_invalid"}}}, nil
		}, "not_run", "no_target"},
		{"deadline at the peer", func(ctx context.Context, _ *wire.ForwardRequest) (*wire.Reply, error) {
			<-ctx.Done()
			return nil, &messenger.Error{Sent: true, Cause: ctx.Err()}
		}, "outcome_unknown", "deadline_exceeded"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			entry := newTestEntry(t, peers{"10.0.0.2:1": c.peer})
			got := entry.do(withDeadline(post("k1", "x"), 300))
			require.Equal(t, c.outcome, got.outcome, got.body)
			require.Equal(t, c.reason, got.reason, got.body)
		})
	}
}

// Guards against aborting a request, or sending it twice, when its caller disconnects.
func TestRequestOutlivesItsCaller(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	s := startTarget(t, func(conn *net.TCPConn, request *http.Request, body string, n int) bool {
		close(arrived)
		<-proceed
		return echo(conn, request, body, n)
	})
	entry := newTestEntry(t, nil, s.listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan answer, 1)
	go func() { done <- entry.do(post("k1", "x").WithContext(ctx)) }()
	<-arrived
	cancel()
	close(proceed)
	require.Equal(t, "answered", (<-done).outcome)
	require.Equal(t, wire.ClaimState_CLAIM_STATE_ANSWERED, entry.leader.settled()[0].GetState())
}

// Guards against a target that works for a caller that no longer waits: the remaining time is passed on, also through a
// peer.
func TestDeadlineIsForwarded(t *testing.T) {
	s := startTarget(t, echo)
	owner := newTestEntry(t, nil, s.listener.Addr().String())
	other := newTestEntry(t, peers{"10.0.0.2:1": func(ctx context.Context, request *wire.ForwardRequest) (*wire.Reply, error) {
		return owner.gateway.ServeForwarded(ctx, request), nil
	}})
	for i, entry := range []*testEntry{owner, other} {
		// The caller states no deadline, so the service's limit applies.
		got := entry.do(get("/free"))
		require.Equal(t, "answered", got.outcome, got.body)
		left, err := time.ParseDuration(s.header(i).Get("Flamingo-Deadline-Ms") + "ms")
		require.NoError(t, err)
		require.Positive(t, left)
		require.LessOrEqual(t, left, 10*time.Second)
		require.Len(t, s.header(i).Values("Flamingo-Deadline-Ms"), 1)
	}
}

// Guards against forwarding hop-by-hop headers, and against headers that a target may not set.
func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	s := startTarget(t, alwaysAnswer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: x-hop\r\nX-Hop: 1\r\nX-Kept: 1\r\nFlamingo-Reason: made-up\r\n\r\n"))
	entry := newTestEntry(t, nil, s.listener.Addr().String())
	request := get("/free")
	request.Header.Set("Connection", "X-Caller-Hop")
	request.Header.Set("X-Caller-Hop", "1")
	got := entry.do(request)
	require.Equal(t, "answered", got.outcome)
	require.Empty(t, got.reason)
	require.Empty(t, got.header.Get("X-Hop"))
	require.Equal(t, "1", got.header.Get("X-Kept"))
	require.Empty(t, s.header(0).Get("X-Caller-Hop"))
}
