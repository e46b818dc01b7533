package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/entryd/internal/limiter"
	"flamingodrift.example/entryd/internal/settings"
)

// httpSettings returns settings that let tests choose the limit of connections.
func httpSettings(connections int) *settings.Settings {
	return &settings.Settings{
		HTTPAddress: "127.0.0.1:0", MaxConnections: connections, BodyBudgetMB: 8,
		HeaderTimeoutMs: 10_000, BodyTimeoutMs: 10_000, ResponseTimeoutMs: 10_000,
	}
}

// Guards against callers that make an entry process buffer headers of any size.
func TestHeadersAreBounded(t *testing.T) {
	cases := []struct {
		name   string
		bytes  int
		status int
	}{
		{"within the bound", 32 << 10, http.StatusNotFound},
		{"above the bound", 128 << 10, http.StatusRequestHeaderFieldsTooLarge},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := newHTTP(httpSettings(100), limiter.New(100), nil)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/nothing", nil)
			require.NoError(t, err)
			request.Header.Set("Large", strings.Repeat("x", c.bytes))
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, c.status, response.StatusCode)
		})
	}
}

// Guards against an unbounded number of connections: each one above the bound is closed after its answer, and Full
// reports true until then.
func TestConnectionsAreBounded(t *testing.T) {
	limit := limiter.New(1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := newHTTP(httpSettings(4), limit, nil)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	get := func() *http.Response {
		client := http.Client{Transport: &http.Transport{}}
		response, err := client.Get("http://" + listener.Addr().String() + "/nothing")
		require.NoError(t, err)
		// A body that is not read to its end would close the connection.
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response
	}
	require.False(t, get().Close)
	require.False(t, limit.Full())
	require.True(t, get().Close)
	require.Eventually(t, func() bool { return !limit.Full() }, 10*time.Second, time.Millisecond)
}
