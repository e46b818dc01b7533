package bodylimiter_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/bodylimiter"
	"flamingodrift.example/core/bytelimiter"
)

const (
	budgetBytes = 256 << 10
	limitBytes  = 64 << 10
)

// server starts a server that answers with the size of the body, or the status of the refusal.
func server(t *testing.T, budget *bytelimiter.Limiter, timeout time.Duration) string {
	limiter := bodylimiter.New(bodylimiter.Config{Budget: budget, BodyTimeout: timeout, ResponseTimeout: timeout})
	s := httptest.NewServer(limiter.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			return
		}
		body, err := bodylimiter.ReadAll(w, r, limitBytes)
		if err != nil {
			status := bodylimiter.Status(w, err)
			if status == 0 {
				status = http.StatusBadRequest
			}
			w.WriteHeader(status)
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	})))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func newBudget() *bytelimiter.Limiter {
	return bytelimiter.New(bytelimiter.Config{Bytes: budgetBytes, SmallBytes: 16 << 10})
}

// hide hides the size of a body, so that it is sent in chunks.
type hide struct{ io.Reader }

// TestBodies guards against a body within the limit that is refused or cut, one above it that is accepted, and memory
// that stays reserved after the call.
func TestBodies(t *testing.T) {
	cases := []struct{ size, status int }{
		{0, http.StatusOK},
		{1, http.StatusOK},
		{4 << 10, http.StatusOK},
		{16<<10 + 1, http.StatusOK},
		{limitBytes - 1, http.StatusOK},
		{limitBytes, http.StatusOK},
		{limitBytes + 1, http.StatusRequestEntityTooLarge},
		{1 << 20, http.StatusRequestEntityTooLarge},
	}
	budget := newBudget()
	address := server(t, budget, time.Minute)
	for _, c := range cases {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(c.size, chunked), func(t *testing.T) {
				var body io.Reader = strings.NewReader(strings.Repeat("x", c.size))
				if chunked {
					body = hide{body}
				}
				response, err := http.Post("http://"+address, "text/plain", body)
				if err != nil {
					require.Greater(t, c.size, limitBytes, "only the connection of a refused body may be closed: %v", err)
					return
				}
				text, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				require.Equal(t, c.status, response.StatusCode)
				if c.status == http.StatusOK {
					require.Equal(t, fmt.Sprint(c.size), string(text))
				}
				require.Eventually(t, func() bool { return budget.Used() == 0 }, 10*time.Second, time.Millisecond)
			})
		}
	}
}

// start sends the headers of a request and a part of its body.
func start(t *testing.T, address, headers string, part int) net.Conn {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\n"+headers+"\r\n")
	require.NoError(t, err)
	_, err = io.WriteString(conn, strings.Repeat("x", part))
	require.NoError(t, err)
	return conn
}

// status reads a response, after which the connection must be closed.
func status(t *testing.T, conn net.Conn) int {
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	_, err = reader.ReadByte()
	require.Error(t, err)
	var timeout net.Error
	require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "the connection must be closed")
	return response.StatusCode
}

// TestBudget guards against bodies in progress that take more than the budget, an announced size that reserves memory
// before anything is sent, and large bodies that keep out small ones.
func TestBudget(t *testing.T) {
	budget := newBudget()
	address := server(t, budget, time.Minute)
	large := fmt.Sprintf("Content-Length: %d\r\n", limitBytes)
	start(t, address, large, 0)
	require.Eventually(t, func() bool { return budget.Used() > 0 }, 10*time.Second, time.Millisecond)
	require.LessOrEqual(t, budget.Used(), int64(16<<10))
	var conns []net.Conn
	for range 8 {
		conns = append(conns, start(t, address, large, limitBytes-1))
	}
	refused := 0
	var answered atomic.Int32
	for _, conn := range conns {
		go func() {
			if _, err := bufio.NewReader(conn).ReadString('\n'); err == nil {
				answered.Add(1)
			}
		}()
	}
	require.Eventually(t, func() bool { refused = int(answered.Load()); return refused >= 5 }, 10*time.Second, time.Millisecond)
	require.LessOrEqual(t, budget.Used(), int64(budgetBytes))
	response, err := http.Post("http://"+address, "text/plain", strings.NewReader("small"))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode, "%d refused", refused)
	for _, conn := range conns {
		require.NoError(t, conn.Close())
	}
}

// TestRefusedConnectionIsClosed guards against a connection that is kept open, or received from, after its body was
// refused, did not arrive in time, or was not read.
func TestRefusedConnectionIsClosed(t *testing.T) {
	cases := []struct {
		name, headers string
		part, status  int
		full          bool
	}{
		{"too large", "Content-Length: 1000000000\r\n", 10, http.StatusRequestEntityTooLarge, false},
		{"stalled", "Content-Length: 100\r\n", 99, http.StatusRequestTimeout, false},
		{"stalled chunk", "Transfer-Encoding: chunked\r\n", 0, http.StatusRequestTimeout, false},
		{"no budget", "Content-Length: 100\r\n", 10, http.StatusServiceUnavailable, true},
		{"no budget, chunked", "Transfer-Encoding: chunked\r\n", 0, http.StatusServiceUnavailable, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			budget := newBudget()
			if c.full {
				require.True(t, budget.Reserve(budgetBytes, 1))
			}
			conn := start(t, server(t, budget, 200*time.Millisecond), c.headers, c.part)
			require.Equal(t, c.status, status(t, conn))
		})
	}
}

// TestSmallUnreadBodyKeepsConnection guards against a new connection for each request that carries a small body which
// its handler does not need.
func TestSmallUnreadBodyKeepsConnection(t *testing.T) {
	address := server(t, newBudget(), time.Minute)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range 3 {
		_, err = io.WriteString(conn, "POST /unread HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nsmall")
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.False(t, response.Close)
	}
}

// TestUnreadResponseEnds guards against a handler that waits forever for a client that does not read.
func TestUnreadResponseEnds(t *testing.T) {
	ended := make(chan error, 1)
	limiter := bodylimiter.New(bodylimiter.Config{ResponseTimeout: 100 * time.Millisecond})
	s := httptest.NewServer(limiter.Wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 64<<20))
		ended <- err
	})))
	defer s.Close()
	conn := start(t, s.Listener.Addr().String(), "", 0)
	defer func() { _ = conn.Close() }()
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(20 * time.Second):
		t.Fatal("the write does not end")
	}
}

// TestAllocations guards against a limiter that makes the reading of an ordinary small body more expensive than
// io.ReadAll.
func TestAllocations(t *testing.T) {
	const size = 1000
	text := strings.Repeat("x", size)
	limiter := bodylimiter.New(bodylimiter.Config{Budget: newBudget()})
	measure := func(handler http.Handler) float64 {
		recorder := httptest.NewRecorder()
		return testing.AllocsPerRun(100, func() {
			r := &http.Request{Body: io.NopCloser(strings.NewReader(text)), ContentLength: size, Method: http.MethodPost}
			handler.ServeHTTP(recorder, r)
		})
	}
	before := measure(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(io.LimitReader(r.Body, limitBytes+1))
		require.NoError(t, err)
	}))
	after := measure(limiter.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := bodylimiter.ReadAll(w, r, limitBytes)
		require.NoError(t, err)
		require.Len(t, body, size)
	})))
	t.Logf("%.0f allocations with io.ReadAll, %.0f with the limiter", before, after)
	require.LessOrEqual(t, after, before)
}
