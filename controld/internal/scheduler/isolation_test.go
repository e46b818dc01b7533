package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/wire"
)

// submitNamed submits a job of one task.
func (h *harness) submitNamed(id string) *batch.Task {
	h.commit(&wire.QueueCommand{Submit: &wire.SubmittedJob{Id: id, Queue: "q", Steps: []*wire.JobStep{oneTaskStep()}}})
	return h.batch.Task(id, 0, 0)
}

// loseWorker ends the run of a task with the loss of its worker.
func (h *harness) loseWorker(t *batch.Task, crash *wire.WorkerCrash) {
	crash.Worker, crash.Run = t.Incarnation().Worker(), uint32(t.Run())
	h.commit(&wire.QueueCommand{
		Ends: []*wire.RunEnd{newRunEnd(runID(t, t.Run()), runResult{
			outcome: wire.RunOutcome_RUN_OUTCOME_CUT_SHORT, crash: crash,
		})},
		Gone: []*wire.WorkerLife{workerLife(crash.Worker, 1)},
	})
}

// TestSuspectsAreIsolated guards against starting a task under which a worker has crashed beside other new runs, which
// a further crash would take along, so that it could not be attributed either.
func TestSuspectsAreIsolated(t *testing.T) {
	tests := []struct {
		name  string
		crash *wire.WorkerCrash
		// idle is set when the task must wait for a worker without runs.
		idle bool
	}{
		{"one of several suspects", &wire.WorkerCrash{}, false},
		{"one of the newest", &wire.WorkerCrash{Newest: true}, true},
		{"the only suspect", &wire.WorkerCrash{OnlySuspect: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil, "w1", "w2", "w3")
			h.connectWorkers()
			suspect := h.submitNamed(testJobID)
			running := h.submitNamed("00000000000000b1")
			second := h.submitNamed("00000000000000b2")
			h.advance(time.Millisecond)
			require.NotEqual(t, running.LastWorker(), second.LastWorker())
			h.loseWorker(suspect, test.crash)
			h.advance(probeTime - 10*time.Millisecond)
			require.Nil(t, suspect.Incarnation(), "no worker is without a new run")
			h.answerRenewals(map[string][]executor.Running{
				running.LastWorker(): {{Run: runID(running, 1)}}, second.LastWorker(): {{Run: runID(second, 1)}},
			}, nil)
			h.advance(decideInterval)
			require.Equal(t, test.idle, suspect.Incarnation() == nil)
			if test.idle {
				h.commit(&wire.QueueCommand{Ends: []*wire.RunEnd{newRunEnd(runID(running, 1),
					runResult{outcome: wire.RunOutcome_RUN_OUTCOME_DONE})}})
				h.advance(10 * time.Millisecond)
				require.Equal(t, running.LastWorker(), suspect.Incarnation().Worker())
			}
			third := h.submitNamed("00000000000000b3")
			h.advance(10 * time.Millisecond)
			require.NotEqual(t, suspect.Incarnation(), third.Incarnation(), "no other run starts beside it")
		})
	}
}

// TestSurvivedStartIsNoSuspect guards against counting the crash of a worker against tasks that it has run for some
// time: sound tasks on workers that crash for other reasons would be given up.
func TestSurvivedStartIsNoSuspect(t *testing.T) {
	h := newHarness(t, nil, "w1")
	h.connectWorkers()
	old := h.submitNamed(testJobID)
	h.advance(time.Millisecond)
	h.Started(h.takeStart(), h.answer(executor.Done), h.now)
	for i := range 4 {
		h.answerRenewals(map[string][]executor.Running{"w1": {{Run: runID(old, 1), Percent: 20 * i}}}, nil)
		h.advance(lateCrashWindow / 4)
	}
	newer := h.submitNamed("00000000000000b1")
	h.advance(time.Millisecond)
	h.answerRenewals(map[string][]executor.Running{"w1": {{Run: runID(old, 1)}, {Run: runID(newer, 1)}}}, nil)
	h.advance(time.Millisecond)
	command := h.restart(workerLife("w1", 2))
	require.Len(t, command.GetEnds(), 2)
	for _, end := range command.GetEnds() {
		require.Equal(t, end.GetJob() == newer.Step().Job().ID(), end.GetCrash() != nil, "only the new run is a suspect")
	}
}

// TestOnlyLatestStartsAreSuspects guards against suspecting each task that a worker has begun within a quarter of a second of
// its crash. With many crashing tasks, most suspects were sound, and all waited to start apart.
func TestOnlyLatestStartsAreSuspects(t *testing.T) {
	tests := []struct {
		name     string
		interval time.Duration
		earlier  bool
	}{
		{"one after the other", newestWindow + 10*time.Millisecond, false},
		{"together", newestWindow / 2, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil, "w1")
			h.connectWorkers()
			earlier := h.submitNamed(testJobID)
			h.advance(time.Millisecond)
			h.Started(h.takeStart(), h.answer(executor.Done), h.now)
			h.advance(test.interval)
			latest := h.submitNamed("00000000000000b1")
			h.advance(time.Millisecond)
			h.Started(h.takeStart(), h.answer(executor.Done), h.now)
			h.advance(10 * time.Millisecond)
			for _, o := range h.work.Renewals {
				h.Renewed(o, executor.Report{}, executor.Answer{}, h.now)
			}
			ends := h.restart(workerLife("w1", 2)).GetEnds()
			require.Len(t, ends, 2)
			for _, end := range ends {
				if end.GetJob() == latest.Step().Job().ID() {
					require.True(t, end.GetCrash().GetNewest())
					require.Equal(t, test.earlier, !end.GetCrash().GetOnlySuspect())
					continue
				}
				require.Equal(t, earlier.Step().Job().ID(), end.GetJob())
				require.Equal(t, test.earlier, end.GetCrash() != nil)
			}
		})
	}
}

// TestUnansweredStartIsNotConclusive guards against giving up a job after two crashes when its starts may have come too late
// for the workers, so that nothing of it ran there.
func TestUnansweredStartIsNotConclusive(t *testing.T) {
	tests := []struct {
		name       string
		answer     func(*harness) executor.Answer
		conclusive bool
	}{
		{"started", func(h *harness) executor.Answer { return h.answer(executor.Done) }, true},
		{"no answer", func(*harness) executor.Answer { return executor.Answer{} }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil, "w1")
			h.connectWorkers()
			h.submitNamed(testJobID)
			h.advance(time.Millisecond)
			h.Started(h.takeStart(), test.answer(h), h.now)
			h.advance(10 * time.Millisecond)
			for _, o := range h.work.Renewals {
				h.Renewed(o, executor.Report{}, executor.Answer{}, h.now)
			}
			ends := h.restart(workerLife("w1", 2)).GetEnds()
			require.Len(t, ends, 1)
			crash := ends[0].GetCrash()
			require.True(t, crash.GetConfirmed())
			require.True(t, crash.GetOnlySuspect(), "the start may have arrived")
			require.Equal(t, test.conclusive, crash.GetNewest())
		})
	}
}

// TestOtherWorkerAtAddress guards the runs of a worker at whose address another one answers. They have ended, as the
// worker has crashed, unless it still reports: then it has moved, and its runs must not be started elsewhere.
func TestOtherWorkerAtAddress(t *testing.T) {
	tests := []struct {
		name     string
		reports  bool
		replaced bool
	}{
		{"crashed", false, true},
		{"moved", true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil, "w1")
			h.connectWorkers()
			task := h.submitNamed(testJobID)
			h.advance(time.Millisecond)
			h.Started(h.takeStart(), h.answer(executor.Done), h.now)
			for range 8 {
				h.advance(300 * time.Millisecond)
				if test.reports {
					h.RecordReport(workerLife("w1", 1), h.now)
				}
				for _, o := range h.work.Renewals {
					h.Renewed(o, executor.Report{}, executor.Answer{Status: executor.OtherIncarnation}, h.now)
				}
				h.work.Renewals = nil
			}
			h.advance(sessionCheckInterval)
			require.Equal(t, test.replaced, task.Incarnation() == nil)
			require.Equal(t, test.replaced, h.batch.Incarnation("w1") == nil)
		})
	}
}

// TestSilentWorkerIsNoCrash guards against giving up or isolating the task of workers that are cut off for a while: they
// have not crashed, however often it happens.
func TestSilentWorkerIsNoCrash(t *testing.T) {
	h := newHarness(t, nil, "w1")
	h.connectWorkers()
	task := h.submitNamed(testJobID)
	for range 7 {
		h.advance(probeTime)
		h.advance(time.Millisecond)
		require.NotNil(t, task.Incarnation())
		h.Started(h.takeStart(), h.answer(executor.Done), h.now)
		for range 60 {
			h.advance(100 * time.Millisecond)
			for _, o := range h.work.Renewals {
				h.Renewed(o, executor.Report{}, executor.Answer{}, h.now)
			}
			h.work.Renewals = nil
		}
		require.Nil(t, task.Incarnation(), "the lease is over")
		require.Len(t, task.Crashes(), 1, "the worker may have crashed")
		h.advance(time.Second)
		h.answerRenewals(nil, nil)
		h.advance(time.Millisecond)
		require.Empty(t, task.Crashes(), "the worker has not crashed")
		require.False(t, task.Step().Suspected())
		h.answerRenewals(nil, nil)
	}
	require.NotEqual(t, wire.JobPhase_JOB_PHASE_FAILED, task.Step().Job().Phase())
}

// TestSuspectsKeepTheLimitsOfOthers guards against starting an isolated task where it may not run or should not: beside
// too many tasks of its step (seen as ROUTE on kapana-chairs-large), or on a worker on which it failed.
func TestSuspectsKeepTheLimitsOfOthers(t *testing.T) {
	h := newHarness(t, nil, "w1", "w2")
	h.connectWorkers()
	step := oneTaskStep()
	step.Count, step.MostPerWorker = 2, 1
	h.submit(step)
	h.advance(time.Millisecond)
	suspect, other := h.task(), h.batch.Task(testJobID, 0, 1)
	require.NotEqual(t, suspect.LastWorker(), other.LastWorker())
	h.loseWorker(suspect, &wire.WorkerCrash{})
	h.answerRenewals(map[string][]executor.Running{other.LastWorker(): {{Run: runID(other, 1)}}}, nil)
	h.advance(2 * probeTime)
	require.Nil(t, suspect.Incarnation(), "the other task of the step is on the only worker")
	h.commit(&wire.QueueCommand{Ends: []*wire.RunEnd{newRunEnd(runID(other, 1),
		runResult{outcome: wire.RunOutcome_RUN_OUTCOME_DONE})}})
	h.advance(decideInterval)
	require.NotNil(t, suspect.Incarnation())
	h.commit(&wire.QueueCommand{Ends: []*wire.RunEnd{newRunEnd(runID(suspect, 2),
		runResult{outcome: wire.RunOutcome_RUN_OUTCOME_FAILED})}})
	h.advance(probeTime)
	h.advance(probeTime)
	require.Nil(t, suspect.Incarnation(), "it has failed on the only worker")
}

// TestSuspectsKeepTheLimitOfCalls guards against naming more workers in one consent call than the service takes, when a
// wide gang needs its consent again for some workers and asks for more.
func TestSuspectsKeepTheLimitOfCalls(t *testing.T) {
	h := newConsentHarness(t, 300, 6)
	h.submit(&wire.JobStep{Count: 40, CpuMillis: 4000, EstimateMs: 1000, Gang: true})
	step := h.task().Step()
	granted := make([]string, 0, 30)
	for worker := range h.batch.Incarnations() {
		if len(granted) < cap(granted) {
			granted = append(granted, worker)
		}
	}
	h.grantTickets(step, h.now-time.Second, granted...)
	task := isolatedTask{waitingStep: waitingStep{step: step, tasks: step.Tasks()}, level: startsApart, isGang: true}
	h.Take()
	sessions, _ := h.probeSessions(h.now + time.Second)
	require.True(t, h.seekConsent(task, sessions, h.now+time.Second))
	require.Len(t, h.Take().ConsentRequests[0].Workers, maxWorkersPerCall)
}

// TestLikelyCausesWaitForFreeCapacity guards against spending workers on tasks under which two have crashed while the
// capacity is in use: each start most likely takes another worker away for some seconds.
func TestLikelyCausesWaitForFreeCapacity(t *testing.T) {
	h := newHarness(t, nil, "w1", "w2", "w3", "w4", "w5")
	h.connectWorkers()
	suspect := h.submitNamed(testJobID)
	for range 2 {
		h.advance(probeTime)
		h.advance(probeTime)
		require.NotNil(t, suspect.Incarnation())
		h.loseWorker(suspect, &wire.WorkerCrash{OnlySuspect: true})
		h.answerRenewals(nil, nil)
	}
	// The two that crashed may be any of the workers.
	var left []string
	for worker := range h.batch.Incarnations() {
		left = append(left, worker)
	}
	require.Len(t, left, 3)
	large := oneTaskStep()
	large.Count, large.CpuMillis = 2, 8000
	h.commit(&wire.QueueCommand{Submit: &wire.SubmittedJob{
		Id: "00000000000000b1", Queue: "q", Steps: []*wire.JobStep{large},
	}})
	h.commit(&wire.QueueCommand{Placements: []*wire.RunPlacement{
		{Job: "00000000000000b1", Index: 0, Run: 1, Worker: left[0], BornUnixMs: 1},
		{Job: "00000000000000b1", Index: 1, Run: 1, Worker: left[1], BornUnixMs: 1},
	}})
	for index := range 2 {
		require.NotNil(t, h.batch.Task("00000000000000b1", 0, index).Incarnation())
	}
	h.advance(probeTime)
	h.advance(decideInterval)
	require.Nil(t, suspect.Incarnation(), "two of three workers are in use")
	h.commit(&wire.QueueCommand{Ends: []*wire.RunEnd{newRunEnd(runID(h.batch.Task("00000000000000b1", 0, 0), 1),
		runResult{outcome: wire.RunOutcome_RUN_OUTCOME_DONE})}})
	h.advance(decideInterval)
	require.NotNil(t, suspect.Incarnation())
}

// TestSuspectsLeaveWorkersToOthers guards against suspects that keep all workers from other tasks while most of the capacity
// is free: after a storm of crashes there are hundreds, and nothing else started for seconds.
func TestSuspectsLeaveWorkersToOthers(t *testing.T) {
	const suspects, left = 8, 8
	var names []string
	for i := range suspects + left {
		names = append(names, fmt.Sprintf("w%02d", i))
	}
	h := newHarness(t, nil, names...)
	h.connectWorkers()
	var tasks []*batch.Task
	for i := range suspects {
		id := fmt.Sprintf("%016x", i)
		h.commit(&wire.QueueCommand{Submit: &wire.SubmittedJob{Id: id, Queue: "q", Steps: []*wire.JobStep{oneTaskStep()}}})
		h.commit(&wire.QueueCommand{Placements: []*wire.RunPlacement{{Job: id, Run: 1, Worker: names[i], BornUnixMs: 1}}})
		tasks = append(tasks, h.batch.Task(id, 0, 0))
	}
	for _, task := range tasks {
		h.loseWorker(task, &wire.WorkerCrash{Confirmed: true})
	}
	step := oneTaskStep()
	step.Count, step.CpuMillis = left, 8000
	h.submit(step)
	h.advance(decideInterval)
	started, others := 0, h.batch.Job(testJobID).Steps()[0].ActiveRuns()
	for _, task := range tasks {
		if task.Incarnation() != nil {
			started++
		}
	}
	require.Equal(t, int(maxApartShareIdle*left), started)
	require.Equal(t, left-started, others)
}
