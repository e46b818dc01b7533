package controller

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/wire"
)

// restart ends what a worker runs and begins a new incarnation of it, which knows nothing of the former one. Its clock
// begins anywhere.
func (f *fakeFleet) restart(name string) {
	w := f.workers[name]
	f.forgetEnds(w)
	for k := range w.runs {
		delete(f.running, k)
	}
	f.workers[name] = &fakeWorker{
		born: w.born + 1, runs: map[executor.Run]fakeRun{}, lastEndedRun: map[executor.Run]int{},
		startedAt: f.group.now - time.Duration(f.rand.Int64N(int64(2*time.Hour))), slowness: w.slowness, beganAt: f.group.now,
	}
}

// newBusyFleet returns a group with six tasks that run for an hour on four workers, each with room for two.
func newBusyFleet(t *testing.T) (*group, *fakeFleet) {
	f := newFakeFleet(t, 1, 4)
	g := newGroupWithQueues(t, 3, f.config())
	f.group = g
	g.callUntilOK(configureCall(1))
	for name := range f.workers {
		g.callUntilOK(workerCall(name))
	}
	f.runDuration, f.stopDuration = time.Hour, 200*time.Millisecond
	for number := range 3 {
		g.callUntilOK(submitCall(number))
	}
	g.runUntil(2*time.Second, "all tasks run", func() bool { return len(f.running) == 6 })
	return g, f
}

func (g *group) advance(f *fakeFleet, d time.Duration) {
	for end := g.now + d; g.now < end; {
		g.run(testTick)
		f.advance()
	}
}

// Guards against a report from elsewhere in the name of a worker, with a start time that is too large: the runs of the
// worker were ended and started elsewhere while they were at work, and the worker's own reports counted as outdated. The
// fake fleet checks that no task runs twice at a time.
func TestRestartIsConfirmedByTheWorker(t *testing.T) {
	g, f := newBusyFleet(t)
	name := f.busyWorker()
	for _, born := range []int64{2, math.MaxInt64} {
		call := workerCall(name)
		call.GetWorker().BornUnixMs = born
		g.callUntilOK(call)
		g.advance(f, time.Second)
	}
	require.Len(t, f.running, 6)
	incarnation := g.leader().ctl.cell.Batch().Incarnation(name)
	require.EqualValues(t, 1, incarnation.StartedUnixMs())
	require.NotEmpty(t, incarnation.Tasks())

	f.restart(name)
	call := workerCall(name)
	call.GetWorker().BornUnixMs = f.workers[name].born
	g.callUntilOK(call)
	g.advance(f, time.Second)
	require.EqualValues(t, 2, g.leader().ctl.cell.Batch().Incarnation(name).StartedUnixMs())
	require.Len(t, f.running, 6, "what it ran is placed anew")
}

// Guards against an entry of another writer that moves a worker to another pool, where it is of no use: a worker belongs
// to one pool as long as it lives.
func TestReportOfAnotherPoolIsRefused(t *testing.T) {
	g, f := newBusyFleet(t)
	name := f.busyWorker()
	call := workerCall(name)
	call.GetWorker().Pool, call.GetWorker().CpuMillis = "unknown", 1
	reply := g.call(g.leader(), call)
	require.Equal(t, wire.QueueOutcome_QUEUE_OUTCOME_INVALID, outcome(reply))
	g.advance(f, time.Second)
	report := g.leader().ctl.cell.Batch().Incarnation(name).Report()
	require.Equal(t, "p", report.GetPool())
	require.EqualValues(t, 2000, report.GetCpuMillis())
}
