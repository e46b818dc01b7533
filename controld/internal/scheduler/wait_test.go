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

// TestWait guards the explanation of a wait: each reason is given when it applies, and no other.
func TestWait(t *testing.T) {
	policy := &wire.ConsentPolicy{CallMs: 400, WorkerMs: 1, ValidMs: 2000}
	step := func(cpu int64, count uint32, gang bool) *wire.JobStep {
		return &wire.JobStep{Count: count, CpuMillis: cpu, Gang: gang, EstimateMs: 2000}
	}
	after := step(1000, 1, false)
	after.After = []uint32{0}
	tests := []struct {
		name     string
		consent  *wire.ConsentPolicy
		workers  []string
		answered bool
		steps    []*wire.JobStep
		step     int
		want     reason.Reason
		detail   string
	}{
		{
			name: "no worker has answered", workers: []string{"a"}, steps: []*wire.JobStep{step(1000, 1, false)},
			want: reason.NoWorkers,
		},
		{
			name: "too large", workers: []string{"a"}, answered: true, steps: []*wire.JobStep{step(9000, 1, false)},
			want: reason.ExceedsLargestWorker,
		},
		{
			name: "no capacity", workers: []string{"a"}, answered: true, steps: []*wire.JobStep{step(8000, 2, false)},
			want: reason.NoCapacity,
		},
		{
			name: "no capacity for all", workers: []string{"a"}, answered: true,
			steps: []*wire.JobStep{step(8000, 1, false), step(4000, 2, true)}, step: 1, want: reason.WaitsForAll,
			detail: "By what runs now there should be room on 1 worker in 1.9 s.",
		},
		{
			name: "an earlier step", workers: []string{"a"}, answered: true, steps: []*wire.JobStep{step(1000, 1, false), after},
			step: 1, want: reason.WaitsForStep,
		},
		{
			name: "no consent", consent: policy, workers: []string{"a", "b"}, answered: true,
			steps: []*wire.JobStep{step(1000, 1, false)}, want: reason.WaitsForConsent,
			detail: "It has allowed 0 workers and refused 0; it is asked for 2 now.",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.consent, test.workers...)
			if test.consent != nil {
				h.RecordHelperBeat(&wire.HelperBeat{Name: "h", Address: "h:1"}, h.now)
			}
			if test.answered {
				h.connectWorkers()
			}
			h.submit(test.steps...)
			h.advance(0)
			h.advance(100 * time.Millisecond)
			got := h.Wait(h.batch.Job(testJobID).Steps()[test.step], h.now)
			require.Equal(t, test.want, got.Reason)
			require.Contains(t, got.Detail, test.detail)
			require.False(t, got.Late)
			require.True(t, h.Wait(h.batch.Job(testJobID).Steps()[test.step], h.now+time.Minute).Late, "after its objective")
		})
	}
}

// TestWaitForCapacityWithConsent guards against explaining a gang's wait for capacity as a wait for consent because its
// tickets are renewed only shortly before its start, and the reverse.
func TestWaitForCapacityWithConsent(t *testing.T) {
	h := newConsentHarness(t, 2, 3)
	h.submit(&wire.JobStep{Count: 2, CpuMillis: 8000, Gang: true, EstimateMs: 2000})
	step := h.batch.Job(testJobID).Steps()[0]
	h.grantTickets(step, h.now-time.Second, "w000", "w001")
	waits := func(in time.Duration) reason.Reason {
		h.lastRound = roundResult{
			steps: []*batch.Step{step}, waitingGangs: []allocator.WaitingGang{{Feasible: true, StartIn: in}},
		}
		return h.Wait(step, h.now).Reason
	}
	require.Equal(t, reason.WaitsForAll, waits(time.Second))
	require.Equal(t, reason.WaitsForConsent, waits(0))
	delete(h.consentFor(step).granted, h.batch.Incarnation("w001"))
	require.Equal(t, reason.WaitsForConsent, waits(time.Second), "one worker has too little capacity for it")
}

// TestStates guards the reported states of workers and runs: a worker is ready, and a run is confirmed, only after the
// worker has said so.
func TestStates(t *testing.T) {
	h := newHarness(t, nil, "a")
	incarnation := h.batch.Incarnation("a")
	require.Equal(t, WorkerNotReported, h.WorkerState(incarnation, h.now))
	h.connectWorkers()
	require.Equal(t, WorkerReady, h.WorkerState(incarnation, h.now))
	h.submit(&wire.JobStep{Count: 1, CpuMillis: 1000, EstimateMs: 2000})
	h.advance(0)
	task := h.batch.Job(testJobID).Steps()[0].Tasks()[0]
	require.Equal(t, RunState{}, h.RunState(task, h.now))
	h.Started(h.takeStart(), h.answer(executor.Done), h.now)
	require.Equal(t, RunState{Age: time.Second, Confirmed: true}, h.RunState(task, h.now+time.Second))
	require.Equal(t, 2*time.Second, h.KnownFor(h.batch.Job(testJobID), h.now+2*time.Second))
	require.Equal(t, WorkerSilent, h.WorkerState(incarnation, h.now+2*time.Second))
}
