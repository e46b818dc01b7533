package cell_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/sheet"
	"flamingodrift.example/core/wire"
)

const dayMs = int64(24 * 3600 * 1000)

// fixture is a cell with one large worker "w", and helpers that apply sheets and report task statuses.
type fixture struct {
	t    *testing.T
	cell *cell.Cell
	now  int64
	next int
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, cell: cell.New(), now: 1000 * dayMs}
	f.event(&wire.WorkerEvent{Worker: "w", Body: &wire.WorkerEvent_Seen{Seen: &wire.WorkerSeen{
		Boot: "1", Capacity: &wire.Resources{CpuMilli: 1 << 30, MemoryMb: 1 << 30},
	}}})
	return f
}

func (f *fixture) event(event *wire.WorkerEvent) {
	f.cell.Apply(&wire.Command{NowUnixMs: f.now, Body: &wire.Command_WorkerEvents{
		WorkerEvents: &wire.WorkerEvents{Events: []*wire.WorkerEvent{event}},
	}})
}

// row returns a row of the sheet with columns key, kind, tasks, run and command.
func row(key, kind string, tasks int, run, command string) string {
	return fmt.Sprintf("%s,team,%s,%d,1,64,%s,%s\n", key, kind, tasks, run, command)
}

func parse(t *testing.T, number uint64, rows ...string) *sheet.Sheet {
	text := fmt.Sprintf("sheet,%d\nkey,team,kind,tasks,processors,memory_mb,run,command\n", number)
	for _, r := range rows {
		text += r
	}
	s, err := sheet.Parse([]byte(text))
	require.NoError(t, err)
	return s
}

func (f *fixture) change() *wire.Change {
	f.next++
	id := fmt.Sprint("change-", f.next)
	return &wire.Change{Id: id, Operator: "anna", Digest: []byte(id), ExpectedRevision: f.cell.Revision()}
}

func (f *fixture) apply(number uint64, confirm uint32, rows ...string) *wire.Result {
	s := parse(f.t, number, rows...)
	return f.cell.Apply(&wire.Command{NowUnixMs: f.now, Body: &wire.Command_ApplySheet{ApplySheet: &wire.ApplySheet{
		Change: f.change(), Number: s.Number(), Digest: s.Digest(), Jobs: s.Jobs(), ConfirmedStops: confirm,
	}}})
}

func (f *fixture) accept(number uint64, confirm uint32, rows ...string) {
	f.t.Helper()
	result := f.apply(number, confirm, rows...)
	require.Empty(f.t, result.GetReason(), result.GetDetail())
}

func (f *fixture) cancel(key string) *wire.Result {
	return f.cell.Apply(&wire.Command{NowUnixMs: f.now, Body: &wire.Command_CancelJob{CancelJob: &wire.CancelJob{
		Change: f.change(), Key: key,
	}}})
}

func (f *fixture) place(tasks ...string) {
	decisions := &wire.Decisions{}
	for _, id := range tasks {
		decisions.Placements = append(decisions.Placements, &wire.Placement{Task: id, Worker: "w"})
	}
	f.cell.Apply(&wire.Command{NowUnixMs: f.now, Body: &wire.Command_Decisions{Decisions: decisions}})
	for _, id := range tasks {
		f.status(id, wire.TaskPhase_TASK_PHASE_RUNNING)
	}
}

func (f *fixture) status(id string, phase wire.TaskPhase) {
	t := f.cell.Task(id)
	require.NotNil(f.t, t, id)
	f.event(&wire.WorkerEvent{Worker: "w", Body: &wire.WorkerEvent_Task{Task: &wire.TaskStatus{
		Task: id, Attempt: t.Attempt(), Phase: phase,
	}}})
}

func (f *fixture) state(id string) string {
	t := f.cell.Task(id)
	if t == nil {
		return "none"
	}
	if t.Stopping() {
		return "STOPPING"
	}
	return t.State().String()[len("TASK_STATE_"):]
}

func (f *fixture) preview(rows ...string) *cell.Preview {
	return f.cell.Preview(parse(f.t, 99, rows...).Jobs())
}

// TestSheetNumbers guards against a sheet with an older number, or with the same number and another content, replacing
// the one in force.
func TestSheetNumbers(t *testing.T) {
	f := newFixture(t)
	f.accept(5, 0, row("a", "batch", 1, "", "x"))
	require.EqualValues(t, 1, f.cell.Revision())

	same := f.apply(5, 0, row("a", "batch", 1, "", "x"))
	require.Empty(t, same.GetReason())
	require.EqualValues(t, 1, same.GetRevision())
	require.EqualValues(t, 1, f.cell.Revision(), "a sheet that is already in force must not raise the revision")
	require.Len(t, f.cell.History(), 1)

	require.Equal(t, reason.SheetNumberReused.String(), f.apply(5, 0, row("a", "batch", 2, "", "x")).GetReason())
	require.Equal(t, reason.SheetOlder.String(), f.apply(4, 0, row("a", "batch", 1, "", "x")).GetReason())
	require.EqualValues(t, 1, f.cell.Revision())
	f.accept(6, 0, row("a", "batch", 1, "", "x"))
}

// TestManyStopsNeedConfirmation guards against a truncated export that stops most of the services.
func TestManyStopsNeedConfirmation(t *testing.T) {
	f := newFixture(t)
	web, desks := row("web", "service", 8, "", "x"), row("desks", "service", 2, "", "x")
	f.accept(1, 0, web, desks)
	for i := range 8 {
		f.place(fmt.Sprintf("web/%d", i))
	}
	f.place("desks/0", "desks/1")
	require.False(t, f.preview(web).NeedsConfirmation(), "exactly 20% needs no confirmation")
	fewer := row("web", "service", 7, "", "x")
	refused := f.apply(2, 0, fewer)
	require.Equal(t, reason.StopsUnconfirmed.String(), refused.GetReason())
	require.Contains(t, refused.GetDetail(), "stops 3 of 10 active tasks")
	require.Equal(t, reason.StopsUnconfirmed.String(), f.apply(2, 2, fewer).GetReason(),
		"only the exact number of stops confirms")
	require.Equal(t, "RUNNING", f.state("desks/0"))
	f.accept(2, 3, fewer)
	require.Equal(t, "STOPPING", f.state("desks/0"))
	require.Equal(t, "STOPPING", f.state("web/7"))
	require.Equal(t, "RUNNING", f.state("web/6"))
}

// TestFinishedRunIsNotRunTwice guards against a finished run that runs again because its row stays in the sheet or
// returns.
func TestFinishedRunIsNotRunTwice(t *testing.T) {
	f := newFixture(t)
	run, other := row("settle", "batch", 1, "dec", "x"), row("other", "batch", 1, "", "x")
	f.accept(1, 0, run, other)
	f.place("settle@dec/0")
	f.status("settle@dec/0", wire.TaskPhase_TASK_PHASE_SUCCEEDED)
	require.Equal(t, []string{"settle@dec"}, f.preview(run, other).AlreadyRun)
	f.accept(2, 0, run, other)
	require.Equal(t, "SUCCEEDED", f.state("settle@dec/0"))
	f.accept(3, 0, other)
	require.Equal(t, "none", f.state("settle@dec/0"))
	require.Equal(t, []string{"settle@dec"}, f.preview(run, other).AlreadyRun)
	f.accept(4, 0, run, other)
	require.Equal(t, "none", f.state("settle@dec/0"), "a run that left the sheet is still remembered")
	f.now += (cell.FinishedRunRetentionDays + 1) * dayMs
	f.accept(5, 0, other)
	require.Equal(t, []string{"settle@dec"}, f.preview(run, other).Start)
	require.Equal(t, []string{"settle@jan"}, f.preview(row("settle", "batch", 1, "jan", "x"), other).Start)
}

// TestCutShortRunResumes guards against a truncated export that permanently ends a run with unfinished tasks.
func TestCutShortRunResumes(t *testing.T) {
	f := newFixture(t)
	run, other := row("settle", "batch", 3, "dec", "x"), row("other", "batch", 1, "", "x")
	f.accept(1, 0, run, other)
	f.place("settle@dec/0")
	f.accept(2, 0, other)
	require.Equal(t, "RUNNING", f.state("settle@dec/0"), "a run that has started may finish")
	require.Equal(t, "CANCELLED", f.state("settle@dec/1"))
	f.status("settle@dec/0", wire.TaskPhase_TASK_PHASE_SUCCEEDED)
	f.accept(3, 0, other)
	require.Equal(t, []string{"settle@dec"}, f.preview(run, other).Resume)
	f.accept(4, 0, run, other)
	require.Equal(t, "SUCCEEDED", f.state("settle@dec/0"), "a task that has succeeded does not run again")
	require.Equal(t, "WAITING", f.state("settle@dec/1"))
	f.accept(5, 0, other)
	f.now += (cell.CutShortRunRetentionDays + 1) * dayMs
	f.accept(6, 0, other)
	require.Equal(t, "none", f.state("settle@dec/0"), "a cut short run is removed after its retention period")
	require.Equal(t, []string{"settle@dec"}, f.preview(run, other).AlreadyRun)
}

// TestUnstartedRunIsNotRemembered guards against remembering a run as finished although none of its tasks was placed.
func TestUnstartedRunIsNotRemembered(t *testing.T) {
	f := newFixture(t)
	run, other := row("settle", "batch", 2, "dec", "x"), row("other", "batch", 1, "", "x")
	f.accept(1, 0, run, other)
	f.accept(2, 0, other)
	f.accept(3, 0, run, other)
	require.Equal(t, "WAITING", f.state("settle@dec/0"))
}

// TestServiceReturnsWhileStopping guards against a service in the sheet that stays down: its tasks were stopping for an
// earlier sheet when its row returned, and were not placed again.
func TestServiceReturnsWhileStopping(t *testing.T) {
	f := newFixture(t)
	web, other := row("web", "service", 2, "", "x"), row("other", "batch", 1, "", "x")
	f.accept(1, 0, web, other)
	f.place("web/0", "web/1")
	f.accept(2, 2, other)
	f.accept(3, 0, web, other)
	f.status("web/0", wire.TaskPhase_TASK_PHASE_STOPPED)
	require.Equal(t, "WAITING", f.state("web/0"))

	f.accept(4, 1, row("web", "service", 1, "", "x"), other)
	f.accept(5, 0, web, other)
	f.status("web/1", wire.TaskPhase_TASK_PHASE_STOPPED)
	require.Equal(t, "WAITING", f.state("web/1"))
}

// TestCancelledRunStaysCancelled guards against the next day's sheet restarting a run that an operator cancelled.
func TestCancelledRunStaysCancelled(t *testing.T) {
	f := newFixture(t)
	rows := []string{
		row("waiting", "batch", 1, "", "x"), row("running", "batch", 2, "", "x"), row("web", "service", 1, "", "x"),
	}
	f.accept(1, 0, rows...)
	f.place("running@1/0")
	for _, key := range []string{"waiting", "running", "web"} {
		require.Empty(t, f.cancel(key).GetReason())
	}
	require.Equal(t, []string{"waiting@1", "running@1"}, f.preview(rows...).AlreadyRun)
	f.accept(2, 0, rows...)
	require.Equal(t, "CANCELLED", f.state("waiting@1/0"))
	require.Equal(t, "STOPPING", f.state("running@1/0"))
	require.Equal(t, "CANCELLED", f.state("running@1/1"))
	require.Equal(t, "WAITING", f.state("web/0"), "a cancelled service restarts with the next sheet that lists it")
	f.accept(3, 0, row("web", "service", 1, "", "x"))
	f.status("running@1/0", wire.TaskPhase_TASK_PHASE_STOPPED)
	f.accept(4, 0, row("web", "service", 1, "", "x"))
	require.Equal(t, []string{"waiting@1", "running@1"}, f.preview(rows...).AlreadyRun)

	before := f.cell.Revision()
	f.accept(5, 0, rows...)
	require.Equal(t, before+1, f.cell.Revision())
	require.Equal(t, reason.NotFound.String(), f.cancel("waiting").GetReason())
}

// TestChangedRows checks the effect of a changed row on running tasks.
func TestChangedRows(t *testing.T) {
	f := newFixture(t)
	f.accept(1, 0, row("web", "service", 2, "", "x"))
	f.place("web/0", "web/1")
	for _, c := range []struct {
		name, row        string
		change           []string
		stopped, waiting int
		outdated         bool
	}{
		{name: "unchanged", row: row("web", "service", 2, "", "x")},
		{name: "tasks up", row: row("web", "service", 4, "", "x"), change: []string{"web"}, waiting: 2},
		{name: "tasks down", row: row("web", "service", 1, "", "x"), change: []string{"web"}, stopped: 1},
		{name: "command", row: row("web", "service", 2, "", "y"), change: []string{"web"}, outdated: true},
		{name: "resources", row: "web,team,service,2,2,64,,x\n", change: []string{"web"}, outdated: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			data, err := f.cell.Snapshot()
			require.NoError(t, err)
			copied, err := cell.Restore(data)
			require.NoError(t, err)
			f := &fixture{t: t, cell: copied, now: f.now, next: f.next}
			preview := f.preview(c.row)
			require.ElementsMatch(t, c.change, preview.Change)
			require.Equal(t, c.stopped, preview.StoppedTasks)
			f.accept(2, uint32(c.stopped), c.row)
			require.Equal(t, c.waiting, f.cell.Job("web").Waiting())
			require.Equal(t, c.outdated, f.cell.Task("web/0").Outdated())
		})
	}
}

// TestLimitsCountTasksOfEarlierSheets guards against exceeding the cell's limits while tasks of earlier
// sheets still run.
func TestLimitsCountTasksOfEarlierSheets(t *testing.T) {
	f := newFixture(t)
	var rows []string
	for i := range cell.MaxTasks / 1000 {
		rows = append(rows, row(fmt.Sprint("r", i), "batch", 1000, "", "x"))
	}
	f.accept(1, 0, rows...)
	require.Equal(t, reason.LimitReached.String(),
		f.apply(2, 0, append(rows, row("one", "batch", 1, "", "x"))...).GetReason())
	f.place("r0@1/0")
	f.accept(2, 0, rows[1:]...)
	full := append([]string{row("new", "batch", 1000, "", "x")}, rows[1:]...)
	require.Equal(t, reason.LimitReached.String(), f.apply(3, 0, full...).GetReason(),
		"the active task of the run that left the sheet counts")
	f.status("r0@1/0", wire.TaskPhase_TASK_PHASE_SUCCEEDED)
	f.accept(3, 0, full...)
}

// TestCancelAfterRowRemoved guards against a run that resumes when its row returns although an operator cancelled it
// after the row had left the sheet. Found by TestRunsRunOnce.
func TestCancelAfterRowRemoved(t *testing.T) {
	f := newFixture(t)
	run, other := row("settle", "batch", 2, "dec", "x"), row("other", "batch", 1, "", "x")
	f.accept(1, 0, run, other)
	f.place("settle@dec/0")
	f.accept(2, 0, other)
	require.Empty(t, f.cancel("settle").GetReason())
	f.status("settle@dec/0", wire.TaskPhase_TASK_PHASE_SUCCEEDED)
	require.Equal(t, []string{"settle@dec"}, f.preview(run, other).AlreadyRun)
	f.accept(3, 0, run, other)
	require.NotEqual(t, "WAITING", f.state("settle@dec/1"))
}

// TestUnknownTeams guards against not reporting a misspelt team, whose jobs would run without a quota.
func TestUnknownTeams(t *testing.T) {
	f := newFixture(t)
	rows := []string{row("a", "batch", 1, "", "x"), row("b", "batch", 1, "", "x")}
	require.Empty(t, f.preview(rows...).UnknownTeams, "without a configuration no team is reported as unknown")
	require.Empty(t, f.cell.Apply(configure("config", 0, "other")).GetReason())
	require.Equal(t, []string{"team"}, f.preview(rows...).UnknownTeams)
}
