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

// queuedRanMs returns the run times in the ends that the Scheduler is about to propose.
func (h *harness) queuedRanMs() []uint32 {
	var list []uint32
	for _, e := range h.ends {
		list = append(list, e.GetRanMs())
	}
	return list
}

// TestRanMs guards against learning from runs that say nothing about the length of a task, and against counting the delays
// of orders, reports and the leader itself as run time.
func TestRanMs(t *testing.T) {
	// start starts the only task and returns the run.
	start := func(h *harness) executor.Run {
		o := h.takeStart()
		h.Started(o, h.answer(executor.Done), h.now)
		return o.Order.Run
	}
	tests := []struct {
		name    string
		run     func(h *harness) executor.Run
		outcome executor.Outcome
		// cutOff is set if the renewal that was open before got no answer.
		cutOff bool
		// delay is how long the answer to the renewal takes to arrive.
		delay time.Duration
		want  uint32
	}{
		{name: "done", run: start, outcome: executor.OutcomeDone, want: 800},
		{name: "late answer", run: start, outcome: executor.OutcomeDone, delay: 300 * time.Millisecond, want: 800},
		{name: "reported late", run: start, outcome: executor.OutcomeDone, cutOff: true},
		{name: "failed", run: start, outcome: executor.OutcomeFailed},
		{name: "stopped", run: start, outcome: executor.OutcomeStopped},
		{
			name: "start resent", outcome: executor.OutcomeDone,
			run: func(h *harness) executor.Run {
				h.Started(h.takeStart(), executor.Answer{}, h.now)
				h.advance(time.Millisecond)
				return start(h)
			},
		},
		{
			name: "started by an earlier leader", outcome: executor.OutcomeDone,
			run: func(h *harness) executor.Run {
				run := start(h)
				h.startTerm(8)
				h.advance(0)
				h.answerRenewals(map[string][]executor.Running{"w1": {{Run: run}}}, nil)
				h.advance(0)
				return run
			},
		},
		{
			name: "resumed from a checkpoint", outcome: executor.OutcomeDone,
			run: func(h *harness) executor.Run {
				run := start(h)
				h.advance(0)
				h.answerRenewals(nil, map[string][]executor.Ended{
					"w1": {{Number: 1, Run: run, Outcome: executor.OutcomeStopped, Checkpoint: "c"}},
				})
				h.advance(time.Millisecond)
				return start(h)
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil, "w1")
			h.connectWorkers()
			h.submit(&wire.JobStep{Count: 1, CpuMillis: 1000, EstimateMs: 1000, Checkpoints: true})
			h.advance(0)
			run := test.run(h)
			h.advance(800 * time.Millisecond)
			require.NotEmpty(t, h.work.Renewals)
			if test.cutOff {
				open := h.work.Renewals[0]
				h.work.Renewals = nil
				h.Renewed(open, executor.Report{}, executor.Answer{}, h.now)
				h.advance(renewRetryDelay)
				h.advance(sessionCheckInterval)
			}
			o, answer := h.work.Renewals[0], h.answer(executor.Done)
			h.now += test.delay
			h.Renewed(o, executor.Report{
				StartedUnixMs: 1, Ended: []executor.Ended{{Number: 9, Run: run, Outcome: test.outcome}},
			}, answer, h.now)
			require.Equal(t, []uint32{test.want}, h.queuedRanMs())
		})
	}
}

// TestGangWaitNotLearned guards against counting as run time how long the members of a gang wait for the last one, and
// against learning from a gang once for each member.
func TestGangWaitNotLearned(t *testing.T) {
	h := newHarness(t, nil, "w1", "w2")
	h.connectWorkers()
	h.submit(&wire.JobStep{Count: 2, CpuMillis: 8000, EstimateMs: 1000, Gang: true})
	h.advance(0)
	require.Len(t, h.work.Starts, 2)
	ended := map[string][]executor.Ended{}
	for _, o := range h.work.Starts {
		h.Started(o, h.answer(executor.Done), h.now)
		ended[o.To.Worker] = []executor.Ended{{Number: 1, Run: o.Order.Run, Outcome: executor.OutcomeDone}}
		h.advance(200 * time.Millisecond)
	}
	h.advance(800 * time.Millisecond)
	h.answerRenewals(nil, ended)
	require.Equal(t, []uint32{1000, 1000}, h.queuedRanMs(), "200 ms of the first member's 1200 were a wait")
	h.advance(0)
	var weight uint64
	for _, c := range h.batch.State().GetRuntimes()[0].GetCells() {
		weight += c.GetWeight()
	}
	require.Equal(t, uint64(16), weight, "one sample")
}

// newLearningHarness returns a harness of which queue "q" has run times of three times what is declared.
func newLearningHarness(t *testing.T, learn bool) *harness {
	h := newHarness(t, nil, "w1")
	h.connectWorkers()
	h.cfg.LearnRunTimes = learn
	for i := range 100 {
		id := fmt.Sprintf("%016x", i)
		h.commit(&wire.QueueCommand{Submit: &wire.SubmittedJob{Id: id, Queue: "q", Steps: []*wire.JobStep{oneTaskStep()}}})
		h.batch.Apply(&wire.QueueCommand{Placements: []*wire.RunPlacement{{Job: id, Run: 1, Worker: "w1", BornUnixMs: 1}}})
		h.batch.Apply(&wire.QueueCommand{Ends: []*wire.RunEnd{{
			Job: id, Run: 1, Outcome: wire.RunOutcome_RUN_OUTCOME_DONE, RanMs: 3000,
		}}})
	}
	h.batch.TakeFinished()
	return h
}

// TestUseOfLearnedLengths guards against using learned lengths where the setting is off, and against parts of the order
// and of admission that do not use them where it is on.
func TestUseOfLearnedLengths(t *testing.T) {
	tests := []struct {
		learn                               bool
		length, objective, backlog, startBy int64
	}{
		{learn: false, length: 1000, objective: 3000, backlog: 20_000, startBy: 2000},
		{learn: true, length: 3000, objective: 7000, backlog: 60_000, startBy: 4000},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.learn), func(t *testing.T) {
			h := newLearningHarness(t, test.learn)
			accepted := h.now
			h.submit(&wire.JobStep{Count: 20, CpuMillis: 1000, EstimateMs: 1000})
			step := h.batch.Job(testJobID).Steps()[0]
			near := func(want, got int64, text string) {
				require.InEpsilon(t, want, got, 0.05, text)
			}
			timing := h.timings[step.Job()]
			near(test.length, h.stepMs(step), "length")
			near(test.length, timing.criticalPaths[0].Milliseconds(), "critical path")
			near(test.objective, timing.objective.Milliseconds(), "objective")
			near(accepted.Milliseconds()+test.startBy, h.latestStart(step).Milliseconds(), "latest start")
			r := &round{now: h.now, number: 1}
			h.addDemands(r)
			require.Len(t, r.demands, 1)
			near(test.length, r.demands[0].Length.Milliseconds(), "length of the demand")
			queue := h.batch.Queue("q")
			near(test.backlog, h.Admit(queue, step.Job().Spec(), h.now).Backlog, "backlog")
		})
	}
}

// TestAdmissionUsesLearnedLengths guards against refusing or accepting by declared lengths when the learned ones tell
// otherwise.
func TestAdmissionUsesLearnedLengths(t *testing.T) {
	for _, learn := range []bool{false, true} {
		t.Run(fmt.Sprint(learn), func(t *testing.T) {
			h := newLearningHarness(t, learn)
			h.submit(&wire.JobStep{Count: 50, CpuMillis: 1000, EstimateMs: 1000})
			// The declared backlog is 50 core-seconds on 8 cores, 7.4 s of a wait; three times as much by what was learned. A job
			// that declares one second must start within 8 s to have a value, one of three seconds within 18 s.
			spec := &wire.SubmittedJob{Steps: []*wire.JobStep{oneTaskStep()}}
			admission := h.Admit(h.batch.Queue("q"), spec, h.now)
			require.Equal(t, !learn, admission.Admitted)
			require.Equal(t, learn, admission.RetryAfter > 0)
		})
	}
}

// TestLearnedLengthOfWaitingJob guards against keeping for a job that waits what was expected when it came.
func TestLearnedLengthOfWaitingJob(t *testing.T) {
	h := newHarness(t, nil, "w1")
	h.cfg.LearnRunTimes = true
	h.submit(oneTaskStep())
	step := h.batch.Job(testJobID).Steps()[0]
	require.Equal(t, int64(1000), h.stepMs(step))
	for range 100 {
		h.batch.Runtimes().Record("q", 1000, 3000, 1)
	}
	h.advance(2 * timingInterval)
	require.InEpsilon(t, 3000, h.stepMs(step), 0.05)
}

// stepHarness returns a harness with learned lengths of a second and a step of four tasks, all of them running.
func stepHarness(t *testing.T) (*harness, *batch.Step, map[string]executor.Run) {
	h := newHarness(t, nil, "w1", "w2", "w3", "w4")
	h.cfg.LearnRunTimes = true
	for range 200 {
		h.batch.Runtimes().Record("q", 1000, 1000, 1)
	}
	h.connectWorkers()
	h.submit(&wire.JobStep{Count: 4, CpuMillis: 8000, EstimateMs: 1000})
	h.advance(0)
	require.Len(t, h.work.Starts, 4)
	runs := map[string]executor.Run{}
	for _, o := range h.work.Starts {
		h.Started(o, h.answer(executor.Done), h.now)
		runs[o.To.Worker] = o.Order.Run
	}
	return h, h.batch.Job(testJobID).Steps()[0], runs
}

// endRunOf reports the end of a worker's run.
func (h *harness) endRunOf(worker string, run executor.Run) {
	h.advance(0)
	h.answerRenewals(nil, map[string][]executor.Ended{worker: {{Number: 1, Run: run, Outcome: executor.OutcomeDone}}})
	h.advance(time.Millisecond)
	h.advance(time.Millisecond)
}

// TestEndsRefineStep guards against expecting the queue's length of the rest of a step of which the first tasks have shown
// another, and against taking the first ends, which are those of the short tasks, for all.
func TestEndsRefineStep(t *testing.T) {
	h, step, runs := stepHarness(t)
	require.InEpsilon(t, 1000, h.stepMs(step), 0.05)
	h.now += 2 * time.Second
	h.endRunOf("w1", runs["w1"])
	require.Greater(t, h.stepMs(step), int64(1600))
	first := h.stepMs(step)
	h.now += time.Second
	h.endRunOf("w2", runs["w2"])
	require.Greater(t, h.stepMs(step), first, "the others have taken longer already")
	require.Equal(t, h.stepMs(step), h.timings[step.Job()].criticalPaths[0].Milliseconds())

	h, step, runs = stepHarness(t)
	h.now += 300 * time.Millisecond
	h.endRunOf("w1", runs["w1"])
	require.Less(t, h.stepMs(step), int64(600))
}

// TestOutlierDoesNotRefineStep guards against expecting of a whole step what one run of a few percent takes.
func TestOutlierDoesNotRefineStep(t *testing.T) {
	h, step, runs := stepHarness(t)
	h.now += time.Second
	for _, worker := range []string{"w1", "w2", "w3"} {
		h.endRunOf(worker, runs[worker])
	}
	h.now += 6 * time.Second
	h.endRunOf("w4", runs["w4"])
	require.Less(t, h.timings[step.Job()].ended[0].logSum, 4*7.4, "the mean of the logarithms is below that of 1.6 s")
}

// TestRemainingTimeGrows guards against expecting a run that takes longer than expected to end at any moment.
func TestRemainingTimeGrows(t *testing.T) {
	h, step, _ := stepHarness(t)
	task := step.Tasks()[0]
	s := h.currentSession(task.Incarnation())
	r := s.runs[task]
	var before time.Duration
	for _, ran := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		remaining := h.remainingTime(task, r, r.startedAt+ran)
		require.GreaterOrEqual(t, remaining, ran/4)
		require.Greater(t, remaining, before)
		before = remaining
	}
	require.InEpsilon(t, time.Second, h.remainingTime(task, r, r.startedAt), 0.05)
	// A worker at half the speed takes twice as long.
	for range 50 {
		h.speedEstimator.Record(s.incarnation.Worker(), time.Second, 2*time.Second, 0.3)
		h.speedEstimator.Record("other", time.Second, time.Second, 0.3)
	}
	require.Greater(t, h.remainingTime(task, r, r.startedAt), 1300*time.Millisecond)
}

// TestLearnedSpeed guards against taking for a worker's speed that the queue's declared lengths are all too short.
func TestLearnedSpeed(t *testing.T) {
	for _, learn := range []bool{false, true} {
		t.Run(fmt.Sprint(learn), func(t *testing.T) {
			h := newLearningHarness(t, learn)
			for i := range 10 {
				id := fmt.Sprintf("00000000000001%02x", i)
				h.commit(&wire.QueueCommand{Submit: &wire.SubmittedJob{Id: id, Queue: "q", Steps: []*wire.JobStep{oneTaskStep()}}})
				h.advance(time.Second)
				o := h.takeStart()
				h.Started(o, h.answer(executor.Done), h.now)
				h.advance(3 * time.Second)
				h.work.Renewals = h.work.Renewals[max(0, len(h.work.Renewals)-1):]
				h.answerRenewals(nil, map[string][]executor.Ended{
					"w1": {{Number: uint64(i + 1), Run: o.Order.Run, Outcome: executor.OutcomeDone}},
				})
				h.advance(time.Millisecond)
			}
			speed := h.speedOf(h.sessions["w1"])
			if learn {
				require.InDelta(t, 1, speed, 0.1)
			} else {
				require.Less(t, speed, 0.7)
			}
		})
	}
}
