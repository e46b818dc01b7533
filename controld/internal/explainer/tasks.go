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

// Task is one line of a list. Sentence is set only in answers about few tasks: a list may hold 20,000.
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

// List returns all tasks, in the order in which their rows arrived, then the tasks of submitted jobs that are on workers.
func (e *Explainer) List() []*Task {
	tasks := []*Task{}
	for _, j := range e.jobs() {
		for _, t := range j.Tasks() {
			tasks = append(tasks, e.line(t))
		}
	}
	return append(tasks, e.submittedTasks()...)
}

func (e *Explainer) jobs() []*job.Job {
	jobs := make([]*job.Job, 0, len(e.Cell.Jobs()))
	for _, j := range e.Cell.Jobs() {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].Order() < jobs[b].Order() })
	return jobs
}

// WaitingJob is one job with tasks that wait. All of them wait for the same reason.
type WaitingJob struct {
	Job      string `json:"job"`
	Team     string `json:"team"`
	Kind     string `json:"kind"`
	Tasks    int    `json:"tasks"`
	Running  int    `json:"running"`
	Failures uint32 `json:"failures"`
	Reason   string `json:"reason"`
	// SinceUnixMs is when the task that has waited longest began to wait.
	SinceUnixMs int64  `json:"since_unix_ms"`
	Sentence    string `json:"sentence"`
}

// Waiting lists the jobs with tasks that wait, in the order in which their rows arrived, then the oldest submitted jobs.
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
		w.Sentence = fmt.Sprintf("%s since %s. %s", waitPhrase(j), at(w.SinceUnixMs), e.whyWaiting(j))
		list = append(list, w)
	}
	return append(list, e.waitingJobs()...)
}

func waitPhrase(j *job.Job) string {
	if j.Waiting() == 1 {
		return fmt.Sprintf("1 of %s waits", count(len(j.Tasks()), "task"))
	}
	return fmt.Sprintf("%d of %s wait", j.Waiting(), count(len(j.Tasks()), "task"))
}

// whyWaiting says why a job waits, for how long it has waited for that reason, and what would release it.
func (e *Explainer) whyWaiting(j *job.Job) string {
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
	if held := (e.Now - w.Since).Round(time.Second); held >= time.Second {
		text += fmt.Sprintf(" This has been the reason for %s.", held)
	}
	return text
}

// line returns a task without its sentence. Sentences for all tasks of a full cell would keep the control thread for
// many times as long.
func (e *Explainer) line(t *job.Task) *Task {
	return &Task{
		Task: t.ID(), Team: t.Job().Spec().GetTeam(), Kind: kindName(t.Job().Spec().GetKind()), State: stateName(t),
		Worker: t.Worker(), Reason: e.reasonOf(t).String(), Failures: t.Failures(), SinceUnixMs: t.SinceUnixMs(),
	}
}

func (e *Explainer) task(t *job.Task) *Task {
	task := e.line(t)
	task.Sentence = e.explain(t) + failureSentence(t)
	return task
}

func (e *Explainer) reasonOf(t *job.Task) reason.Reason {
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

func (e *Explainer) explain(t *job.Task) string {
	since := at(t.SinceUnixMs())
	switch t.State() {
	case wire.TaskState_TASK_STATE_PLACED, wire.TaskState_TASK_STATE_RUNNING:
		return e.explainActive(t, since)
	case wire.TaskState_TASK_STATE_SUCCEEDED:
		return fmt.Sprintf("It succeeded at %s.", since)
	case wire.TaskState_TASK_STATE_FAILED:
		return fmt.Sprintf("It failed at %s and will not run again.", since)
	case wire.TaskState_TASK_STATE_CANCELLED:
		return fmt.Sprintf("It was cancelled at %s: %s.", since, stopText(e.reasonOf(t)))
	default:
		return fmt.Sprintf("It waits since %s. %s", since, e.whyWaiting(t.Job()))
	}
}

func (e *Explainer) explainActive(t *job.Task, since string) string {
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
	return text + fmt.Sprintf(" It is asked to stop: %s.", stopText(e.reasonOf(t)))
}

// silentAfter is how long a worker may be silent before an answer says so; workers poll each second.
const silentAfter = 3 * time.Second

// silenceSentence says that a worker does not poll, so that nobody takes its tasks for surely running.
func (e *Explainer) silenceSentence(worker string) string {
	silent, left, ok := e.Registrar.WorkerSilence(worker, e.Now)
	if !ok || silent < silentAfter {
		return ""
	}
	return fmt.Sprintf(" The worker has been silent for %s and may have stopped; if it stays silent, its tasks are placed again in %s.",
		silent.Round(time.Second), max(left, 0).Round(time.Second))
}

func stopText(why reason.Reason) string {
	if text, ok := stopSentences[why]; ok {
		return text
	}
	return why.String()
}

// failureSentence says how often a task failed, where, and what the worker said.
func failureSentence(t *job.Task) string {
	if t.Failures() == 0 {
		return ""
	}
	text := fmt.Sprintf(" It failed %s", count(int(t.Failures()), "time"))
	if on := t.FailedOn(); len(on) > 0 {
		text += ", lately on " + strings.Join(on, ", ")
	}
	if t.Detail() != "" && (t.Waiting() || t.State() == wire.TaskState_TASK_STATE_FAILED) {
		text += fmt.Sprintf("; the worker said at the last end: %q", t.Detail())
	}
	return text + "."
}

func stateName(t *job.Task) string {
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
