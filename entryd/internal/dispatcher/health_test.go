package dispatcher_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/entryd/internal/dispatcher"

	"flamingodrift.example/core/reason"
)

// farm is a Dispatcher with two targets whose servers can be changed.
type farm struct {
	d             *dispatcher.Dispatcher
	clock         *simulated
	status, delay [2]atomic.Int64
}

func newFarm(t *testing.T) *farm {
	t.Helper()
	f := &farm{}
	first, second := f.serve(t, 0), f.serve(t, 1)
	f.d, f.clock = granted(8, first, second)
	return f
}

func (f *farm) serve(t *testing.T, i int) string {
	t.Helper()
	f.status[i].Store(http.StatusOK)
	f.delay[i].Store(int64(10 * time.Millisecond))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		f.clock.advance(time.Duration(f.delay[i].Load()))
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(int(f.status[i].Load()))
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// shares sends requests in pairs that hold their slots together and returns how many the second target got.
func (f *farm) shares(t *testing.T, pairs int) int {
	t.Helper()
	second := 0
	for range pairs {
		var slots []*dispatcher.Slot
		for range 2 {
			slot, why := f.d.Acquire(service, f.clock.Now())
			require.Equal(t, reason.None, why)
			slots = append(slots, slot)
		}
		for _, slot := range slots {
			if slot.Target() == "t1" {
				second++
			}
			_, _ = slot.Send(context.Background(), &dispatcher.Request{Method: http.MethodGet, Path: "/"})
			slot.Release()
		}
	}
	return second
}

// Guards against a failing target that keeps its share, and against one that never gets it back because it looks fuller
// than any other with a free slot.
func TestFailingTargetGetsLessAndRecovers(t *testing.T) {
	f := newFarm(t)
	f.status[1].Store(http.StatusServiceUnavailable)
	f.shares(t, 20)
	require.LessOrEqual(t, f.shares(t, 20), 4, "a target that fails gets only probes")
	f.status[1].Store(http.StatusOK)
	for range 60 {
		f.clock.advance(30 * time.Second)
		f.shares(t, 1)
	}
	require.GreaterOrEqual(t, f.hold(t, 16, 8), 3, "a target that answers again gets its share back")
}

// hold takes slots without releasing them and returns how many of the first n the second target got.
func (f *farm) hold(t *testing.T, all, n int) int {
	t.Helper()
	second := 0
	for i := range all {
		slot, why := f.d.Acquire(service, f.clock.Now())
		require.Equal(t, reason.None, why)
		t.Cleanup(slot.Release)
		if i < n && slot.Target() == "t1" {
			second++
		}
	}
	return second
}

// Guards against a slow target that keeps an equal share.
func TestSlowTargetGetsLess(t *testing.T) {
	f := newFarm(t)
	f.delay[1].Store(int64(400 * time.Millisecond))
	for range 40 {
		f.clock.advance(time.Second)
		f.shares(t, 2)
	}
	require.LessOrEqual(t, f.hold(t, 8, 8), 2)
}

// Guards against a caller's own disconnect or short deadline that lowers the target's share.
func TestCallerThatGivesUpDoesNotLowerHealth(t *testing.T) {
	f := newFarm(t)
	f.shares(t, 20)
	for range 20 {
		for range 2 {
			slot, why := f.d.Acquire(service, f.clock.Now())
			require.Equal(t, reason.None, why)
			ctx, cancel := context.WithTimeout(context.Background(), 0)
			_, failure := slot.Send(ctx, &dispatcher.Request{Method: http.MethodGet, Path: "/"})
			cancel()
			require.NotNil(t, failure)
			require.Equal(t, reason.DeadlineExceeded, failure.Reason)
			require.False(t, failure.Sent)
			slot.Release()
		}
	}
	require.Equal(t, 4, f.hold(t, 16, 8))
}
