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

func always(format string, args ...any) script {
	return func(conn *net.TCPConn, _ *http.Request, _ string, _ int) bool { return say(conn, format, args...) }
}

func thenClose(text string) script {
	return func(conn *net.TCPConn, _ *http.Request, _ string, _ int) bool {
		say(conn, "%s", text)
		return false
	}
}

func silent(conn *net.TCPConn, _ *http.Request, _ string, _ int) bool {
	_, _ = conn.Read(make([]byte, 1))
	return false
}

// Guards against an untrue outcome: not_run for a request that a target may have run, or answered without the whole
// answer. The request is not idempotent, so nothing hides behind a retry.
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
		{"server error is an answer", always("HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno"), 0, "answered", "", "no"},
		{"interim answers first", always("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), 0, "answered", "", "ok"},
		{"chunked", always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), 0, "answered", "", "ok"},
		{"more bytes than the length", always("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok, and more"), 0, "answered", "", "ok"},
		{"reset after the request", func(conn *net.TCPConn, _ *http.Request, _ string, _ int) bool { return reset(conn) }, 0, "outcome_unknown", "answer_broken", ""},
		{"closed after the request", thenClose(""), 0, "outcome_unknown", "answer_broken", ""},
		{"half an answer", thenClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"), 0, "outcome_unknown", "answer_broken", ""},
		{"half a head", thenClose("HTTP/1.1 200 OK\r\nContent-Le"), 0, "outcome_unknown", "answer_broken", ""},
		{"half a chunk", thenClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"), 0, "outcome_unknown", "answer_broken", ""},
		{"no last chunk", thenClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), 0, "outcome_unknown", "answer_broken", ""},
		{"no length", thenClose("HTTP/1.1 200 OK\r\n\r\nall?"), 0, "outcome_unknown", "answer_broken", ""},
		{"two lengths", always("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!"), 0, "outcome_unknown", "answer_broken", ""},
		{"switched protocols", always("HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"), 0, "outcome_unknown", "answer_broken", ""},
		{"only interim answers", always("%s", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)), 0, "outcome_unknown", "answer_broken", ""},
		{"no HTTP", always("hello\r\n\r\n"), 0, "outcome_unknown", "answer_broken", ""},
		{"answer too large", always("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 8*megabyte+1, strings.Repeat("x", 8*megabyte+1)), 0, "outcome_unknown", "answer_too_large", ""},
		{"head too large", always("HTTP/1.1 200 OK\r\nX: %s\r\nContent-Length: 0\r\n\r\n", strings.Repeat("x", 9*megabyte)), 0, "outcome_unknown", "answer_too_large", ""},
		{"too many headers", always("HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", strings.Repeat("X: y\r\n", 129)), 0, "outcome_unknown", "answer_too_large", ""},
		{"deadline after sending", silent, 300, "outcome_unknown", "deadline_exceeded", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startTarget(t, c.script)
			entry := newSite(t, nil, s.listener.Addr().String())
			request := post("k1", "deposit")
			if c.deadlineMs > 0 {
				request = within(request, c.deadlineMs)
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
			ends := entry.leader.settled()
			require.Len(t, ends, 1)
			want := map[string]wire.ClaimState{
				"answered": wire.ClaimState_CLAIM_STATE_ANSWERED, "outcome_unknown": wire.ClaimState_CLAIM_STATE_UNKNOWN,
			}
			require.Equal(t, want[c.outcome], ends[0].GetState())
		})
	}
}

// first marks a request as one that its caller has not sent before, so that a refusal without a look at the claim is known
// to hold for all sendings.
func first(request *http.Request) *http.Request {
	request.Header.Set("Flamingo-First-Attempt", "true")
	return request
}

// Guards against a reason of not_run that names something other than the cause, and against a key that stays used.
func TestRequestsThatAreNotRun(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := closed.Addr().String()
	require.NoError(t, closed.Close())
	cases := []struct {
		name    string
		prepare func(s *site)
		request *http.Request
		reason  string
	}{
		{"connection refused", func(*site) {}, post("k1", "x"), "target_unreachable"},
		{"no target", func(s *site) { s.own(1) }, within(post("k1", "x"), 50), "no_target"},
		{"all slots in use", func(s *site) { s.dispatcher.Acquire("chairbook", 0) }, within(post("k1", "x"), 50), "no_free_slot"},
		{"queue full", func(s *site) {
			s.dispatcher.Acquire("chairbook", 0)
			s.control.state.Services["chairbook"].Queue = 0
		}, post("k1", "x"), "queue_full"},
		{"deadline before sending", func(*site) {}, first(within(post("k1", "x"), 0)), "deadline_exceeded"},
		{"not current", func(s *site) { s.control.why = reason.NotCurrent }, first(post("k1", "x")), "not_current"},
		{"too many connections", func(s *site) { s.full = true }, first(post("k1", "x")), "limit_reached"},
		{"shutting down", func(s *site) { s.gateway.Close() }, first(post("k1", "x")), "shutting_down"},
		{"no key", func(*site) {}, post("", "x"), "key_missing"},
		{"body too large", func(*site) {}, post("k1", strings.Repeat("x", 1<<20+1)), "request_too_large"},
		{"deadline is no number", func(*site) {}, func() *http.Request {
			request := post("k1", "x")
			request.Header.Set("Flamingo-Deadline-Ms", "soon")
			return first(request)
		}(), "request_invalid"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			entry := newSite(t, nil, address)
			c.prepare(entry)
			busy := entry.dispatcher.Busy()
			got := entry.do(c.request)
			require.Equal(t, "not_run", got.outcome, got.body)
			require.Equal(t, c.reason, got.reason, got.body)
			require.Equal(t, busy, entry.dispatcher.Busy())
			for _, end := range entry.leader.settled() {
				require.Equal(t, wire.ClaimState_CLAIM_STATE_UNSPECIFIED, end.GetState())
			}
		})
	}
}

// Guards against taking what arrived on an idle connection for the answer to the next request.
func TestNextRequestGetsItsOwnAnswer(t *testing.T) {
	const stale = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
	cases := []struct {
		name  string
		first script
	}{
		{"another answer at once", func(conn *net.TCPConn, request *http.Request, body string, n int) bool {
			return echo(conn, request, body, n) && say(conn, stale)
		}},
		{"body longer than stated", always("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n/first%s", stale)},
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
				goOn := c.first(conn, request, body, number)
				if !goOn {
					reset(conn)
				}
				return goOn
			})
			entry := newSite(t, nil, s.listener.Addr().String())
			require.Equal(t, "/first", entry.do(get("/first")).body)
			<-ended
			second := entry.do(get("/second"))
			require.Equal(t, "answered", second.outcome, second.body)
			require.Equal(t, "/second", second.body)
			mu.Lock()
			defer mu.Unlock()
			// The reset can overtake the first answer, which is then asked for again: only the second request's sendings count.
			seconds := slices.DeleteFunc(slices.Clone(paths), func(path string) bool { return path != "/second" })
			require.Equal(t, []string{"/second"}, seconds, "the second request was sent once; all: %v", paths)
		})
	}
}

// Guards against an untrue outcome when a peer takes the request.
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
			entry := newSite(t, peers{"10.0.0.2:1": c.peer})
			got := entry.do(within(post("k1", "x"), 300))
			require.Equal(t, c.outcome, got.outcome, got.body)
			require.Equal(t, c.reason, got.reason, got.body)
		})
	}
}

// Guards against a request that is cut off, or sent twice, because its caller went away.
func TestCallerThatDisconnects(t *testing.T) {
	arrived, goOn := make(chan struct{}), make(chan struct{})
	s := startTarget(t, func(conn *net.TCPConn, request *http.Request, body string, n int) bool {
		close(arrived)
		<-goOn
		return echo(conn, request, body, n)
	})
	entry := newSite(t, nil, s.listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan answer, 1)
	go func() { done <- entry.do(post("k1", "x").WithContext(ctx)) }()
	<-arrived
	cancel()
	close(goOn)
	require.Equal(t, "answered", (<-done).outcome)
	require.Equal(t, wire.ClaimState_CLAIM_STATE_ANSWERED, entry.leader.settled()[0].GetState())
}

// Guards against a target that works for a caller that no longer waits: the remaining time is passed on, also by a peer.
func TestDeadlineIsPassedOn(t *testing.T) {
	s := startTarget(t, echo)
	owner := newSite(t, nil, s.listener.Addr().String())
	other := newSite(t, peers{"10.0.0.2:1": func(ctx context.Context, request *wire.ForwardRequest) (*wire.Reply, error) {
		return owner.gateway.ServeForwarded(ctx, request), nil
	}})
	for i, entry := range []*site{owner, other} {
		// The caller states no deadline; the service's own counts.
		got := entry.do(get("/free"))
		require.Equal(t, "answered", got.outcome, got.body)
		left, err := time.ParseDuration(s.header(i).Get("Flamingo-Deadline-Ms") + "ms")
		require.NoError(t, err)
		require.Positive(t, left)
		require.LessOrEqual(t, left, 10*time.Second)
		require.Len(t, s.header(i).Values("Flamingo-Deadline-Ms"), 1)
	}
}

// Guards against headers that a target may not set, and against those of one connection being passed on.
func TestHeadersOfOneConnectionAreNotPassedOn(t *testing.T) {
	s := startTarget(t, always("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: x-hop\r\nX-Hop: 1\r\nX-Kept: 1\r\nFlamingo-Reason: made-up\r\n\r\n"))
	entry := newSite(t, nil, s.listener.Addr().String())
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
