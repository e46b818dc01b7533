package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newReportingGroup returns a group that starts runs only on workers whose reports are recent, with four workers.
func newReportingGroup(t *testing.T) (*group, *fakeFleet) {
	f := newFakeFleet(t, 1, 4)
	config := f.config()
	config.Scheduler.ReportValidity, config.Scheduler.ReportInterval = 4*time.Second, 1500*time.Millisecond
	g := newGroupWithTiming(t, 3, config, deployedTiming)
	f.group = g
	g.callUntilOK(configureCall(1))
	f.report(1)
	f.runDuration = time.Hour
	return g, f
}

// report lets all workers report that they have room for a number of runs.
func (f *fakeFleet) report(capacity int) {
	f.capacity = capacity
	for name := range f.workers {
		call := workerCall(name)
		call.GetWorker().CpuMillis = int64(capacity) * 1000
		f.group.callUntilOK(call)
	}
}

// Guards against a new leader that takes the capacities in the log for current: while nobody led, the workers shrank and
// could not report it, and runs were started beyond their capacity. The fake fleet checks the capacity at each start.
func TestShrunkWhileNobodyLeads(t *testing.T) {
	g, f := newReportingGroup(t)
	f.report(2)
	for _, node := range g.nodes {
		node.down = true
	}
	f.capacity = 1
	g.run(5 * time.Second)
	for _, node := range g.nodes {
		g.restart(node, node.dir)
	}
	for number := range 4 {
		g.callUntilOK(submitCall(number))
	}
	g.advance(f, time.Second)
	require.Empty(t, f.running, "no worker has reported since the outage")
	f.report(1)
	g.advance(f, time.Second)
	require.Len(t, f.running, 4)
}

// Guards against a new leader that starts nothing until all workers have reported again although the former one took
// their reports until a moment ago.
func TestNewLeaderUsesRecentReports(t *testing.T) {
	g, f := newReportingGroup(t)
	f.report(2)
	former := g.leader()
	former.down = true
	g.runUntil(3*time.Second, "another leader", func() bool { return g.leader() != nil && g.leader() != former })
	g.callUntilOK(submitCall(1))
	g.advance(f, 300*time.Millisecond)
	require.Len(t, f.running, 2)
}
