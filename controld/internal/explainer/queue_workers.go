package explainer

import (
	"cmp"
	"fmt"
	"slices"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/scheduler"
	"flamingodrift.example/core/reason"
)

// queueWorkerStates maps each state to its name in lists and to a sentence on what it means for new runs.
var queueWorkerStates = map[scheduler.WorkerState]struct{ name, text string }{
	scheduler.WorkerReady:          {"ready", ""},
	scheduler.WorkerNotReported:    {"unheard", " It has not answered this leader yet, so it gets no new runs."},
	scheduler.WorkerSilent:         {"silent", " It does not answer; it gets no new runs, and what it runs is placed again when its lease is over."},
	scheduler.WorkerDraining:       {"draining", " It leaves, so it gets no new runs."},
	scheduler.WorkerReportOverdue:  {"held", " It answers but has not reported itself lately, so its capacity may have shrunk; it gets no new runs."},
	scheduler.WorkerPaused:         {"held", " It failed its last runs, so it gets none for some seconds and then one at a time."},
	scheduler.WorkerHasUnknownRuns: {"held", " It runs what the log does not hold there; that is being stopped, and it gets no new runs until then."},
}

// queueWorkersInState returns the sorted names of the workers for submitted jobs that are in the given state.
func (e *Explainer) queueWorkersInState(state scheduler.WorkerState) []string {
	var names []string
	for _, incarnation := range e.Cell.Batch().Incarnations() {
		if e.Scheduler.WorkerState(incarnation, e.Now) == state {
			names = append(names, incarnation.Worker())
		}
	}
	slices.Sort(names)
	return names
}

// queueWorkers lists the workers for submitted jobs.
func (e *Explainer) queueWorkers() []*Host {
	if e.Scheduler == nil {
		return nil
	}
	var hosts []*Host
	for _, incarnation := range e.Cell.Batch().Incarnations() {
		hosts = append(hosts, e.queueWorkerHost(incarnation))
	}
	slices.SortFunc(hosts, func(a, b *Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts
}

func (e *Explainer) queueWorkerHost(incarnation *batch.Incarnation) *Host {
	state := queueWorkerStates[e.Scheduler.WorkerState(incarnation, e.Now)]
	used := incarnation.Capacity().Sub(incarnation.Free())
	return &Host{
		Name: incarnation.Worker(), Role: "worker", State: state.name,
		Rack: incarnation.Report().GetRack(), Address: incarnation.Report().GetAddress(), Tasks: len(incarnation.Tasks()),
		Sentence: fmt.Sprintf("%s, %.1f of %.1f processors and %d of %d MB are taken.%s",
			countNoun(len(incarnation.Tasks()), "task"), float64(used.CPU())/1000,
			float64(incarnation.Capacity().CPU())/1000, used.Memory(), incarnation.Capacity().Memory(), state.text),
	}
}

func (e *Explainer) whyQueueWorker(name string) *Answer {
	incarnation := e.Cell.Batch().Incarnation(name)
	if e.Scheduler == nil || incarnation == nil {
		return nil
	}
	answer := &Answer{Name: name, Kind: "worker", Tasks: []*Task{}, Sentences: []string{
		fmt.Sprintf("Worker %s is in rack %s. %s",
			name, incarnation.Report().GetRack(), e.queueWorkerHost(incarnation).Sentence),
	}}
	for t := range incarnation.Tasks() {
		line := e.submittedTaskLine(t, reason.None)
		line.Sentence = e.runSentence(t, reason.None)
		answer.Tasks = append(answer.Tasks, line)
	}
	slices.SortFunc(answer.Tasks, func(a, b *Task) int { return cmp.Compare(a.Task, b.Task) })
	return answer
}
