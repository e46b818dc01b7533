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

// newTestDaemon returns a daemon that is not started. Its only seed is its own host, so that no leader answers.
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

// TestReadiness checks that a process which no leader has answered is not ready, so that the load balancer sends it no
// callers.
func TestReadiness(t *testing.T) {
	d := newTestDaemon(t)
	recorder := httptest.NewRecorder()
	d.ready(recorder, httptest.NewRequest(http.MethodGet, "/ready", nil))
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
}

// TestLeavingClosesConnections checks that a process which shuts down still serves requests and adds "Connection:
// close" to each response. Otherwise callers send their next request on a connection that is about to be closed.
func TestLeavingClosesConnections(t *testing.T) {
	d := newTestDaemon(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	call := func() *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		d.closeWhileLeaving(handler).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/q/", nil))
		return recorder
	}
	require.Empty(t, call().Header().Get("Connection"))
	d.drain(time.Millisecond)
	require.Equal(t, http.StatusOK, call().Code)
	require.Equal(t, "close", call().Header().Get("Connection"))
}

// TestOperatorsNeedToken checks that the operators' API requires a token and that it is served only at the metrics
// address, which callers do not use.
func TestOperatorsNeedToken(t *testing.T) {
	d := newTestDaemon(t)
	operate := func(server http.Handler, token string) int {
		request := httptest.NewRequest(http.MethodPost, operatorproxy.Prefix+"queues", strings.NewReader("{}"))
		request.Header.Set("Authorization", "Bearer "+token)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request.WithContext(ctx))
		return recorder.Code
	}
	callers, metrics := d.servers[0], d.servers[2]
	require.Equal(t, http.StatusUnauthorized, operate(metrics, "another-operator-token"))
	require.Equal(t, http.StatusServiceUnavailable, operate(metrics, "token-of-an-operator"), "there is no leader")
	require.NotEqual(t, http.StatusUnauthorized, operate(callers, "another-operator-token"), "no operators' API there")
}
