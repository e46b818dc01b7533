package explainer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/foreman"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Duties is what the leader knows of submitted jobs beside the log.
type Duties interface {
	// Wait says why tasks of a step that is not done have no run.
	Wait(step *batch.Step, now time.Duration) foreman.Wait
	// Known returns how long this leader has known a job.
	Known(j *batch.Job, now time.Duration) time.Duration
	RunState(t *batch.Task, now time.Duration) foreman.RunState
	WorkerState(life *batch.Life, now time.Duration) foreman.WorkerState
}

// listedJobs bounds the submitted jobs in the list of those that wait, and so how long the answer takes; the list of queues
// counts all.
const listedJobs = 1000

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
	if e.Duties != nil {
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
	q.RunningTasks += j.Held()
	switch {
	case j.Ended():
		return
	case j.Phase() == wire.JobPhase_JOB_PHASE_QUEUED:
		q.WaitingJobs++
		q.LongestWaitMs = max(q.LongestWaitMs, e.Duties.Known(j, e.Now).Milliseconds())
	default:
		q.RunningJobs++
	}
	late := false
	for _, step := range j.Steps() {
		if step.Waiting() == 0 {
			continue
		}
		q.WaitingTasks += step.Waiting()
		wait := e.Duties.Wait(step, e.Now)
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
		text += fmt.Sprintf(" The longest wait is %s.", wait(time.Duration(q.LongestWaitMs)*time.Millisecond))
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

// wait writes a duration for people.
func wait(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }

// waitingJobs lists the submitted jobs with tasks that wait, the oldest first.
func (e *Explainer) waitingJobs() []*WaitingJob {
	if e.Duties == nil {
		return nil
	}
	var list []*WaitingJob
	for _, j := range e.Cell.Batch().Active() {
		if len(list) == listedJobs {
			return list
		}
		w := &WaitingJob{Job: j.ID(), Team: j.Queue().GetName(), Kind: "submitted", Running: j.Held()}
		first := e.firstWaiting(j)
		if first == nil {
			continue
		}
		for _, step := range j.Steps() {
			w.Tasks += step.Waiting()
		}
		known := e.Duties.Known(j, e.Now)
		w.SinceUnixMs = e.NowUnixMs - known.Milliseconds()
		w.Reason = e.Duties.Wait(first, e.Now).Reason.String()
		w.Sentence = fmt.Sprintf("%s. %s", phaseText(j, known), e.stepSentence(first))
		list = append(list, w)
	}
	return list
}

// firstWaiting returns the first step of a job whose turn has come and that has tasks without a run; nil when there is none.
func (e *Explainer) firstWaiting(j *batch.Job) *batch.Step {
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

var phaseTexts = map[wire.JobPhase]string{
	wire.JobPhase_JOB_PHASE_QUEUED:    "It has waited for its first start for %s",
	wire.JobPhase_JOB_PHASE_RUNNING:   "It has begun and is known to this leader for %s",
	wire.JobPhase_JOB_PHASE_COMPLETED: "It has completed",
	wire.JobPhase_JOB_PHASE_FAILED:    "It has failed",
	wire.JobPhase_JOB_PHASE_CANCELED:  "It was canceled",
}

func phaseText(j *batch.Job, known time.Duration) string {
	text := phaseTexts[j.Phase()]
	if strings.Contains(text, "%s") {
		return fmt.Sprintf(text, wait(known))
	}
	return text
}

// stepSentence says what of a step is done, what runs, and why the rest waits.
func (e *Explainer) stepSentence(step *batch.Step) string {
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
		count(len(step.Tasks()), "task"), together, float64(spec.GetCpuMillis())/1000, done, step.Held(), step.Waiting())
	if step.Waiting() == 0 {
		return text
	}
	w := e.Duties.Wait(step, e.Now)
	text += " " + waitSentences[w.Reason]
	if w.Detail != "" {
		text += " " + w.Detail
	}
	if w.Late {
		text += " It can no longer meet its objective, so work that can goes first."
	}
	return text
}

// whySubmitted explains a submitted job by its id, or one of its tasks by JOB/STEP/INDEX.
func (e *Explainer) whySubmitted(name string) *Answer {
	if e.Duties == nil {
		return nil
	}
	id, _, isTask := strings.Cut(name, "/")
	j := e.Cell.Batch().Job(id)
	if j == nil {
		return nil
	}
	answer := &Answer{Name: name, Kind: "submitted_job", Tasks: []*Task{}, Sentences: []string{
		fmt.Sprintf("Job %s was submitted to queue %s. %s.", id, j.Queue().GetName(), phaseText(j, e.Duties.Known(j, e.Now))),
	}}
	for _, step := range j.Steps() {
		if !isTask {
			answer.Sentences = append(answer.Sentences, e.stepSentence(step))
		}
		for _, t := range step.Tasks() {
			if line := e.submittedTask(t); !isTask || line.Task == name {
				line.Sentence = e.runSentence(t)
				answer.Tasks = append(answer.Tasks, line)
			}
		}
	}
	if isTask && len(answer.Tasks) == 0 {
		return nil
	}
	return answer
}

func (e *Explainer) submittedTask(t *batch.Task) *Task {
	j := t.Step().Job()
	line := &Task{
		Task: fmt.Sprintf("%s/%d/%d", j.ID(), t.Step().Number(), t.Index()), Team: j.Queue().GetName(), Kind: "submitted",
		SinceUnixMs: e.NowUnixMs - e.Duties.Known(j, e.Now).Milliseconds(),
	}
	state := e.Duties.RunState(t, e.Now)
	switch {
	case t.Life() != nil:
		line.State, line.Worker = "placed", t.Life().Worker()
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
		line.State, line.Reason = "waiting", e.Duties.Wait(t.Step(), e.Now).Reason.String()
	}
	return line
}

func (e *Explainer) runSentence(t *batch.Task) string {
	state := e.Duties.RunState(t, e.Now)
	switch {
	case t.Life() != nil && state.Stopping:
		return fmt.Sprintf("Run %d on worker %s has ended or is asked to stop.", t.Run(), t.Life().Worker())
	case t.Life() != nil && state.Confirmed:
		return fmt.Sprintf("Run %d is on worker %s, for %s as far as this leader knows.", t.Run(), t.Life().Worker(), wait(state.Age))
	case t.Life() != nil:
		return fmt.Sprintf("Run %d is placed on worker %s, which has not confirmed its start.", t.Run(), t.Life().Worker())
	case t.Done():
		return "It is done."
	case t.Step().Job().Ended():
		return "It does not run again, as its job has ended."
	default:
		return waitSentences[e.Duties.Wait(t.Step(), e.Now).Reason]
	}
}

// submittedTasks lists the tasks of submitted jobs that are on workers.
func (e *Explainer) submittedTasks() []*Task {
	if e.Duties == nil {
		return nil
	}
	var tasks []*Task
	for _, j := range e.Cell.Batch().Active() {
		for _, step := range j.Steps() {
			for _, t := range step.Tasks() {
				if t.Life() != nil {
					tasks = append(tasks, e.submittedTask(t))
				}
			}
		}
	}
	return tasks
}

// queueWorkerStates says of each state its name and what it means for new runs.
var queueWorkerStates = map[foreman.WorkerState]struct{ name, text string }{
	foreman.WorkerReady:    {"ready", ""},
	foreman.WorkerUnheard:  {"unheard", " It has not answered this leader yet, so it gets no new runs."},
	foreman.WorkerSilent:   {"silent", " It does not answer; it gets no new runs, and what it runs is placed again when its lease is over."},
	foreman.WorkerDraining: {"draining", " It leaves, so it gets no new runs."},
	foreman.WorkerPaused:   {"held", " It failed its last runs, so it gets none for some seconds and then one at a time."},
	foreman.WorkerStray:    {"held", " It runs what the log does not hold there; that is being stopped, and it gets no new runs until then."},
}

// queueWorkers lists the workers that take orders.
func (e *Explainer) queueWorkers() []*Host {
	if e.Duties == nil {
		return nil
	}
	var hosts []*Host
	for _, life := range e.Cell.Batch().Lives() {
		hosts = append(hosts, e.queueWorker(life))
	}
	slices.SortFunc(hosts, func(a, b *Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts
}

func (e *Explainer) queueWorker(life *batch.Life) *Host {
	state := queueWorkerStates[e.Duties.WorkerState(life, e.Now)]
	used := life.Room().Sub(life.Free())
	return &Host{
		Name: life.Worker(), Role: "worker", State: state.name, Rack: life.Report().GetRack(), Address: life.Report().GetAddress(),
		Tasks: len(life.Tasks()),
		Sentence: fmt.Sprintf("%s, %.1f of %.1f processors and %d of %d MB are taken.%s", count(len(life.Tasks()), "task"),
			float64(used.CPU())/1000, float64(life.Room().CPU())/1000, used.Memory(), life.Room().Memory(), state.text),
	}
}

func (e *Explainer) whyQueueWorker(name string) *Answer {
	life := e.Cell.Batch().Life(name)
	if e.Duties == nil || life == nil {
		return nil
	}
	answer := &Answer{Name: name, Kind: "worker", Tasks: []*Task{}, Sentences: []string{
		fmt.Sprintf("Worker %s is in rack %s. %s", name, life.Report().GetRack(), e.queueWorker(life).Sentence),
	}}
	for t := range life.Tasks() {
		line := e.submittedTask(t)
		line.Sentence = e.runSentence(t)
		answer.Tasks = append(answer.Tasks, line)
	}
	slices.SortFunc(answer.Tasks, func(a, b *Task) int { return cmp.Compare(a.Task, b.Task) })
	return answer
}

// queuesSentence sums up the queues in one line; empty without queues.
func (e *Explainer) queuesSentence() string {
	if e.Duties == nil {
		return ""
	}
	waiting, running, tasks := 0, 0, 0
	for _, j := range e.Cell.Batch().Active() {
		tasks += j.Held()
		switch {
		case j.Ended():
		case j.Phase() == wire.JobPhase_JOB_PHASE_QUEUED:
			waiting++
		default:
			running++
		}
	}
	ready := 0
	for _, life := range e.Cell.Batch().Lives() {
		if e.Duties.WorkerState(life, e.Now) == foreman.WorkerReady {
			ready++
		}
	}
	return fmt.Sprintf("Submitted jobs: %d wait, %d have begun; %s on workers. %d of %s new runs.", waiting, running,
		counted(tasks, "task is", "tasks are"), ready, counted(len(e.Cell.Batch().Lives()), "worker takes", "workers take"))
}

// queueProblems lists what somebody should look at.
func (e *Explainer) queueProblems() []string {
	if e.Duties == nil {
		return nil
	}
	if e.Cell.Batch().Config() == nil {
		return []string{"There is no queue configuration yet, so every job is turned away."}
	}
	var silent []string
	ready := 0
	for _, life := range e.Cell.Batch().Lives() {
		switch e.Duties.WorkerState(life, e.Now) {
		case foreman.WorkerReady:
			ready++
		case foreman.WorkerSilent:
			silent = append(silent, life.Worker())
		default:
		}
	}
	slices.Sort(silent)
	var problems []string
	if ready == 0 && len(e.Cell.Batch().Active()) > 0 {
		problems = append(problems, "No worker takes new runs, and submitted jobs have not ended.")
	}
	if len(silent) > 0 {
		problems = append(problems, fmt.Sprintf("%s: %s.", counted(len(silent), "worker does not answer", "workers do not answer"), someOf(silent)))
	}
	return problems
}
