// Package allocator decides which waiting tasks of submitted jobs run on which workers. A decision is a pure function
// of its input: the package reads no log or clock and makes no calls.
package allocator

import (
	"cmp"
	"slices"
	"time"

	"flamingodrift.example/controld/internal/resource"
)

// Worker describes the resources and the recent record of one worker.
type Worker struct {
	Capacity resource.Vector
	// Free is the part of the capacity that no run occupies.
	Free resource.Vector
	Rack string
	// Speed is the observed speed relative to other workers; 1 is average.
	Speed float64
	// UrgentCPU is the CPU that runs of priority 0 occupy, in thousandths of a core.
	UrgentCPU int64
	// Unproven is set for a worker whose latest runs failed. It gets at most one task per round beside the members of a
	// gang.
	Unproven bool
}

// Run is a run that occupies resources on a worker.
type Run struct {
	// Handle identifies the run to the caller of Decide.
	Handle int
	// Priority is that of the run's queue; 0 is the most urgent.
	Priority int
	Need     resource.Vector
	// Remaining is how long the run is expected to occupy its resources.
	Remaining time.Duration
	// Preemptible is set for a run that may be preempted because its work survives the stop.
	Preemptible bool
	// Excess is set for work beyond the rate that its workspace is guaranteed.
	Excess bool
}

// Demand is a step with waiting tasks.
type Demand struct {
	// Priority is that of the queue; 0 is the most urgent.
	Priority int
	// Need is the resources that each task needs.
	Need resource.Vector
	// Gang is set when all tasks must start together.
	Gang bool
	// OneRack asks for all tasks on one rack, DataRack for tasks on that rack. Both are preferences: elsewhere the
	// tasks take longer.
	OneRack  bool
	DataRack string
	// MostPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MostPerWorker int
	Tasks         []Task
	Candidates    []Candidate
	// Excess is the first key of the order of demands. It is set for work beyond the rate that its workspace is guaranteed:
	// it only gets capacity that no other demand can use, and reserves none.
	Excess bool
	// Lateness is the second key of the order of demands.
	Lateness Lateness
	// ShareRank orders demands of equal lateness and priority: those of workspaces that use less of their share first.
	ShareRank int
	// StartBy orders demands of equal rank: the latest start that meets the objective, weighted by the size of the job, in
	// milliseconds.
	StartBy int64
	// Reserved is the capacity that the gang has reserved in earlier rounds. It stays closed to other demands: without
	// that, newcomers would repeatedly take the capacity that wide gangs wait for.
	Reserved []GangShare
	// Length is how long a task is expected to run; 0 means unknown.
	Length time.Duration
	// HeadroomUse says whether the demand has waited so long that it may use the headroom of workers. It does so after all
	// other demands of the round.
	HeadroomUse HeadroomUse
	// Allowance is what the workspace of the demand may still use on all workers together. The demands of a workspace
	// share it, and placements reduce it. It is nil without a limit.
	Allowance *resource.Vector
}

// allows reports whether the workspace of the demand may use as much more as count of its tasks need.
func (d *Demand) allows(count int) bool {
	return d.Allowance == nil || d.Need.Times(int64(count)).FitsIn(*d.Allowance)
}

// Lateness says whether a demand can still meet its objective. Demands that can are served first: after an outage or a
// burst, serving the oldest first would make all work late.
type Lateness int

// Kinds of lateness.
const (
	InTime Lateness = iota
	// Late work has missed its objective and is of little value to its caller, but must still be done.
	Late
	// Overdue work is of no value to its caller any more, but must still be done.
	Overdue
)

// HeadroomUse says whether a demand may use the headroom.
type HeadroomUse int

// Kinds of use of the headroom.
const (
	NoHeadroom HeadroomUse = iota
	// IdleHeadroom allows it while more than half of the processors are free after all other demands of the round. A backlog
	// that has waited through an outage would otherwise take the headroom of an idle cell at once.
	IdleHeadroom
	AnyHeadroom
)

// Task is one waiting task of a demand.
type Task struct {
	Index int
	// Avoid holds the indexes of the workers on which the task must not run yet, because it failed there recently.
	Avoid []int
	// FailedOn holds the indexes of the other workers on which the task failed. It returns to them if no other worker has
	// room for it.
	FailedOn []int
	// LastAttempt is set when one more failure would fail the job. The task runs on an unproven worker only if no other
	// worker has room for it and no other demand of the round uses the worker.
	LastAttempt bool
	// ProvenOnly is set for a task, or for all members of a gang, that must not run on an unproven worker yet.
	ProvenOnly bool
}

// Candidate is a worker that may run a step.
type Candidate struct {
	// Worker is the index of the worker.
	Worker int
	// HasConsent is set while the worker would accept a start. Otherwise the step had its consent, which has lapsed and
	// must be renewed first.
	HasConsent bool
	// Placed is how many tasks of the step run on the worker already.
	Placed int
}

// GangShare is the number of members of a gang that are to run on one worker.
type GangShare struct {
	// Worker is the index of the worker.
	Worker int
	Count  int
}

// Placement assigns a task to a worker.
type Placement struct {
	// Demand and Worker are indexes into the input; Task is the index of the task in its step.
	Demand, Task, Worker int
}

// Plan is the result of a round. Demands are given by index.
type Plan struct {
	Placements []Placement
	// Preempt holds the handles of the runs to stop.
	Preempt []int
	// NeedConsent holds the demands that would fit if their consent were renewed.
	NeedConsent []int
	// Blocked holds the demands other than gangs of which at least one task did not fit.
	Blocked []int
	// WaitingGangs holds the gangs that cannot start in this round.
	WaitingGangs []WaitingGang
}

// WaitingGang is a gang that cannot start in this round.
type WaitingGang struct {
	Demand int
	// Feasible is set when the candidates have the capacity for the whole gang: for a gang that may reserve, now or once
	// present runs have ended; for any other, now.
	Feasible bool
	// StartIn is the expected time until the candidates have the capacity for it.
	StartIn time.Duration
	// Shares is where the gang is going to run.
	Shares []GangShare
	// MayReserve is set when the gang may reserve the capacity of its shares. Without it, the capacity of the shares,
	// if any, is free and only consent is missing.
	MayReserve bool
}

// Config holds the parameters of the policy.
type Config struct {
	// Headroom is the fraction of each worker's CPU that demands of a priority other than 0 leave free, gangs excepted,
	// so that bursts of short jobs of priority 0 start at once. Excess demands of any kind leave it free too.
	Headroom float64
	// StopTime is the time from the decision to stop a run until its resources are free.
	StopTime time.Duration
	// MaxReservingGangs limits how many waiting gangs may reserve capacity in one round. It bounds the length of a
	// round and keeps waiting gangs from idling all workers.
	MaxReservingGangs int
}

// Allocator decides rounds under one Config.
type Allocator struct {
	cfg Config
}

// New returns an Allocator.
func New(cfg Config) *Allocator { return &Allocator{cfg: cfg} }

// reservation is capacity on a worker that a waiting gang is going to use.
type reservation struct {
	demand    int
	resources resource.Vector
	priority  int
	// startIn is the expected time until the gang starts.
	startIn time.Duration
}

// round is the state of one round. Its slices are indexed by worker, except demands.
type round struct {
	cfg     Config
	workers []Worker
	demands []Demand
	runsOf  func(worker int) []Run
	// runs caches the results of runsOf; nil for a worker that was not asked for yet.
	runs         [][]Run
	free         []resource.Vector
	reservations [][]reservation
	// urgentCPU is the CPU that this round gave to demands of priority 0, in thousandths of a core.
	urgentCPU []int64
	// stopped holds the handles of the runs that this round stops.
	stopped map[int]bool
	// capacityCPU and freeCPU are the capacity of all workers and what is free of it now, in thousandths of a core.
	capacityCPU, freeCPU int64
	// mostFree is set if more than half of the processors were free at the beginning of the round.
	mostFree bool
	// reserving counts the waiting gangs that were allowed to reserve capacity.
	reserving int
	// placedOn is set for workers on which this round placed a task.
	placedOn []bool
	// postponed holds the tasks that are placed after all demands.
	postponed []postponedTasks
	plan      Plan
}

// Decide returns which tasks to place and which runs to stop for them. It calls runs with the index of a worker to get
// its runs, and only for workers on which a gang that has to wait might run.
func (a *Allocator) Decide(workers []Worker, demands []Demand, runs func(worker int) []Run) Plan {
	r := &round{
		cfg: a.cfg, workers: workers, demands: demands, runsOf: runs, runs: make([][]Run, len(workers)),
		free:         make([]resource.Vector, len(workers)),
		reservations: make([][]reservation, len(workers)), stopped: map[int]bool{},
		placedOn: make([]bool, len(workers)), urgentCPU: make([]int64, len(workers)),
	}
	for i := range workers {
		r.free[i] = workers[i].Free
		r.capacityCPU += workers[i].Capacity.CPU()
		r.freeCPU += workers[i].Free.CPU()
	}
	r.mostFree = r.isMostFree()
	for d := range demands {
		r.reserve(d, demands[d].Reserved, 0)
	}
	for _, d := range decisionOrder(demands) {
		if demands[d].Gang && !demands[d].allows(len(demands[d].Tasks)) {
			// It waits for its workspace's limit, and must not keep capacity from others meanwhile.
			r.releaseReservation(d)
			continue
		}
		if demands[d].Gang && len(demands[d].Tasks) > 1 {
			r.placeGang(d)
		} else {
			r.placeIndependentTasks(d)
		}
	}
	for _, p := range r.postponed {
		r.placeTasks(p, true)
	}
	return r.plan
}

// decisionOrder returns the indexes of the demands sorted by excess, lateness, priority, share and latest start.
func decisionOrder(demands []Demand) []int {
	indexes := make([]int, len(demands))
	for i := range indexes {
		indexes[i] = i
	}
	slices.SortStableFunc(indexes, func(a, b int) int {
		x, y := &demands[a], &demands[b]
		return cmp.Or(
			compareBools(x.Excess, y.Excess), cmp.Compare(x.Lateness, y.Lateness), cmp.Compare(x.Priority, y.Priority),
			cmp.Compare(x.ShareRank, y.ShareRank), cmp.Compare(x.StartBy, y.StartBy),
		)
	})
	return indexes
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// available returns the capacity of a worker that a demand may use now beside the headroom.
func (r *round) available(d *Demand, worker int) resource.Vector {
	free := r.unclaimed(d, worker)
	if d.Gang && r.mayUseHeadroom(d) {
		return free
	}
	capacity := r.workers[worker].Capacity
	idle := r.free[worker] == capacity
	full := resource.NewCPU(int64(r.cfg.Headroom * float64(capacity.CPU())))
	switch {
	case d.Excess && !idle:
		// What runs of priority 0 use does not count towards its headroom: these may be excess themselves.
		free = free.Sub(full)
	case d.Excess:
		// A gang that has consent for one worker only may need all of it, and would never start beside the headroom.
	case d.Priority > 0 && !d.Gang && (!idle || d.Need.FitsIn(capacity.Sub(full))):
		// A task that needs nearly a whole worker would never start beside the headroom, so it gets an idle one.
		free = free.Sub(resource.NewCPU(r.headroom(worker)))
	}
	return free
}

// mayUseHeadroom reports whether a demand has waited so long that it may use the headroom.
func (r *round) mayUseHeadroom(d *Demand) bool {
	return d.HeadroomUse == AnyHeadroom || d.HeadroomUse == IdleHeadroom && r.isMostFree()
}

// isMostFree reports whether more than half of the processors are free now.
func (r *round) isMostFree() bool { return 2*r.freeCPU > r.capacityCPU }

// unclaimed returns the free capacity of a worker without what is reserved. Reserved capacity is open to demands of a more
// urgent priority, and to tasks that should end before the gang starts.
func (r *round) unclaimed(d *Demand, worker int) resource.Vector {
	free := r.free[worker]
	for _, res := range r.reservations[worker] {
		if d.Priority >= res.priority && (d.Gang || d.Length == 0 || d.Length > res.startIn) {
			free = free.Sub(res.resources)
		}
	}
	return free
}

// headroom returns the CPU, in thousandths of a core, that other demands must leave free for demands of priority 0.
// What runs of priority 0 use already counts towards it.
func (r *round) headroom(worker int) int64 {
	w := &r.workers[worker]
	return max(0, int64(r.cfg.Headroom*float64(w.Capacity.CPU()))-w.UrgentCPU-r.urgentCPU[worker])
}

func (r *round) place(d, task, worker int) {
	r.free[worker] = r.free[worker].Sub(r.demands[d].Need)
	r.freeCPU -= r.demands[d].Need.CPU()
	if r.demands[d].Priority == 0 {
		r.urgentCPU[worker] += r.demands[d].Need.CPU()
	}
	if allowance := r.demands[d].Allowance; allowance != nil {
		*allowance = allowance.Sub(r.demands[d].Need)
	}
	r.placedOn[worker] = true
	r.plan.Placements = append(r.plan.Placements, Placement{Demand: d, Task: task, Worker: worker})
}
