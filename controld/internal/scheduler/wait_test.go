package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// TestWait guards the answer to "why does it wait": each reason is named when it holds, and no other.
func TestWait(t *testing.T) {
	policy := &wire.ConsentPolicy{CallMs: 400, WorkerMs: 1, ValidMs: 2000}
	step := func(cpu int64, count uint32, gang bool) *wire.JobStep {
		return &wire.JobStep{Count: count, CpuMillis: cpu, Gang: gang, EstimateMs: 2000}
	}
	after := step(1000, 1, false)
	after.After = []uint32{0}
	tests := []struct {
		name    string
		consent *wire.ConsentPolicy
		workers []string
		heard   bool
		steps   []*wire.JobStep
		asked   int
		want    reason.Reason
		detail  string
	}{
		{name: "no worker has answered", workers: []string{"a"}, steps: []*wire.JobStep{step(1000, 1, false)}, want: reason.NoWorkers},
		{name: "too large", workers: []string{"a"}, heard: true, steps: []*wire.JobStep{step(9000, 1, false)}, want: reason.ExceedsLargestWorker},
		{name: "no room", workers: []string{"a"}, heard: true, steps: []*wire.JobStep{step(8000, 2, false)}, want: reason.NoCapacity},
		{
			name: "no room for all", workers: []string{"a"}, heard: true,
			steps: []*wire.JobStep{step(8000, 1, false), step(4000, 2, true)}, asked: 1, want: reason.WaitsForAll,
			detail: "By what runs now there should be room on 1 worker in 1.9 s.",
		},
		{
			name: "an earlier step", workers: []string{"a"}, heard: true, steps: []*wire.JobStep{step(1000, 1, false), after}, asked: 1,
			want: reason.WaitsForStep,
		},
		{
			name: "no consent", consent: policy, workers: []string{"a", "b"}, heard: true, steps: []*wire.JobStep{step(1000, 1, false)},
			want: reason.WaitsForConsent, detail: "It has allowed 0 workers and refused 0; it is asked for 2 now.",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDesk(t, test.consent, test.workers...)
			if test.consent != nil {
				d.RecordHelperBeat(&wire.HelperBeat{Name: "h", Address: "h:1"}, d.now)
			}
			if test.heard {
				d.ready()
			}
			d.submit(test.steps...)
			d.turn(0)
			d.turn(100 * time.Millisecond)
			got := d.Wait(d.batch.Job(job).Steps()[test.asked], d.now)
			require.Equal(t, test.want, got.Reason)
			require.Contains(t, got.Detail, test.detail)
			require.False(t, got.Late)
			require.True(t, d.Wait(d.batch.Job(job).Steps()[test.asked], d.now+time.Minute).Late, "after its objective")
		})
	}
}

// TestWaitForRoomWithConsent guards a gang that waits for room against being said to wait for consent because its tickets
// are renewed only shortly before its start, and the other way round.
func TestWaitForRoomWithConsent(t *testing.T) {
	d := consentDesk(t, 2, 3)
	d.submit(&wire.JobStep{Count: 2, CpuMillis: 8000, Gang: true, EstimateMs: 2000})
	step := d.batch.Job(job).Steps()[0]
	d.granted(step, d.now-time.Second, "w000", "w001")
	waits := func(in time.Duration) reason.Reason {
		d.last = outcome{steps: []*batch.Step{step}, waiting: []allocator.WaitingGang{{Feasible: true, StartIn: in}}}
		return d.Wait(step, d.now).Reason
	}
	require.Equal(t, reason.WaitsForAll, waits(time.Second))
	require.Equal(t, reason.WaitsForConsent, waits(0))
	delete(d.consent(step).granted, d.batch.Incarnation("w001"))
	require.Equal(t, reason.WaitsForConsent, waits(time.Second), "one worker cannot hold it")
}

// TestStates guards what is told of workers and runs against a guess: a worker is ready, and a run is on it, only after
// the worker has said so.
func TestStates(t *testing.T) {
	d := newDesk(t, nil, "a")
	life := d.batch.Incarnation("a")
	require.Equal(t, WorkerUnheard, d.WorkerState(life, d.now))
	d.ready()
	require.Equal(t, WorkerReady, d.WorkerState(life, d.now))
	d.submit(&wire.JobStep{Count: 1, CpuMillis: 1000, EstimateMs: 2000})
	d.turn(0)
	task := d.batch.Job(job).Steps()[0].Tasks()[0]
	require.Equal(t, RunState{}, d.RunState(task, d.now))
	d.Started(d.start(), d.answer(executor.Done), d.now)
	require.Equal(t, RunState{Age: time.Second, Confirmed: true}, d.RunState(task, d.now+time.Second))
	require.Equal(t, 2*time.Second, d.KnownFor(d.batch.Job(job), d.now+2*time.Second))
	require.Equal(t, WorkerSilent, d.WorkerState(life, d.now+2*time.Second))
}
