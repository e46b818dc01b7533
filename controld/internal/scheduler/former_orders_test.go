package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/executor"
)

// TestOpenRenewalForFormerIncarnationExtendsLease guards against counting the lease of a restarted worker from its
// registration while a renewal for its former incarnation, which it may still take, is open for longer.
func TestOpenRenewalForFormerIncarnationExtendsLease(t *testing.T) {
	h, o := newHarnessWithStart(t)
	worker := o.Incarnation.Worker()
	var open RenewOrder
	for _, renewal := range h.takeRenewals() {
		if renewal.Incarnation == o.Incarnation {
			open = renewal
			continue
		}
		h.work.Renewals = append(h.work.Renewals, renewal)
	}
	require.NotZero(t, open.Order.Until)
	h.advance(50 * time.Millisecond)
	// The later incarnation takes the start, so its clock is another one.
	h.Started(o, executor.Answer{Status: executor.Done, Clock: time.Minute, HasClock: true}, h.now)
	h.commit(h.restart(workerLife(worker, 2)))
	h.Proposed(true, h.now)
	for h.now < open.SentAt+open.Order.Wait+testAnswerTimeout {
		h.advance(sessionCheckInterval)
		for _, renewal := range h.takeRenewals() {
			if renewal.Incarnation.Worker() == worker {
				h.Renewed(renewal, executor.Report{}, executor.Answer{}, h.now)
				continue
			}
			h.Renewed(renewal, executor.Report{StartedUnixMs: 1}, h.answer(executor.Done), h.now)
		}
	}
	h.Renewed(open, executor.Report{}, executor.Answer{ConnectedFor: time.Second}, h.now)
	require.Greater(t, h.cutOff(worker), testSlowestLease, "the order may have reached the worker just now")
}

// TestRefusedRegistrationOfRestart guards against ending the runs of a worker that has started again without registering
// its new incarnation, which may have taken their start orders.
func TestRefusedRegistrationOfRestart(t *testing.T) {
	h, o := newHarnessWithStart(t)
	worker := o.Incarnation.Worker()
	h.advance(50 * time.Millisecond)
	h.Started(o, executor.Answer{Status: executor.Done, Clock: time.Minute, HasClock: true}, h.now)
	require.NotEmpty(t, h.restart(workerLife(worker, 2)).GetEnds())
	h.Proposed(false, h.now)
	require.Greater(t, h.cutOff(worker), testSlowestLease, "the new incarnation may run it")
}
