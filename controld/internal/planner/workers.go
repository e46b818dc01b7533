package planner

import (
	"slices"
	"strings"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/controld/internal/worker"
)

// slot is one usable worker as a round sees it.
type slot struct {
	w    *worker.Worker
	free resource.Vector
	// keptUrgent is room for urgent tasks that wait for others to stop; keptGroup is that of the reservation.
	keptUrgent, keptGroup resource.Vector
	// incoming is the room of tasks that are stopping; victims are those that may be stopped, the cheapest first. Both are
	// filled only when a round needs them.
	incoming resource.Vector
	victims  []*job.Task
	rack     int
	domain   int
	probed   bool
}

// workers is the planner's copy of the usable workers. It is rebuilt only when the set of workers changes.
type workers struct {
	cell  *cell.Cell
	set   uint64
	slots []slot
	// rooms repeats the free room of each slot: a search that finds nothing reads only this, and it stays in the
	// processor's cache.
	rooms []resource.Vector
	// roomiest is at least what any slot has free of each resource. Room only shrinks within a round.
	roomiest resource.Vector
	byName   map[string]int
	racks    int
	domains  int
	// capacity is the sum over the usable workers.
	capacity resource.Vector
	// largest and fits are over all known workers: one that is lost or held may return.
	largest  resource.Vector
	kinds    []kind
	preempts bool
}

// kind counts the workers of one size: there are few sizes, and each waiting job is compared with all in each round.
type kind struct {
	capacity resource.Vector
	workers  int64
}

func newWorkers(c *cell.Cell) *workers {
	ws := &workers{cell: c, set: c.WorkerSetVersion(), byName: map[string]int{}}
	counts := map[resource.Vector]int64{}
	for _, w := range c.Workers() {
		counts[w.Capacity()]++
		ws.largest = ws.largest.Max(w.Capacity())
		if w.Usable() {
			ws.slots = append(ws.slots, slot{w: w})
			ws.capacity = ws.capacity.Add(w.Capacity())
		}
	}
	for capacity, count := range counts {
		ws.kinds = append(ws.kinds, kind{capacity: capacity, workers: count})
	}
	slices.SortFunc(ws.slots, func(a, b slot) int { return strings.Compare(a.w.Name(), b.w.Name()) })
	racks, domains := map[string]int{}, map[string]int{}
	for i := range ws.slots {
		s := &ws.slots[i]
		ws.byName[s.w.Name()] = i
		s.domain = number(domains, s.w.FailureDomain())
		s.rack = number(racks, s.w.FailureDomain()+"\x00"+s.w.Rack())
	}
	ws.racks, ws.domains = len(racks), len(domains)
	return ws
}

func number(known map[string]int, name string) int {
	n, ok := known[name]
	if !ok {
		n = len(known)
		known[name] = n
	}
	return n
}

// refresh takes over the free room from the cell.
func (ws *workers) refresh() {
	ws.preempts, ws.rooms, ws.roomiest = false, ws.rooms[:0], resource.Vector{}
	for i := range ws.slots {
		s := &ws.slots[i]
		s.free = s.w.Free()
		s.keptUrgent, s.keptGroup, s.incoming = resource.Vector{}, resource.Vector{}, resource.Vector{}
		s.victims, s.probed = nil, false
		ws.rooms = append(ws.rooms, s.free)
		ws.roomiest = ws.roomiest.Max(s.free)
	}
}

// fitsInAll returns how many tasks of a size all known workers hold when they are empty.
func (ws *workers) fitsInAll(need resource.Vector) (count int64) {
	for _, k := range ws.kinds {
		count += k.workers * need.CopiesIn(k.capacity)
	}
	return count
}

func (ws *workers) take(at int, need resource.Vector) {
	ws.slots[at].free = ws.slots[at].free.Sub(need)
	ws.rooms[at] = ws.slots[at].free
}
