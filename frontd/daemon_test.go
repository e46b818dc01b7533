package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/loader"
	"flamingodrift.example/core/operatorproxy"
	"flamingodrift.example/frontd/internal/settings"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func newTestDaemon(t *testing.T) *daemon {
	t.Helper()
	cfg := &settings.Settings{}
	text := fmt.Sprintf(`{"name": "f", "address": %q, "caller_address": %q, "ready_address": %q, "metrics_address": %q,
		"seeds": ["127.0.0.1:9"], "cell_token": "0123456789abcdef",
		"operators": [{"name": "anna", "token": "token-of-an-operator"}]}`,
		freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t))
	require.NoError(t, loader.Parse("f.json", []byte(text), cfg))
	d, err := assemble(cfg, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(func() {
		d.cancel()
		d.messenger.Close()
		_ = d.listener.Close()
	})
	return d
}

// TestReadiness guards that the balancer sends nobody to a process that has heard of no leader or leaves.
func TestReadiness(t *testing.T) {
	d := newTestDaemon(t)
	recorder := httptest.NewRecorder()
	d.ready(recorder, httptest.NewRequest(http.MethodGet, "/ready", nil))
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
}

// TestLeavingClosesConnections guards callers against sending their next request on a connection that is about to be
// closed: while the process leaves, each answer says so, and requests are still answered.
func TestLeavingClosesConnections(t *testing.T) {
	d := newTestDaemon(t)
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	call := func() *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		d.closing(answer).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/q/", nil))
		return recorder
	}
	require.Empty(t, call().Header().Get("Connection"))
	d.drain(time.Millisecond)
	require.Equal(t, http.StatusOK, call().Code)
	require.Equal(t, "close", call().Header().Get("Connection"))
}

// TestOperatorsNeedToken guards the operators' API against callers without a token, and that it is served beside the
// metrics, where callers do not come.
func TestOperatorsNeedToken(t *testing.T) {
	d := newTestDaemon(t)
	ask := func(server http.Handler, token string) int {
		request := httptest.NewRequest(http.MethodPost, operatorproxy.Prefix+"queues", strings.NewReader("{}"))
		request.Header.Set("Authorization", "Bearer "+token)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request.WithContext(ctx))
		return recorder.Code
	}
	callers, metrics := d.servers[0], d.servers[2]
	require.Equal(t, http.StatusUnauthorized, ask(metrics, "another-operator-token"))
	require.Equal(t, http.StatusServiceUnavailable, ask(metrics, "token-of-an-operator"), "there is no leader")
	require.NotEqual(t, http.StatusUnauthorized, ask(callers, "another-operator-token"), "it is a path like any other there")
}
