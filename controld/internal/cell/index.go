package cell

import (
	"cmp"
	"slices"

	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/controld/internal/worker"
	"flamingodrift.example/core/wire"
)

// Levels is the number of priority levels of waiting jobs. Level 0 is the highest.
const Levels = 6

// LevelOf returns the priority level of a job. Levels order jobs by urgency, and services before runs of the same
// urgency.
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

// waitingPosition is the level and team under which a waiting job is indexed.
type waitingPosition struct {
	level int
	team  string
}

// index holds the lookups that the planner needs in each round. It is updated with every change of a job or worker,
// derived from the rest of the cell and not part of a snapshot.
type index struct {
	version          uint64
	workerSetVersion uint64
	attributes       map[string]workerAttributes
	waiting          [Levels]map[string][]*job.Job
	positions        map[*job.Job]waitingPosition
	byKey            map[string][]*job.Job
	outdated         map[string]*job.Job
	failing          map[string]*job.Job
	suspected        map[string]*job.Job
	draining         map[string]*worker.Worker
	suspects         map[string]*worker.Worker
	quarantined      map[string]*worker.Worker
	teams            map[string]*wire.Team
	// active holds the tasks that may be running on each worker, ordered by attempt.
	active map[string][]*job.Task
}

// workerAttributes are the attributes of a worker, besides its free capacity, on which the planner's copy depends.
type workerAttributes struct {
	usable, probing bool
	rack, domain    string
	capacity        resource.Vector
}

func newIndex() index {
	ix := index{
		attributes: map[string]workerAttributes{}, positions: map[*job.Job]waitingPosition{},
		byKey:    map[string][]*job.Job{},
		outdated: map[string]*job.Job{}, failing: map[string]*job.Job{}, suspected: map[string]*job.Job{},
		draining: map[string]*worker.Worker{},
		suspects: map[string]*worker.Worker{}, quarantined: map[string]*worker.Worker{}, teams: map[string]*wire.Team{},
		active: map[string][]*job.Task{},
	}
	for i := range ix.waiting {
		ix.waiting[i] = map[string][]*job.Job{}
	}
	return ix
}

func byOrder(j *job.Job, order uint64) int { return cmp.Compare(j.Order(), order) }

// insertByOrder inserts a job into a list that is sorted by arrival.
func insertByOrder(list []*job.Job, j *job.Job) []*job.Job {
	pos, found := slices.BinarySearchFunc(list, j.Order(), byOrder)
	if found {
		return list
	}
	return slices.Insert(list, pos, j)
}

// removeByOrder removes a job from a list that is sorted by arrival.
func removeByOrder(list []*job.Job, j *job.Job) []*job.Job {
	pos, found := slices.BinarySearchFunc(list, j.Order(), byOrder)
	if !found {
		return list
	}
	return slices.Delete(list, pos, pos+1)
}

// setMember adds a value to a set or removes it.
func setMember[T any](set map[string]T, name string, value T, member bool) {
	if member {
		set[name] = value
	} else {
		delete(set, name)
	}
}

// updateJob indexes a job by its present state. The cost depends on the job's own tasks, not on the number of jobs.
func (ix *index) updateJob(j *job.Job) {
	key := j.Spec().GetKey()
	ix.byKey[key] = insertByOrder(ix.byKey[key], j)
	pos, indexed := ix.positions[j]
	now := waitingPosition{level: LevelOf(j.Spec()), team: j.Spec().GetTeam()}
	if indexed && (j.Waiting() == 0 || pos != now) {
		ix.removeWaiting(j, pos)
		indexed = false
	}
	if j.Waiting() > 0 && !indexed {
		ix.positions[j] = now
		ix.waiting[now.level][now.team] = insertByOrder(ix.waiting[now.level][now.team], j)
	}
	setMember(ix.outdated, j.ID(), j, j.HasOutdated())
	setMember(ix.failing, j.ID(), j,
		!j.Held() && (len(j.FailedWorkers()) >= worker.FailuresToHold || j.CrashingTask() != nil))
	setMember(ix.suspected, j.ID(), j, j.HasSuspect())
}

func (ix *index) removeWaiting(j *job.Job, pos waitingPosition) {
	delete(ix.positions, j)
	list := removeByOrder(ix.waiting[pos.level][pos.team], j)
	if len(list) == 0 {
		delete(ix.waiting[pos.level], pos.team)
		return
	}
	ix.waiting[pos.level][pos.team] = list
}

// removeJob removes a job from all indexes.
func (ix *index) removeJob(j *job.Job) {
	if pos, indexed := ix.positions[j]; indexed {
		ix.removeWaiting(j, pos)
	}
	key := j.Spec().GetKey()
	if list := removeByOrder(ix.byKey[key], j); len(list) == 0 {
		delete(ix.byKey, key)
	} else {
		ix.byKey[key] = list
	}
	delete(ix.outdated, j.ID())
	delete(ix.failing, j.ID())
	delete(ix.suspected, j.ID())
}

// jobsByKey returns the jobs with a key, in order of arrival.
func (ix *index) jobsByKey(key string) []*job.Job { return ix.byKey[key] }

// updateWorker indexes a worker by its present state.
func (ix *index) updateWorker(w *worker.Worker) {
	now := workerAttributes{
		usable: w.Usable(), probing: w.Probing(), rack: w.Rack(), domain: w.FailureDomain(), capacity: w.Capacity(),
	}
	if before, known := ix.attributes[w.Name()]; !known || before != now {
		ix.attributes[w.Name()] = now
		ix.workerSetVersion++
	}
	setMember(ix.draining, w.Name(), w, w.Draining() && len(w.Tasks()) > 0)
	setMember(ix.suspects, w.Name(), w, w.Suspect())
	setMember(ix.quarantined, w.Name(), w, w.Held() || w.Probing())
}

// addActive adds a task to its worker's list. Attempt numbers increase, so a new attempt goes to the end.
func (ix *index) addActive(t *job.Task) {
	list := ix.active[t.Worker()]
	pos, _ := slices.BinarySearchFunc(list, t.Attempt(), byAttempt)
	ix.active[t.Worker()] = slices.Insert(list, pos, t)
}

// removeActive removes a task from its worker's list. It must be called before the task's worker is cleared.
func (ix *index) removeActive(t *job.Task) {
	list := ix.active[t.Worker()]
	if pos, found := slices.BinarySearchFunc(list, t.Attempt(), byAttempt); found {
		ix.active[t.Worker()] = slices.Delete(list, pos, pos+1)
	}
}

func byAttempt(t *job.Task, attempt uint64) int { return cmp.Compare(t.Attempt(), attempt) }

// sortedByName returns the members of a set in order of name, so that decisions do not depend on map order.
func sortedByName[T any](set map[string]T) []T {
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

// Version counts the commands that may change the planner's decisions. It is not part of a snapshot.
func (c *Cell) Version() uint64 { return c.index.version }

// WorkerSetVersion counts changes to the set of workers, their capacity, rack and failure domain, and whether they are
// usable or on probation.
func (c *Cell) WorkerSetVersion() uint64 { return c.index.workerSetVersion }

// TasksOn returns the tasks that may be running on a worker, ordered by attempt. The slice must not be modified.
func (c *Cell) TasksOn(worker string) []*job.Task { return c.index.active[worker] }

// WaitingByTeam returns the waiting jobs of a level by team, each list in order of arrival. The map must not be
// modified.
func (c *Cell) WaitingByTeam(level int) map[string][]*job.Job { return c.index.waiting[level] }

// Outdated returns the jobs with tasks that were started from an older version of the row, in order of id.
func (c *Cell) Outdated() []*job.Job { return sortedByName(c.index.outdated) }

// Failing returns the jobs that failed on at least worker.FailuresToHold workers, or under which workers crashed, and that
// are not held, in order of id.
func (c *Cell) Failing() []*job.Job { return sortedByName(c.index.failing) }

// Suspected returns the jobs with tasks under which workers crashed, in order of id.
func (c *Cell) Suspected() []*job.Job { return sortedByName(c.index.suspected) }

// Draining returns the draining workers that still have tasks, in order of name.
func (c *Cell) Draining() []*worker.Worker { return sortedByName(c.index.draining) }

// Suspects returns the workers with enough failures to be held, in order of name.
func (c *Cell) Suspects() []*worker.Worker { return sortedByName(c.index.suspects) }

// Quarantined returns the workers that are held or on probation, in order of name.
func (c *Cell) Quarantined() []*worker.Worker { return sortedByName(c.index.quarantined) }
