// Package allocator decides which waiting tasks of submitted jobs get a run on which workers. It is a pure function of
// its input; it knows nothing of logs, calls or clocks.
package allocator

import (
	"cmp"
	"slices"

	"flamingodrift.example/controld/internal/resource"
)

// Worker is what a worker offers.
type Worker struct {
	Room resource.Vector
	// Free is the room that no run holds.
	Free resource.Vector
	// Stopping is the room of runs that are being stopped and will be free soon.
	Stopping resource.Vector
	Rack     string
	// Speed is how fast the worker has been, compared to others; 1 is the usual.
	Speed float64
	// Reclaimable are the runs that keep their work when they are stopped.
	Reclaimable []Reclaimable
	// Unproven is set for a worker that failed its last runs; it gets one task at a time.
	Unproven bool
}

// Reclaimable is a run that may be stopped for more urgent work.
type Reclaimable struct {
	// Run is the caller's handle of the run.
	Run      int
	Priority int
	Need     resource.Vector
}

// Demand is a step with waiting tasks.
type Demand struct {
	Priority int
	Need     resource.Vector
	Gang     bool
	// OneRack asks for all tasks on one rack, DataRack for tasks on that rack; elsewhere they take longer.
	OneRack  bool
	DataRack string
	// MostPerWorker bounds the tasks of the step on one worker; 0 is no limit.
	MostPerWorker int
	Tasks         []Task
	Candidates    []Candidate
	// Lateness orders demands before all else.
	Lateness Lateness
	// Urgency orders demands of one priority: the time in milliseconds by which they must have started.
	Urgency int64
}

// Lateness says whether a demand can still meet its objective. Work that can comes first: after an outage or a burst,
// serving the oldest first would make everything late.
type Lateness int

// Kinds of lateness.
const (
	InTime Lateness = iota
	// Late work is worth little, Overdue work nothing to its caller; both are owed all the same.
	Late
	Overdue
)

// Task is one waiting task of a demand.
type Task struct {
	Index int
	// Avoid are the workers, by index, on which the task failed.
	Avoid []int
	// Last is set when one more failure fails the job.
	Last bool
}

// Candidate is a worker that may run a step.
type Candidate struct {
	// Worker is the index of the worker.
	Worker int
	// Allowed is set while a start there would be accepted; otherwise only a renewed consent is missing.
	Allowed bool
	// Holding is how many tasks of the step the worker holds already.
	Holding int
}

// Placement gives a task to a worker.
type Placement struct {
	// Demand and Worker are indexes of the input; Task is the index of the task in its step.
	Demand, Task, Worker int
}

// Plan is the outcome of a round.
type Plan struct {
	Placements []Placement
	// Preempt are handles of runs to stop.
	Preempt []int
	// NeedConsent are the demands that would fit if their consent were renewed.
	NeedConsent []int
	// Blocked are the demands that found no room, by index.
	Blocked []int
}

// Config holds the weights of the policy.
type Config struct {
	// Headroom is the share of each worker's processors that work of the lowest priorities leaves free, so that the most
	// urgent kind starts at once. It answers the bursts of short jobs.
	Headroom float64
	// ReservingGangs bounds how many waiting gangs keep workers from less urgent work. One gang at a time would leave the
	// others starving behind small tasks; all of them would keep most of the workers idle.
	ReservingGangs int
}

// Allocator runs rounds with fixed weights.
type Allocator struct {
	cfg Config
}

// New returns an Allocator.
func New(cfg Config) *Allocator { return &Allocator{cfg: cfg} }

// round is the state of one round.
type round struct {
	cfg     Config
	workers []Worker
	demands []Demand
	free    []resource.Vector
	// reserved is the lowest priority number that may still use a worker which waits for a gang; noReserve is any.
	reserved  []int
	preempted []bool
	reserving int
	probing   []bool
	plan      Plan
}

const noReserve = 1 << 30

// Decide returns what to place, and what to stop for it.
func (a *Allocator) Decide(workers []Worker, demands []Demand) Plan {
	r := &round{cfg: a.cfg, workers: workers, demands: demands}
	r.free = make([]resource.Vector, len(workers))
	r.reserved = make([]int, len(workers))
	r.preempted = make([]bool, len(workers))
	r.probing = make([]bool, len(workers))
	for i := range workers {
		r.free[i], r.reserved[i] = workers[i].Free, noReserve
	}
	for _, d := range order(demands) {
		if demands[d].Gang && len(demands[d].Tasks) > 1 {
			r.placeGang(d)
		} else {
			r.placeSingles(d)
		}
	}
	return r.plan
}

// order returns the demands by lateness, priority and urgency.
func order(demands []Demand) []int {
	indexes := make([]int, len(demands))
	for i := range indexes {
		indexes[i] = i
	}
	slices.SortStableFunc(indexes, func(a, b int) int {
		x, y := &demands[a], &demands[b]
		return cmp.Or(cmp.Compare(x.Lateness, y.Lateness), cmp.Compare(x.Priority, y.Priority), cmp.Compare(x.Urgency, y.Urgency))
	})
	return indexes
}

// usable returns the room of a worker that a demand may use.
func (r *round) usable(d *Demand, worker int) resource.Vector {
	if d.Priority > r.reserved[worker] || d.Lateness > InTime && r.reserved[worker] != noReserve {
		return resource.Vector{}
	}
	free := r.free[worker]
	if d.Priority > 0 && !d.Gang {
		headroom := int64(r.cfg.Headroom * float64(r.workers[worker].Room.CPU()))
		free = free.Sub(resource.NewCPU(headroom))
	}
	return free
}

func (r *round) place(d, task, worker int) {
	r.free[worker] = r.free[worker].Sub(r.demands[d].Need)
	r.probing[worker] = true
	r.plan.Placements = append(r.plan.Placements, Placement{Demand: d, Task: task, Worker: worker})
}
