package main

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against callers that make an entry process keep headers of any size.
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
	server := newHTTP(listener.Addr().String())
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
