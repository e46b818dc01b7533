package explainer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/scheduler"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// fakeScheduler is a Scheduler that has known each job for three seconds and each run for one second.
type fakeScheduler struct {
	wait       scheduler.Wait
	workers    scheduler.WorkerState
	impossible int
}

func (f fakeScheduler) Impossible() int { return f.impossible }

func (f fakeScheduler) Wait(step *batch.Step, _ time.Duration) scheduler.Wait {
	if !step.Ready() {
		return scheduler.Wait{Reason: reason.WaitsForStep}
	}
	return f.wait
}

func (fakeScheduler) KnownFor(*batch.Job, time.Duration) time.Duration { return 3 * time.Second }

func (fakeScheduler) RunState(t *batch.Task, _ time.Duration) scheduler.RunState {
	return scheduler.RunState{Age: time.Second, Confirmed: t.Incarnation() != nil}
}

func (f fakeScheduler) WorkerState(*batch.Incarnation, time.Duration) scheduler.WorkerState {
	return f.workers
}

// queueFixture adds to fixture two queues, a worker, job j1 with a running step and a step that depends on it, and job
// j2 with a gang that waits.
func queueFixture(t *testing.T) *Explainer {
	e := fixture(t)
	e.NowUnixMs = nowUnixMs
	e.Scheduler = fakeScheduler{
		wait: scheduler.Wait{Reason: reason.WaitsForAll, Detail: "There should be room soon.", Late: true},
	}
	b := e.Cell.Batch()
	for _, command := range []*wire.QueueCommand{
		{Configure: &wire.QueueConfig{Version: 1, Queues: []*wire.Queue{
			{Name: "settle", Priority: 1}, {Name: "confirm", Priority: 0},
		}}},
		{Workers: []*wire.WorkerLife{{Worker: "w-1", BornUnixMs: 1, CpuMillis: 8000, MemoryMb: 4096, Rack: "r-1"}}},
		{Submit: &wire.SubmittedJob{Id: "j1", Queue: "settle", Steps: []*wire.JobStep{
			{Count: 1, CpuMillis: 2000}, {Count: 2, CpuMillis: 1000, After: []uint32{0}},
		}}},
		{Submit: &wire.SubmittedJob{Id: "j2", Queue: "settle", Steps: []*wire.JobStep{
			{Count: 3, CpuMillis: 4000, Gang: true},
		}}},
		{Placements: []*wire.RunPlacement{{Job: "j1", Run: 1, Worker: "w-1", BornUnixMs: 1}}},
	} {
		result, _ := b.Apply(command)
		require.Empty(t, result.GetReason())
	}
	return e
}

// TestQueueRunTimes checks that the run times that were learned of a queue are listed.
func TestQueueRunTimes(t *testing.T) {
	e := queueFixture(t)
	for range 50 {
		e.Cell.Batch().Runtimes().Record("confirm", 0, 1200, 1)
	}
	queue := e.Queues()[0]
	require.InEpsilon(t, 1200, queue.LearnedRunMs, 0.01)
	require.Contains(t, queue.Sentence, "Its runs take 1.2s on average.")
	require.Zero(t, e.Queues()[1].LearnedRunMs)
}

// TestQueues checks the counts of each queue: jobs, tasks, and reasons for waiting.
func TestQueues(t *testing.T) {
	queues := queueFixture(t).Queues()
	require.Len(t, queues, 2)
	require.Equal(t, "confirm", queues[0].Queue, "an empty queue is listed too, and the most urgent comes first")
	require.Equal(t, "0 jobs wait, 0 have begun; 0 tasks are on workers, 0 wait.", queues[0].Sentence)
	require.Equal(t, &Queue{
		Queue: "settle", Priority: 1, WaitingJobs: 1, RunningJobs: 1, WaitingTasks: 5, RunningTasks: 1,
		LateJobs: 1, LongestWaitMs: 3000,
		Reasons: map[reason.Reason]int{reason.WaitsForAll: 1, reason.WaitsForStep: 1},
		Sentence: "1 job waits, 1 has begun; 1 task is on workers, 5 wait. The longest wait is 3s. " +
			"1 job can no longer meet the objective, so work that can goes first.",
	}, queues[1])
}

// TestWhySubmitted checks the answers about submitted jobs, their tasks and their workers.
func TestWhySubmitted(t *testing.T) {
	e := queueFixture(t)
	tests := []struct {
		name, kind string
		sentences  []string
	}{
		{"j2", "submitted_job", []string{
			"Job j2 was submitted to queue settle. It has waited for its first start for 3s.",
			"Step 0, 3 tasks together of 4.0 processors each: 0 done, 0 on workers, 3 waiting. " +
				waitSentences[reason.WaitsForAll] + " There should be room soon. " +
				"It can no longer meet its objective, so work that can goes first.",
		}},
		{"j1", "submitted_job", []string{
			"Job j1 was submitted to queue settle. It has begun and is known to this leader for 3s.",
			"Step 0, 1 task of 2.0 processors each: 0 done, 1 on workers, 0 waiting.",
			"Step 1, 2 tasks of 1.0 processors each: 0 done, 0 on workers, 2 waiting. " + waitSentences[reason.WaitsForStep],
		}},
		{"w-1", "worker", []string{"Worker w-1 is in rack r-1. 1 task, 2.0 of 8.0 processors and 0 of 4096 MB are taken."}},
	}
	for _, test := range tests {
		answer := e.Why(test.name)
		require.NotNil(t, answer, test.name)
		require.Equal(t, test.kind, answer.Kind)
		require.Equal(t, test.sentences, answer.Sentences)
	}
	require.Equal(t, []*Task{{
		Task: "j1/0/0", Team: "settle", Kind: "submitted", State: "running", Worker: "w-1", SinceUnixMs: nowUnixMs - 1000,
		Sentence: "Run 1 is on worker w-1, for 1s as far as this leader knows.",
	}}, e.Why("j1/0/0").Tasks)
	require.Nil(t, e.Why("j1/0/9"))
	e.Cell.Batch().Apply(&wire.QueueCommand{Cancel: "j2"})
	require.Equal(t, "Job j2 was submitted to queue settle. It was canceled.", e.Why("j2").Sentences[0])
}

// TestListsNameSubmittedJobs checks that submitted jobs and their workers are in the lists, the status and its
// problems.
func TestListsNameSubmittedJobs(t *testing.T) {
	e := queueFixture(t)
	waiting := e.Waiting()
	require.Equal(t, "j2", waiting[len(waiting)-1].Job, "j1 has no ready step that waits")
	require.Equal(t, 3, waiting[len(waiting)-1].Tasks)
	list := e.List()
	require.Equal(t, "j1/0/0", list[len(list)-1].Task)
	hosts := e.Hosts()
	require.Equal(t, "w-1", hosts[len(hosts)-1].Name)
	require.Contains(t, e.Status().Sentences,
		"Submitted jobs: 1 wait, 1 have begun; 1 task is on workers. 1 of 1 worker takes new runs.")
	e.Scheduler = fakeScheduler{workers: scheduler.WorkerSilent, impossible: 2}
	require.Contains(t, e.Status().Problems, "1 worker does not answer: w-1.")
	require.Contains(t, e.Status().Problems, "No worker takes new runs, and submitted jobs have not ended.")
	require.Contains(t, e.Status().Problems,
		"2 submitted jobs wait for workers that the cell does not have; flamingoctl waiting says what each of them lacks.")
}
