package connlimiter_test

import (
	"context"
	"net"
	"net/http"
	"testing"

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
	const fresh, idle, receiving, busy = "fresh", "idle", "receiving", "busy"
	cases := []struct {
		name   string
		phases []string
		// closed is the index of the connection that is closed; the last one is the new one.
		closed int
	}{
		{"the oldest fresh one", []string{busy, fresh, fresh, idle, receiving}, 1},
		{"the one that has been idle longest", []string{busy, idle, receiving, idle}, 1},
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
				if phase == receiving {
					connlimiter.SetReceiving(l.Context(context.Background(), opened), true)
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
