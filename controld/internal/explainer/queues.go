package explainer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/scheduler"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Scheduler is what the leader knows of submitted jobs beside the log.
type Scheduler interface {
	// Wait says why tasks of a step that is not done have no run.
	Wait(step *batch.Step, now time.Duration) scheduler.Wait
	// KnownFor returns how long this leader has known a job.
	KnownFor(j *batch.Job, now time.Duration) time.Duration
	RunState(t *batch.Task, now time.Duration) scheduler.RunState
	WorkerState(life *batch.Incarnation, now time.Duration) scheduler.WorkerState
}

// Queue is one line of the list of queues.
type Queue struct {
	Queue    string `json:"queue"`
	Priority uint32 `json:"priority"`
	// WaitingJobs have no run yet; RunningJobs have begun.
	WaitingJobs  int `json:"waiting_jobs"`
	RunningJobs  int `json:"running_jobs"`
	WaitingTasks int `json:"waiting_tasks"`
	RunningTasks int `json:"running_tasks"`
	// LateJobs can no longer meet their objective.
	LateJobs int `json:"late_jobs"`
	// LongestWaitMs is how long the leader has known the oldest job that has not begun; the job may be older.
	LongestWaitMs int64 `json:"longest_wait_ms"`
	// Reasons counts the steps that wait, by reason.
	Reasons  map[reason.Reason]int `json:"reasons"`
	Sentence string                `json:"sentence"`
}

// Queues lists the queues of the configuration and those that still have jobs, the most urgent first.
func (e *Explainer) Queues() []*Queue {
	lines := map[string]*Queue{}
	line := func(q *wire.Queue) *Queue {
		if lines[q.GetName()] == nil {
			lines[q.GetName()] = &Queue{Queue: q.GetName(), Priority: q.GetPriority(), Reasons: map[reason.Reason]int{}}
		}
		return lines[q.GetName()]
	}
	if e.Scheduler != nil {
		for _, q := range e.Cell.Batch().Config().GetQueues() {
			line(q)
		}
		for _, j := range e.Cell.Batch().Active() {
			e.countJob(line(j.Queue()), j)
		}
	}
	list := make([]*Queue, 0, len(lines))
	for _, q := range lines {
		q.Sentence = queueSentence(q)
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b *Queue) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Queue, b.Queue))
	})
	return list
}

func (e *Explainer) countJob(q *Queue, j *batch.Job) {
	q.RunningTasks += j.ActiveRuns()
	switch {
	case j.Ended():
		return
	case j.Phase() == wire.JobPhase_JOB_PHASE_QUEUED:
		q.WaitingJobs++
		q.LongestWaitMs = max(q.LongestWaitMs, e.Scheduler.KnownFor(j, e.Now).Milliseconds())
	default:
		q.RunningJobs++
	}
	late := false
	for _, step := range j.Steps() {
		if step.Waiting() == 0 {
			continue
		}
		q.WaitingTasks += step.Waiting()
		wait := e.stepWait(step)
		q.Reasons[wait.Reason]++
		late = late || wait.Late && step.Ready()
	}
	if late {
		q.LateJobs++
	}
}

func queueSentence(q *Queue) string {
	text := fmt.Sprintf("%s, %s; %s on workers, %s.", counted(q.WaitingJobs, "job waits", "jobs wait"),
		counted(q.RunningJobs, "has begun", "have begun"), counted(q.RunningTasks, "task is", "tasks are"),
		counted(q.WaitingTasks, "waits", "wait"))
	if q.WaitingJobs > 0 {
		text += fmt.Sprintf(" The longest wait is %s.", shortTime(time.Duration(q.LongestWaitMs)*time.Millisecond))
	}
	if q.LateJobs > 0 {
		text += fmt.Sprintf(" %s no longer meet the objective, so work that can goes first.", counted(q.LateJobs, "job can", "jobs can"))
	}
	return text
}

func counted(n int, one, many string) string {
	if n == 1 {
		return "1 " + one
	}
	return fmt.Sprintf("%d %s", n, many)
}

// shortTime writes a duration for people.
func shortTime(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }

// queuesSentence sums up the queues in one line; empty without queues.
func (e *Explainer) queuesSentence() string {
	if e.Scheduler == nil {
		return ""
	}
	waiting, running, tasks := 0, 0, 0
	for _, j := range e.Cell.Batch().Active() {
		tasks += j.ActiveRuns()
		switch {
		case j.Ended():
		case j.Phase() == wire.JobPhase_JOB_PHASE_QUEUED:
			waiting++
		default:
			running++
		}
	}
	ready := len(e.queueWorkersIn(scheduler.WorkerReady))
	return fmt.Sprintf("Submitted jobs: %d wait, %d have begun; %s on workers. %d of %s new runs.", waiting, running,
		counted(tasks, "task is", "tasks are"), ready, counted(len(e.Cell.Batch().Incarnations()), "worker takes", "workers take"))
}

// queueProblems lists what somebody should look at.
func (e *Explainer) queueProblems() []string {
	if e.Scheduler == nil {
		return nil
	}
	if e.Cell.Batch().Config() == nil {
		return []string{"There is no queue configuration yet, so every job is turned away."}
	}
	var problems []string
	if len(e.queueWorkersIn(scheduler.WorkerReady)) == 0 && len(e.Cell.Batch().Active()) > 0 {
		problems = append(problems, "No worker takes new runs, and submitted jobs have not ended.")
	}
	if silent := e.queueWorkersIn(scheduler.WorkerSilent); len(silent) > 0 {
		problems = append(problems, fmt.Sprintf("%s: %s.", counted(len(silent), "worker does not answer", "workers do not answer"), someOf(silent)))
	}
	return problems
}
