package bytelimiter_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/bytelimiter"
)

// TestReserve guards against reservations beyond the budget, and against large requests that use the part of it that is
// meant for small ones.
func TestReserve(t *testing.T) {
	cases := []struct {
		name               string
		held, bytes, total int64
		allowed            bool
	}{
		{"first", 0, 10, 10, true},
		{"small in the last quarter", 80, 10, 10, true},
		{"small beyond the budget", 95, 10, 10, false},
		{"large up to the last quarter", 0, 75, 75, true},
		{"large in the last quarter", 0, 76, 76, false},
		{"growth of a request that is large by now", 70, 6, 30, false},
		{"more than an integer holds", 10, 1<<63 - 1, 1<<63 - 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := bytelimiter.New(bytelimiter.Config{Bytes: 100, SmallBytes: 20})
			require.True(t, l.Reserve(c.held, 1))
			require.Equal(t, c.allowed, l.Reserve(c.bytes, c.total))
			if c.allowed {
				l.Release(c.bytes)
			}
			require.Equal(t, c.held, l.Used())
		})
	}
}

// TestConcurrentReservations guards against a budget that concurrent requests exceed together, or that is not given back.
func TestConcurrentReservations(t *testing.T) {
	l := bytelimiter.New(bytelimiter.Config{Bytes: 100, SmallBytes: 100})
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			for range 1000 {
				if l.Reserve(30, 30) {
					if used := l.Used(); used > 100 {
						t.Errorf("%d of 100 bytes are reserved", used)
					}
					l.Release(30)
				}
			}
		})
	}
	group.Wait()
	require.Zero(t, l.Used())
}
