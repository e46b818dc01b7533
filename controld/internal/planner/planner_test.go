package planner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/wire"
)

// Guards against urgent tasks that wait in a full cell, and against preempting tasks that must not be preempted.
func TestUrgentWorkPreemptsOnlyLowerBatch(t *testing.T) {
	cases := []struct {
		name    string
		running *wire.JobSpec
		starts  bool
	}{
		{"low batch", row("fill", 8, 8, low), true},
		{"normal batch", row("fill", 8, 8), true},
		{"urgent batch", row("fill", 8, 8, urgent), false},
		{"service", row("fill", 8, 8, service, low), false},
		{"run that must not start twice", row("fill", 8, 8, low, neverRestart), false},
		{"all-at-once job", row("fill", 8, 8, low, allAtOnce), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, "packing")
			f.addWorkers(8)
			f.add(tc.running)
			f.round(time.Second)
			require.Equal(t, 8, f.active("fill"+runSuffix(tc.running)))
			f.add(row("now", 1, 4, urgent))
			f.round(time.Second)
			f.endStopping()
			f.round(time.Second)
			require.Equal(t, tc.starts, f.active("now@1") == 1)
			if !tc.starts {
				require.Equal(t, "no_capacity", f.waitReason("now@1"))
				require.Equal(t, 8, f.active("fill"+runSuffix(tc.running)))
			}
		})
	}
}

func runSuffix(s *wire.JobSpec) string {
	if s.GetRun() == "" {
		return ""
	}
	return "@" + s.GetRun()
}

// Guards against preempting a task more than maxPreemptions times, and against more stops than the urgent task needs.
func TestPreemptionLosesLittle(t *testing.T) {
	f := newFixture(t, "packing")
	f.addWorkers(1)
	f.add(row("low", 1, 4, low), row("normal", 1, 4))
	for i, key := range []string{"u1", "u2", "u3", "u4"} {
		f.round(time.Second)
		f.add(row(key, 1, 4, urgent))
		d := f.round(time.Second)
		require.Len(t, d.GetStops(), 1)
		require.True(t, d.GetStops()[0].GetCheckpointFirst())
		victim := "low@1/0"
		if i == 3 {
			// The low-urgency task was preempted three times, so the other one is stopped.
			victim = "normal@1/0"
		}
		require.Equal(t, victim, d.GetStops()[0].GetTask())
		require.Equal(t, "stop_in_progress", f.waitReason(key+"@1"))
		require.Nil(t, f.round(time.Second), "nothing more is stopped for the same task")
		f.endStopping()
		f.round(time.Second)
		require.Equal(t, 1, f.active(key+"@1"))
		f.succeed(key + "@1/0")
	}
}

// Guards against starting a part of an all-at-once job.
func TestAllAtOnceJobStartsAsAWhole(t *testing.T) {
	f := newFixture(t, "packing")
	f.addWorkers(4)
	f.add(row("big", 5, 8, allAtOnce), row("four", 4, 5, allAtOnce), row("more", 4, 5, allAtOnce))
	f.round(time.Second)
	require.Equal(t, "exceeds_cell", f.waitReason("big@1"))
	require.Equal(t, 4, f.active("four@1"))
	require.Equal(t, 0, f.active("more@1"))
	require.Equal(t, "waits_for_all_tasks", f.waitReason("more@1"))
	f.fail("four@1/0")
	f.round(time.Second)
	require.Equal(t, "stop_in_progress", f.waitReason("four@1"))
	f.endStopping()
	f.round(time.Second)
	require.Equal(t, 4, f.active("four@1")+f.active("more@1"))
}

// Guards against a large job that starves because small tasks take capacity as it becomes free, and against a
// reservation that relies on declared ends: the small tasks declare an end and never end.
func TestReservationDoesNotRelyOnDeclaredEnds(t *testing.T) {
	f := newFixture(t, "packing")
	f.addWorkers(4)
	f.add(row("first", 4, 8))
	f.round(time.Second)
	f.add(row("big", 4, 8, allAtOnce))
	f.round(time.Second)
	f.rounds(61)
	f.succeed("first@1/0")
	f.add(row("small", 2, 4, declaredShort), row("long", 2, 4))
	f.round(time.Second)
	require.Equal(t, 2, f.active("small@1"), "reserved capacity does not stay idle")
	require.Equal(t, "no_capacity", f.waitReason("long@1"))
	f.succeed("first@1/1")
	f.round(time.Second)
	require.Equal(t, 0, f.active("long@1"))
	require.Equal(t, "behind_reservation", f.waitReason("long@1"))
	f.succeed("first@1/2")
	f.succeed("first@1/3")
	f.round(time.Second)
	f.endStopping()
	f.round(time.Second)
	require.Equal(t, 4, f.active("big@1"))
	require.Equal(t, 0, f.active("small@1"))
}

// Guards against a team that gets more than its weighted share while another team waits, and against capacity that
// stays unused.
func TestFairSharesFollowWeights(t *testing.T) {
	f := newFixture(t, "packing", &wire.Team{Name: "a", Weight: 1}, &wire.Team{Name: "b", Weight: 3})
	f.addWorkers(4)
	f.add(row("first", 100, 1, low), row("second", 100, 1, low, ofTeam("b")))
	f.round(time.Second)
	require.Equal(t, 8, f.active("first@1"))
	require.Equal(t, 24, f.active("second@1"))
}

// Guards against a team that stays above its fair share while another waits, and against stopping other than
// low-urgency batch tasks for fairness.
func TestLowUrgencyTasksAreStoppedForFairness(t *testing.T) {
	for _, tc := range []struct {
		name    string
		running *wire.JobSpec
		stops   bool
	}{
		{"low", row("fill", 32, 1, low), true},
		{"normal", row("fill", 32, 1), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, "packing", &wire.Team{Name: "a", Weight: 1}, &wire.Team{Name: "b", Weight: 1})
			f.addWorkers(4)
			f.add(tc.running)
			f.round(time.Second)
			require.Equal(t, 32, f.active("fill@1"))
			f.add(row("mine", 32, 1, ofTeam("b")))
			for range 200 {
				f.round(time.Second)
				f.endStopping()
			}
			require.Equal(t, tc.stops, f.active("mine@1") == 16, "active: %d", f.active("mine@1"))
		})
	}
}

// Guards against placements over a quota, and against a wrong reason for waiting on one.
func TestQuotas(t *testing.T) {
	f := newFixture(t, "packing", &wire.Team{Name: "a", Quota: size(4)})
	f.addWorkers(4)
	f.add(row("many", 6, 1), row("wide", 1, 5), row("group", 5, 1, allAtOnce))
	f.round(time.Second)
	require.Equal(t, 4, f.active("many@1"))
	require.Equal(t, "quota_reached", f.waitReason("many@1"))
	require.Equal(t, "exceeds_quota", f.waitReason("wide@1"))
	require.Equal(t, "exceeds_quota", f.waitReason("group@1"))
}

// Guards against a job that can never run and blocks others, and against a detail that does not state the limit.
func TestInfeasibleJobBlocksNoOthers(t *testing.T) {
	f := newFixture(t, "waiting")
	f.addWorkers(4)
	f.add(row("huge", 1, 9, urgent), row("fits", 1, 1))
	f.round(time.Second)
	require.Equal(t, "exceeds_largest_worker", f.waitReason("huge@1"))
	w, _ := f.planner.WaitStatus("huge@1")
	require.Equal(t,
		"A task asks for 9.0 processors and 36864 MB; no worker has more than 8.0 processors and 32768 MB.",
		w.Detail)
	require.Equal(t, 1, f.active("fits@1"))
}

// Guards against a service that loses all its tasks with one failure domain, and against one that cannot recover
// because the lost domain still counts for the spread.
func TestSpreadOverFailureDomains(t *testing.T) {
	f := newFixture(t, "packing")
	f.addWorkers(12)
	f.add(row("web", 6, 1, service, acrossDomains))
	f.round(time.Second)
	require.Equal(t, map[string]int{"d0": 2, "d1": 2, "d2": 2}, f.byDomain("web"))
	for _, name := range []string{"w00", "w01", "w02", "w03"} {
		f.loseWorker(name)
	}
	f.round(time.Second)
	require.Equal(t, map[string]int{"d1": 3, "d2": 3}, f.byDomain("web"))
}

func (f *fixture) byDomain(job string) map[string]int {
	counts := map[string]int{}
	for _, t := range f.cell.Job(job).Tasks() {
		if t.Active() {
			counts[f.cell.Worker(t.Worker()).FailureDomain()]++
		}
	}
	return counts
}

// Guards against violating the spread when a failure domain is full.
func TestSpreadWaitsForCapacity(t *testing.T) {
	f := newFixture(t, "packing")
	f.addWorker("x", "r", "d0", 8)
	f.addWorker("y", "r", "d1", 8)
	f.add(row("fill", 1, 8))
	f.round(time.Second)
	f.add(row("web", 2, 1, service, acrossDomains))
	f.round(time.Second)
	require.Equal(t, 1, f.active("web"))
	require.Equal(t, "spread_unsatisfied", f.waitReason("web"))
}

// Guards against a worker that fails every task and keeps getting tasks, and against attributing its failures to
// the jobs.
func TestFailingWorkerIsHeldAndProbed(t *testing.T) {
	f := newFixture(t, "packing")
	f.addWorkers(10)
	f.add(row("j1", 1, 1), row("j2", 1, 1), row("j3", 1, 1))
	f.round(time.Second)
	for _, id := range []string{"j1@1/0", "j2@1/0", "j3@1/0"} {
		require.Equal(t, "w00", f.cell.Task(id).Worker())
		f.fail(id)
	}
	f.round(time.Second)
	require.True(t, f.cell.Worker("w00").Held())
	require.Empty(t, f.cell.Job("j1@1").FailedWorkers())
	f.rounds(5)
	require.Equal(t, 1, f.active("j1@1"))
	f.rounds(30)
	require.True(t, f.cell.Worker("w00").Probing())
	f.add(row("many", 80, 1))
	f.round(time.Second)
	require.Len(t, f.cell.Worker("w00").Tasks(), 1, "a worker on probation runs one task")
	for id := range f.cell.Worker("w00").Tasks() {
		f.fail(id)
	}
	f.round(time.Second)
	require.True(t, f.cell.Worker("w00").Held())
	f.rounds(40)
	require.True(t, f.cell.Worker("w00").Held(), "the second hold lasts longer")
	f.rounds(25)
	require.False(t, f.cell.Worker("w00").Held())
}

// Guards against a fault common to all workers that makes the planner hold most of the cell.
func TestAtMostTenPercentOfWorkersAreHeld(t *testing.T) {
	f := newFixture(t, "waiting")
	f.addWorkers(20)
	for _, key := range []string{"a", "b", "c", "d"} {
		f.add(row(key, 20, 1))
	}
	for range 6 {
		f.round(time.Second)
		for id := range f.activeTasks() {
			f.fail(id)
		}
	}
	held := 0
	for _, w := range f.cell.Workers() {
		if w.Held() {
			held++
		}
	}
	require.LessOrEqual(t, held, 2)
}

func (f *fixture) activeTasks() map[string]bool {
	ids := map[string]bool{}
	for _, j := range f.cell.Jobs() {
		for _, t := range j.Tasks() {
			if t.Active() {
				ids[t.ID()] = true
			}
		}
	}
	return ids
}

// Guards against a job with a fault that gets workers held, and against retrying such a job forever.
func TestJobThatFailsOnThreeWorkersIsHeld(t *testing.T) {
	f := newFixture(t, "packing")
	f.addWorkers(10)
	f.add(row("bad", 1, 1))
	for range 3 {
		f.round(time.Second)
		f.fail("bad@1/0")
	}
	f.round(time.Second)
	f.round(time.Second)
	require.Equal(t, "job_held_after_failures", f.waitReason("bad@1"))
	for _, w := range f.cell.Workers() {
		require.Empty(t, w.FailedJobs())
	}
	f.rows[0] = row("bad", 1, 1, func(s *wire.JobSpec) { s.Command = "fixed" })
	f.applySheet()
	f.round(time.Second)
	f.round(time.Second)
	require.Equal(t, 1, f.active("bad@1"), "a changed row is released and stays released")
}

// Guards against a burst of starts after the loss of a failure domain, and against recovering runs before services.
func TestRecoveryIsRateLimitedAndServicesGoFirst(t *testing.T) {
	f := newFixture(t, "packing")
	for i, name := range []string{"x", "y", "z"} {
		f.addWorker(name, "r", []string{"d0", "d1", "d2"}[i], 1000)
	}
	f.add(row("batch", 200, 1), row("web", 150, 1, service))
	f.rounds(2)
	for _, t := range f.cell.Job("batch@1").Tasks() {
		require.NotEqual(f.t, "", t.Worker())
	}
	lost := f.cell.Task("batch@1/0").Worker()
	before := f.active("web")
	f.loseWorker(lost)
	waitingWeb := before - f.active("web")
	f.round(time.Second)
	require.Equal(t, min(waitingWeb, 100), before-f.cell.Job("web").Waiting()-(before-waitingWeb))
	require.Equal(t, "recovery_rate_limited", f.waitReason("batch@1"))
	f.rounds(4)
	require.Equal(t, 0, f.cell.Job("batch@1").Waiting())
}

// Guards against draining that stops a whole service at once, or that stops a run that must not start twice.
func TestDrainingIsGradual(t *testing.T) {
	f := newFixture(t, "packing")
	f.addWorker("x", "r0", "d0", 8)
	f.add(row("web", 3, 1, service), row("once", 1, 1, neverRestart), row("batch", 3, 1))
	f.round(time.Second)
	f.addWorker("y", "r1", "d1", 8)
	f.drain("x", true)
	f.round(time.Second)
	stopping := 0
	for _, t := range f.cell.Job("web").Tasks() {
		if t.Stopping() {
			stopping++
		}
	}
	require.LessOrEqual(t, stopping, 1)
	for range 20 {
		f.round(time.Second)
		f.endStopping()
		require.GreaterOrEqual(t, f.active("web"), 2)
	}
	require.Equal(t, "x", f.cell.Task("once@1/0").Worker())
	require.Len(t, f.cell.Worker("x").Tasks(), 1)
}

// Guards against a run that exceeds its declared memory at the expense of others, and against placing it with the
// declared size again.
func TestRunOverItsMemoryIsStoppedAndPlacedLarger(t *testing.T) {
	f := newFixture(t, "packing")
	f.addWorkers(2)
	f.add(row("fat", 1, 1), row("web", 1, 1, service))
	f.round(time.Second)
	overrunning, web := f.cell.Task("fat@1/0"), f.cell.Task("web/0")
	f.planner.Observe(f.cell, overrunning.ID(), overrunning.Attempt(), resource.NewMemory(5000), f.now)
	f.planner.Observe(f.cell, web.ID(), web.Attempt(), resource.NewMemory(5000), f.now)
	require.True(t, f.planner.Throttled(overrunning.ID(), overrunning.Attempt()))
	f.round(time.Second)
	require.False(t, overrunning.Stopping())
	f.rounds(5)
	require.Equal(t, "over_declared_memory", overrunning.StopReason())
	require.True(t, overrunning.CheckpointFirst())
	require.False(t, web.Stopping(), "a service is only throttled")
	f.endStopping()
	f.round(time.Second)
	require.Equal(t, int64(5500), overrunning.Placed().Memory())
}

// Guards against urgent tasks that wait for a task whose stop hangs.
func TestUrgentTaskDoesNotWaitForHangingStop(t *testing.T) {
	f := newFixture(t, "packing")
	f.addWorkers(2)
	f.add(row("low", 2, 8, low))
	f.round(time.Second)
	f.add(row("now", 1, 8, urgent))
	require.Len(t, f.round(time.Second).GetStops(), 1)
	require.Nil(t, f.round(2*time.Second))
	require.Len(t, f.round(time.Second).GetStops(), 1, "the other task is stopped as well")
}

// Guards against an all-at-once job that waits forever because its number of tasks was raised while it ran.
func TestGrownAllAtOnceJobStartsAgain(t *testing.T) {
	f := newFixture(t, "packing")
	f.addWorkers(4)
	f.add(row("group", 2, 1, allAtOnce))
	f.round(time.Second)
	f.rows[0] = row("group", 3, 1, allAtOnce)
	f.applySheet()
	f.round(time.Second)
	f.endStopping()
	f.round(time.Second)
	require.Equal(t, 3, f.active("group@1"))
}

// Guards against stopping a started batch run because its row was edited: the work of a run that must not start twice
// would be lost.
func TestChangedRowLeavesStartedRunsAlone(t *testing.T) {
	cases := []struct {
		name    string
		options []func(*wire.JobSpec)
		stops   int
	}{
		{"service", []func(*wire.JobSpec){service}, 1},
		{"batch", nil, 0},
		{"batch that must not start twice", []func(*wire.JobSpec){neverRestart}, 0},
		{"all at once", []func(*wire.JobSpec){allAtOnce}, 2},
		{"all at once that must not start twice", []func(*wire.JobSpec){allAtOnce, neverRestart}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, "packing")
			f.addWorkers(4)
			f.add(row("work", 2, 1, c.options...))
			f.round(time.Second)
			f.rows[0] = row("work", 2, 2, c.options...)
			f.applySheet()
			require.Len(t, f.round(time.Second).GetStops(), c.stops)
		})
	}
}

// Guards against rounds that use processor time while nothing changes.
func TestNothingToDecideWithoutAChange(t *testing.T) {
	f := newFixture(t, "waiting")
	f.addWorkers(4)
	f.add(row("web", 2, 1, service))
	require.NotNil(t, f.round(time.Second))
	require.Nil(t, f.round(time.Second))
	require.Zero(t, testing.AllocsPerRun(10, func() {
		f.now += time.Second
		f.planner.Decide(f.cell, f.now)
	}))
}
