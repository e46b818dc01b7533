package planner

import (
	"slices"
	"strings"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/controld/internal/worker"
)

// workerView is one usable worker with its state in a round.
type workerView struct {
	worker *worker.Worker
	free   resource.Vector
	// reservedUrgent is reserved for tasks that wait for preempted ones to stop, reservedGang by the reservation for an
	// all-at-once job.
	reservedUrgent, reservedGang resource.Vector
	// releasing is the capacity of tasks that are stopping, and potentialVictims are the tasks that may be preempted,
	// the cheapest first. Both are set by collectVictims.
	releasing        resource.Vector
	potentialVictims []*job.Task
	// rack and domain number the racks and failure domains from 0.
	rack   int
	domain int
	// placedOn is set if the round placed a task on the worker.
	placedOn bool
	// hasSuspect is set while a task under which workers crashed is starting on the worker.
	hasSuspect bool
}

// workerSet is the planner's copy of the usable workers. It is rebuilt only if the set of workers changes.
type workerSet struct {
	cell       *cell.Cell
	setVersion uint64
	views      []workerView
	// free duplicates the free capacity of each view: a search that finds no worker reads only this slice, which fits
	// in the processor's cache.
	free []resource.Vector
	// maxFree is an upper bound of what any worker has free of each resource. It is not lowered during a round, in
	// which free capacity only shrinks.
	maxFree     resource.Vector
	indexByName map[string]int
	racks       int
	domains     int
	// capacity is the total of the usable workers.
	capacity resource.Vector
	// maxCapacity and sizes cover all known workers, because one that is lost, held or draining may become usable
	// again. maxCapacity is the maximum of each resource.
	maxCapacity resource.Vector
	sizes       []workerSize
	// victimsCollected is set once collectVictims has run in the round.
	victimsCollected bool
}

// workerSize counts the workers of one capacity. Each round compares each waiting job with all sizes, of which there
// are few.
type workerSize struct {
	capacity resource.Vector
	count    int64
}

func newWorkerSet(c *cell.Cell) *workerSet {
	ws := &workerSet{cell: c, setVersion: c.WorkerSetVersion(), indexByName: map[string]int{}}
	counts := map[resource.Vector]int64{}
	for _, w := range c.Workers() {
		counts[w.Capacity()]++
		ws.maxCapacity = ws.maxCapacity.Max(w.Capacity())
		if w.Usable() {
			ws.views = append(ws.views, workerView{worker: w})
			ws.capacity = ws.capacity.Add(w.Capacity())
		}
	}
	for capacity, count := range counts {
		ws.sizes = append(ws.sizes, workerSize{capacity: capacity, count: count})
	}
	slices.SortFunc(ws.views, func(a, b workerView) int { return strings.Compare(a.worker.Name(), b.worker.Name()) })
	racks, domains := map[string]int{}, map[string]int{}
	for i := range ws.views {
		view := &ws.views[i]
		ws.indexByName[view.worker.Name()] = i
		view.domain = intern(domains, view.worker.FailureDomain())
		view.rack = intern(racks, view.worker.FailureDomain()+"\x00"+view.worker.Rack())
	}
	ws.racks, ws.domains = len(racks), len(domains)
	return ws
}

// intern returns the number of a name, and assigns the next one to a new name.
func intern(known map[string]int, name string) int {
	n, ok := known[name]
	if !ok {
		n = len(known)
		known[name] = n
	}
	return n
}

// refresh resets the state of the round and copies the free capacity from the cell.
func (ws *workerSet) refresh() {
	ws.victimsCollected, ws.free, ws.maxFree = false, ws.free[:0], resource.Vector{}
	for i := range ws.views {
		view := &ws.views[i]
		view.free = view.worker.Free()
		view.reservedUrgent, view.reservedGang, view.releasing = resource.Vector{}, resource.Vector{}, resource.Vector{}
		view.potentialVictims, view.placedOn, view.hasSuspect = nil, false, false
		ws.free = append(ws.free, view.free)
		ws.maxFree = ws.maxFree.Max(view.free)
	}
}

// maxCopies returns how many tasks of a size would fit on all known workers together if they were empty.
func (ws *workerSet) maxCopies(need resource.Vector) (count int64) {
	for _, size := range ws.sizes {
		count += size.count * need.CopiesIn(size.capacity)
	}
	return count
}

func (ws *workerSet) allocate(index int, need resource.Vector) {
	ws.views[index].free = ws.views[index].free.Sub(need)
	ws.free[index] = ws.views[index].free
}
