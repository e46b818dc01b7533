package scheduler

import (
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/forecaster"
	"flamingodrift.example/controld/internal/shareranker"
	"flamingodrift.example/core/wire"
)

// workClass is a class of waiting work. Admission compares a new job with the classes that are ahead of it.
type workClass struct {
	pool      string
	priority  uint32
	workspace string
	excess    bool
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
	work  map[workClass]*waitingWork
	pools map[string]*poolUse
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
			timing := sc.timings[j]
			b.class(classOf(j, sc.isExcess(j))).addWaiting(j, &timing)
		}
	} else {
		b.valid = false
	}
	for _, end := range effect.Ended {
		step := end.Task.Step()
		b.forecaster(step.Job().Queue().GetPool()).Released(step.Need().CPU())
	}
}

func classOf(j *batch.Job, excess bool) workClass {
	return workClass{j.Queue().GetPool(), j.Queue().GetPriority(), j.Workspace(), excess}
}

// addWaiting adds the waiting work of a job in core-milliseconds.
func (w *waitingWork) addWaiting(j *batch.Job, timing *jobTiming) {
	if j.Ended() {
		return
	}
	for number, step := range j.Steps() {
		w.coreMs += int64(step.Waiting()) * step.Need().CPU() * timing.lengthsMs[number] / 1000
	}
}

// countBacklog counts the backlog anew if a command has changed it, but not more often than each interval.
func (sc *Scheduler) countBacklog(interval, now time.Duration) *backlog {
	b := sc.backlog
	if age := now - b.at; b.work != nil && (age < interval || b.valid && age < maxBacklogAge) {
		return b
	}
	b.valid, b.at, b.ranks = true, now, sc.shareRanks()
	b.work, b.pools, b.releasing = map[workClass]*waitingWork{}, map[string]*poolUse{}, map[string]float64{}
	for _, incarnation := range sc.batch.Incarnations() {
		p := b.pool(incarnation.Report().GetPool())
		p.capacity += incarnation.Capacity().CPU()
		p.inUse += incarnation.Capacity().CPU() - incarnation.Free().CPU()
		if incarnation.Draining() {
			p.draining += incarnation.Free().CPU()
		}
	}
	forecasts := sc.hasShares()
	sums := map[jobClass]*classSums{}
	for _, j := range sc.batch.Active() {
		class := jobClass{j.Queue(), j.Workspace(), sc.isExcess(j)}
		s := sums[class]
		if s == nil {
			s = &classSums{work: b.class(classOf(j, class.excess)), pool: b.pool(j.Queue().GetPool())}
			sums[class] = s
		}
		timing := sc.timings[j]
		s.work.addWaiting(j, &timing)
		if forecasts {
			b.releasing[class.workspace] += s.add(j, &timing, now)
		}
	}
	sc.shares.removeUncommitted(now)
	sc.shares.rates.Keep(func(workspace string) bool { return sc.batch.Workspace(workspace) != nil })
	for id, a := range sc.shares.admitted {
		if sc.batch.Job(id) == nil {
			b.class(a.class).cpu += a.cpu
		}
	}
	for name, p := range b.pools {
		b.forecaster(name).Observe(p.releasing, now)
	}
	return b
}

// jobClass is a workClass that is compared faster.
type jobClass struct {
	queue     *wire.Queue
	workspace string
	excess    bool
}

// classSums holds the sums to which the jobs of a class are added.
type classSums struct {
	work *waitingWork
	pool *poolUse
}

// add adds what forecasts need to know of a job, and returns the rate at which its runs release processors.
func (s *classSums) add(j *batch.Job, timing *jobTiming, now time.Duration) (releasing float64) {
	for number, step := range j.Steps() {
		if ms := timing.lengthsMs[number]; step.ActiveRuns() > 0 && ms > 0 {
			rate := float64(int64(step.ActiveRuns())*step.Need().CPU()) / float64(ms) * 1000
			s.pool.releasing += rate
			releasing += rate
		}
		waiting := step.Waiting()
		if waiting == 0 || !step.Ready() {
			continue
		}
		cpu := int64(waiting) * step.Need().CPU()
		if now > timing.acceptedAt+overdueFactor*timing.objective-timing.criticalPaths[number] {
			s.work.overdueCPU += cpu
		} else {
			s.work.cpu += cpu
		}
	}
	return releasing
}
