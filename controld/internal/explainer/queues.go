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

// Scheduler reports what the leader knows about submitted jobs that is not in the log.
type Scheduler interface {
	// Wait returns why tasks of a step that is not done have no run.
	Wait(step *batch.Step, now time.Duration) scheduler.Wait
	// KnownFor returns how long this leader has known a job; the job may be older.
	KnownFor(j *batch.Job, now time.Duration) time.Duration
	// Impossible returns how many active jobs wait for workers that the cell does not have.
	Impossible() int
	RunState(t *batch.Task, now time.Duration) scheduler.RunState
	WorkerState(incarnation *batch.Incarnation, now time.Duration) scheduler.WorkerState
}

// Queue is one entry of the list of queues.
type Queue struct {
	Queue    string `json:"queue"`
	Priority uint32 `json:"priority"`
	// WaitingJobs counts the jobs that have no run yet, RunningJobs those that have begun and not ended.
	WaitingJobs  int `json:"waiting_jobs"`
	RunningJobs  int `json:"running_jobs"`
	WaitingTasks int `json:"waiting_tasks"`
	RunningTasks int `json:"running_tasks"`
	// LateJobs counts the jobs that can no longer meet their objective.
	LateJobs int `json:"late_jobs"`
	// LongestWaitMs is the longest time for which the leader has known a job of WaitingJobs; the job may be older.
	LongestWaitMs int64 `json:"longest_wait_ms"`
	// LearnedRunMs is the mean length of a task's run as ended runs tell; 0 if too few have ended.
	LearnedRunMs uint32 `json:"learned_run_ms,omitempty"`
	// Reasons counts the waiting steps by reason.
	Reasons  map[reason.Reason]int `json:"reasons"`
	Sentence string                `json:"sentence"`
}

// Queues lists the queues of the configuration and removed queues that still have jobs, the most urgent first.
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
			e.addJobCounts(line(j.Queue()), j)
		}
	}
	list := make([]*Queue, 0, len(lines))
	for _, q := range lines {
		q.LearnedRunMs, _ = e.Cell.Batch().Runtimes().Expected(q.Queue, 0)
		q.Sentence = queueSentence(q)
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b *Queue) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Queue, b.Queue))
	})
	return list
}

// addJobCounts adds a job to the counts of its queue.
func (e *Explainer) addJobCounts(q *Queue, j *batch.Job) {
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
	text := fmt.Sprintf("%s, %s; %s on workers, %s.", countPhrase(q.WaitingJobs, "job waits", "jobs wait"),
		countPhrase(q.RunningJobs, "has begun", "have begun"), countPhrase(q.RunningTasks, "task is", "tasks are"),
		countPhrase(q.WaitingTasks, "waits", "wait"))
	if q.WaitingJobs > 0 {
		text += fmt.Sprintf(" The longest wait is %s.", formatDuration(time.Duration(q.LongestWaitMs)*time.Millisecond))
	}
	if q.LearnedRunMs > 0 {
		text += fmt.Sprintf(" Its runs take %s on average.",
			formatDuration(time.Duration(q.LearnedRunMs)*time.Millisecond))
	}
	if q.LateJobs > 0 {
		text += fmt.Sprintf(" %s no longer meet the objective, so work that can goes first.",
			countPhrase(q.LateJobs, "job can", "jobs can"))
	}
	return text
}

// countPhrase formats a number followed by the phrase for one or for many.
func countPhrase(n int, one, many string) string {
	if n == 1 {
		return "1 " + one
	}
	return fmt.Sprintf("%d %s", n, many)
}

// formatDuration formats a duration to a tenth of a second.
func formatDuration(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }

// queuesSentence summarizes all queues; it returns "" in a cell without queues.
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
	ready := len(e.queueWorkersInState(scheduler.WorkerReady))
	return fmt.Sprintf("Submitted jobs: %d wait, %d have begun; %s on workers. %d of %s new runs.", waiting, running,
		countPhrase(tasks, "task is", "tasks are"), ready,
		countPhrase(len(e.Cell.Batch().Incarnations()), "worker takes", "workers take"))
}

// queueProblems lists the conditions of queues and their workers that need an operator's attention.
func (e *Explainer) queueProblems() []string {
	if e.Scheduler == nil {
		return nil
	}
	if e.Cell.Batch().Config() == nil {
		return []string{"There is no queue configuration yet, so every job is turned away."}
	}
	var problems []string
	if len(e.queueWorkersInState(scheduler.WorkerReady)) == 0 && len(e.Cell.Batch().Active()) > 0 {
		problems = append(problems, "No worker takes new runs, and submitted jobs have not ended.")
	}
	if count := e.Scheduler.Impossible(); count > 0 {
		problems = append(problems, fmt.Sprintf(
			"%s for workers that the cell does not have; flamingoctl waiting says what each of them lacks.",
			countPhrase(count, "submitted job waits", "submitted jobs wait")))
	}
	if silent := e.queueWorkersInState(scheduler.WorkerSilent); len(silent) > 0 {
		problems = append(problems, fmt.Sprintf("%s: %s.",
			countPhrase(len(silent), "worker does not answer", "workers do not answer"), joinNames(silent)))
	}
	return problems
}
