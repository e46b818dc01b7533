package scheduler

import (
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/forecaster"
	"flamingodrift.example/controld/internal/matcher"
	"flamingodrift.example/controld/internal/shareranker"
	"flamingodrift.example/core/wire"
)

// workClass is a class of waiting work. Admission compares a new job with the classes that are ahead of it.
type workClass struct {
	pool      string
	priority  uint32
	workspace string
	excess    bool
	// workers is the set of workers that could do the work.
	workers *matcher.Set
}

// waitingWork is the waiting work of a class.
type waitingWork struct {
	// coreMs is all of it, in core-milliseconds.
	coreMs int64
	// cpu is what the tasks need that may start and whose result still has a value, in thousandths of a core.
	cpu int64
	// overdueCPU is the same for tasks whose result has none.
	overdueCPU int64
}

// poolUse is the use of a pool of workers. Processors are in thousandths.
type poolUse struct {
	capacity, inUse int64
	// draining is what draining workers have left, which nothing may use.
	draining int64
	// releasing is the rate at which present runs are expected to release processors a second.
	releasing float64
}

// backlog sums up the jobs and the workers for admission. Walking all jobs for each submission made a leader with
// thousands of waiting jobs slow.
type backlog struct {
	valid bool
	at    time.Duration
	// matcher is the one to which the sets of the classes belong, and inUse what the runs on its groups occupy.
	matcher *matcher.Matcher
	inUse   []int64
	work    map[workClass]*waitingWork
	pools   map[string]*poolUse
	// releasing is the rate at which the present runs of each workspace are expected to release processors a second.
	releasing map[string]float64
	// ranks orders workspaces by their use of their shares; nil without shares.
	ranks *shareranker.Ranker
	// forecasters observe the pools.
	forecasters map[string]*forecaster.Forecaster
}

// maxBacklogAge is how long the sums may be used without a change: work becomes overdue without one.
const maxBacklogAge = 250 * time.Millisecond

func newBacklog() *backlog { return &backlog{forecasters: map[string]*forecaster.Forecaster{}} }

func (b *backlog) forecaster(pool string) *forecaster.Forecaster {
	f := b.forecasters[pool]
	if f == nil {
		f = forecaster.New()
		b.forecasters[pool] = f
	}
	return f
}

func (b *backlog) class(class workClass) *waitingWork {
	w := b.work[class]
	if w == nil {
		w = &waitingWork{}
		b.work[class] = w
	}
	return w
}

func (b *backlog) pool(name string) *poolUse {
	p := b.pools[name]
	if p == nil {
		p = &poolUse{}
		b.pools[name] = p
	}
	return p
}

// updateBacklog updates the backlog after a command. Submissions are added one by one, as there may be a thousand a
// second; any other command makes the next admission count anew.
func (sc *Scheduler) updateBacklog(effect batch.Effect) {
	b := sc.backlog
	if j := effect.Accepted; j != nil && len(effect.Placed)+len(effect.Ended) == 0 {
		if b.valid {
			sc.addWaiting(j, sc.timings[j].lengthsMs)
		}
	} else {
		b.valid = false
	}
	for _, end := range effect.Ended {
		step := end.Task.Step()
		b.forecaster(step.Job().Queue().GetPool()).Released(step.Need().CPU())
	}
}

// classOf returns the class of the waiting work of a step.
func (sc *Scheduler) classOf(step *batch.Step) workClass {
	j := step.Job()
	return workClass{
		pool: j.Queue().GetPool(), priority: j.Queue().GetPriority(), workspace: j.Workspace(), excess: sc.isExcess(j),
		workers: sc.matchesOf(j).steps[step.Number()].Set(),
	}
}

// addWaiting adds the waiting work of a new job in core-milliseconds.
func (sc *Scheduler) addWaiting(j *batch.Job, lengthsMs []int64) {
	for number, step := range j.Steps() {
		if tasks := sc.possibleTasks(step); tasks > 0 {
			sc.backlog.class(sc.classOf(step)).coreMs += int64(tasks) * step.Need().CPU() * lengthsMs[number] / 1000
		}
	}
}

// countBacklog counts the backlog anew if a command has changed it, but not more often than each interval.
func (sc *Scheduler) countBacklog(interval, now time.Duration) *backlog {
	b := sc.backlog
	sc.updateMatcher()
	if age := now - b.at; b.work != nil && b.matcher == sc.matcher && (age < interval || b.valid && age < maxBacklogAge) {
		return b
	}
	b.valid, b.at, b.ranks = true, now, sc.shareRanks()
	forecasts := sc.hasShares()
	b.matcher, b.inUse = sc.matcher, make([]int64, len(sc.matcher.Groups()))
	b.work, b.pools, b.releasing = map[workClass]*waitingWork{}, map[string]*poolUse{}, map[string]float64{}
	for _, incarnation := range sc.batch.Incarnations() {
		p := b.pool(incarnation.Report().GetPool())
		p.capacity += incarnation.Capacity().CPU()
		p.inUse += incarnation.Capacity().CPU() - incarnation.Free().CPU()
		if !forecasts {
			continue
		}
		if g := sc.matcher.GroupOf(incarnation.Worker()); g != nil {
			b.inUse[g.Index()] += incarnation.Capacity().CPU() - incarnation.Free().CPU()
		}
		if incarnation.Draining() {
			p.draining += incarnation.Free().CPU()
		}
	}
	sc.countJobs(forecasts, now)
	sc.shares.removeUncommitted(now)
	sc.shares.rates.Keep(func(workspace string) bool { return sc.batch.Workspace(workspace) != nil })
	for id, a := range sc.shares.admitted {
		if sc.batch.Job(id) == nil {
			sc.addAdmitted(a)
		}
	}
	for name, p := range b.pools {
		b.forecaster(name).Observe(p.releasing, now)
	}
	return b
}

// countJobs adds the jobs that some worker could run to the sums.
func (sc *Scheduler) countJobs(forecasts bool, now time.Duration) {
	b := sc.backlog
	sums := map[stepClass]*waitingWork{}
	for _, j := range sc.jobs.runnable {
		if j.Ended() && j.ActiveRuns() == 0 {
			continue
		}
		timing := sc.timings[j]
		sc.updateMatches(timing.matches, j)
		for number, step := range j.Steps() {
			if forecasts {
				b.addReleasing(step, timing.lengthsMs[number])
			}
			tasks := sc.possibleTasksIn(timing.matches, step)
			if tasks == 0 {
				continue
			}
			class := stepClass{j.Queue(), j.Workspace(), sc.isExcess(j), timing.matches.steps[number].Set()}
			work := sums[class]
			if work == nil {
				work = b.class(sc.classOf(step))
				sums[class] = work
			}
			cpu := int64(tasks) * step.Need().CPU()
			work.coreMs += cpu * timing.lengthsMs[number] / 1000
			switch {
			case !forecasts || !step.Ready():
			case now > timing.acceptedAt+overdueFactor*timing.objective-timing.criticalPaths[number]:
				work.overdueCPU += cpu
			default:
				work.cpu += cpu
			}
		}
	}
}

// addReleasing adds the rate at which the runs of a step are expected to release processors.
func (b *backlog) addReleasing(step *batch.Step, lengthMs int64) {
	if step.ActiveRuns() == 0 || lengthMs <= 0 {
		return
	}
	rate := float64(int64(step.ActiveRuns())*step.Need().CPU()) / float64(lengthMs) * 1000
	b.pool(step.Job().Queue().GetPool()).releasing += rate
	b.releasing[step.Job().Workspace()] += rate
}

// stepClass is a workClass that is compared faster.
type stepClass struct {
	queue     *wire.Queue
	workspace string
	excess    bool
	workers   *matcher.Set
}

// addAdmitted adds the work of a job that was admitted and is not in the log yet.
func (sc *Scheduler) addAdmitted(a admittedJob) {
	steps, possible := sc.matchJob(a.queue, a.job)
	for number, step := range a.job.GetSteps() {
		if possible[number] && len(step.GetAfter()) == 0 {
			sc.backlog.class(workClass{
				pool: a.queue.GetPool(), priority: a.queue.GetPriority(), workspace: a.job.GetWorkspace(), excess: a.excess,
				workers: steps[number].Set(),
			}).cpu += stepCPU(step)
		}
	}
}
