package connlimiter_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/connlimiter"
)

// conn records whether it was closed.
type conn struct {
	net.Conn
	closed bool
}

func (c *conn) Close() error {
	c.closed = true
	return nil
}

// TestExcessConnection guards against a limit at which ordinary clients are refused while connections that wait for their
// clients are kept, and against the closing of a connection whose request is being handled.
func TestExcessConnection(t *testing.T) {
	const fresh, idle, responding, receiving, busy = "fresh", "idle", "responding", "receiving", "busy"
	cases := []struct {
		name   string
		phases []string
		// closed is the index of the connection that is closed; the last one is the new one.
		closed int
	}{
		{"the oldest fresh one", []string{busy, fresh, fresh, idle, receiving}, 1},
		{"the one that has been idle longest", []string{busy, idle, receiving, idle}, 1},
		{"the one whose response has been sent longest", []string{busy, receiving, responding, responding}, 2},
		{"the one that has been receiving longest", []string{busy, receiving, receiving}, 1},
		{"the new one", []string{busy, busy}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			refused := 0
			l := connlimiter.New(connlimiter.Config{Max: len(c.phases), OnRefused: func() { refused++ }})
			var conns []*conn
			for _, phase := range c.phases {
				opened := &conn{}
				conns = append(conns, opened)
				l.Track(opened, http.StateNew)
				if phase != fresh {
					l.Track(opened, http.StateActive)
				}
				if phase == idle {
					l.Track(opened, http.StateIdle)
				}
				if phase == responding {
					connlimiter.SetResponding(l.Context(context.Background(), opened))
				}
				if phase == receiving {
					connlimiter.StartReceiving(l.Context(context.Background(), opened), time.Unix(1, 0))
				}
			}
			last := &conn{}
			conns = append(conns, last)
			l.Track(last, http.StateNew)
			for i, opened := range conns {
				require.Equal(t, i == c.closed, opened.closed, "connection %d", i)
			}
			require.Equal(t, 1, refused)
			require.Equal(t, len(c.phases), l.Len())
			for _, opened := range conns {
				l.Track(opened, http.StateClosed)
			}
			require.Zero(t, l.Len())
		})
	}
}

// TestCloseReceiving guards against closing the connection of a body that has only begun, or one that sends no body.
func TestCloseReceiving(t *testing.T) {
	l := connlimiter.New(connlimiter.Config{Max: 10})
	conns := []*conn{{}, {}, {}}
	ctx := l.Context(context.Background(), conns[0])
	for _, opened := range conns {
		l.Track(opened, http.StateNew)
		l.Track(opened, http.StateActive)
	}
	began := time.Unix(100, 0)
	connlimiter.StartReceiving(l.Context(context.Background(), conns[1]), began)
	connlimiter.StartReceiving(l.Context(context.Background(), conns[2]), began.Add(time.Second))
	require.False(t, connlimiter.CloseReceiving(ctx, began.Add(time.Second), 2*time.Second))
	require.True(t, connlimiter.CloseReceiving(ctx, began.Add(2*time.Second), 2*time.Second))
	require.False(t, connlimiter.CloseReceiving(ctx, began.Add(2*time.Second), 2*time.Second))
	connlimiter.StopReceiving(l.Context(context.Background(), conns[2]))
	require.False(t, connlimiter.CloseReceiving(ctx, began.Add(time.Hour), 2*time.Second))
	require.Equal(t, []bool{false, true, false}, []bool{conns[0].closed, conns[1].closed, conns[2].closed})
	require.Equal(t, 2, l.Len())
}
