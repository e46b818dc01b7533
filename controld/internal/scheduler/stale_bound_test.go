package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/executor"
)

// TestAcknowledgementAfterPause guards against acknowledging ends on an answer that was made before this process was
// paused: the worker may have restarted since, and its next incarnation would drop ends that it never listed.
func TestAcknowledgementAfterPause(t *testing.T) {
	h, o := newHarnessWithStart(t)
	worker := o.Incarnation.Worker()
	h.Started(o, h.answer(executor.Done), h.now)
	h.advance(sessionCheckInterval)
	h.answerRenewals(nil, map[string][]executor.Ended{worker: {{Number: 1, Run: o.Order.Run, Outcome: executor.OutcomeDone}}})
	h.advance(sessionCheckInterval)
	h.answerRenewals(nil, nil)
	h.advance(sessionCheckInterval)
	var open RenewOrder
	for _, renewal := range h.takeRenewals() {
		if renewal.Incarnation == o.Incarnation {
			open = renewal
		}
	}
	require.Equal(t, uint64(1), open.Order.AckedEnd)
	answer := h.answer(executor.Done)
	h.now += 2 * ackWindow
	h.Renewed(open, executor.Report{StartedUnixMs: 1}, answer, h.now)
	h.advance(0)
	for _, renewal := range h.takeRenewals() {
		if renewal.Incarnation == o.Incarnation {
			require.Zero(t, renewal.Order.AckedEnd, "the answer is 0.5 s old")
		}
	}
}
