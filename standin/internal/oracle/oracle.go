// Package oracle records what stand-in workers and targets do, and detects violations of the invariants of a cell: a
// task runs at most once at a time, no worker or target is overloaded, and a non-idempotent request runs at most once.
package oracle

import (
	"fmt"
	"sync"
)

// Resources is an amount of each resource.
type Resources struct {
	Processors   float64 `json:"processors"`
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int64   `json:"accelerators"`
}

type runningAttempt struct {
	worker    string
	attempt   uint64
	resources Resources
}

// Oracle detects violations of invariants. It is safe for concurrent use.
type Oracle struct {
	mu         sync.Mutex
	tasks      map[string][]runningAttempt
	used       map[string]Resources
	capacity   map[string]Resources
	starts     map[string]int
	executions map[string]int
	violations []string
}

// New returns an Oracle without any records.
func New() *Oracle {
	return &Oracle{
		tasks: map[string][]runningAttempt{}, used: map[string]Resources{}, capacity: map[string]Resources{},
		starts:     map[string]int{},
		executions: map[string]int{},
	}
}

func (o *Oracle) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// SetCapacity records the capacity of a worker.
func (o *Oracle) SetCapacity(worker string, resources Resources) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.capacity[worker] = resources
}

// RecordStart records that a worker started an attempt of a task.
func (o *Oracle) RecordStart(worker, task string, attempt uint64, resources Resources) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if others := o.tasks[task]; len(others) > 0 {
		o.addViolation("task %s started on %s as attempt %d while attempt %d runs on %s",
			task, worker, attempt, others[0].attempt, others[0].worker)
	}
	o.starts[task]++
	o.tasks[task] = append(o.tasks[task], runningAttempt{worker, attempt, resources})
	used := o.used[worker]
	used.Processors += resources.Processors
	used.MemoryMB += resources.MemoryMB
	used.Accelerators += resources.Accelerators
	o.used[worker] = used
	capacity := o.capacity[worker]
	const rounding = 1e-6
	if used.Processors > capacity.Processors+rounding || used.MemoryMB > capacity.MemoryMB ||
		used.Accelerators > capacity.Accelerators {
		o.addViolation("worker %s runs %+v but has %+v", worker, used, capacity)
	}
}

// RecordEnd records that an attempt of a task ended on a worker.
func (o *Oracle) RecordEnd(worker, task string, attempt uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, r := range o.tasks[task] {
		if r.worker != worker || r.attempt != attempt {
			continue
		}
		o.tasks[task] = append(o.tasks[task][:i:i], o.tasks[task][i+1:]...)
		used := o.used[worker]
		used.Processors -= r.resources.Processors
		used.MemoryMB -= r.resources.MemoryMB
		used.Accelerators -= r.resources.Accelerators
		o.used[worker] = used
		return
	}
}

// RecordExecution records that a target ran a non-idempotent request.
func (o *Oracle) RecordExecution(caller, key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := caller + "/" + key
	if o.executions[id]++; o.executions[id] > 1 {
		o.addViolation("request %s ran %d times", id, o.executions[id])
	}
}

// Executions returns how many times a request ran.
func (o *Oracle) Executions(caller, key string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.executions[caller+"/"+key]
}

// Starts returns how many times a task was started.
func (o *Oracle) Starts(task string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.starts[task]
}

// RunningTasks returns the number of attempts that are running.
func (o *Oracle) RunningTasks() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for _, list := range o.tasks {
		count += len(list)
	}
	return count
}

// RecordSlots checks the number of requests that a target runs at once against its slots.
func (o *Oracle) RecordSlots(target string, busy, slots int) {
	if busy <= slots {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation("target %s runs %d requests but has %d slots", target, busy, slots)
}

// RecordViolation records a violation that was detected elsewhere.
func (o *Oracle) RecordViolation(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation("%s", text)
}

// Violations returns all violations so far.
func (o *Oracle) Violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.violations...)
}
