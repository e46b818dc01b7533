package explainer

import (
	"fmt"
	"sort"
	"strings"
)

// Answer explains the object that a name refers to.
type Answer struct {
	Name string `json:"name"`
	// Kind is one of job, task, finished_run, submitted_job, worker, target, entry and control.
	Kind      string   `json:"kind"`
	Sentences []string `json:"sentences"`
	Tasks     []*Task  `json:"tasks"`
}

// Why explains the job, task, finished run, submitted job, worker, target, entry process or control member with the
// given name. A job is found by its key and by its id. Why returns nil for a name that is not known.
func (e *Explainer) Why(name string) *Answer {
	for _, find := range []func(string) *Answer{
		e.whyJob, e.whyFinishedRun, e.whySubmitted, e.whyWorker, e.whyQueueWorker, e.whyHost,
	} {
		if answer := find(name); answer != nil {
			return answer
		}
	}
	return nil
}

func (e *Explainer) whyJob(name string) *Answer {
	answer := &Answer{Name: name, Kind: "job", Tasks: []*Task{}}
	if t := e.Cell.Task(name); t != nil {
		answer.Kind, answer.Tasks = "task", []*Task{e.taskWithSentence(t)}
		answer.Sentences = []string{fmt.Sprintf("Task %s belongs to job %s of team %s.",
			name, t.Job().ID(), t.Job().Spec().GetTeam())}
		return answer
	}
	for _, j := range e.jobs() {
		if j.ID() != name && j.Spec().GetKey() != name {
			continue
		}
		text := fmt.Sprintf("Job %s of team %s (%s) is in the sheet since %s: %d of %s run, %d wait.",
			j.ID(), j.Spec().GetTeam(), kindName(j.Spec().GetKind()), formatTime(j.SinceUnixMs()),
			j.Active(), countNoun(int(j.Spec().GetTasks()), "task"), j.Waiting())
		if j.Removed() {
			text += " It has left the sheet or was cancelled; what still runs of it may finish or is stopping."
		}
		answer.Sentences = append(answer.Sentences, text)
		for _, t := range j.Tasks() {
			answer.Tasks = append(answer.Tasks, e.taskWithSentence(t))
		}
	}
	if len(answer.Tasks) == 0 {
		return nil
	}
	return answer
}

// whyFinishedRun explains a run that ended and whose row has left the sheet. A key without a run value means run "1",
// as in the sheet.
func (e *Explainer) whyFinishedRun(name string) *Answer {
	id := name
	if !strings.Contains(id, "@") {
		id += "@1"
	}
	if !e.Cell.RanBefore(id) {
		return nil
	}
	return &Answer{Name: name, Kind: "finished_run", Tasks: []*Task{}, Sentences: []string{fmt.Sprintf(
		"The run %s has finished or was cancelled, and its row has left the sheet. It will not run again; a row with another run value would.", id)}}
}

func (e *Explainer) whyWorker(name string) *Answer {
	w := e.Cell.Worker(name)
	if w == nil {
		return nil
	}
	answer := &Answer{Name: name, Kind: "worker", Sentences: []string{
		fmt.Sprintf("Worker %s is in rack %s, failure domain %s. %s", name, w.Rack(), w.FailureDomain(), e.workerSentence(w)),
	}, Tasks: []*Task{}}
	ids := make([]string, 0, len(w.Tasks()))
	for id := range w.Tasks() {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		if t := e.Cell.Task(id); t != nil {
			answer.Tasks = append(answer.Tasks, e.taskWithSentence(t))
		}
	}
	return answer
}

// roleTitles maps the role of a Host to its title in a sentence.
var roleTitles = map[string]string{"control": "Control member", "entry": "Entry process", "target": "Target"}

// whyHost explains a control member, an entry process or a target by its line in the lists of hosts and targets.
func (e *Explainer) whyHost(name string) *Answer {
	for _, h := range append(append(e.controls(), e.entries()...), e.Targets()...) {
		if h.Name == name {
			return &Answer{Name: name, Kind: h.Role, Sentences: []string{
				fmt.Sprintf("%s %s: %s", roleTitles[h.Role], name, h.Sentence),
			}, Tasks: []*Task{}}
		}
	}
	return nil
}
