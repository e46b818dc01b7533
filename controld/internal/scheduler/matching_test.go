package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

const (
	wideGang  = "a gang that is too wide"
	tooLarge  = "too large a task"
	noLabel   = "a label that no worker has"
	afterStep = "a step after one that no worker can run"
)

// impossibleSteps returns the steps of jobs that no worker of a labeled harness can run, by why not. Their work is large.
func impossibleSteps(kind string) []*wire.JobStep {
	step := &wire.JobStep{Count: 12, CpuMillis: 6000, EstimateMs: 1600}
	switch kind {
	case noLabel:
		step.Label = "c"
	case tooLarge:
		step.CpuMillis = 9000
	case wideGang:
		step.Count, step.Gang = 100, true
	case afterStep:
		first := &wire.JobStep{Count: 1, CpuMillis: 100, EstimateMs: 1, Label: "c"}
		step.After = []uint32{0}
		return []*wire.JobStep{first, step}
	}
	return []*wire.JobStep{step}
}

var impossibleKinds = []string{noLabel, tooLarge, wideGang, afterStep}

func labeledLife(worker, label string) *wire.WorkerLife {
	life := workerLife(worker, 1)
	life.Labels = []string{label}
	return life
}

// newLabeledHarness returns a harness with workers of 8 cores that have the label a, apart from one with the label b.
func newLabeledHarness(t *testing.T, workers int, weighted bool) *harness {
	t.Helper()
	h := newHarness(t, nil)
	config := &wire.QueueConfig{Version: 2, Queues: []*wire.Queue{
		{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 1.5, AllowanceMs: 250},
		{Name: "later", Host: "h", Prefix: "/l/", Pool: "p", Attempts: 2, Stretch: 2, AllowanceMs: 1000, Priority: 2},
	}}
	if weighted {
		config.Workspaces = []*wire.Workspace{{Name: "one", Weight: 100}, {Name: "two", Weight: 100}}
	}
	h.commit(&wire.QueueCommand{Configure: config})
	for i := range workers {
		label := "a"
		if i == workers-1 {
			label = "b"
		}
		h.commit(&wire.QueueCommand{Workers: []*wire.WorkerLife{labeledLife(fmt.Sprintf("w%03d", i), label)}})
	}
	h.connectWorkers()
	h.now += 10 * time.Second
	h.advance(0)
	h.answerRenewals(nil, nil)
	return h
}

// submitJob submits a job and commits it.
func (h *harness) submitJob(id, queue string, steps ...*wire.JobStep) *batch.Job {
	h.commit(&wire.QueueCommand{Submit: &wire.SubmittedJob{Id: id, Queue: queue, Steps: steps}})
	return h.batch.Job(id)
}

// TestImpossibleWorkIsNotAhead guards against rejecting jobs because of work that no worker can run (review/8, RECOVER):
// it counted as work ahead of each new job, for good.
func TestImpossibleWorkIsNotAhead(t *testing.T) {
	for _, weighted := range []bool{false, true} {
		for _, kind := range impossibleKinds {
			t.Run(fmt.Sprintf("%s, weights %v", kind, weighted), func(t *testing.T) {
				h := newLabeledHarness(t, 4, weighted)
				offer := func(id string, steps ...*wire.JobStep) Admission {
					job := &wire.SubmittedJob{Id: id, Queue: "q", Workspace: "one", Steps: steps}
					a := h.Admit(h.batch.Queue("q"), job, h.now)
					if a.Admitted {
						h.commit(&wire.QueueCommand{Submit: job})
					}
					return a
				}
				for i := range 40 {
					require.True(t, offer(fmt.Sprintf("f%015x", i), impossibleSteps(kind)...).Admitted, "it may become possible")
				}
				for _, wait := range []time.Duration{0, time.Second, time.Minute} {
					h.now += wait
					a := offer(fmt.Sprintf("%016x", wait), oneTaskStep())
					require.True(t, a.Admitted, a.Reason)
					require.Zero(t, a.Wait)
					require.LessOrEqual(t, a.Ahead, int64(2000), "only ordinary work waits")
					require.Less(t, a.Backlog, int64(4000), "only ordinary work waits")
				}
				h.startTerm(9)
				require.True(t, h.Admit(h.batch.Queue("q"), &wire.SubmittedJob{
					Id: "00000000000000ff", Queue: "q", Steps: []*wire.JobStep{oneTaskStep()},
				}, h.now).Admitted, "a new leader")
				for i := range 40 {
					h.commit(&wire.QueueCommand{Cancel: fmt.Sprintf("f%015x", i)})
				}
				h.advance(0)
				require.Zero(t, h.Impossible())
				require.Empty(t, h.jobs.impossible)
			})
		}
	}
}

// TestImpossibleStepsTakeNoPlace guards against steps that no worker can run taking all places of each round (review/9,
// LOST): overdue tasks behind them were never placed beside idle workers.
func TestImpossibleStepsTakeNoPlace(t *testing.T) {
	for _, kind := range impossibleKinds {
		t.Run(kind, func(t *testing.T) {
			h := newLabeledHarness(t, 4, false)
			for i := range 2 * maxDemandsPerRound {
				h.submitJob(fmt.Sprintf("f%015x", i), "q", impossibleSteps(kind)...)
			}
			h.now += time.Second
			job := h.submitJob(testJobID, "q", oneTaskStep())
			h.now += time.Minute
			require.Equal(t, allocator.Overdue, func() allocator.Lateness {
				_, lateness := h.startBy(job.Steps()[0], h.now)
				return lateness
			}())
			r := &round{now: h.now, number: 1}
			h.addDemands(r)
			require.True(t, slices.Contains(r.steps, job.Steps()[0]), "it has no place in the round")
			require.Len(t, r.steps, 1)
			require.Equal(t, 2*maxDemandsPerRound, h.Impossible())
		})
	}
}

// TestStepsOfFullWorkersLeavePlaces guards against steps that only workers without room can run taking all places of a
// round, whatever their lateness: other steps waited beside idle workers.
func TestStepsOfFullWorkersLeavePlaces(t *testing.T) {
	tests := []struct {
		name string
		step *wire.JobStep
		wait time.Duration
	}{
		{"in time", &wire.JobStep{Count: 1, CpuMillis: 4000, EstimateMs: 10000, Label: "b"}, 0},
		{"late", &wire.JobStep{Count: 1, CpuMillis: 4000, EstimateMs: 1000, Label: "b"}, 3 * time.Second},
		{"overdue", &wire.JobStep{Count: 1, CpuMillis: 4000, EstimateMs: 1000, Label: "b"}, time.Minute},
		{"gangs", &wire.JobStep{Count: 2, CpuMillis: 3000, EstimateMs: 10000, Label: "b", Gang: true}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newLabeledHarness(t, 4, false)
			h.submitJob("00000000000000bb", "q", &wire.JobStep{Count: 1, CpuMillis: 8000, EstimateMs: 1000, Label: "b"})
			h.advance(0)
			require.Len(t, h.work.Starts, 1, "the only worker with the label is full")
			for i := range 2 * maxDemandsPerRound {
				h.submitJob(fmt.Sprintf("f%015x", i), "q", test.step)
			}
			h.now += 100 * time.Millisecond
			job := h.submitJob(testJobID, "q", &wire.JobStep{Count: 1, CpuMillis: 7000, EstimateMs: test.step.GetEstimateMs()})
			r := &round{now: h.now + test.wait, number: 1}
			h.addDemands(r)
			require.True(t, slices.Contains(r.steps, job.Steps()[0]), "it has no place in the round")
			require.Len(t, r.demands, maxDemandsPerRound, "the others have the places that are left")
		})
	}
}

// TestOverdueStepsTakeTurns guards against overdue steps that a rule of the allocator bars keeping younger ones from
// being looked at.
func TestOverdueStepsTakeTurns(t *testing.T) {
	h := newLabeledHarness(t, 4, false)
	h.alloc = allocator.New(allocator.Config{Headroom: 0.12, StopTime: 400 * time.Millisecond, MaxReservingGangs: 1})
	for i := range 4 {
		h.submitJob(fmt.Sprintf("e%015x", i), "q", &wire.JobStep{Count: 1, CpuMillis: 500, EstimateMs: 60000})
		h.advance(10 * time.Millisecond)
	}
	require.Len(t, h.work.Starts, 4)
	h.work.Starts = nil
	// Beside the headroom, they fit on no worker that runs anything.
	for i := range 3 * maxDemandsPerRound {
		h.submitJob(fmt.Sprintf("f%015x", i), "later", &wire.JobStep{Count: 1, CpuMillis: 7200, EstimateMs: 100})
	}
	h.now += 100 * time.Millisecond
	job := h.submitJob(testJobID, "later", &wire.JobStep{Count: 1, CpuMillis: 6900, EstimateMs: 200})
	h.now += 2 * time.Minute
	for _, s := range h.sessions {
		s.lastAnswerAt = h.now
	}
	for range 6 {
		if placements := h.decide(h.now); len(placements) > 0 {
			require.Equal(t, job.ID(), placements[0].GetJob())
			return
		}
		h.now += decideInterval
	}
	require.Fail(t, "a step that fits was not looked at in six rounds")
}

// TestIsolatedTasksTakeTurns guards against isolated tasks that wait for an idle worker keeping others from being looked at.
func TestIsolatedTasksTakeTurns(t *testing.T) {
	h := newLabeledHarness(t, 4, false)
	var ends []*wire.RunEnd
	submit := func(id, label, worker string) {
		h.submitJob(id, "q", &wire.JobStep{Count: 1, CpuMillis: 50, EstimateMs: 60000, Label: label})
		h.commit(&wire.QueueCommand{Placements: []*wire.RunPlacement{{Job: id, Run: 1, Worker: worker, BornUnixMs: 1}}})
		ends = append(ends, &wire.RunEnd{
			Job: id, Run: 1, Outcome: wire.RunOutcome_RUN_OUTCOME_CUT_SHORT,
			Crash: &wire.WorkerCrash{Worker: worker, BornUnixMs: 1, Run: 1, OnlySuspect: true, Confirmed: true},
		})
	}
	for i := range maxDemandsPerRound + 20 {
		submit(fmt.Sprintf("f%015x", i), "b", "w003")
	}
	submit(testJobID, "a", "w000")
	h.commit(&wire.QueueCommand{Ends: ends})
	require.True(t, h.batch.Job(testJobID).Steps()[0].Suspected())
	h.submitJob("00000000000000bb", "q", &wire.JobStep{Count: 1, CpuMillis: 500, EstimateMs: 60000, Label: "b"})
	h.commit(&wire.QueueCommand{Placements: []*wire.RunPlacement{{Job: "00000000000000bb", Run: 1, Worker: "w003", BornUnixMs: 1}}})
	h.now += probeTime
	for range 3 {
		if placements := h.decide(h.now); len(placements) > 0 {
			require.Equal(t, testJobID, placements[0].GetJob())
			return
		}
		h.now += decideInterval
	}
	require.Fail(t, "a task that fits was not looked at in three rounds")
}

// TestWorkersMakeWorkPossible guards the moments at which work becomes possible or impossible: a step that no worker can
// run has no place in a round, and gets one as soon as a worker that can run it is known.
func TestWorkersMakeWorkPossible(t *testing.T) {
	life := func(cpu int64, sequence uint64, labels ...string) *wire.WorkerLife {
		report := workerLife("w1", 1)
		report.CpuMillis, report.Sequence, report.Labels = cpu, sequence, labels
		return report
	}
	draining := life(8000, 2, "c")
	draining.Draining = true
	otherPool := life(8000, 2, "c")
	otherPool.Pool = "other"
	tests := []struct {
		name          string
		before, after *wire.WorkerLife
		possible      bool
	}{
		{"a worker with the label joins", nil, life(8000, 1, "c"), true},
		{"a worker gets the label", life(8000, 1, "a"), life(8000, 2, "c", "a"), true},
		{"a worker grows", life(3000, 1, "c"), life(8000, 2, "c"), true},
		{"a worker loses the label", life(8000, 1, "c"), life(8000, 2, "a"), false},
		{"a worker shrinks", life(8000, 1, "c"), life(3000, 2, "c"), false},
		{"a worker drains", life(8000, 1, "c"), draining, false},
		{"a worker moves to another pool", life(8000, 1, "c"), otherPool, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			if test.before != nil {
				h.commit(&wire.QueueCommand{Workers: []*wire.WorkerLife{test.before}})
			}
			step := h.submitJob(testJobID, "q", &wire.JobStep{Count: 1, CpuMillis: 4000, Label: "c"}).Steps()[0]
			waiting := func() int { return len(h.waitingSteps(&round{now: h.now})) }
			change := func(possible bool) {
				impossible := 1
				if possible {
					impossible = 0
				}
				require.Equal(t, 1-impossible, waiting())
				require.Equal(t, impossible, h.Impossible())
				why, detail := h.missingWorkersOf(step)
				require.Equal(t, possible, why == reason.None)
				require.Equal(t, possible, detail == "")
			}
			change(!test.possible)
			command := h.RecordReport(test.after, h.now)
			require.NotNil(t, command, "the change must be committed")
			h.commit(command)
			change(test.possible)
			h.startTerm(9)
			change(test.possible)
			if test.possible {
				h.commit(&wire.QueueCommand{Gone: []*wire.WorkerLife{test.after}})
				change(false)
			}
		})
	}
}

// TestWaitNamesWhatIsMissing guards against a wait whose reason does not say what would end it, and against a new leader
// that takes the few workers it has heard of for all.
func TestWaitNamesWhatIsMissing(t *testing.T) {
	tests := []struct {
		name   string
		step   *wire.JobStep
		want   reason.Reason
		detail string
	}{
		{"label", &wire.JobStep{Count: 1, CpuMillis: 1000, Label: "c"}, reason.NoMatchingWorker, "No worker of pool p has the label c."},
		{
			"size among the workers with the label", &wire.JobStep{Count: 1, CpuMillis: 9000, MemoryMb: 10, Label: "b"},
			reason.ExceedsLargestWorker,
			"Each task needs 9.0 processors and 10 MB; any worker with the label b has at most 8.0 processors and 8000 MB.",
		},
		{
			"all at once", &wire.JobStep{Count: 3, CpuMillis: 4000, Label: "b", Gang: true}, reason.ExceedsCell,
			"All 3 tasks must start at once; all workers that could run them have room for 2.",
		},
		{
			"all at once, apart", &wire.JobStep{Count: 5, CpuMillis: 10, Gang: true, MostPerWorker: 1}, reason.ExceedsCell,
			"All 5 tasks must start at once; all workers that could run them have room for 4.",
		},
		{"nothing", &wire.JobStep{Count: 1, CpuMillis: 8000, Label: "b"}, reason.NoWorkers, "No worker that could run it (1) takes new runs now."},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newLabeledHarness(t, 4, false)
			step := h.submitJob(testJobID, "q", test.step).Steps()[0]
			h.startTerm(9)
			h.advance(0)
			for _, o := range h.work.Renewals {
				if o.Incarnation.Worker() == "w000" {
					h.work.Renewals = []RenewOrder{o}
					break
				}
			}
			h.answerRenewals(nil, nil)
			require.Equal(t, WorkerReady, h.WorkerState(h.batch.Incarnation("w000"), h.now))
			w := h.Wait(step, h.now)
			require.Equal(t, test.want, w.Reason)
			require.Equal(t, test.detail, w.Detail)
		})
	}
}

// TestFailedEverywhereHoldsUpNothing guards against a task that has failed on all workers that could run it counting as
// work ahead of others, or taking a place in a round, while it may not return to them.
func TestFailedEverywhereHoldsUpNothing(t *testing.T) {
	h := newLabeledHarness(t, 4, false)
	h.submitJob(testJobID, "q", &wire.JobStep{Count: 1, CpuMillis: 8000, EstimateMs: 60000, Label: "b"})
	h.advance(0)
	o := h.takeStart()
	h.commit(&wire.QueueCommand{Ends: []*wire.RunEnd{{
		Job: testJobID, Run: 1, Outcome: wire.RunOutcome_RUN_OUTCOME_FAILED,
	}}})
	require.Equal(t, "w003", o.Incarnation.Worker())
	h.advance(retryDelay - time.Second)
	require.Empty(t, h.waitingSteps(&round{now: h.now}))
	require.Zero(t, h.Impossible(), "the cell has the worker that it needs")
	w := h.Wait(h.batch.Job(testJobID).Steps()[0], h.now)
	require.Equal(t, reason.WaitsToRetry, w.Reason)
	require.Contains(t, w.Detail, "It has failed on each worker that could run it (1)")
	require.Zero(t, h.countBacklog(0, h.now).coreMsAhead(h.batch.Queue("q")).sum())
	require.Equal(t, 0, h.Pending(h.batch.Queue("q"), h.now), "it has begun")
	require.Len(t, h.waitingSteps(&round{now: h.now + time.Second}), 1)
}

// TestAdmissionAfterEndedJobs guards against counting jobs that have ended since the last round and whose times are
// dropped already.
func TestAdmissionAfterEndedJobs(t *testing.T) {
	h := newLabeledHarness(t, 4, true)
	h.earliestRound = h.now + time.Hour
	for i := range forgetBatchSize + 10 {
		h.submitJob(fmt.Sprintf("%016x", i), "q", oneTaskStep())
		h.commit(&wire.QueueCommand{Cancel: fmt.Sprintf("%016x", i)})
	}
	h.advance(0)
	require.Empty(t, h.timings)
	require.NotEmpty(t, h.jobs.runnable)
	a := h.Admit(h.batch.Queue("q"), &wire.SubmittedJob{Id: testJobID, Queue: "q", Steps: []*wire.JobStep{oneTaskStep()}}, h.now+time.Second)
	require.True(t, a.Admitted)
	require.Zero(t, a.Backlog)
}

// TestRestartedWorkerKeepsMatches guards against matching all jobs anew each time that a worker starts again as it was.
func TestRestartedWorkerKeepsMatches(t *testing.T) {
	h := newLabeledHarness(t, 4, false)
	version := h.matchVersion
	life := labeledLife("w001", "a")
	life.BornUnixMs = 2
	h.commit(&wire.QueueCommand{Workers: []*wire.WorkerLife{life}})
	h.updateMatcher()
	require.Equal(t, version, h.matchVersion)
	h.advance(sessionCheckInterval)
	require.NotNil(t, h.currentSession(h.batch.Incarnation("w001")).group)
	life.BornUnixMs, life.CpuMillis = 3, 4000
	h.commit(&wire.QueueCommand{Workers: []*wire.WorkerLife{life}})
	h.updateMatcher()
	require.Equal(t, version+1, h.matchVersion)
}

// TestPendingCountsImpossibleJobs guards against a number of pending jobs without those that no worker can run: they were
// accepted and have not begun.
func TestPendingCountsImpossibleJobs(t *testing.T) {
	h := newLabeledHarness(t, 4, false)
	for i := range 5 {
		h.submitJob(fmt.Sprintf("f%015x", i), "q", impossibleSteps(noLabel)...)
	}
	h.advance(0)
	require.Equal(t, 5, h.Impossible())
	require.Equal(t, 5, h.Pending(h.batch.Queue("q"), h.now))
}

// TestWaitOfFewWorkers guards against one wait for all jobs of a queue: work for a part of the workers delays the jobs
// that need them, and the others only as far as they have to share them.
func TestWaitOfFewWorkers(t *testing.T) {
	task := func(label string) *wire.JobStep {
		return &wire.JobStep{Count: 1, CpuMillis: 1000, EstimateMs: 1000, Label: label}
	}
	tests := []struct {
		name     string
		waiting  string
		label    string
		admitted bool
	}{
		{"other workers are idle", "b", "", true},
		{"the same few workers", "b", "b", false},
		{"other few workers", "b", "a", true},
		{"all workers", "", "", false},
		{"all workers, of which it needs few", "", "b", false},
		{"most workers", "a", "", true},
	}
	for _, weighted := range []bool{false, true} {
		for _, test := range tests {
			t.Run(fmt.Sprintf("%s, weights %v", test.name, weighted), func(t *testing.T) {
				h := newLabeledHarness(t, 4, weighted)
				for i := range 60 {
					h.submitJob(fmt.Sprintf("f%015x", i), "q", &wire.JobStep{Count: 16, CpuMillis: 1000, EstimateMs: 1000, Label: test.waiting})
				}
				a := h.Admit(h.batch.Queue("q"), &wire.SubmittedJob{
					Id: testJobID, Queue: "q", Steps: []*wire.JobStep{task(test.label)},
				}, h.now)
				require.Equal(t, test.admitted, a.Admitted, "%+v", a)
				require.Equal(t, test.admitted, a.RetryAfter == 0)
			})
		}
	}
}

// TestConsentIsAskedForWorkersThatFit guards against using up the consent service's time with workers that are too small
// for a step.
func TestConsentIsAskedForWorkersThatFit(t *testing.T) {
	h := newConsentHarness(t, 4, 3)
	large := workerLife("w100", 1)
	large.CpuMillis = 16000
	h.commit(&wire.QueueCommand{Workers: []*wire.WorkerLife{large}})
	h.advance(sessionCheckInterval)
	h.connectWorkers()
	h.submit(&wire.JobStep{Count: 1, CpuMillis: 9000, EstimateMs: 1000})
	h.advance(0)
	require.Len(t, h.work.ConsentRequests, 1)
	require.Equal(t, []string{"w100"}, h.work.ConsentRequests[0].Workers)
	c := h.consentFor(h.batch.Job(testJobID).Steps()[0])
	c.pending, c.denied = map[string]bool{}, map[string]bool{"w100": true}
	h.changed = true
	h.advance(time.Second)
	require.Equal(t, 1, h.Impossible(), "the service has refused all workers that fit")
	require.Equal(t, reason.WaitsForConsent, h.Wait(h.batch.Job(testJobID).Steps()[0], h.now).Reason)
}

// TestRefusedGangHoldsUpNothing guards against a gang that the consent service allows on too few workers, and has refused on
// all others, taking a place and a reservation in each round.
func TestRefusedGangHoldsUpNothing(t *testing.T) {
	h := newConsentHarness(t, 4, 3)
	h.submit(&wire.JobStep{Count: 4, CpuMillis: 8000, EstimateMs: 1000, Gang: true})
	h.advance(0)
	step := h.batch.Job(testJobID).Steps()[0]
	h.grantTickets(step, h.now+time.Minute, "w000", "w001")
	require.Equal(t, 4, h.possibleTasks(step), "two workers have not been asked")
	h.consentFor(step).denied["w002"] = true
	h.changed = true
	h.advance(time.Second)
	require.Equal(t, 1, h.Impossible())
	w := h.Wait(step, h.now)
	require.Equal(t, reason.WaitsForConsent, w.Reason)
	require.Contains(t, w.Detail, "refused 1")
	h.commit(&wire.QueueCommand{Workers: []*wire.WorkerLife{workerLife("w004", 1)}})
	h.advance(time.Second)
	require.Zero(t, h.Impossible(), "a worker has joined that may be allowed")
}

// TestCostOfImpossibleWork guards against rounds and admission that look at each job that no worker can run.
func TestCostOfImpossibleWork(t *testing.T) {
	h := newLabeledHarness(t, 50, false)
	for i := range 3000 {
		step := impossibleSteps(impossibleKinds[i%len(impossibleKinds)])[0]
		step.CpuMillis += int64(i)
		h.submitJob(fmt.Sprintf("f%015x", i), "q", step)
	}
	h.advance(0)
	require.Equal(t, 3000, h.Impossible())
	require.Empty(t, h.jobs.runnable)
	require.Empty(t, h.countBacklog(0, h.now).work)
	allocations := testing.AllocsPerRun(10, func() { h.waitingSteps(&round{now: h.now}) })
	require.LessOrEqual(t, allocations, 2.0)
}

// BenchmarkImpossibleWork measures a round with one new job, its admission, and its cancelling, beside jobs that no worker
// can run.
func BenchmarkImpossibleWork(b *testing.B) {
	for _, workers := range []int{50, 640} {
		for _, impossible := range []int{0, 100, 5000} {
			b.Run(fmt.Sprintf("workers=%d/impossible=%d", workers, impossible), func(b *testing.B) {
				h := newLabeledHarness(&testing.T{}, workers, false)
				for i := range impossible {
					h.submitJob(fmt.Sprintf("f%015x", i), "q", impossibleSteps(noLabel)...)
				}
				h.advance(0)
				// Full workers let the rounds end without placements, so that each of them costs the same.
				h.submitJob("00000000000000bb", "q", &wire.JobStep{Count: uint32(workers), CpuMillis: 8000, EstimateMs: 60000})
				h.advance(time.Millisecond)
				b.ResetTimer()
				for i := range b.N {
					job := &wire.SubmittedJob{Id: fmt.Sprintf("%016x", i), Queue: "q", Steps: []*wire.JobStep{oneTaskStep()}}
					h.backlog.valid = false
					h.Admit(h.batch.Queue("q"), job, h.now)
					h.commit(&wire.QueueCommand{Submit: job})
					h.decide(h.now)
					h.commit(&wire.QueueCommand{Cancel: job.GetId()})
				}
			})
		}
	}
}
