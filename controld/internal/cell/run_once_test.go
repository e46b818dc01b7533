package cell_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/core/wire"
)

// runOnce is an oracle of what may still run: tasks that succeeded and runs that were cancelled must not run again while
// the cell remembers them, however often sheets list their rows.
type runOnce struct {
	*desk
	listed    map[string]bool
	succeeded map[string]bool
	cancelled map[string]bool
}

var runOnceRows = map[string]string{
	"a@1": row("a", "batch", 2, "", "x"), "b@1": row("b", "all_at_once", 2, "", "x"), "c@1": row("c", "batch", 1, "", "x"),
	"web": row("web", "service", 2, "", "x"),
}

func (r *runOnce) applyRandom(t *rapid.T) {
	rows := []string{}
	r.listed = map[string]bool{}
	for _, id := range []string{"a@1", "b@1", "c@1", "web"} {
		if rapid.Bool().Draw(t, id) {
			rows = append(rows, runOnceRows[id])
			r.listed[id] = true
		}
	}
	confirm := uint32(r.preview(rows...).StoppedTasks)
	r.accept(r.cell.SheetNumber()+1, confirm, rows...)
}

func (r *runOnce) tasks(active bool) []string {
	var ids []string
	for _, id := range []string{"a@1/0", "a@1/1", "b@1/0", "b@1/1", "c@1/0", "web/0", "web/1"} {
		if task := r.cell.Task(id); task != nil && (active && task.Active() || !active && task.Waiting()) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (r *runOnce) placeWaiting() {
	for _, id := range r.tasks(false) {
		require.False(r.t, r.succeeded[id], "%s has succeeded and waits again", id)
		require.False(r.t, r.cancelled[r.cell.Task(id).Job().ID()], "%s was cancelled and waits again", id)
	}
	r.place(r.tasks(false)...)
}

func (r *runOnce) endOne(t *rapid.T) {
	ids := r.tasks(true)
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(t, "task")
	phase := rapid.SampledFrom([]wire.TaskPhase{
		wire.TaskPhase_TASK_PHASE_SUCCEEDED, wire.TaskPhase_TASK_PHASE_FAILED, wire.TaskPhase_TASK_PHASE_STOPPED,
	}).Draw(t, "phase")
	r.status(id, phase)
	// Tasks of an all-at-once job start again together, so only those of batch jobs are final one by one.
	if phase == wire.TaskPhase_TASK_PHASE_SUCCEEDED && (id[0] == 'a' || id[0] == 'c') {
		r.succeeded[id] = true
	}
}

func (r *runOnce) cancelOne(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a@1", "b@1", "c@1"}).Draw(t, "job")
	j := r.cell.Job(id)
	ended := j == nil || j.Finished()
	result := r.cancel(id)
	if result.GetReason() == "" && !ended {
		r.cancelled[id] = true
	}
}

func (r *runOnce) check() {
	for id := range r.listed {
		j := r.cell.Job(id)
		if id == "web" {
			require.NotNil(r.t, j)
			require.False(r.t, j.Removed())
		}
	}
	for id, j := range r.cell.Jobs() {
		if id == "web" && !r.listed[id] {
			for _, task := range j.Tasks() {
				require.True(r.t, !task.Active() || task.Stopping(), "%s left the sheet and is not asked to stop", task.ID())
			}
		}
		if r.cancelled[id] {
			require.Zero(r.t, j.Waiting(), "%s was cancelled and waits", id)
		}
	}
	used := r.cell.Worker("w").Used()
	require.EqualValues(r.t, 1000*len(r.tasks(true)), used.CPU(), "the worker's accounts differ from the active tasks")
}

// TestRunsRunOnce guards against a settlement that runs twice, a cancelled run that comes back, and a service that
// outlives its row, over random sheets, ends, cancellations, days and restarts from snapshots.
func TestRunsRunOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &runOnce{
			desk: newDesk(t), listed: map[string]bool{}, succeeded: map[string]bool{}, cancelled: map[string]bool{},
		}
		rt.Repeat(map[string]func(*rapid.T){
			"apply":  r.applyRandom,
			"place":  func(*rapid.T) { r.placeWaiting() },
			"end":    r.endOne,
			"cancel": r.cancelOne,
			"days":   func(t *rapid.T) { r.now += dayMs * rapid.Int64Range(0, 1).Draw(t, "days") / 4 },
			"restart": func(*rapid.T) {
				data, err := r.cell.Snapshot()
				require.NoError(r.t, err)
				r.cell, err = cell.Restore(data)
				require.NoError(r.t, err)
				again, err := r.cell.Snapshot()
				require.NoError(r.t, err)
				require.Equal(r.t, data, again, "a restored cell differs")
			},
			"": func(*rapid.T) { r.check() },
		})
	})
}
