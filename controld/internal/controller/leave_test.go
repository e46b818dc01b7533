package controller

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

func drainingCall(name string) *wire.QueueCall {
	call := workerCall(name)
	call.GetWorker().Draining = true
	return call
}

func leaveCall(name string, born int64) *wire.QueueCall {
	return &wire.QueueCall{Body: &wire.QueueCall_Leave{Leave: &wire.WorkerLife{Worker: name, BornUnixMs: born}}}
}

// outcome returns the outcome of a reply; unspecified while there is none.
func outcome(reply **wire.Reply) wire.QueueOutcome { return (*reply).GetQueue().GetOutcome() }

// busyWorker returns the first worker by name that has a run.
func (f *fakeFleet) busyWorker() string {
	for _, name := range slices.Sorted(maps.Keys(f.workers)) {
		if len(f.workers[name].runs) > 0 {
			return name
		}
	}
	return ""
}

// Guards against taking the message of a leaving worker as proof that its runs have ended: the worker runs on while it
// waits for the reply, which may be lost, and its tasks were started elsewhere at once. The fake fleet checks that no task
// runs twice at a time.
func TestLeavingWorkerRunsOn(t *testing.T) {
	tests := []struct {
		name string
		// born is the start time in the message.
		born        int64
		drains      bool
		losesStops  bool
		newLeader   bool
		acknowledge time.Duration
	}{
		{name: "after draining", born: 1, drains: true, acknowledge: leaveReplyTimeout},
		{name: "without a start time", drains: true, acknowledge: leaveReplyTimeout},
		{name: "the report of draining was lost", born: 1, acknowledge: leaveReplyTimeout},
		{name: "stop orders get lost", born: 1, drains: true, losesStops: true, acknowledge: leaveAckTimeout + leaveReplyTimeout},
		{name: "the leader changes", born: 1, drains: true, newLeader: true, acknowledge: leaveAckTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, f := newBusyFleet(t)
			leaving := f.busyWorker()
			if tt.drains {
				g.callUntilOK(drainingCall(leaving))
			}
			f.losesStops = tt.losesStops
			if tt.newLeader {
				g.call(g.leader(), leaveCall(leaving, tt.born))
				former := g.leader()
				former.down = true
				g.awaitLeader()
				former.down = false
			}
			sent := g.now
			reply := g.call(g.leader(), leaveCall(leaving, tt.born))
			for outcome(reply) != wire.QueueOutcome_QUEUE_OUTCOME_OK {
				require.Less(t, g.now-sent, tt.acknowledge+testTick)
				if outcome(reply) == wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN {
					reply = g.call(g.leader(), leaveCall(leaving, tt.born))
				}
				g.run(testTick)
				f.advance()
			}
			if !tt.losesStops {
				require.Empty(t, f.workers[leaving].runs, "nothing runs on a worker whose end is acknowledged")
			}
			g.advance(f, 7*time.Second)
			require.Empty(t, f.workers[leaving].runs, "the lease of a leaving worker is not renewed")
			require.Len(t, f.running, 6, "its tasks run elsewhere")
		})
	}
}

// Guards against a late message of an earlier incarnation, or of unknown origin, ending the present one.
func TestLateLeaveIsIgnored(t *testing.T) {
	f := newFakeFleet(t, 1, 1)
	g := newGroupWithQueues(t, 3, f.config())
	f.group = g
	g.callUntilOK(configureCall(1))
	g.callUntilOK(workerCall("w0"))
	f.runDuration = time.Hour
	g.callUntilOK(submitCall(1))
	g.runUntil(2*time.Second, "both tasks run", func() bool { return len(f.running) == 2 })
	for _, born := range []int64{-1, 0, 2} {
		g.callUntilOK(leaveCall("w0", born))
	}
	g.run(time.Second)
	require.Len(t, f.running, 2)
	require.False(t, g.leader().ctl.cell.Batch().Incarnation("w0").Draining())
}
