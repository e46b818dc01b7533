package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlannedStopOverLoopback checks that a planned stop hands leadership over: another node leads the very next term.
// That fails if the control goroutine ends before its request to take over has left the host.
func TestPlannedStopOverLoopback(t *testing.T) {
	l := newLoopbackGroup(t, 3)
	leader := l.leader()
	term := leader.ctl.Status().Term
	start := time.Now()
	leader.stop()
	err := <-leader.done
	require.NoError(t, err)
	leader.done <- nil
	require.Eventually(t, func() bool {
		next := l.leader()
		return next != nil && next != leader
	}, 30*time.Second, 5*time.Millisecond)
	require.Equal(t, term+1, l.leader().ctl.Status().Term)
	t.Logf("another node led %v after the stop", time.Since(start))
}
