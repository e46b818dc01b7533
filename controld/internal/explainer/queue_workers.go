package explainer

import (
	"cmp"
	"fmt"
	"slices"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/scheduler"
	"flamingodrift.example/core/reason"
)

// queueWorkerStates says of each state its name and what it means for new runs.
var queueWorkerStates = map[scheduler.WorkerState]struct{ name, text string }{
	scheduler.WorkerReady:    {"ready", ""},
	scheduler.WorkerUnheard:  {"unheard", " It has not answered this leader yet, so it gets no new runs."},
	scheduler.WorkerSilent:   {"silent", " It does not answer; it gets no new runs, and what it runs is placed again when its lease is over."},
	scheduler.WorkerDraining: {"draining", " It leaves, so it gets no new runs."},
	scheduler.WorkerPaused:   {"held", " It failed its last runs, so it gets none for some seconds and then one at a time."},
	scheduler.WorkerStray:    {"held", " It runs what the log does not hold there; that is being stopped, and it gets no new runs until then."},
}

// queueWorkersIn returns the sorted names of the workers that take orders and are in a state.
func (e *Explainer) queueWorkersIn(state scheduler.WorkerState) []string {
	var names []string
	for _, life := range e.Cell.Batch().Incarnations() {
		if e.Scheduler.WorkerState(life, e.Now) == state {
			names = append(names, life.Worker())
		}
	}
	slices.Sort(names)
	return names
}

// queueWorkers lists the workers that take orders.
func (e *Explainer) queueWorkers() []*Host {
	if e.Scheduler == nil {
		return nil
	}
	var hosts []*Host
	for _, life := range e.Cell.Batch().Incarnations() {
		hosts = append(hosts, e.queueWorker(life))
	}
	slices.SortFunc(hosts, func(a, b *Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts
}

func (e *Explainer) queueWorker(life *batch.Incarnation) *Host {
	state := queueWorkerStates[e.Scheduler.WorkerState(life, e.Now)]
	used := life.Capacity().Sub(life.Free())
	return &Host{
		Name: life.Worker(), Role: "worker", State: state.name, Rack: life.Report().GetRack(), Address: life.Report().GetAddress(),
		Tasks: len(life.Tasks()),
		Sentence: fmt.Sprintf("%s, %.1f of %.1f processors and %d of %d MB are taken.%s", count(len(life.Tasks()), "task"),
			float64(used.CPU())/1000, float64(life.Capacity().CPU())/1000, used.Memory(), life.Capacity().Memory(), state.text),
	}
}

func (e *Explainer) whyQueueWorker(name string) *Answer {
	life := e.Cell.Batch().Incarnation(name)
	if e.Scheduler == nil || life == nil {
		return nil
	}
	answer := &Answer{Name: name, Kind: "worker", Tasks: []*Task{}, Sentences: []string{
		fmt.Sprintf("Worker %s is in rack %s. %s", name, life.Report().GetRack(), e.queueWorker(life).Sentence),
	}}
	for t := range life.Tasks() {
		line := e.submittedTask(t, reason.None)
		line.Sentence = e.runSentence(t, reason.None)
		answer.Tasks = append(answer.Tasks, line)
	}
	slices.SortFunc(answer.Tasks, func(a, b *Task) int { return cmp.Compare(a.Task, b.Task) })
	return answer
}
