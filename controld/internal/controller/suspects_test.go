package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/core/wire"
)

// TestSuspects guards against counting the restart of a worker against tasks that the worker has lived with, and against
// counting none if it crashed while it started one.
func TestSuspects(t *testing.T) {
	const startedAt = time.Minute
	tests := []struct {
		name string
		// running is set once the worker has reported the task, reported once this leader has heard so.
		running, reported bool
		lastPollAt        time.Duration
		boot              string
		lost              bool
		suspected         bool
	}{
		{"it never reported the task", false, false, startedAt, "2", false, true},
		{"it has just reported the task", true, true, startedAt + startWindow - 1, "2", false, true},
		{"it has reported the task for some time", true, true, startedAt + startWindow, "2", false, false},
		{"an earlier leader saw the start", true, false, startedAt, "2", false, false},
		{"the same boot with another capacity", false, false, startedAt, "1", false, false},
		{"its lease ran out before", false, false, startedAt, "2", true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &Controller{cell: cell.New(), reportedAt: map[uint64]time.Duration{}}
			apply := func(command *wire.Command) { c.cell.Apply(command) }
			event := func(e *wire.WorkerEvent) {
				apply(&wire.Command{Body: &wire.Command_WorkerEvents{
					WorkerEvents: &wire.WorkerEvents{Events: []*wire.WorkerEvent{e}},
				}})
			}
			capacity := &wire.Resources{CpuMilli: 8000, MemoryMb: 8000}
			event(&wire.WorkerEvent{Worker: "w", Body: &wire.WorkerEvent_Seen{
				Seen: &wire.WorkerSeen{Boot: "1", Capacity: capacity},
			}})
			apply(&wire.Command{Body: &wire.Command_ApplySheet{ApplySheet: &wire.ApplySheet{
				Change: &wire.Change{Id: "1", Operator: "test"}, Number: 1,
				Jobs: []*wire.JobSpec{{Key: "j", Team: "a", Tasks: 1, Run: "1", Resources: capacity}},
			}}})
			apply(&wire.Command{Body: &wire.Command_Decisions{Decisions: &wire.Decisions{
				Placements: []*wire.Placement{{Task: "j@1/0", Worker: "w"}},
			}}})
			task := c.cell.Task("j@1/0")
			require.True(t, task.Starting())
			if test.running {
				event(&wire.WorkerEvent{Worker: "w", Body: &wire.WorkerEvent_Task{Task: &wire.TaskStatus{
					Task: task.ID(), Attempt: task.Attempt(), Phase: wire.TaskPhase_TASK_PHASE_RUNNING,
				}}})
			}
			if test.reported {
				c.recordReported(task.Attempt(), startedAt)
				c.recordReported(task.Attempt(), startedAt+startWindow)
			}
			if test.lost {
				event(&wire.WorkerEvent{Worker: "w", Body: &wire.WorkerEvent_Lost{Lost: &wire.WorkerLost{Boot: "1"}}})
			}
			suspects := c.suspects(c.cell.Worker("w"), test.boot, test.lastPollAt)
			require.Equal(t, test.suspected, len(suspects) == 1 && suspects[0] == task.ID())
		})
	}
}
