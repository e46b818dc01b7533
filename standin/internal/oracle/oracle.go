// Package oracle watches stand-in workers and targets from outside and records every broken promise.
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

type running struct {
	worker  string
	attempt uint64
	amount  Resources
}

// Oracle is safe for concurrent use.
type Oracle struct {
	mu         sync.Mutex
	tasks      map[string][]running
	used       map[string]Resources
	capacity   map[string]Resources
	starts     map[string]int
	executions map[string]int
	violations []string
}

// New returns an Oracle that has seen nothing.
func New() *Oracle {
	return &Oracle{
		tasks: map[string][]running{}, used: map[string]Resources{}, capacity: map[string]Resources{}, starts: map[string]int{},
		executions: map[string]int{},
	}
}

func (o *Oracle) violate(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// SetCapacity records what a worker has.
func (o *Oracle) SetCapacity(worker string, amount Resources) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.capacity[worker] = amount
}

// RecordStart records that a worker started an attempt.
func (o *Oracle) RecordStart(worker, task string, attempt uint64, amount Resources) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if others := o.tasks[task]; len(others) > 0 {
		o.violate("task %s started on %s as attempt %d while attempt %d runs on %s",
			task, worker, attempt, others[0].attempt, others[0].worker)
	}
	o.starts[task]++
	o.tasks[task] = append(o.tasks[task], running{worker, attempt, amount})
	used := o.used[worker]
	used.Processors += amount.Processors
	used.MemoryMB += amount.MemoryMB
	used.Accelerators += amount.Accelerators
	o.used[worker] = used
	capacity := o.capacity[worker]
	const rounding = 1e-6
	if used.Processors > capacity.Processors+rounding || used.MemoryMB > capacity.MemoryMB || used.Accelerators > capacity.Accelerators {
		o.violate("worker %s runs %+v but has %+v", worker, used, capacity)
	}
}

// RecordEnd records that a worker ended an attempt.
func (o *Oracle) RecordEnd(worker, task string, attempt uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, r := range o.tasks[task] {
		if r.worker != worker || r.attempt != attempt {
			continue
		}
		o.tasks[task] = append(o.tasks[task][:i:i], o.tasks[task][i+1:]...)
		used := o.used[worker]
		used.Processors -= r.amount.Processors
		used.MemoryMB -= r.amount.MemoryMB
		used.Accelerators -= r.amount.Accelerators
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
		o.violate("request %s ran %d times", id, o.executions[id])
	}
}

// Executions returns how often a request ran.
func (o *Oracle) Executions(caller, key string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.executions[caller+"/"+key]
}

// Starts returns how often a task was started.
func (o *Oracle) Starts(task string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.starts[task]
}

// RunningTasks returns how many attempts run now.
func (o *Oracle) RunningTasks() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for _, list := range o.tasks {
		count += len(list)
	}
	return count
}

// RecordSlots records how many requests a target runs at once and how many it allows.
func (o *Oracle) RecordSlots(target string, busy, slots int) {
	if busy <= slots {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violate("target %s runs %d requests but has %d slots", target, busy, slots)
}

// RecordViolation records a broken promise that was found elsewhere.
func (o *Oracle) RecordViolation(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violate("%s", text)
}

// Violations returns every broken promise so far.
func (o *Oracle) Violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.violations...)
}
