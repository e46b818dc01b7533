package explainer

import (
	"fmt"
	"strings"
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/scheduler"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// maxListedJobs bounds the submitted jobs in the list of waiting jobs, and with it the time on the control goroutine.
// The list of queues counts all jobs.
const maxListedJobs = 1000

// waitingSubmittedJobs lists the oldest submitted jobs with a step that is ready and has tasks without a run, the
// oldest first.
func (e *Explainer) waitingSubmittedJobs() []*WaitingJob {
	if e.Scheduler == nil {
		return nil
	}
	var list []*WaitingJob
	for _, j := range e.Cell.Batch().Active() {
		if len(list) == maxListedJobs {
			return list
		}
		w := &WaitingJob{Job: j.ID(), Team: j.Queue().GetName(), Kind: "submitted", Running: j.ActiveRuns()}
		first := e.firstWaitingStep(j)
		if first == nil {
			continue
		}
		for _, step := range j.Steps() {
			w.Tasks += step.Waiting()
		}
		knownFor := e.Scheduler.KnownFor(j, e.Now)
		w.SinceUnixMs = e.NowUnixMs - knownFor.Milliseconds()
		wait := e.stepWait(first)
		w.Reason = wait.Reason.String()
		w.Sentence = fmt.Sprintf("%s. %s", phaseClause(j, knownFor), stepSentence(first, wait))
		list = append(list, w)
	}
	return list
}

// firstWaitingStep returns the first step of a job that is ready and has tasks without a run; nil when there is none.
func (e *Explainer) firstWaitingStep(j *batch.Job) *batch.Step {
	if j.Ended() {
		return nil
	}
	for _, step := range j.Steps() {
		if step.Waiting() > 0 && step.Ready() {
			return step
		}
	}
	return nil
}

// phaseFormats maps the phase of a job to a clause; %s is how long the leader has known the job.
var phaseFormats = map[wire.JobPhase]string{
	wire.JobPhase_JOB_PHASE_QUEUED:    "It has waited for its first start for %s",
	wire.JobPhase_JOB_PHASE_RUNNING:   "It has begun and is known to this leader for %s",
	wire.JobPhase_JOB_PHASE_COMPLETED: "It has completed",
	wire.JobPhase_JOB_PHASE_FAILED:    "It has failed",
	wire.JobPhase_JOB_PHASE_CANCELED:  "It was canceled",
}

// phaseClause returns a clause about the phase of a job.
func phaseClause(j *batch.Job, knownFor time.Duration) string {
	text := phaseFormats[j.Phase()]
	if strings.Contains(text, "%s") {
		return fmt.Sprintf(text, formatDuration(knownFor))
	}
	return text
}

// stepWait returns why tasks of a step have no run; the zero Wait when none waits.
func (e *Explainer) stepWait(step *batch.Step) scheduler.Wait {
	if step.Waiting() == 0 {
		return scheduler.Wait{}
	}
	return e.Scheduler.Wait(step, e.Now)
}

// stepSentence returns how many tasks of a step are done, on workers and waiting, and why tasks wait.
func stepSentence(step *batch.Step, w scheduler.Wait) string {
	spec := step.Spec()
	done := 0
	for _, t := range step.Tasks() {
		if t.Done() {
			done++
		}
	}
	together := ""
	if spec.GetGang() {
		together = " together"
	}
	text := fmt.Sprintf("Step %d, %s%s of %.1f processors each: %d done, %d on workers, %d waiting.", step.Number(),
		countNoun(len(step.Tasks()), "task"), together, float64(spec.GetCpuMillis())/1000, done, step.ActiveRuns(),
		step.Waiting())
	if step.Waiting() == 0 {
		return text
	}
	text += " " + waitSentences[w.Reason]
	if w.Detail != "" {
		text += " " + w.Detail
	}
	if w.Late {
		text += " It can no longer meet its objective, so work that can goes first."
	}
	return text
}

// whySubmitted explains a submitted job named by its id, or one of its tasks named JOB/STEP/INDEX.
func (e *Explainer) whySubmitted(name string) *Answer {
	if e.Scheduler == nil {
		return nil
	}
	id, _, isTask := strings.Cut(name, "/")
	j := e.Cell.Batch().Job(id)
	if j == nil {
		return nil
	}
	answer := &Answer{Name: name, Kind: "submitted_job", Tasks: []*Task{}, Sentences: []string{
		fmt.Sprintf("Job %s was submitted to queue %s. %s.",
			id, j.Queue().GetName(), phaseClause(j, e.Scheduler.KnownFor(j, e.Now))),
	}}
	isGivenUp := false
	if given := j.GivenUp(); given != nil {
		task := fmt.Sprintf("%s/%d/%d", id, given.Step(), given.Index())
		isGivenUp = name == task
		answer.Sentences = append(answer.Sentences,
			fmt.Sprintf("Task %s was given up. %s", task, crashSentence(given.Crashes())))
	}
	for _, step := range j.Steps() {
		wait := e.stepWait(step)
		if !isTask {
			answer.Sentences = append(answer.Sentences, stepSentence(step, wait))
		}
		for _, t := range step.Tasks() {
			if line := e.submittedTaskLine(t, wait.Reason); !isTask || line.Task == name {
				line.Sentence = e.runSentence(t, wait.Reason)
				if crashes := t.Crashes(); len(crashes) > 0 {
					line.Sentence += " " + crashSentence(crashes)
				}
				answer.Tasks = append(answer.Tasks, line)
			}
		}
	}
	if isTask && len(answer.Tasks) == 0 && !isGivenUp {
		return nil
	}
	return answer
}

// crashSentence names the lost workers that count against a task or its gang.
func crashSentence(crashes []*batch.Crash) string {
	parts := make([]string, 0, len(crashes))
	for _, c := range crashes {
		how := "may have crashed"
		if c.Confirmed() {
			how = "crashed"
		}
		beside := "beside other new runs"
		if c.OnlySuspect() {
			beside = "without other new runs"
		}
		parts = append(parts, fmt.Sprintf("%s %s under run %d, %s", c.Worker(), how, c.Run(), beside))
	}
	return fmt.Sprintf("%s against it: %s.", countPhrase(len(parts), "lost worker counts", "lost workers count"),
		strings.Join(parts, "; "))
}

// submittedTaskLine returns the entry for a task, without its sentence. waitReason is why tasks of its step wait.
func (e *Explainer) submittedTaskLine(t *batch.Task, waitReason reason.Reason) *Task {
	j := t.Step().Job()
	line := &Task{
		Task: fmt.Sprintf("%s/%d/%d", j.ID(), t.Step().Number(), t.Index()), Team: j.Queue().GetName(), Kind: "submitted",
		SinceUnixMs: e.NowUnixMs - e.Scheduler.KnownFor(j, e.Now).Milliseconds(),
	}
	state := e.Scheduler.RunState(t, e.Now)
	switch {
	case t.Incarnation() != nil:
		line.State, line.Worker = "placed", t.Incarnation().Worker()
		line.SinceUnixMs = e.NowUnixMs - state.Age.Milliseconds()
		if state.Stopping {
			line.State = "stopping"
		} else if state.Confirmed {
			line.State = "running"
		}
	case t.Done():
		line.State = "succeeded"
	case j.Ended():
		line.State = "cancelled"
	default:
		line.State, line.Reason = "waiting", waitReason.String()
	}
	return line
}

// runSentence describes the run of a task, or why the task has none.
func (e *Explainer) runSentence(t *batch.Task, waitReason reason.Reason) string {
	state := e.Scheduler.RunState(t, e.Now)
	switch {
	case t.Incarnation() != nil && state.Stopping:
		return fmt.Sprintf("Run %d on worker %s has ended or is asked to stop.", t.Run(), t.Incarnation().Worker())
	case t.Incarnation() != nil && state.Confirmed:
		return fmt.Sprintf("Run %d is on worker %s, for %s as far as this leader knows.",
			t.Run(), t.Incarnation().Worker(), formatDuration(state.Age))
	case t.Incarnation() != nil:
		return fmt.Sprintf("Run %d is placed on worker %s, which has not confirmed its start.",
			t.Run(), t.Incarnation().Worker())
	case t.Done():
		return "It is done."
	case t.Step().Job().Ended():
		return "It does not run again, as its job has ended."
	default:
		return waitSentences[waitReason]
	}
}

// placedSubmittedTasks lists the tasks of submitted jobs that have a run on a worker.
func (e *Explainer) placedSubmittedTasks() []*Task {
	if e.Scheduler == nil {
		return nil
	}
	var tasks []*Task
	for _, j := range e.Cell.Batch().Active() {
		for _, step := range j.Steps() {
			for _, t := range step.Tasks() {
				if t.Incarnation() != nil {
					tasks = append(tasks, e.submittedTaskLine(t, reason.None))
				}
			}
		}
	}
	return tasks
}
