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

// desk applies sheets and plays one large worker.
type desk struct {
	t    *testing.T
	cell *cell.Cell
	now  int64
	next int
}

func newDesk(t *testing.T) *desk {
	d := &desk{t: t, cell: cell.New(), now: 1000 * dayMs}
	d.event(&wire.WorkerEvent{Worker: "w", Body: &wire.WorkerEvent_Seen{Seen: &wire.WorkerSeen{
		Boot: "1", Capacity: &wire.Resources{CpuMilli: 1 << 30, MemoryMb: 1 << 30},
	}}})
	return d
}

func (d *desk) event(event *wire.WorkerEvent) {
	d.cell.Apply(&wire.Command{NowUnixMs: d.now, Body: &wire.Command_WorkerEvents{
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

func (d *desk) change() *wire.Change {
	d.next++
	id := fmt.Sprint("change-", d.next)
	return &wire.Change{Id: id, Operator: "anna", Digest: []byte(id), ExpectedRevision: d.cell.Revision()}
}

func (d *desk) apply(number uint64, confirm uint32, rows ...string) *wire.Result {
	s := parse(d.t, number, rows...)
	return d.cell.Apply(&wire.Command{NowUnixMs: d.now, Body: &wire.Command_ApplySheet{ApplySheet: &wire.ApplySheet{
		Change: d.change(), Number: s.Number(), Digest: s.Digest(), Jobs: s.Jobs(), ConfirmedStops: confirm,
	}}})
}

func (d *desk) accept(number uint64, confirm uint32, rows ...string) {
	d.t.Helper()
	result := d.apply(number, confirm, rows...)
	require.Empty(d.t, result.GetReason(), result.GetDetail())
}

func (d *desk) cancel(key string) *wire.Result {
	return d.cell.Apply(&wire.Command{NowUnixMs: d.now, Body: &wire.Command_CancelJob{CancelJob: &wire.CancelJob{
		Change: d.change(), Key: key,
	}}})
}

func (d *desk) place(tasks ...string) {
	decisions := &wire.Decisions{}
	for _, id := range tasks {
		decisions.Placements = append(decisions.Placements, &wire.Placement{Task: id, Worker: "w"})
	}
	d.cell.Apply(&wire.Command{NowUnixMs: d.now, Body: &wire.Command_Decisions{Decisions: decisions}})
	for _, id := range tasks {
		d.status(id, wire.TaskPhase_TASK_PHASE_RUNNING)
	}
}

func (d *desk) status(id string, phase wire.TaskPhase) {
	t := d.cell.Task(id)
	require.NotNil(d.t, t, id)
	d.event(&wire.WorkerEvent{Worker: "w", Body: &wire.WorkerEvent_Task{Task: &wire.TaskStatus{
		Task: id, Attempt: t.Attempt(), Phase: phase,
	}}})
}

func (d *desk) state(id string) string {
	t := d.cell.Task(id)
	if t == nil {
		return "none"
	}
	if t.Stopping() {
		return "STOPPING"
	}
	return t.State().String()[len("TASK_STATE_"):]
}

func (d *desk) preview(rows ...string) *cell.Preview {
	return d.cell.Preview(parse(d.t, 99, rows...).Jobs())
}

// TestSheetNumbers guards against an older or a second, different sheet replacing the one in force.
func TestSheetNumbers(t *testing.T) {
	d := newDesk(t)
	d.accept(5, 0, row("a", "batch", 1, "", "x"))
	require.EqualValues(t, 1, d.cell.Revision())

	same := d.apply(5, 0, row("a", "batch", 1, "", "x"))
	require.Empty(t, same.GetReason())
	require.EqualValues(t, 1, same.GetRevision())
	require.EqualValues(t, 1, d.cell.Revision(), "a sheet that is in force already changes nothing, so the revision stays")
	require.Len(t, d.cell.History(), 1)

	require.Equal(t, reason.SheetNumberReused.String(), d.apply(5, 0, row("a", "batch", 2, "", "x")).GetReason())
	require.Equal(t, reason.SheetOlder.String(), d.apply(4, 0, row("a", "batch", 1, "", "x")).GetReason())
	require.EqualValues(t, 1, d.cell.Revision())
	d.accept(6, 0, row("a", "batch", 1, "", "x"))
}

// TestConfirmation guards against a cut-off export that stops most of the services.
func TestConfirmation(t *testing.T) {
	d := newDesk(t)
	web, desks := row("web", "service", 8, "", "x"), row("desks", "service", 2, "", "x")
	d.accept(1, 0, web, desks)
	for i := range 8 {
		d.place(fmt.Sprintf("web/%d", i))
	}
	d.place("desks/0", "desks/1")
	require.False(t, d.preview(web).NeedsConfirmation(), "exactly 20% need no confirmation")
	fewer := row("web", "service", 7, "", "x")
	refused := d.apply(2, 0, fewer)
	require.Equal(t, reason.StopsUnconfirmed.String(), refused.GetReason())
	require.Contains(t, refused.GetDetail(), "stops 3 of 10 active tasks")
	require.Equal(t, reason.StopsUnconfirmed.String(), d.apply(2, 2, fewer).GetReason(), "another count confirms nothing")
	require.Equal(t, "RUNNING", d.state("desks/0"))
	d.accept(2, 3, fewer)
	require.Equal(t, "STOPPING", d.state("desks/0"))
	require.Equal(t, "STOPPING", d.state("web/7"))
	require.Equal(t, "RUNNING", d.state("web/6"))
}

// TestFinishedRunIsNotRunTwice guards against a settlement that runs again because its row stays or comes back.
func TestFinishedRunIsNotRunTwice(t *testing.T) {
	d := newDesk(t)
	run, other := row("settle", "batch", 1, "dec", "x"), row("other", "batch", 1, "", "x")
	d.accept(1, 0, run, other)
	d.place("settle@dec/0")
	d.status("settle@dec/0", wire.TaskPhase_TASK_PHASE_SUCCEEDED)
	require.Equal(t, []string{"settle@dec"}, d.preview(run, other).AlreadyRun)
	d.accept(2, 0, run, other)
	require.Equal(t, "SUCCEEDED", d.state("settle@dec/0"))
	d.accept(3, 0, other)
	require.Equal(t, "none", d.state("settle@dec/0"))
	require.Equal(t, []string{"settle@dec"}, d.preview(run, other).AlreadyRun)
	d.accept(4, 0, run, other)
	require.Equal(t, "none", d.state("settle@dec/0"), "a run that left the sheet is still remembered")
	d.now += (cell.FinishedRunRetentionDays + 1) * dayMs
	d.accept(5, 0, other)
	require.Equal(t, []string{"settle@dec"}, d.preview(run, other).Start)
	require.Equal(t, []string{"settle@jan"}, d.preview(row("settle", "batch", 1, "jan", "x"), other).Start)
}

// TestRunCutShortByTheSheetResumes guards against a truncated export that ends half a settlement for good.
func TestRunCutShortByTheSheetResumes(t *testing.T) {
	d := newDesk(t)
	run, other := row("settle", "batch", 3, "dec", "x"), row("other", "batch", 1, "", "x")
	d.accept(1, 0, run, other)
	d.place("settle@dec/0")
	d.accept(2, 0, other)
	require.Equal(t, "RUNNING", d.state("settle@dec/0"), "a run that has started may finish")
	require.Equal(t, "CANCELLED", d.state("settle@dec/1"))
	d.status("settle@dec/0", wire.TaskPhase_TASK_PHASE_SUCCEEDED)
	d.accept(3, 0, other)
	require.Equal(t, []string{"settle@dec"}, d.preview(run, other).Resume)
	d.accept(4, 0, run, other)
	require.Equal(t, "SUCCEEDED", d.state("settle@dec/0"), "a task that has succeeded does not run again")
	require.Equal(t, "WAITING", d.state("settle@dec/1"))
	d.accept(5, 0, other)
	d.now += (cell.CutShortRunRetentionDays + 1) * dayMs
	d.accept(6, 0, other)
	require.Equal(t, "none", d.state("settle@dec/0"), "a run cut short is not kept for ever")
	require.Equal(t, []string{"settle@dec"}, d.preview(run, other).AlreadyRun)
}

// TestRemovedBeforeItStarted guards against a run that is remembered as run although no task of it was placed.
func TestRemovedBeforeItStarted(t *testing.T) {
	d := newDesk(t)
	run, other := row("settle", "batch", 2, "dec", "x"), row("other", "batch", 1, "", "x")
	d.accept(1, 0, run, other)
	d.accept(2, 0, other)
	d.accept(3, 0, run, other)
	require.Equal(t, "WAITING", d.state("settle@dec/0"))
}

// TestServiceThatReturnsWhileItStops guards against a row in force whose tasks were stopped for an earlier sheet and
// are never placed again.
func TestServiceThatReturnsWhileItStops(t *testing.T) {
	d := newDesk(t)
	web, other := row("web", "service", 2, "", "x"), row("other", "batch", 1, "", "x")
	d.accept(1, 0, web, other)
	d.place("web/0", "web/1")
	d.accept(2, 2, other)
	d.accept(3, 0, web, other)
	d.status("web/0", wire.TaskPhase_TASK_PHASE_STOPPED)
	require.Equal(t, "WAITING", d.state("web/0"))

	d.accept(4, 1, row("web", "service", 1, "", "x"), other)
	d.accept(5, 0, web, other)
	d.status("web/1", wire.TaskPhase_TASK_PHASE_STOPPED)
	require.Equal(t, "WAITING", d.state("web/1"))
}

// TestCancelledRunStaysCancelled guards against the next morning's sheet reviving a run that an operator cancelled.
func TestCancelledRunStaysCancelled(t *testing.T) {
	d := newDesk(t)
	rows := []string{
		row("waiting", "batch", 1, "", "x"), row("running", "batch", 2, "", "x"), row("web", "service", 1, "", "x"),
	}
	d.accept(1, 0, rows...)
	d.place("running@1/0")
	for _, key := range []string{"waiting", "running", "web"} {
		require.Empty(t, d.cancel(key).GetReason())
	}
	require.Equal(t, []string{"waiting@1", "running@1"}, d.preview(rows...).AlreadyRun)
	d.accept(2, 0, rows...)
	require.Equal(t, "CANCELLED", d.state("waiting@1/0"))
	require.Equal(t, "STOPPING", d.state("running@1/0"))
	require.Equal(t, "CANCELLED", d.state("running@1/1"))
	require.Equal(t, "WAITING", d.state("web/0"), "a service follows the latest sheet that lists it")
	d.accept(3, 0, row("web", "service", 1, "", "x"))
	d.status("running@1/0", wire.TaskPhase_TASK_PHASE_STOPPED)
	d.accept(4, 0, row("web", "service", 1, "", "x"))
	require.Equal(t, []string{"waiting@1", "running@1"}, d.preview(rows...).AlreadyRun)

	before := d.cell.Revision()
	d.accept(5, 0, rows...)
	require.Equal(t, before+1, d.cell.Revision())
	require.Equal(t, reason.NotFound.String(), d.cancel("waiting").GetReason())
}

// TestChangedRows guards what a changed row does to running tasks.
func TestChangedRows(t *testing.T) {
	d := newDesk(t)
	d.accept(1, 0, row("web", "service", 2, "", "x"))
	d.place("web/0", "web/1")
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
			data, err := d.cell.Snapshot()
			require.NoError(t, err)
			copied, err := cell.Restore(data)
			require.NoError(t, err)
			d := &desk{t: t, cell: copied, now: d.now, next: d.next}
			preview := d.preview(c.row)
			require.ElementsMatch(t, c.change, preview.Change)
			require.Equal(t, c.stopped, preview.StoppedTasks)
			d.accept(2, uint32(c.stopped), c.row)
			require.Equal(t, c.waiting, d.cell.Job("web").Waiting())
			require.Equal(t, c.outdated, d.cell.Task("web/0").Outdated())
		})
	}
}

// TestLimitsCountWhatDrains guards the cell's bounds while tasks of earlier sheets still run.
func TestLimitsCountWhatDrains(t *testing.T) {
	d := newDesk(t)
	var rows []string
	for i := range cell.MaxTasks / 1000 {
		rows = append(rows, row(fmt.Sprint("r", i), "batch", 1000, "", "x"))
	}
	d.accept(1, 0, rows...)
	require.Equal(t, reason.LimitReached.String(), d.apply(2, 0, append(rows, row("one", "batch", 1, "", "x"))...).GetReason())
	d.place("r0@1/0")
	d.accept(2, 0, rows[1:]...)
	full := append([]string{row("new", "batch", 1000, "", "x")}, rows[1:]...)
	require.Equal(t, reason.LimitReached.String(), d.apply(3, 0, full...).GetReason(), "the run that left the sheet still takes a task")
	d.status("r0@1/0", wire.TaskPhase_TASK_PHASE_SUCCEEDED)
	d.accept(3, 0, full...)
}

// TestCancelAfterTheRowLeft guards against a run that an operator cancelled after its row had left the sheet, and that
// resumes when the row returns. Found by TestRunsRunOnce.
func TestCancelAfterTheRowLeft(t *testing.T) {
	d := newDesk(t)
	run, other := row("settle", "batch", 2, "dec", "x"), row("other", "batch", 1, "", "x")
	d.accept(1, 0, run, other)
	d.place("settle@dec/0")
	d.accept(2, 0, other)
	require.Empty(t, d.cancel("settle").GetReason())
	d.status("settle@dec/0", wire.TaskPhase_TASK_PHASE_SUCCEEDED)
	require.Equal(t, []string{"settle@dec"}, d.preview(run, other).AlreadyRun)
	d.accept(3, 0, run, other)
	require.NotEqual(t, "WAITING", d.state("settle@dec/1"))
}

// TestUnknownTeams guards against a misspelt team, whose jobs would run without a quota.
func TestUnknownTeams(t *testing.T) {
	d := newDesk(t)
	rows := []string{row("a", "batch", 1, "", "x"), row("b", "batch", 1, "", "x")}
	require.Empty(t, d.preview(rows...).UnknownTeams, "before there is a configuration no team is known")
	require.Empty(t, d.cell.Apply(configure("config", 0, "other")).GetReason())
	require.Equal(t, []string{"team"}, d.preview(rows...).UnknownTeams)
}
