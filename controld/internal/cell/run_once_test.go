package cell_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/core/wire"
)

// runOnceModel tracks what must not run again: tasks that succeeded and runs that were cancelled, as long as the cell
// remembers them and however often sheets list their rows.
type runOnceModel struct {
	*fixture
	listed    map[string]bool
	succeeded map[string]bool
	cancelled map[string]bool
}

var runOnceRows = map[string]string{
	"a@1": row("a", "batch", 2, "", "x"), "b@1": row("b", "all_at_once", 2, "", "x"),
	"c@1": row("c", "batch", 1, "", "x"),
	"web": row("web", "service", 2, "", "x"),
}

func (m *runOnceModel) applyRandom(t *rapid.T) {
	rows := []string{}
	m.listed = map[string]bool{}
	for _, id := range []string{"a@1", "b@1", "c@1", "web"} {
		if rapid.Bool().Draw(t, id) {
			rows = append(rows, runOnceRows[id])
			m.listed[id] = true
		}
	}
	confirm := uint32(m.preview(rows...).StoppedTasks)
	m.accept(m.cell.SheetNumber()+1, confirm, rows...)
}

func (m *runOnceModel) tasks(active bool) []string {
	var ids []string
	for _, id := range []string{"a@1/0", "a@1/1", "b@1/0", "b@1/1", "c@1/0", "web/0", "web/1"} {
		if task := m.cell.Task(id); task != nil && (active && task.Active() || !active && task.Waiting()) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (m *runOnceModel) placeWaiting() {
	for _, id := range m.tasks(false) {
		require.False(m.t, m.succeeded[id], "%s has succeeded and waits again", id)
		require.False(m.t, m.cancelled[m.cell.Task(id).Job().ID()], "%s was cancelled and waits again", id)
	}
	m.place(m.tasks(false)...)
}

func (m *runOnceModel) endOne(t *rapid.T) {
	ids := m.tasks(true)
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(t, "task")
	phase := rapid.SampledFrom([]wire.TaskPhase{
		wire.TaskPhase_TASK_PHASE_SUCCEEDED, wire.TaskPhase_TASK_PHASE_FAILED, wire.TaskPhase_TASK_PHASE_STOPPED,
	}).Draw(t, "phase")
	m.status(id, phase)
	// The tasks of an all-at-once job restart together, so only tasks of batch jobs are final individually.
	if phase == wire.TaskPhase_TASK_PHASE_SUCCEEDED && (id[0] == 'a' || id[0] == 'c') {
		m.succeeded[id] = true
	}
}

func (m *runOnceModel) cancelOne(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a@1", "b@1", "c@1"}).Draw(t, "job")
	j := m.cell.Job(id)
	ended := j == nil || j.Finished()
	result := m.cancel(id)
	if result.GetReason() == "" && !ended {
		m.cancelled[id] = true
	}
}

func (m *runOnceModel) check() {
	for id := range m.listed {
		j := m.cell.Job(id)
		if id == "web" {
			require.NotNil(m.t, j)
			require.False(m.t, j.Removed())
		}
	}
	for id, j := range m.cell.Jobs() {
		if id == "web" && !m.listed[id] {
			for _, task := range j.Tasks() {
				require.True(m.t, !task.Active() || task.Stopping(),
					"%s left the sheet and is not stopping", task.ID())
			}
		}
		if m.cancelled[id] {
			require.Zero(m.t, j.Waiting(), "%s was cancelled and waits", id)
		}
	}
	used := m.cell.Worker("w").Used()
	require.EqualValues(m.t, 1000*len(m.tasks(true)), used.CPU(),
		"the worker's used resources differ from those of its active tasks")
}

// TestRunsRunOnce guards against a run that runs twice, a cancelled run that restarts, and a service that keeps running
// after its row was removed, over random sheets, task ends, cancellations, days and restarts from snapshots.
func TestRunsRunOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &runOnceModel{
			fixture: newFixture(t),
			listed:  map[string]bool{}, succeeded: map[string]bool{}, cancelled: map[string]bool{},
		}
		rt.Repeat(map[string]func(*rapid.T){
			"apply":  m.applyRandom,
			"place":  func(*rapid.T) { m.placeWaiting() },
			"end":    m.endOne,
			"cancel": m.cancelOne,
			"days":   func(t *rapid.T) { m.now += dayMs * rapid.Int64Range(0, 1).Draw(t, "days") / 4 },
			"restart": func(*rapid.T) {
				data, err := m.cell.Snapshot()
				require.NoError(m.t, err)
				m.cell, err = cell.Restore(data)
				require.NoError(m.t, err)
				again, err := m.cell.Snapshot()
				require.NoError(m.t, err)
				require.Equal(m.t, data, again, "the snapshot of a restored cell differs")
			},
			"": func(*rapid.T) { m.check() },
		})
	})
}
