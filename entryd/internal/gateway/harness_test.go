package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/entryd/internal/claimer"
	"flamingodrift.example/entryd/internal/dispatcher"
	"flamingodrift.example/entryd/internal/gateway"
	"flamingodrift.example/entryd/internal/heartbeater"
	"flamingodrift.example/entryd/internal/retrier"

	"flamingodrift.example/core/messenger"
	"flamingodrift.example/core/meter"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// target is a scripted target. The script gets each request with its number, starting at 0, and returns whether the
// connection stays open.
type target struct {
	listener net.Listener
	script   func(conn *net.TCPConn, request *http.Request, body string, number int) bool

	mu      sync.Mutex
	served  []string
	headers []http.Header
}

func startTarget(
	t *testing.T, script func(conn *net.TCPConn, request *http.Request, body string, number int) bool,
) *target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	target := &target{listener: listener, script: script}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(conn.(*net.TCPConn))
		}
	}()
	return target
}

func (s *target) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		number := len(s.served)
		s.served = append(s.served, request.URL.Path)
		s.headers = append(s.headers, request.Header)
		s.mu.Unlock()
		if !s.script(conn, request, string(body), number) {
			return
		}
	}
}

func (s *target) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.served)
}

func (s *target) header(number int) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers[number]
}

// writeRaw writes an answer or a part of one.
func writeRaw(conn *net.TCPConn, format string, args ...any) bool {
	_, err := fmt.Fprintf(conn, format, args...)
	return err == nil
}

// echo answers with the path of the request.
func echo(conn *net.TCPConn, request *http.Request, _ string, _ int) bool {
	path := request.URL.Path
	return writeRaw(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(path), path)
}

func reset(conn *net.TCPConn) bool {
	_ = conn.SetLinger(0)
	_ = conn.Close()
	return false
}

// control is a fixed control state.
type control struct {
	why   reason.Reason
	state *heartbeater.State
}

func (c *control) RefusalReason(time.Duration) reason.Reason { return c.why }
func (c *control) State() *heartbeater.State                 { return c.state }

type systemClock struct{}

var clockStart = time.Now()

func (systemClock) Now() time.Duration { return time.Since(clockStart) }

// peers maps the address of each peer to a function that handles its requests.
type peers map[string]func(ctx context.Context, request *wire.ForwardRequest) (*wire.Reply, error)

func (p peers) Call(ctx context.Context, address string, request *wire.Request) (*wire.Reply, error) {
	call := p[address]
	if call == nil {
		return nil, &messenger.Error{Cause: fmt.Errorf("connection refused")}
	}
	return call(ctx, request.GetForward())
}

// leader is a fake leader that answers claims as scripted.
type leader struct {
	mu    sync.Mutex
	call  func(ctx context.Context, request *wire.Request) (*wire.Reply, error)
	calls []*wire.Request
}

func (l *leader) Call(ctx context.Context, request *wire.Request) (*wire.Reply, error) {
	l.mu.Lock()
	l.calls = append(l.calls, request)
	call := l.call
	l.mu.Unlock()
	return call(ctx, request)
}

func (l *leader) settled() []*wire.SettleRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var settlements []*wire.SettleRequest
	for _, c := range l.calls {
		if c.GetSettle() != nil {
			settlements = append(settlements, c.GetSettle())
		}
	}
	return settlements
}

// grantAll grants every claim.
func grantAll(_ context.Context, request *wire.Request) (*wire.Reply, error) {
	if request.GetClaim() != nil {
		return &wire.Reply{Body: &wire.Reply_Claim{Claim: &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_GRANTED}}}, nil
	}
	return &wire.Reply{Body: &wire.Reply_Settle{Settle: &wire.SettleReply{}}}, nil
}

// testEntry is an entry process without its network.
type testEntry struct {
	gateway    *gateway.Gateway
	dispatcher *dispatcher.Dispatcher
	control    *control
	leader     *leader
	claimer    *claimer.Claimer
	full       bool
}

func newTestEntry(t *testing.T, others peers, addresses ...string) *testEntry {
	t.Helper()
	counters, err := meter.New("test")
	require.NoError(t, err)
	service := &wire.Service{Name: "chairbook", DeadlineMs: 10_000, Queue: 2}
	s := &testEntry{
		dispatcher: dispatcher.New(dispatcher.Config{Clock: systemClock{}}),
		control:    &control{state: &heartbeater.State{PeersVersion: 1, Services: map[string]*wire.Service{"chairbook": service}}},
		leader:     &leader{call: grantAll},
	}
	for address := range others {
		s.control.state.Peers = append(s.control.state.Peers, &wire.PeerLoad{
			Address: address, Loads: []*wire.ServiceLoad{{Service: "chairbook", FreeSlots: 8}},
		})
	}
	s.claimer = claimer.New(claimer.Config{Leader: s.leader, Entry: "e1", Boot: "1"})
	s.gateway = gateway.New(gateway.Config{
		Full:    func() bool { return s.full },
		Control: s.control, Dispatcher: s.dispatcher, Claimer: s.claimer, Retrier: retrier.New(), Peers: others,
		Clock: systemClock{}, Meter: counters, Logger: slog.New(slog.DiscardHandler),
	})
	s.grantTargets(1, addresses...)
	return s
}

func (s *testEntry) grantTargets(slots uint32, addresses ...string) {
	var list []*wire.Ownership
	for i, address := range addresses {
		list = append(list, &wire.Ownership{Epoch: 1, Target: &wire.TargetState{
			Target: fmt.Sprint("t", i), Service: "chairbook", Address: address, Slots: slots, Connections: 64, Boot: "b1",
		}})
	}
	s.dispatcher.ApplyGrant(dispatcher.Grant{Until: 24 * time.Hour, Changed: true, Owned: list})
}

type answer struct {
	status                int
	outcome, reason, body string
	header                http.Header
}

func (s *testEntry) do(request *http.Request) answer {
	recorder := httptest.NewRecorder()
	s.gateway.ServeHTTP(recorder, request)
	return answer{
		status: recorder.Code, outcome: recorder.Header().Get("Flamingo-Outcome"),
		reason: recorder.Header().Get("Flamingo-Reason"), body: recorder.Body.String(), header: recorder.Header(),
	}
}

func get(path string) *http.Request {
	return httptest.NewRequest(http.MethodGet, "/call/chairbook"+path, nil)
}

func post(key, body string) *http.Request {
	request := httptest.NewRequest(http.MethodPost, "/call/chairbook/charge", strings.NewReader(body))
	request.Header.Set("Flamingo-Caller", "kapana")
	request.Header.Set("Idempotency-Key", key)
	return request
}

func withDeadline(request *http.Request, ms int) *http.Request {
	request.Header.Set("Flamingo-Deadline-Ms", fmt.Sprint(ms))
	return request
}
