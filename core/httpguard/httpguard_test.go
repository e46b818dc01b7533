package httpguard_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/bodylimiter"
	"flamingodrift.example/core/bytelimiter"
	"flamingodrift.example/core/httpguard"
)

const (
	budgetBytes    = 64 << 10
	smallBytes     = 4 << 10
	maxConnections = 20
)

func start(t *testing.T) string {
	guard := httpguard.New(httpguard.Config{
		Budget:        bytelimiter.New(bytelimiter.Config{Bytes: budgetBytes, SmallBytes: smallBytes}),
		HeaderTimeout: time.Minute, BodyTimeout: time.Minute, ResponseTimeout: time.Minute, IdleTimeout: time.Minute,
		MaxHeaderBytes: 16 << 10,
	})
	server := guard.Server("test", "127.0.0.1:0", maxConnections)
	server.HandlePrefix("/", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := bodylimiter.ReadAll(w, r, budgetBytes)
		if err != nil {
			w.WriteHeader(max(bodylimiter.Status(w, err), http.StatusBadRequest))
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// stall opens a connection and sends text, which does not complete a request.
func stall(t *testing.T, address, text string) {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
}

// TestOrdinaryRequestBesideStalledOnes guards against stalled clients that keep out ordinary ones until their time limits,
// which are a minute here.
func TestOrdinaryRequestBesideStalledOnes(t *testing.T) {
	body := func(size int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1))
	}
	cases := []struct {
		name, sent string
		clients    int
	}{
		{"silent", "", 2 * maxConnections},
		{"headers without an end", "GET / HTTP/1.1\r\nField: x\r\n", 2 * maxConnections},
		{"large bodies use up their part of the budget", body(16 << 10), 8},
		{"small bodies use up the budget", body(smallBytes), budgetBytes / smallBytes},
		{"bodies on all connections", body(16), 2 * maxConnections},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := start(t)
			for range c.clients {
				stall(t, address, c.sent)
			}
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
			require.Eventually(t, func() bool {
				response, err := client.Post("http://"+address, "text/plain", strings.NewReader("ordinary"))
				if err != nil {
					return false
				}
				_ = response.Body.Close()
				return response.StatusCode == http.StatusOK
			}, 30*time.Second, 50*time.Millisecond)
		})
	}
}
