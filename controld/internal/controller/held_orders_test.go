package controller

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/wire"
)

// ackRecorder records the renewals that acknowledge ends.
type ackRecorder struct {
	*fakeFleet
	acks []sentAck
}

// sentAck is an acknowledgement of ends and how long before it the worker had last answered.
type sentAck struct {
	end uint64
	age time.Duration
}

func (r *ackRecorder) Renew(
	ctx context.Context, to executor.Address, o executor.Renew,
) (executor.Report, executor.Answer) {
	w, sentAt := r.workers[to.Worker], r.group.now
	if o.AckedEnd > 0 {
		r.acks = append(r.acks, sentAck{o.AckedEnd, sentAt - w.answeredAt})
	}
	report, answer := r.fakeFleet.Renew(ctx, to, o)
	if answer.Status == executor.Done {
		r.workers[to.Worker].answeredAt = r.group.now
	}
	return report, answer
}

// Guards against an acknowledgement that waits while the leader may not send: it may reach the next incarnation of the
// worker, which would drop ends that were never reported.
func TestHeldRenewalAcknowledgesNothing(t *testing.T) {
	f := newFakeFleet(t, 1, 1)
	config := f.config()
	config.Scheduler.RenewWait = time.Second
	g := newGroupWithTiming(t, 3, config, deployedTiming)
	recorder := &ackRecorder{fakeFleet: f}
	config.Executor = recorder
	f.group = g
	f.waitForAnswers()
	g.callUntilOK(configureCall(1))
	g.callUntilOK(workerCall("w0"))
	step := func(d time.Duration) {
		for end := g.now + d; g.now < end; {
			g.run(testTick)
			f.wakeCalls()
			f.advance()
		}
	}
	step(time.Second)
	g.callUntilOK(submitCall(0))
	step(4 * time.Second)
	require.NotEmpty(t, recorder.acks)
	leader := g.leader()
	for _, other := range g.others(leader) {
		// No other node can take over.
		other.freeBytes = 0
	}
	step(2 * time.Second)
	recorder.acks = nil
	leader.freeBytes = 0
	step(3 * time.Second)
	leader.freeBytes = ampleFreeBytes
	step(3 * time.Second)
	require.NotEmpty(t, recorder.acks)
	for _, ack := range recorder.acks {
		require.Less(t, ack.age, 300*time.Millisecond)
	}
}

// startRecorder records the start orders.
type startRecorder struct {
	*fakeFleet
	runs []executor.Run
}

func (r *startRecorder) Start(ctx context.Context, to executor.Address, o executor.Start) executor.Answer {
	r.runs = append(r.runs, o.Run)
	return r.fakeFleet.Start(ctx, to, o)
}

// Guards against orders for a former incarnation that wait for a free call until the next one is registered: they would
// reach that one when its lease already counts.
func TestOrderForReplacedIncarnationIsNotSent(t *testing.T) {
	f := newFakeFleet(t, 1, 1)
	recorder := &startRecorder{fakeFleet: f}
	config := f.config()
	config.Executor = recorder
	g := newGroupWithQueues(t, 3, config)
	f.group = g
	g.callUntilOK(configureCall(1))
	g.callUntilOK(workerCall("w0"))
	g.run(2 * time.Second)
	c := g.leader().ctl
	c.callsInProgress += maxCallsInProgress
	g.callUntilOK(submitCall(1))
	g.run(2 * testTick)
	require.NotEmpty(t, c.orders)
	next := workerCall("w0").GetWorker()
	next.BornUnixMs = 2
	c.propose(g.now, &wire.Command{Body: &wire.Command_Queue{Queue: &wire.QueueCommand{
		Workers: []*wire.WorkerLife{next},
	}}}, func(*wire.Result) {})
	f.restart("w0")
	g.run(10 * testTick)
	c.callsInProgress -= maxCallsInProgress
	g.run(2 * time.Second)
	require.NotEmpty(t, recorder.runs)
	for _, run := range recorder.runs {
		require.NotEqual(t, 1, run.Run, "the first run was placed on the former incarnation")
	}
}
