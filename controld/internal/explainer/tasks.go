package explainer

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Task is one entry of a list of tasks. Sentence is set only in answers about few tasks: 20,000 sentences, for the
// tasks of a full cell, would exceed the largest answer.
type Task struct {
	Task        string `json:"task"`
	Team        string `json:"team"`
	Kind        string `json:"kind"`
	State       string `json:"state"`
	Worker      string `json:"worker,omitempty"`
	Reason      string `json:"reason,omitempty"`
	Failures    uint32 `json:"failures,omitempty"`
	SinceUnixMs int64  `json:"since_unix_ms"`
	Sentence    string `json:"sentence,omitempty"`
}

// List returns the tasks of all jobs in the order in which their rows arrived, then the tasks of submitted jobs that
// have a run on a worker.
func (e *Explainer) List() []*Task {
	tasks := []*Task{}
	for _, j := range e.jobs() {
		for _, t := range j.Tasks() {
			tasks = append(tasks, e.taskLine(t))
		}
	}
	return append(tasks, e.placedSubmittedTasks()...)
}

// jobs returns the jobs in the order in which their rows arrived.
func (e *Explainer) jobs() []*job.Job {
	jobs := make([]*job.Job, 0, len(e.Cell.Jobs()))
	for _, j := range e.Cell.Jobs() {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].Order() < jobs[b].Order() })
	return jobs
}

// WaitingJob is a job with waiting tasks, all of which wait for the same reason.
type WaitingJob struct {
	Job      string `json:"job"`
	Team     string `json:"team"`
	Kind     string `json:"kind"`
	Tasks    int    `json:"tasks"`
	Running  int    `json:"running"`
	Failures uint32 `json:"failures"`
	Reason   string `json:"reason"`
	// SinceUnixMs is when the task that has waited longest began to wait; for a submitted job it is when this leader first
	// knew the job.
	SinceUnixMs int64  `json:"since_unix_ms"`
	Sentence    string `json:"sentence"`
}

// Waiting lists the jobs with waiting tasks in the order in which their rows arrived, then the oldest submitted jobs
// with waiting tasks.
func (e *Explainer) Waiting() []*WaitingJob {
	list := []*WaitingJob{}
	for _, j := range e.jobs() {
		if j.Waiting() == 0 {
			continue
		}
		w := &WaitingJob{
			Job: j.ID(), Team: j.Spec().GetTeam(), Kind: kindName(j.Spec().GetKind()), Tasks: j.Waiting(), Running: j.Active(),
		}
		for _, t := range j.Tasks() {
			w.Failures += t.Failures()
			if t.Waiting() && (w.SinceUnixMs == 0 || t.SinceUnixMs() < w.SinceUnixMs) {
				w.SinceUnixMs = t.SinceUnixMs()
			}
		}
		w.Reason = e.waitReason(j).String()
		w.Sentence = fmt.Sprintf("%s since %s. %s", waitingTasksPhrase(j), formatTime(w.SinceUnixMs), e.waitSentence(j))
		list = append(list, w)
	}
	return append(list, e.waitingSubmittedJobs()...)
}

func waitingTasksPhrase(j *job.Job) string {
	if j.Waiting() == 1 {
		return fmt.Sprintf("1 of %s waits", countNoun(len(j.Tasks()), "task"))
	}
	return fmt.Sprintf("%d of %s wait", j.Waiting(), countNoun(len(j.Tasks()), "task"))
}

// waitSentence returns why a job waits, what ends the wait, and for how long this has been the reason.
func (e *Explainer) waitSentence(j *job.Job) string {
	w, ok := e.Planner.WaitStatus(j.ID())
	if !ok {
		return waitSentences[reason.NotYetDecided]
	}
	text := waitSentences[w.Reason]
	if w.Reason == reason.JobHeld && j.HoldReason() != "" {
		text += " It is held because: " + j.HoldReason() + "."
	}
	if w.Detail != "" {
		text += " " + w.Detail
	}
	if waited := (e.Now - w.Since).Round(time.Second); waited >= time.Second {
		text += fmt.Sprintf(" This has been the reason for %s.", waited)
	}
	return text
}

// taskLine returns the entry for a task, without its sentence. Sentences for all tasks of a full cell would occupy the
// control goroutine many times as long.
func (e *Explainer) taskLine(t *job.Task) *Task {
	return &Task{
		Task: t.ID(), Team: t.Job().Spec().GetTeam(), Kind: kindName(t.Job().Spec().GetKind()), State: taskStateName(t),
		Worker: t.Worker(), Reason: e.taskReason(t).String(), Failures: t.Failures(), SinceUnixMs: t.SinceUnixMs(),
	}
}

func (e *Explainer) taskWithSentence(t *job.Task) *Task {
	task := e.taskLine(t)
	task.Sentence = e.taskSentence(t) + failureSentence(t) + crashedOnSentence(t)
	return task
}

// taskReason returns why a task waits, is asked to stop or was cancelled.
func (e *Explainer) taskReason(t *job.Task) reason.Reason {
	switch {
	case t.Waiting():
		return e.waitReason(t.Job())
	case t.Stopping():
		return reason.Reason(t.StopReason())
	case t.State() == wire.TaskState_TASK_STATE_CANCELLED:
		return reason.Reason(t.Detail())
	default:
		return reason.None
	}
}

func (e *Explainer) waitReason(j *job.Job) reason.Reason {
	if w, ok := e.Planner.WaitStatus(j.ID()); ok {
		return w.Reason
	}
	return reason.NotYetDecided
}

func (e *Explainer) taskSentence(t *job.Task) string {
	since := formatTime(t.SinceUnixMs())
	switch t.State() {
	case wire.TaskState_TASK_STATE_PLACED, wire.TaskState_TASK_STATE_RUNNING:
		return e.activeSentence(t, since)
	case wire.TaskState_TASK_STATE_SUCCEEDED:
		return fmt.Sprintf("It succeeded at %s.", since)
	case wire.TaskState_TASK_STATE_FAILED:
		return fmt.Sprintf("It failed at %s and will not run again.", since)
	case wire.TaskState_TASK_STATE_CANCELLED:
		return fmt.Sprintf("It was cancelled at %s: %s.", since, stopExplanation(e.taskReason(t)))
	default:
		return fmt.Sprintf("It waits since %s. %s", since, e.waitSentence(t.Job()))
	}
}

func (e *Explainer) activeSentence(t *job.Task, since string) string {
	where := "worker " + t.Worker()
	if w := e.Cell.Worker(t.Worker()); w != nil {
		where += fmt.Sprintf(" (rack %s, failure domain %s)", w.Rack(), w.FailureDomain())
	}
	text := fmt.Sprintf("It runs on %s since %s.", where, since)
	if t.State() == wire.TaskState_TASK_STATE_PLACED {
		text = fmt.Sprintf("It is placed on %s since %s; the worker has not reported its start.", where, since)
	}
	text += e.silenceSentence(t.Worker())
	if !t.Stopping() {
		return text
	}
	return text + fmt.Sprintf(" It is asked to stop: %s.", stopExplanation(e.taskReason(t)))
}

// workerSilenceThreshold is how long a worker may be silent before answers mention it. Workers poll every second.
const workerSilenceThreshold = 3 * time.Second

// silenceSentence returns a sentence for a worker that has stopped polling: its tasks may no longer run.
func (e *Explainer) silenceSentence(worker string) string {
	silent, remaining, ok := e.Lessor.WorkerSilence(worker, e.Now)
	if !ok || silent < workerSilenceThreshold {
		return ""
	}
	return fmt.Sprintf(" The worker has been silent for %s and may have stopped; if it stays silent, its tasks are placed again in %s.",
		silent.Round(time.Second), max(remaining, 0).Round(time.Second))
}

// stopExplanation returns the clause for a reason to stop, or the reason itself when it is unknown.
func stopExplanation(stopReason reason.Reason) string {
	if text, ok := stopExplanations[stopReason]; ok {
		return text
	}
	return stopReason.String()
}

// failureSentence returns how often a task failed, on which workers, and what the worker last reported.
func failureSentence(t *job.Task) string {
	if t.Failures() == 0 {
		return ""
	}
	text := fmt.Sprintf(" It failed %s", countNoun(int(t.Failures()), "time"))
	if on := t.FailedOn(); len(on) > 0 {
		text += ", lately on " + strings.Join(on, ", ")
	}
	if t.Detail() != "" && (t.Waiting() || t.State() == wire.TaskState_TASK_STATE_FAILED) {
		text += fmt.Sprintf("; the worker said at the last end: %q", t.Detail())
	}
	return text + "."
}

// crashedOnSentence names the workers that crashed just after they had started a task.
func crashedOnSentence(t *job.Task) string {
	if len(t.CrashedOn()) == 0 {
		return ""
	}
	return " Workers crashed just after they had started it: " + strings.Join(t.CrashedOn(), ", ") + "."
}

func taskStateName(t *job.Task) string {
	switch t.State() {
	case wire.TaskState_TASK_STATE_PLACED, wire.TaskState_TASK_STATE_RUNNING:
		switch {
		case t.Stopping():
			return "stopping"
		case t.State() == wire.TaskState_TASK_STATE_PLACED:
			return "placed"
		default:
			return "running"
		}
	case wire.TaskState_TASK_STATE_SUCCEEDED:
		return "succeeded"
	case wire.TaskState_TASK_STATE_FAILED:
		return "failed"
	case wire.TaskState_TASK_STATE_CANCELLED:
		return "cancelled"
	default:
		return "waiting"
	}
}
