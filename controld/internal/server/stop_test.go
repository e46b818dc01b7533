package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A planned stop must reach the successor over real sessions: the control thread must not end before its request to take
// over has left the host. The successor then leads the next term.
func TestPlannedStopOverLoopback(t *testing.T) {
	l := newLoopback(t, 3)
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
