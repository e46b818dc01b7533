package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/wire"
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

// TestOpenRenewalOutlivesRemovedIncarnation guards against counting the lease of a worker that left and is back under its
// id as if no renewal for the incarnation that left could have reached it.
func TestOpenRenewalOutlivesRemovedIncarnation(t *testing.T) {
	h := newHarness(t, nil, "w1")
	h.connectWorkers()
	former := h.batch.Incarnation("w1")
	h.advance(sessionCheckInterval)
	renewals := h.takeRenewals()
	require.Len(t, renewals, 1)
	open := renewals[0]
	require.NotZero(t, open.Order.Until)
	h.Leave(former, h.now)
	h.advance(sessionCheckInterval)
	if h.batch.Incarnation("w1") == former {
		// The removal may wait for the renewal, which the worker answers before it ends.
		h.Renewed(open, executor.Report{StartedUnixMs: 1}, h.answer(executor.Done), h.now)
		h.advance(sessionCheckInterval)
		require.Nil(t, h.batch.Incarnation("w1"))
		return
	}
	command := h.RecordReport(workerLife("w1", 2), h.now)
	require.NotNil(t, command)
	h.commit(command)
	h.advance(sessionCheckInterval)
	h.answerRenewals(nil, nil)
	h.advance(time.Millisecond)
	require.Less(t, h.now, open.SentAt+open.Order.Wait+testAnswerTimeout, "the renewal is open")
	h.submit(oneTaskStep())
	h.advance(time.Millisecond)
	h.Started(h.takeStart(), h.answer(executor.Done), h.now)
	h.commit(&wire.QueueCommand{Workers: []*wire.WorkerLife{workerLife("w2", 1)}})
	require.Greater(t, h.cutOff("w1"), testSlowestLease-50*time.Millisecond, "the lease may not be over yet")
}
