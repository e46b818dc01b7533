package cell

import (
	"cmp"
	"slices"

	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/controld/internal/worker"
	"flamingodrift.example/core/wire"
)

// Levels is the number of levels of waiting jobs; level 0 goes first.
const Levels = 6

// LevelOf orders work by urgency, and services before runs of the same urgency.
func LevelOf(spec *wire.JobSpec) int {
	level := 2
	switch spec.GetUrgency() {
	case wire.Urgency_URGENCY_URGENT:
		level = 0
	case wire.Urgency_URGENCY_LOW:
		level = 4
	default:
	}
	if spec.GetKind() != wire.JobKind_JOB_KIND_SERVICE {
		level++
	}
	return level
}

// place is where a waiting job stands in the queue.
type place struct {
	level int
	team  string
}

// index holds what the planner asks for in each round, kept up to date with each change of a job or worker. It is
// derived from the rest of the cell and is not part of a snapshot.
type index struct {
	version     uint64
	workerSet   uint64
	shapes      map[string]shape
	queue       [Levels]map[string][]*job.Job
	places      map[*job.Job]place
	byKey       map[string][]*job.Job
	outdated    map[string]*job.Job
	failing     map[string]*job.Job
	draining    map[string]*worker.Worker
	suspects    map[string]*worker.Worker
	quarantined map[string]*worker.Worker
	teams       map[string]*wire.Team
	// active holds the tasks that may run on each worker, the earliest attempt first.
	active map[string][]*job.Task
}

// shape is what the planner's copy of a worker depends on besides its free room.
type shape struct {
	usable, probing bool
	rack, domain    string
	capacity        resource.Vector
}

func newIndex() index {
	ix := index{
		shapes: map[string]shape{}, places: map[*job.Job]place{}, byKey: map[string][]*job.Job{},
		outdated: map[string]*job.Job{}, failing: map[string]*job.Job{}, draining: map[string]*worker.Worker{},
		suspects: map[string]*worker.Worker{}, quarantined: map[string]*worker.Worker{}, teams: map[string]*wire.Team{},
		active: map[string][]*job.Task{},
	}
	for i := range ix.queue {
		ix.queue[i] = map[string][]*job.Job{}
	}
	return ix
}

func byOrder(j *job.Job, order uint64) int { return cmp.Compare(j.Order(), order) }

// insert keeps a list in order of arrival.
func insert(list []*job.Job, j *job.Job) []*job.Job {
	at, found := slices.BinarySearchFunc(list, j.Order(), byOrder)
	if found {
		return list
	}
	return slices.Insert(list, at, j)
}

func remove(list []*job.Job, j *job.Job) []*job.Job {
	at, found := slices.BinarySearchFunc(list, j.Order(), byOrder)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}

func keep[T any](set map[string]T, name string, value T, member bool) {
	if member {
		set[name] = value
	} else {
		delete(set, name)
	}
}

// note files a job under what it is now. Its cost depends on the job's own tasks, not on the number of jobs.
func (ix *index) note(j *job.Job) {
	key := j.Spec().GetKey()
	ix.byKey[key] = insert(ix.byKey[key], j)
	at, queued := ix.places[j]
	now := place{level: LevelOf(j.Spec()), team: j.Spec().GetTeam()}
	if queued && (j.Waiting() == 0 || at != now) {
		ix.dequeue(j, at)
		queued = false
	}
	if j.Waiting() > 0 && !queued {
		ix.places[j] = now
		ix.queue[now.level][now.team] = insert(ix.queue[now.level][now.team], j)
	}
	keep(ix.outdated, j.ID(), j, j.HasOutdated())
	keep(ix.failing, j.ID(), j, !j.Held() && len(j.FailedWorkers()) >= worker.FailuresToHold)
}

func (ix *index) dequeue(j *job.Job, at place) {
	delete(ix.places, j)
	list := remove(ix.queue[at.level][at.team], j)
	if len(list) == 0 {
		delete(ix.queue[at.level], at.team)
		return
	}
	ix.queue[at.level][at.team] = list
}

// drop removes a job that the cell forgets.
func (ix *index) drop(j *job.Job) {
	if at, queued := ix.places[j]; queued {
		ix.dequeue(j, at)
	}
	key := j.Spec().GetKey()
	if list := remove(ix.byKey[key], j); len(list) == 0 {
		delete(ix.byKey, key)
	} else {
		ix.byKey[key] = list
	}
	delete(ix.outdated, j.ID())
	delete(ix.failing, j.ID())
}

// named returns the jobs with a key, in order of arrival.
func (ix *index) named(key string) []*job.Job { return ix.byKey[key] }

// noteWorker files a worker under what it is now.
func (ix *index) noteWorker(w *worker.Worker) {
	now := shape{
		usable: w.Usable(), probing: w.Probing(), rack: w.Rack(), domain: w.FailureDomain(), capacity: w.Capacity(),
	}
	if before, known := ix.shapes[w.Name()]; !known || before != now {
		ix.shapes[w.Name()] = now
		ix.workerSet++
	}
	keep(ix.draining, w.Name(), w, w.Draining() && len(w.Tasks()) > 0)
	keep(ix.suspects, w.Name(), w, w.Suspect())
	keep(ix.quarantined, w.Name(), w, w.Held() || w.Probing())
}

// addActive files a task under its worker. Attempts count up, so a new one is the last.
func (ix *index) addActive(t *job.Task) {
	list := ix.active[t.Worker()]
	at, _ := slices.BinarySearchFunc(list, t.Attempt(), byAttempt)
	ix.active[t.Worker()] = slices.Insert(list, at, t)
}

// dropActive removes a task from its worker; it must be called before the task forgets the worker.
func (ix *index) dropActive(t *job.Task) {
	list := ix.active[t.Worker()]
	if at, found := slices.BinarySearchFunc(list, t.Attempt(), byAttempt); found {
		ix.active[t.Worker()] = slices.Delete(list, at, at+1)
	}
}

func byAttempt(t *job.Task, attempt uint64) int { return cmp.Compare(t.Attempt(), attempt) }

// sorted returns the members of a set in order of name, so that decisions do not depend on the order of a map.
func sorted[T any](set map[string]T) []T {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	members := make([]T, 0, len(set))
	for _, name := range names {
		members = append(members, set[name])
	}
	return members
}

// Version counts the commands that may change what the planner decides. It is not part of a snapshot.
func (c *Cell) Version() uint64 { return c.index.version }

// WorkerSetVersion counts changes to the set of workers, their size, place and whether they take tasks.
func (c *Cell) WorkerSetVersion() uint64 { return c.index.workerSet }

// TasksOn returns the tasks that may run on a worker, the earliest attempt first. The slice must not be changed.
func (c *Cell) TasksOn(worker string) []*job.Task { return c.index.active[worker] }

// WaitingByTeam returns the waiting jobs of a level by team, each list in order of arrival. It must not be changed.
func (c *Cell) WaitingByTeam(level int) map[string][]*job.Job { return c.index.queue[level] }

// Outdated returns the jobs with tasks that were started from an older row, in order of id.
func (c *Cell) Outdated() []*job.Job { return sorted(c.index.outdated) }

// Failing returns the jobs that failed on three workers and are not held, in order of id.
func (c *Cell) Failing() []*job.Job { return sorted(c.index.failing) }

// Draining returns the draining workers that still have tasks, in order of name.
func (c *Cell) Draining() []*worker.Worker { return sorted(c.index.draining) }

// Suspects returns the workers to be held, in order of name.
func (c *Cell) Suspects() []*worker.Worker { return sorted(c.index.suspects) }

// Quarantined returns the workers that are held or on probation, in order of name.
func (c *Cell) Quarantined() []*worker.Worker { return sorted(c.index.quarantined) }
