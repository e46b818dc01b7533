package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/batch"
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
			})
		}
	}
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
}
