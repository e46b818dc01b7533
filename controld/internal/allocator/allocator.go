// Package allocator decides which waiting tasks of submitted jobs get a run on which workers. It is a pure function of
// its input; it knows nothing of logs, calls or clocks.
package allocator

import (
	"cmp"
	"slices"
	"time"

	"flamingodrift.example/controld/internal/resource"
)

// Worker is what a worker offers.
type Worker struct {
	Capacity resource.Vector
	// Free is the room that no run holds.
	Free resource.Vector
	Rack string
	// Speed is how fast the worker has been, compared to others; 1 is the usual.
	Speed float64
	// UrgentCPU is the processors that runs of the most urgent kind hold.
	UrgentCPU int64
	// Unproven is set for a worker that failed its last runs; it gets one task at a time.
	Unproven bool
}

// Run is a run that holds room on a worker.
type Run struct {
	// Handle is the caller's name of the run.
	Handle   int
	Priority int
	Need     resource.Vector
	// Remaining is how long the run is expected to hold its room.
	Remaining time.Duration
	// Reclaimable is set for a run that keeps its work when it is stopped for more urgent work.
	Reclaimable bool
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
	// StartBy orders demands of one priority: the time in milliseconds by which they must have started.
	StartBy int64
	// Reserved is the room that a gang holds since an earlier round. It stays closed to others: newcomers would take
	// the room of wide gangs again and again.
	Reserved []GangShare
	// Length is how long a task is expected to run; 0 is not known.
	Length time.Duration
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
	// LastAttempt is set when one more failure fails the job.
	LastAttempt bool
}

// Candidate is a worker that may run a step.
type Candidate struct {
	// Worker is the index of the worker.
	Worker int
	// HasConsent is set while a start there would be accepted; otherwise only a renewed consent is missing.
	HasConsent bool
	// Placed is how many tasks of the step the worker holds already.
	Placed int
}

// GangShare is how many members of a gang are to run on a worker.
type GangShare struct {
	// Worker is the index of the worker.
	Worker int
	Count  int
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
	// Blocked are the demands without a gang that found no room, by index.
	Blocked []int
	// WaitingGangs are the gangs that have to wait.
	WaitingGangs []WaitingGang
}

// WaitingGang is a gang that has to wait.
type WaitingGang struct {
	Demand int
	// Feasible is set when its candidates could hold it, StartIn the time until they should.
	Feasible bool
	StartIn  time.Duration
	// Shares are where it is going to run. MayReserve is set when it may hold that room; others only lack consent there.
	Shares     []GangShare
	MayReserve bool
}

// Config holds the weights of the policy.
type Config struct {
	// Headroom is the share of each worker's processors that work of the lowest priorities leaves free, so that the most
	// urgent kind starts at once. It answers the bursts of short jobs.
	Headroom float64
	// StopTime is how long it takes until the room of a run that is stopped is free.
	StopTime time.Duration
	// MaxReservingGangs bounds how many waiting gangs hold room in one round, and so how long a round takes.
	MaxReservingGangs int
}

// Allocator runs rounds with fixed weights.
type Allocator struct {
	cfg Config
}

// New returns an Allocator.
func New(cfg Config) *Allocator { return &Allocator{cfg: cfg} }

// hold is room on a worker that a waiting gang is going to use.
type hold struct {
	demand   int
	room     resource.Vector
	priority int
	// in is the time until the gang is expected to start.
	in time.Duration
}

// round is the state of one round.
type round struct {
	cfg     Config
	workers []Worker
	demands []Demand
	runsOf  func(worker int) []Run
	// runs are those of the workers that were asked for.
	runs  [][]Run
	free  []resource.Vector
	holds [][]hold
	// urgent is the processors that this round gave to the most urgent kind.
	urgent []int64
	// stopped are the runs that this round stops, by handle.
	stopped map[int]bool
	planned int
	probing []bool
	plan    Plan
}

// Decide returns what to place, and what to stop for it. It asks for the runs of a worker, by its index, when a gang that
// has to wait may run there.
func (a *Allocator) Decide(workers []Worker, demands []Demand, runs func(worker int) []Run) Plan {
	r := &round{
		cfg: a.cfg, workers: workers, demands: demands, runsOf: runs, runs: make([][]Run, len(workers)), free: make([]resource.Vector, len(workers)),
		holds: make([][]hold, len(workers)), stopped: map[int]bool{}, probing: make([]bool, len(workers)),
		urgent: make([]int64, len(workers)),
	}
	for i := range workers {
		r.free[i] = workers[i].Free
	}
	for d := range demands {
		r.hold(d, demands[d].Reserved, 0)
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
		return cmp.Or(
			cmp.Compare(x.Lateness, y.Lateness), cmp.Compare(x.Priority, y.Priority), cmp.Compare(x.StartBy, y.StartBy),
		)
	})
	return indexes
}

// usable returns the room of a worker that a demand may use now. Held room is open to more urgent work, and to tasks that
// are over before the gang starts.
func (r *round) usable(d *Demand, worker int) resource.Vector {
	free := r.free[worker]
	for _, h := range r.holds[worker] {
		if d.Priority >= h.priority && (d.Gang || d.Length == 0 || d.Length > h.in) {
			free = free.Sub(h.room)
		}
	}
	if d.Priority > 0 && !d.Gang {
		free = free.Sub(resource.NewCPU(r.headroom(worker)))
	}
	return free
}

// headroom returns the processors that less urgent work leaves to the most urgent kind beside what that kind uses.
func (r *round) headroom(worker int) int64 {
	w := &r.workers[worker]
	return max(0, int64(r.cfg.Headroom*float64(w.Capacity.CPU()))-w.UrgentCPU-r.urgent[worker])
}

func (r *round) place(d, task, worker int) {
	r.free[worker] = r.free[worker].Sub(r.demands[d].Need)
	if r.demands[d].Priority == 0 {
		r.urgent[worker] += r.demands[d].Need.CPU()
	}
	r.probing[worker] = true
	r.plan.Placements = append(r.plan.Placements, Placement{Demand: d, Task: task, Worker: worker})
}
