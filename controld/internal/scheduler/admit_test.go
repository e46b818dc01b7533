package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// fitsOnIdleWorkers reports whether the workers could run a step and those that it depends on if they were idle, by looking
// at each worker.
func fitsOnIdleWorkers(sc *Scheduler, step *batch.Step) bool {
	for _, number := range step.Spec().GetAfter() {
		if before := step.Job().Steps()[number]; !before.Done() && !fitsOnIdleWorkers(sc, before) {
			return false
		}
	}
	needed, copies := int64(1), int64(0)
	if step.Spec().GetGang() {
		needed = int64(len(step.Tasks()))
	}
	for _, incarnation := range sc.batch.Incarnations() {
		report := incarnation.Report()
		c := sc.consents[step]
		refused := c != nil && c.denied[incarnation.Worker()]
		if incarnation.Draining() || report.GetPool() != step.Job().Queue().GetPool() || refused ||
			step.Spec().GetLabel() != "" && !slices.Contains(report.GetLabels(), step.Spec().GetLabel()) {
			continue
		}
		onWorker := step.Need().CopiesIn(incarnation.Capacity())
		if most := int64(step.Spec().GetMostPerWorker()); most > 0 {
			onWorker = min(onWorker, most)
		}
		copies += onWorker
	}
	return copies >= needed
}

// formerAdmission decides on a new job as a leader did that counted all jobs for each submission, apart from the steps
// that no workers could run.
func formerAdmission(sc *Scheduler, queue *wire.Queue, job *wire.SubmittedJob) Admission {
	var capacity, backlog, totalMs int64
	for _, incarnation := range sc.batch.Incarnations() {
		if incarnation.Report().GetPool() == queue.GetPool() {
			capacity += incarnation.Capacity().CPU()
		}
	}
	for _, j := range sc.batch.Active() {
		if j.Ended() || j.Queue().GetPool() != queue.GetPool() || j.Queue().GetPriority() > queue.GetPriority() {
			continue
		}
		for _, step := range j.Steps() {
			if fitsOnIdleWorkers(sc, step) {
				backlog += int64(step.Waiting()) * step.Need().CPU() * sc.stepMs(step) / 1000
			}
		}
	}
	a := Admission{Admitted: true, Backlog: backlog, Workspace: job.GetWorkspace()}
	if capacity == 0 {
		return a
	}
	wait := time.Duration(float64(backlog)/(float64(capacity)*0.85)*1000) * time.Millisecond
	for _, step := range job.GetSteps() {
		totalMs += sc.expectedMs(queue.GetName(), step)
	}
	objective := time.Duration(queue.GetStretch()*float64(totalMs))*time.Millisecond +
		time.Duration(queue.GetAllowanceMs())*time.Millisecond
	if limit := 3*objective - time.Duration(totalMs)*time.Millisecond; wait > limit {
		a.Admitted, a.Cause, a.Reason = false, reason.QueueFull, "the work that waits takes longer than the job may"
		a.RetryAfter = min(10*time.Second, max(time.Second, wait-limit))
	}
	return a
}

// TestAdmissionWithoutWeights guards against other decisions or another order where no workspace has a weight, also with a
// backlog that is only counted after changes.
func TestAdmissionWithoutWeights(t *testing.T) {
	overload := standardLoad()
	overload.workers, overload.length, overload.handover = 6, 12*time.Second, 6*time.Second
	learning := overload
	learning.learn = true
	named := overload
	named.workspaces, named.workspaceShares = []*wire.Workspace{{Name: "a"}, {Name: "b"}}, []float64{0.9, 0.1}
	tests := []struct {
		name string
		load load
	}{
		{"without workspaces", overload},
		{"with learned run times", learning},
		{"with workspaces without weights", named},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newReplay(test.load, 1)
			refused := 0
			r.onAdmission = func(queue *wire.Queue, job *wire.SubmittedJob, a Admission) {
				require.Equal(t, formerAdmission(r.Scheduler, queue, job), a)
				if !a.Admitted {
					refused++
				}
				for _, w := range r.waitingSteps(&round{now: r.now, ranks: r.shareRanks()}) {
					require.False(t, w.excess)
					require.Zero(t, w.rank)
				}
			}
			r.run()
			require.Positive(t, refused, "the load is too small to refuse a job")
		})
	}
}

// newShareHarness returns a harness with workers of 8 cores, an urgent queue and one of batch, and workspaces. Its leader
// has been in office for longer than a window of the rates.
func newShareHarness(t *testing.T, workers int, workspaces ...*wire.Workspace) *harness {
	t.Helper()
	names := make([]string, workers)
	for i := range names {
		names[i] = fmt.Sprintf("w%d", i)
	}
	h := newHarness(t, nil, names...)
	h.batch.Apply(&wire.QueueCommand{Configure: &wire.QueueConfig{
		Version: 2, Workspaces: workspaces,
		Queues: []*wire.Queue{
			{Name: "urgent", Host: "h", Prefix: "/u/", Pool: "p", Attempts: 2, Stretch: 1.5, AllowanceMs: 300},
			{Name: "batch", Host: "h", Prefix: "/b/", Pool: "p", Priority: 2, Attempts: 2, Stretch: 4, AllowanceMs: 3000},
		},
	}})
	h.startTerm(8)
	h.now += 10 * time.Second
	return h
}

// offer submits a job of tasks of one core and commits it when it is accepted.
func (h *harness) offer(id, queue, workspace string, count, lengthMs uint32) Admission {
	job := &wire.SubmittedJob{Id: id, Queue: queue, Workspace: workspace, Steps: []*wire.JobStep{
		{Count: count, CpuMillis: 1000, EstimateMs: lengthMs},
	}}
	a := h.Admit(h.batch.Queue(queue), job, h.now)
	if a.Admitted {
		h.commit(&wire.QueueCommand{Submit: proto.CloneOf(job)})
	}
	return a
}

// TestAdmissionByShare guards against excess that takes capacity from other work, and against jobs that are accepted though
// their result would be worthless.
func TestAdmissionByShare(t *testing.T) {
	hot, calm := &wire.Workspace{Name: "hot", Weight: 2}, &wire.Workspace{Name: "calm", Weight: 20}
	type offered struct {
		queue, workspace string
		jobs             int
		tasks, lengthMs  uint32
	}
	tests := []struct {
		name   string
		before []offered
		job    offered
		cause  reason.Reason
		excess bool
	}{
		{
			name: "a job within its rate on idle workers", job: offered{"urgent", "hot", 1, 1, 600},
		},
		{
			name:   "excess on idle workers is accepted",
			before: []offered{{"urgent", "hot", 10, 1, 600}}, job: offered{"urgent", "hot", 1, 1, 600}, excess: true,
		},
		{
			name:   "excess is refused while other work waits, whatever its priority",
			before: []offered{{"urgent", "hot", 16, 1, 600}, {"batch", "calm", 20, 4, 2000}},
			job:    offered{"urgent", "hot", 1, 1, 600}, excess: true, cause: reason.OverShare,
		},
		{
			name:   "work within the rate is accepted beside excess that waits",
			before: []offered{{"urgent", "hot", 60, 1, 600}}, job: offered{"urgent", "calm", 1, 1, 600},
		},
		{
			name:   "urgent work does not wait for batch",
			before: []offered{{"batch", "calm", 12, 40, 60_000}}, job: offered{"urgent", "hot", 1, 1, 600},
		},
		{
			name:   "work that cannot end in time is refused",
			before: []offered{{"urgent", "calm", 15, 20, 2000}}, job: offered{"urgent", "calm", 1, 1, 200},
			cause: reason.NotInTime,
		},
		{
			name:   "the same backlog is no obstacle to a job with time",
			before: []offered{{"urgent", "calm", 15, 20, 2000}}, job: offered{"batch", "calm", 1, 1, 60_000},
		},
		{
			name: "a job without a workspace has no rate", job: offered{"urgent", "", 1, 1, 600},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newShareHarness(t, 5, hot, calm)
			number := 0
			offer := func(o offered) Admission {
				number++
				return h.offer(fmt.Sprintf("%016x", number), o.queue, o.workspace, o.tasks, o.lengthMs)
			}
			for _, o := range test.before {
				for range o.jobs {
					offer(o)
				}
			}
			a := offer(test.job)
			require.Equal(t, test.cause == "", a.Admitted, a)
			require.Equal(t, test.cause, a.Cause)
			require.Equal(t, test.excess, a.Excess)
			if !a.Admitted {
				require.NotEmpty(t, a.Reason)
				require.Zero(t, a.RetryAfter%time.Second)
				require.GreaterOrEqual(t, a.RetryAfter, time.Second)
				require.LessOrEqual(t, a.RetryAfter, 10*time.Second)
			}
		})
	}
}

// TestDrainingWorkersAreNotFree guards against excess that is accepted for capacity that nothing may use.
func TestDrainingWorkersAreNotFree(t *testing.T) {
	h := newShareHarness(t, 4, &wire.Workspace{Name: "a", Weight: 10})
	require.Equal(t, int64(32_000), h.offer("1", "urgent", "a", 1, 600).Free)
	for _, worker := range []string{"w0", "w1"} {
		h.commit(batch.DrainCommand(h.batch.Incarnation(worker)))
	}
	h.now += time.Second
	require.Equal(t, int64(16_000), h.offer("2", "urgent", "a", 1, 600).Free)
}

// TestExcessMark guards against marks that depend on repeated submissions or that outlive the leader that set them.
func TestExcessMark(t *testing.T) {
	h := newShareHarness(t, 5, &wire.Workspace{Name: "a", Weight: 0.4})
	h.offer("1", "urgent", "a", 1, 600)
	for range 5 {
		h.offer("1", "urgent", "a", 1, 600)
	}
	h.now += time.Second
	require.False(t, h.offer("2", "urgent", "a", 1, 600).Excess)
	require.True(t, h.offer("3", "urgent", "a", 1, 600).Excess)
	require.False(t, h.isExcess(h.batch.Job("1")))
	require.False(t, h.isExcess(h.batch.Job("2")))
	require.True(t, h.isExcess(h.batch.Job("3")))
	h.startTerm(9)
	require.False(t, h.isExcess(h.batch.Job("3")))
}

// TestUncommittedJobsCount guards against hundreds of jobs that are accepted in the time of one commit because none of
// them is in the log yet.
func TestUncommittedJobsCount(t *testing.T) {
	h := newShareHarness(t, 1, &wire.Workspace{Name: "a", Weight: 1000})
	admitted := 0
	for i := range 1000 {
		job := &wire.SubmittedJob{Id: fmt.Sprint(i), Queue: "urgent", Workspace: "a", Steps: []*wire.JobStep{
			{Count: 8, CpuMillis: 1000, EstimateMs: 600},
		}}
		if h.Admit(h.batch.Queue("urgent"), job, h.now).Admitted {
			admitted++
		}
	}
	require.Less(t, admitted, 40)
	require.Positive(t, admitted)
}

// TestOrderOfShares guards against excess that goes before other work in a long backlog, and against a workspace that
// uses most of the capacity and still goes first.
func TestOrderOfShares(t *testing.T) {
	h := newShareHarness(t, 1, &wire.Workspace{Name: "hot", Weight: 5}, &wire.Workspace{Name: "calm", Weight: 5})
	submit := func(id, workspace string) {
		h.commit(&wire.QueueCommand{Submit: &wire.SubmittedJob{
			Id: id, Queue: "urgent", Workspace: workspace, Steps: []*wire.JobStep{{Count: 1, CpuMillis: 1000, EstimateMs: 600}},
		}})
	}
	for i := range 8 {
		submit(fmt.Sprint("running", i), "hot")
	}
	h.connectWorkers()
	h.advance(0)
	require.Equal(t, int64(8000), h.batch.WorkspaceUsed("hot").CPU())
	for i := range maxDemandsPerRound {
		submit(fmt.Sprint("excess", i), "hot")
		h.shares.excess[h.batch.Job(fmt.Sprint("excess", i))] = true
	}
	submit("over", "hot")
	submit("late", "calm")
	h.now += 1500 * time.Millisecond
	submit("calm", "calm")
	var order []string
	for _, w := range h.waitingSteps(&round{now: h.now, ranks: h.shareRanks()}) {
		order = append(order, w.step.Job().ID())
	}
	require.Len(t, order, maxDemandsPerRound+3)
	require.Equal(t, []string{"calm", "late", "over"}, order[:3])
}

// BenchmarkAdmit measures the decision on a job while 5,000 jobs of 20 workspaces wait, also as it was decided formerly.
func BenchmarkAdmit(b *testing.B) {
	for _, test := range []struct {
		name   string
		weight float64
		former bool
	}{{"former", 0, true}, {"without weights", 0, false}, {"with weights", 1e6, false}} {
		b.Run(test.name, func(b *testing.B) {
			l := workspacesLoad()
			for _, w := range l.workspaces {
				w.Weight = test.weight
			}
			r := newReplay(l, 1)
			for i := range 5000 {
				r.commit(&wire.QueueCommand{Submit: &wire.SubmittedJob{
					Id: fmt.Sprint(i), Queue: "batch", Workspace: r.drawWorkspace(),
					Steps: []*wire.JobStep{{Count: 20, CpuMillis: 3500, EstimateMs: 2700}},
				}})
			}
			queues := []*wire.Queue{r.batch.Queue("short"), r.batch.Queue("batch")}
			b.ResetTimer()
			// A submission each millisecond; each 20 ms, a command changes the jobs.
			for i := range b.N {
				if r.now += time.Millisecond; i%20 == 0 {
					r.backlog.valid = false
				}
				queue := queues[i%2]
				job := &wire.SubmittedJob{
					Id: fmt.Sprint("new", i), Queue: queue.GetName(), Workspace: "t03",
					Steps: []*wire.JobStep{{Count: 3, CpuMillis: 5000, EstimateMs: 640}},
				}
				if test.former {
					formerAdmission(r.Scheduler, queue, job)
				} else {
					r.Admit(queue, job, r.now)
				}
			}
		})
	}
}
