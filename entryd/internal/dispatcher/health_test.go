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

// targetPair is a Dispatcher with two targets whose status and delay can be set.
type targetPair struct {
	d             *dispatcher.Dispatcher
	clock         *fakeClock
	status, delay [2]atomic.Int64
}

func newTargetPair(t *testing.T) *targetPair {
	t.Helper()
	f := &targetPair{}
	first, second := f.serve(t, 0), f.serve(t, 1)
	f.d, f.clock = newGranted(8, first, second)
	return f
}

func (f *targetPair) serve(t *testing.T, i int) string {
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

// sendPairs sends pairs of requests that occupy their slots at the same time and returns how many the second target
// got.
func (f *targetPair) sendPairs(t *testing.T, pairs int) int {
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

// Guards against a failing target that keeps its share of requests, and against a recovered target that never regains
// it because it looks fuller than any other target with a free slot.
func TestFailingTargetLosesAndRegainsShare(t *testing.T) {
	f := newTargetPair(t)
	f.status[1].Store(http.StatusServiceUnavailable)
	f.sendPairs(t, 20)
	require.LessOrEqual(t, f.sendPairs(t, 20), 4, "a target that fails gets only probes")
	f.status[1].Store(http.StatusOK)
	for range 60 {
		f.clock.advance(30 * time.Second)
		f.sendPairs(t, 1)
	}
	require.GreaterOrEqual(t, f.acquireSlots(t, 16, 8), 3, "a target that answers again gets its share back")
}

// acquireSlots acquires slots until the end of the test and returns how many of the first n the second target got.
func (f *targetPair) acquireSlots(t *testing.T, all, n int) int {
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

// Guards against a slow target that keeps an equal share of requests.
func TestSlowTargetGetsSmallerShare(t *testing.T) {
	f := newTargetPair(t)
	f.delay[1].Store(int64(400 * time.Millisecond))
	for range 40 {
		f.clock.advance(time.Second)
		f.sendPairs(t, 2)
	}
	require.LessOrEqual(t, f.acquireSlots(t, 8, 8), 2)
}

// Guards against a caller that disconnects or sets a short deadline and thereby lowers the target's share.
func TestCallerTimeoutDoesNotLowerHealth(t *testing.T) {
	f := newTargetPair(t)
	f.sendPairs(t, 20)
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
	require.Equal(t, 4, f.acquireSlots(t, 16, 8))
}
