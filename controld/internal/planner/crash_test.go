package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/planner"
	"flamingodrift.example/core/wire"
)

// restartWorker lets a worker restart within its lease. Tasks that it had not reported as running are suspects.
func (f *fixture) restartWorker(name string) {
	w := f.cell.Worker(name)
	var suspects []string
	for _, t := range f.cell.TasksOn(name) {
		if t.Starting() {
			suspects = append(suspects, t.ID())
		}
	}
	f.event(&wire.WorkerEvent{Worker: name, Body: &wire.WorkerEvent_Seen{Seen: &wire.WorkerSeen{
		Boot: w.Boot() + "1", Capacity: w.Capacity().Message(), Rack: w.Rack(), FailureDomain: w.FailureDomain(),
		Suspects: suspects,
	}}})
}

// startTasks lets each worker report the tasks that start there, or restart if one of them crashes it. It returns the
// number of restarts.
func (f *fixture) startTasks(crashing string) int {
	crashes := 0
	for _, w := range f.cell.Workers() {
		starting := map[string]bool{}
		for _, t := range f.cell.TasksOn(w.Name()) {
			if t.Starting() {
				starting[t.ID()] = true
			}
		}
		if starting[crashing] {
			f.restartWorker(w.Name())
			crashes++
			continue
		}
		for id := range starting {
			f.report(id, wire.TaskPhase_TASK_PHASE_RUNNING)
		}
	}
	return crashes
}

// changeLeader continues with the planner of another leader, on the state of a snapshot.
func (f *fixture) changeLeader() {
	snapshot, err := f.cell.Snapshot()
	require.NoError(f.t, err)
	f.cell, err = cell.Restore(snapshot)
	require.NoError(f.t, err)
	f.planner = planner.New(planner.Config{})
}

// TestCrashingTaskHoldsItsJob guards against starting a task of the sheet without end that crashes each worker that starts
// it, and against holding sound jobs whose tasks start beside it. Another leader takes over after each crash.
func TestCrashingTaskHoldsItsJob(t *testing.T) {
	const maxCrashes, sound = 4, 10
	for _, workers := range []int{1, 2, 6} {
		t.Run(fmt.Sprintf("%d workers", workers), func(t *testing.T) {
			f := newFixture(t, "packing")
			f.addWorkers(workers)
			f.add(row("crashing", 1, 1))
			for i := range sound {
				f.add(row(fmt.Sprintf("sound%d", i), 1, 1))
			}
			crashes := 0
			for range 40 {
				f.round(time.Second)
				if more := f.startTasks("crashing@1/0"); more > 0 {
					crashes += more
					f.changeLeader()
				}
			}
			require.LessOrEqual(t, crashes, maxCrashes)
			held := f.cell.Job("crashing@1")
			require.True(t, held.Held())
			require.Contains(t, held.HoldReason(), "workers crashed just after they had started its task 0: w")
			for i := range sound {
				require.False(t, f.cell.Job(fmt.Sprintf("sound%d@1", i)).Held())
			}
		})
	}
}

// TestRestartsDoNotHoldJobs guards against holding the job of a task whose workers restart for other reasons, after the task
// has run there for some time or each time after a success.
func TestRestartsDoNotHoldJobs(t *testing.T) {
	f := newFixture(t, "packing")
	f.addWorkers(2)
	f.add(row("j", 1, 1))
	for range 6 {
		f.rounds(2)
		f.report("j@1/0", wire.TaskPhase_TASK_PHASE_RUNNING)
		f.restartWorker(f.cell.Task("j@1/0").Worker())
	}
	require.Empty(t, f.cell.Task("j@1/0").CrashedOn())
	f.rounds(2)
	f.restartWorker(f.cell.Task("j@1/0").Worker())
	require.Len(t, f.cell.Task("j@1/0").CrashedOn(), 1)
	f.rounds(2)
	f.succeed("j@1/0")
	require.Empty(t, f.cell.Task("j@1/0").CrashedOn())
	require.False(t, f.cell.Job("j@1").Held())
}
