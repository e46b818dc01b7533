package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// finishTime is how long after the end of the traffic all accepted work must run on a cell that is mostly idle.
const finishTime = 14 * time.Second

// pass lets time go by while all workers answer and all runs go on.
func (h *harness) pass(d time.Duration) {
	for until := h.now + d; h.now < until; {
		h.advance(min(50*time.Millisecond, until-h.now))
		running := map[string][]executor.Running{}
		for worker, s := range h.sessions {
			for t, r := range s.runs {
				running[worker] = append(running[worker], executor.Running{Run: runID(t, r.number), Percent: 100})
			}
		}
		h.answerRenewals(running, nil)
	}
}

// failRun ends the run of a task, or the runs of its gang, with a failure on the worker of the task.
func (h *harness) failRun(t *batch.Task) {
	h.t.Helper()
	require.NotNil(h.t, t.Incarnation())
	h.recordFailure(h.currentSession(t.Incarnation()), h.now)
	ends := []*wire.RunEnd{newRunEnd(runID(t, t.Run()), runResult{outcome: wire.RunOutcome_RUN_OUTCOME_FAILED})}
	for _, member := range t.Step().Tasks() {
		if member != t && t.Step().Spec().GetGang() {
			ends = append(ends, newRunEnd(runID(member, member.Run()), cutShort("", "broken")))
		}
	}
	h.commit(&wire.QueueCommand{Ends: ends})
}

// waitUntilStarted returns how long a task waits for its start; it fails the test after a limit.
func (h *harness) waitUntilStarted(t *batch.Task, limit time.Duration) time.Duration {
	h.t.Helper()
	began := h.now
	for t.Incarnation() == nil {
		require.Less(h.t, h.now-began, limit, "it is never started")
		h.pass(50 * time.Millisecond)
	}
	return h.now - began
}

// configureAttempts sets the attempts of the queue q.
func (h *harness) configureAttempts(attempts uint32, consent *wire.ConsentPolicy) {
	h.commit(&wire.QueueCommand{Configure: &wire.QueueConfig{Version: 9, Queues: []*wire.Queue{
		{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: attempts, Stretch: 2, AllowanceMs: 1000, Consent: consent},
	}}})
}

// TestFailedEverywhereReturns guards against a task that has failed on each worker that could run it never being started
// again, with attempts left (review/12, LOST). It waits for retryDelay, so that workers that fail all that they start for a
// while do not use up its attempts.
func TestFailedEverywhereReturns(t *testing.T) {
	label := &wire.JobStep{Count: 1, CpuMillis: 2000, EstimateMs: 2700, Label: "b"}
	whole := &wire.JobStep{Count: 1, CpuMillis: 8000, EstimateMs: 2700}
	gang := &wire.JobStep{Count: 4, CpuMillis: 8000, EstimateMs: 1000, Gang: true}
	tests := []struct {
		name string
		step *wire.JobStep
		// workers is on how many workers the step fails first.
		workers int
		// attempts is how many attempts the queue allows.
		attempts uint32
		// disturb comes between the failures and the wait.
		disturb func(*harness, *batch.Task)
	}{
		{"one worker has the label", label, 1, 3, nil},
		{"one worker has the label, last attempt", label, 1, 2, nil},
		{"all workers of the cell", whole, 4, 6, nil},
		{"all workers of the cell, last attempt", whole, 4, 5, nil},
		{"a gang that needs all workers", gang, 1, 3, nil},
		{"a gang that needs all workers, last attempt", gang, 1, 2, nil},
		{"another leader", label, 1, 3, func(h *harness, _ *batch.Task) {
			h.startTerm(9)
			h.connectWorkers()
		}},
		{"a leader that restores a snapshot", label, 1, 3, func(h *harness, _ *batch.Task) {
			h.batch = batch.Restore(h.batch.State())
			h.startTerm(9)
			h.connectWorkers()
		}},
		{"the consent service has refused all others", whole, 1, 3, func(h *harness, task *batch.Task) {
			h.configureAttempts(3, &wire.ConsentPolicy{CallMs: 1, WorkerMs: 0.1, ValidMs: 60_000})
			h.grantTickets(task.Step(), h.now+time.Hour, task.LastWorker())
			for worker := range h.batch.Incarnations() {
				if worker != task.LastWorker() {
					h.consentFor(task.Step()).denied[worker] = true
				}
			}
		}},
		{"all others have left the service", whole, 1, 3, func(h *harness, task *batch.Task) {
			for worker := range h.batch.Incarnations() {
				if worker != task.LastWorker() {
					h.commit(&wire.QueueCommand{Gone: []*wire.WorkerLife{workerLife(worker, 1)}})
				}
			}
		}},
		{"all others have lost the label", whole, 1, 3, func(h *harness, task *batch.Task) {
			for worker := range h.batch.Incarnations() {
				if worker != task.LastWorker() {
					life := workerLife(worker, 1)
					life.Sequence, life.CpuMillis = 9, 4000
					h.commit(&wire.QueueCommand{Workers: []*wire.WorkerLife{life}})
				}
			}
		}},
		{"a suspect of a crash", label, 1, 3, func(h *harness, task *batch.Task) {
			h.commit(&wire.QueueCommand{Workers: []*wire.WorkerLife{labeledLife("w009", "b")}})
			h.connectWorkers()
			h.pass(100 * time.Millisecond)
			require.NotNil(h.t, task.Incarnation())
			h.loseWorker(task, &wire.WorkerCrash{OnlySuspect: true, Confirmed: true})
			require.Equal(h.t, runsAlone, isolationOf(task))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newLabeledHarness(t, 4, false)
			h.configureAttempts(test.attempts, nil)
			h.submitJob(testJobID, "q", test.step)
			task := h.task()
			for range test.workers {
				h.waitUntilStarted(task, 3*time.Second)
				h.failRun(task)
			}
			failedAt := h.now
			if test.disturb != nil {
				test.disturb(h, task)
			}
			task = h.task()
			h.pass(failedAt + maxPause - 100*time.Millisecond - h.now)
			require.Nil(t, task.Incarnation(), "its workers may still fail all that they start")
			require.Zero(t, h.Impossible(), "no other worker is needed")
			h.waitUntilStarted(task, failedAt+finishTime-h.now)
			for task.FailuresLeft() > 0 {
				h.waitUntilStarted(task, finishTime)
				h.failRun(task)
			}
			require.Equal(t, wire.JobPhase_JOB_PHASE_FAILED, h.batch.Job(testJobID).Phase(), "its attempts are used up")
		})
	}
}

// TestFailedTaskPrefersOtherWorkers guards against a task returning to a worker on which it has failed while another one
// has room, and against one that never returns because the others never have any.
func TestFailedTaskPrefersOtherWorkers(t *testing.T) {
	h := newLabeledHarness(t, 2, false)
	h.configureAttempts(4, nil)
	h.submitJob(testJobID, "q", &wire.JobStep{Count: 1, CpuMillis: 2000, EstimateMs: 1000})
	task := h.task()
	h.waitUntilStarted(task, time.Second)
	first := task.LastWorker()
	h.failRun(task)
	h.waitUntilStarted(task, time.Second)
	require.NotEqual(t, first, task.LastWorker(), "at once on the other worker")
	second := task.LastWorker()
	h.commit(&wire.QueueCommand{Ends: []*wire.RunEnd{newRunEnd(runID(task, task.Run()), cutShort("", "stopped"))}})
	h.commit(&wire.QueueCommand{Submit: &wire.SubmittedJob{Id: "00000000000000bb", Queue: "q", Steps: []*wire.JobStep{
		{Count: 1, CpuMillis: 8000, EstimateMs: 60_000},
	}}})
	h.commit(&wire.QueueCommand{Placements: []*wire.RunPlacement{
		{Job: "00000000000000bb", Run: 1, Worker: second, BornUnixMs: 1},
	}})
	h.waitUntilStarted(task, finishTime)
	require.Equal(t, first, task.LastWorker(), "the other worker is full")
}

// TestUnprovenWorkersEndByThemselves guards against gangs and last attempts that never start because the latest runs of all
// workers failed and only they wait, so that no run can succeed (review/11, LOST).
func TestUnprovenWorkersEndByThemselves(t *testing.T) {
	tests := []struct {
		name     string
		attempts uint32
		step     *wire.JobStep
	}{
		{"gang", 2, &wire.JobStep{Count: 4, CpuMillis: 4000, EstimateMs: 1000, Gang: true}},
		{"last attempt", 1, oneTaskStep()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newLabeledHarness(t, 4, false)
			h.configureAttempts(test.attempts, nil)
			for _, s := range h.sessions {
				s.failureStreak = 5
			}
			h.submitJob(testJobID, "q", test.step)
			h.pass(maxPause - 100*time.Millisecond)
			require.Nil(t, h.task().Incarnation(), "it waits for workers whose latest runs did not fail")
			h.waitUntilStarted(h.task(), finishTime-maxPause)
		})
	}
}

// TestFailingWorkerTakesLastAttemptsLast guards against a failing worker that uses up the last attempts of sound tasks while
// others, which have more, could show that it is sound again.
func TestFailingWorkerTakesLastAttemptsLast(t *testing.T) {
	h := newLabeledHarness(t, 1, false)
	h.configureAttempts(2, nil)
	h.submitJob(testJobID, "q", oneTaskStep())
	last := h.task()
	h.waitUntilStarted(last, time.Second)
	h.failRun(last)
	require.Equal(t, 1, last.FailuresLeft())
	for _, s := range h.sessions {
		s.failureStreak = 5
	}
	h.pass(retryDelay - time.Second)
	h.currentSession(h.batch.Incarnation("w000")).pausedUntil = h.now + 2*time.Second
	h.submitJob("00000000000000bb", "q", oneTaskStep())
	other := h.batch.Task("00000000000000bb", 0, 0)
	h.waitUntilStarted(other, 3*time.Second)
	require.Nil(t, last.Incarnation(), "one run at a time shows whether the worker still fails")
	require.NotNil(t, other.Incarnation())
}

// TestDelayedJobsCostNothing guards against rounds that look at each job whose tasks wait to return to their workers.
func TestDelayedJobsCostNothing(t *testing.T) {
	h := newLabeledHarness(t, 4, false)
	h.configureAttempts(3, nil)
	var ends []*wire.RunEnd
	for i := range 2000 {
		id := fmt.Sprintf("%016x", i)
		h.submitJob(id, "q", &wire.JobStep{Count: 1, CpuMillis: 1, EstimateMs: 1, Label: "b"})
		h.commit(&wire.QueueCommand{Placements: []*wire.RunPlacement{{Job: id, Run: 1, Worker: "w003", BornUnixMs: 1}}})
		ends = append(ends, newRunEnd(executor.Run{Job: id, Run: 1}, runResult{outcome: wire.RunOutcome_RUN_OUTCOME_FAILED}))
	}
	h.commit(&wire.QueueCommand{Ends: ends})
	require.Empty(t, h.waitingSteps(&round{now: h.now}))
	require.Empty(t, h.jobs.runnable)
	require.Len(t, h.jobs.delayed, 2000)
	require.Empty(t, h.countBacklog(0, h.now).work)
	allocations := testing.AllocsPerRun(10, func() { h.waitingSteps(&round{now: h.now}) })
	require.LessOrEqual(t, allocations, 2.0)
	h.commit(&wire.QueueCommand{Cancel: fmt.Sprintf("%016x", 7)})
	require.Len(t, h.waitingSteps(&round{now: h.now + retryDelay}), 1999)
	require.Empty(t, h.jobs.delayed)
}

// TestNewWorkerEndsDelay guards against tasks that wait to return to their workers although another one has joined.
func TestNewWorkerEndsDelay(t *testing.T) {
	h := newLabeledHarness(t, 4, false)
	h.submitJob(testJobID, "q", &wire.JobStep{Count: 1, CpuMillis: 2000, EstimateMs: 2700, Label: "b"})
	h.waitUntilStarted(h.task(), time.Second)
	h.failRun(h.task())
	h.pass(time.Second)
	require.Len(t, h.jobs.delayed, 1)
	h.commit(&wire.QueueCommand{Workers: []*wire.WorkerLife{labeledLife("w009", "b")}})
	h.connectWorkers()
	require.Less(t, h.waitUntilStarted(h.task(), time.Second), 500*time.Millisecond)
	require.Equal(t, "w009", h.task().LastWorker())
}

// TestHeadroomEndsByItself guards against a task that the headroom bars as long as each worker runs something (review/10,
// LOST).
func TestHeadroomEndsByItself(t *testing.T) {
	tests := []struct {
		name string
		// busy is the part of each worker that is in use, and need that of the task, in thousandths of a core.
		busy, need int64
		// wait is how long the headroom stays free at least, and limit how long the task may wait.
		wait, limit time.Duration
	}{
		{"more than the headroom leaves of a worker", 250, 7500, time.Second, finishTime},
		{"more than it leaves beside the runs", 3000, 4900, time.Second, finishTime},
		{"most of the capacity in use", 4500, 3400, finishTime, time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newLabeledHarness(t, 4, false)
			h.alloc = allocator.New(allocator.Config{Headroom: 0.12, StopTime: 400 * time.Millisecond, MaxReservingGangs: 1})
			var placements []*wire.RunPlacement
			h.submitJob("00000000000000bb", "later", &wire.JobStep{Count: 4, CpuMillis: test.busy, EstimateMs: 60_000})
			for i, worker := range []string{"w000", "w001", "w002", "w003"} {
				placements = append(placements, &wire.RunPlacement{
					Job: "00000000000000bb", Index: uint32(i), Run: 1, Worker: worker, BornUnixMs: 1,
				})
			}
			h.commit(&wire.QueueCommand{Placements: placements})
			h.submitJob(testJobID, "later", &wire.JobStep{Count: 1, CpuMillis: test.need, EstimateMs: 1000})
			h.pass(test.wait - 100*time.Millisecond)
			require.Nil(t, h.task().Incarnation(), "the headroom is for bursts of urgent tasks")
			h.waitUntilStarted(h.task(), test.limit)
		})
	}
}

// TestIsolationWaitOfManyTasks guards against the wait of an isolated task beginning anew in each round that has no place
// for it: with more than a round looks at, none would ever start beside other runs.
func TestIsolationWaitOfManyTasks(t *testing.T) {
	h := newLabeledHarness(t, 4, false)
	var ends []*wire.RunEnd
	for i := range 3 * maxDemandsPerRound {
		id := fmt.Sprintf("f%015x", i)
		h.submitJob(id, "q", &wire.JobStep{Count: 1, CpuMillis: 10, EstimateMs: 60_000, Label: "b"})
		h.commit(&wire.QueueCommand{Placements: []*wire.RunPlacement{{Job: id, Run: 1, Worker: "w003", BornUnixMs: 1}}})
		ends = append(ends, &wire.RunEnd{
			Job: id, Run: 1, Outcome: wire.RunOutcome_RUN_OUTCOME_CUT_SHORT,
			Crash: &wire.WorkerCrash{Worker: "w003", BornUnixMs: 1, Run: 1, OnlySuspect: true, Confirmed: true},
		})
	}
	h.commit(&wire.QueueCommand{Ends: ends})
	began := h.now
	for range 5 {
		h.decide(h.now)
		h.now += decideInterval
	}
	require.Len(t, h.isolatedSince, 3*maxDemandsPerRound)
	for task, since := range h.isolatedSince {
		require.Equal(t, began, since, taskName(task))
	}
}

// TestIsolatedTaskOnBusyWorker guards against an isolated task that never starts because the only worker with its label
// always has new runs.
func TestIsolatedTaskOnBusyWorker(t *testing.T) {
	for _, onlySuspect := range []bool{false, true} {
		h := newLabeledHarness(t, 4, false)
		h.commit(&wire.QueueCommand{Workers: []*wire.WorkerLife{labeledLife("w009", "b")}})
		h.connectWorkers()
		h.submitJob(testJobID, "q", &wire.JobStep{Count: 1, CpuMillis: 100, EstimateMs: 1000, Label: "b"})
		h.waitUntilStarted(h.task(), time.Second)
		h.loseWorker(h.task(), &wire.WorkerCrash{OnlySuspect: onlySuspect, Confirmed: true})
		var others []*batch.Task
		for number := 0; h.task().Incarnation() == nil; number++ {
			require.Less(t, number, 600, "it is never started")
			id := fmt.Sprintf("b%015x", number)
			h.submitJob(id, "q", &wire.JobStep{Count: 1, CpuMillis: 100, EstimateMs: 100, Label: "b"})
			others = append(others, h.batch.Task(id, 0, 0))
			h.pass(100 * time.Millisecond)
			others = slices.DeleteFunc(others, func(o *batch.Task) bool {
				if o.Incarnation() == nil {
					return false
				}
				h.commit(&wire.QueueCommand{Ends: []*wire.RunEnd{newRunEnd(runID(o, o.Run()),
					runResult{outcome: wire.RunOutcome_RUN_OUTCOME_DONE})}})
				return true
			})
		}
	}
}

// TestWaitSaysWhenATaskReturns guards against a job that waits with attempts left and does not say what for.
func TestWaitSaysWhenATaskReturns(t *testing.T) {
	h := newLabeledHarness(t, 4, false)
	step := h.submitJob(testJobID, "q", &wire.JobStep{Count: 1, CpuMillis: 8000, EstimateMs: 1000, Label: "b"}).Steps()[0]
	h.waitUntilStarted(h.task(), time.Second)
	h.failRun(h.task())
	h.pass(time.Second)
	w := h.Wait(step, h.now)
	require.Equal(t, reason.WaitsToRetry, w.Reason)
	require.Equal(t, "It has failed on each worker that could run it (1) and may return to them in 7.0 s; 1 more failure fails the job.",
		w.Detail)
}
