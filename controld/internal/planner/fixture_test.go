package planner_test

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/planner"
	"flamingodrift.example/core/wire"
)

// fixture runs a cell and its planner with a simulated clock. It records all commands that it applies.
type fixture struct {
	t        require.TestingT
	cell     *cell.Cell
	planner  *planner.Planner
	now      time.Duration
	sheet    uint64
	change   int
	rows     []*wire.JobSpec
	commands []*wire.Command
}

func newFixture(t require.TestingT, profile string, teams ...*wire.Team) *fixture {
	f := &fixture{t: t, cell: cell.New(), planner: planner.New(planner.Config{})}
	f.configure(profile, teams...)
	return f
}

func (f *fixture) apply(command *wire.Command) {
	command.NowUnixMs = f.now.Milliseconds()
	f.commands = append(f.commands, command)
	f.cell.Apply(command)
}

func (f *fixture) newChange() *wire.Change {
	f.change++
	return &wire.Change{Id: fmt.Sprint(f.change), Operator: "test", ExpectedRevision: f.cell.Revision()}
}

func (f *fixture) configure(profile string, teams ...*wire.Team) {
	config := &wire.Config{Profile: profile, Teams: teams}
	f.apply(&wire.Command{Body: &wire.Command_Configure{
		Configure: &wire.Configure{Change: f.newChange(), Config: config},
	}})
}

// add adds rows to the sheet and applies it.
func (f *fixture) add(rows ...*wire.JobSpec) {
	f.rows = append(f.rows, rows...)
	f.applySheet()
}

func (f *fixture) applySheet() {
	f.sheet++
	sheet := &wire.ApplySheet{Change: f.newChange(), Number: f.sheet, Jobs: f.rows}
	sheet.ConfirmedStops = uint32(f.cell.Preview(f.rows).StoppedTasks)
	f.apply(&wire.Command{Body: &wire.Command_ApplySheet{ApplySheet: sheet}})
}

func (f *fixture) cancel(key string) {
	f.apply(&wire.Command{Body: &wire.Command_CancelJob{
		CancelJob: &wire.CancelJob{Change: f.newChange(), Key: key},
	}})
}

func (f *fixture) drain(name string, drain bool) {
	f.apply(&wire.Command{Body: &wire.Command_DrainWorker{
		DrainWorker: &wire.DrainWorker{Change: f.newChange(), Worker: name, Drain: drain},
	}})
}

func (f *fixture) event(e *wire.WorkerEvent) {
	f.apply(&wire.Command{Body: &wire.Command_WorkerEvents{
		WorkerEvents: &wire.WorkerEvents{Events: []*wire.WorkerEvent{e}},
	}})
}

// addWorkers adds workers with 8 processors and 32 GB, two per rack and two racks per failure domain.
func (f *fixture) addWorkers(count int) {
	for i := range count {
		f.addWorker(fmt.Sprintf("w%02d", i), fmt.Sprintf("r%d", i/2), fmt.Sprintf("d%d", i/4), 8)
	}
}

func (f *fixture) addWorker(name, rack, domain string, processors int64) {
	f.event(&wire.WorkerEvent{Worker: name, Body: &wire.WorkerEvent_Seen{Seen: &wire.WorkerSeen{
		Boot: "1", Capacity: size(processors), Rack: rack, FailureDomain: domain,
	}}})
}

func (f *fixture) loseWorker(name string) {
	f.event(&wire.WorkerEvent{Worker: name, Body: &wire.WorkerEvent_Lost{
		Lost: &wire.WorkerLost{Boot: f.cell.Worker(name).Boot()},
	}})
}

func (f *fixture) report(task string, phase wire.TaskPhase) {
	t := f.cell.Task(task)
	f.event(&wire.WorkerEvent{Worker: t.Worker(), Body: &wire.WorkerEvent_Task{Task: &wire.TaskStatus{
		Task: task, Attempt: t.Attempt(), Phase: phase,
	}}})
}

func (f *fixture) fail(task string)    { f.report(task, wire.TaskPhase_TASK_PHASE_FAILED) }
func (f *fixture) succeed(task string) { f.report(task, wire.TaskPhase_TASK_PHASE_SUCCEEDED) }

// endStopping reports the end of every stopping task.
func (f *fixture) endStopping() {
	for _, j := range f.cell.Jobs() {
		for _, t := range j.Tasks() {
			if t.Active() && t.Stopping() {
				f.report(t.ID(), wire.TaskPhase_TASK_PHASE_STOPPED)
			}
		}
	}
}

// round advances the clock and applies the decisions of one round.
func (f *fixture) round(elapsed time.Duration) *wire.Decisions {
	f.now += elapsed
	d := f.planner.Decide(f.cell, f.now)
	if d != nil {
		f.apply(&wire.Command{Body: &wire.Command_Decisions{Decisions: d}})
	}
	return d
}

func (f *fixture) rounds(count int) {
	for range count {
		f.round(time.Second)
	}
}

func (f *fixture) waitReason(job string) string {
	w, ok := f.planner.WaitStatus(job)
	require.True(f.t, ok, "no reason for %s", job)
	return w.Reason.String()
}

func (f *fixture) active(job string) int { return f.cell.Job(job).Active() }

// size returns resources with 4 GB of memory per processor.
func size(processors int64) *wire.Resources {
	return &wire.Resources{CpuMilli: processors * 1000, MemoryMb: processors * 4096}
}

// row returns a batch row of normal urgency, modified by the given functions.
func row(key string, tasks uint32, processors int64, change ...func(*wire.JobSpec)) *wire.JobSpec {
	spec := &wire.JobSpec{
		Key: key, Team: "a", Kind: wire.JobKind_JOB_KIND_BATCH, Tasks: tasks, Resources: size(processors), Run: "1",
	}
	for _, c := range change {
		c(spec)
	}
	return spec
}

func service(s *wire.JobSpec)       { s.Kind, s.Run = wire.JobKind_JOB_KIND_SERVICE, "" }
func allAtOnce(s *wire.JobSpec)     { s.Kind = wire.JobKind_JOB_KIND_ALL_AT_ONCE }
func urgent(s *wire.JobSpec)        { s.Urgency = wire.Urgency_URGENCY_URGENT }
func low(s *wire.JobSpec)           { s.Urgency = wire.Urgency_URGENCY_LOW }
func neverRestart(s *wire.JobSpec)  { s.NeverRestart = true }
func declaredShort(s *wire.JobSpec) { s.ExpectedRunMs = 10_000 }
func acrossDomains(s *wire.JobSpec) { s.Spread = wire.Spread_SPREAD_FAILURE_DOMAIN }

func ofTeam(team string) func(*wire.JobSpec) { return func(s *wire.JobSpec) { s.Team = team } }
