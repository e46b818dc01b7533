package scheduler

import (
	"slices"
	"time"

	"flamingodrift.example/controld/internal/forecaster"
	"flamingodrift.example/controld/internal/matcher"
	"flamingodrift.example/controld/internal/spreader"
	"flamingodrift.example/core/wire"
)

// backlogWait returns how long a new job waits for the work ahead of it that competes for the same workers. A step that
// no worker could run has nothing ahead of it: it waits for other workers to come.
func (sc *Scheduler) backlogWait(
	b *backlog, ahead workBySet, queue *wire.Queue, job *wire.SubmittedJob,
) time.Duration {
	var own workBySet
	steps, possible := sc.matchJob(queue, job)
	for number, step := range job.GetSteps() {
		if possible[number] {
			own.add(steps[number].Set(), stepCPU(step)*sc.expectedMs(queue.GetName(), step)/1000)
		}
	}
	var longest time.Duration
	for _, w := range own {
		longest = max(longest, waitBehind(b, ahead, w.workers, w.amount))
	}
	return longest
}

// workBySet holds amounts of work by the set of workers that could do it. There are few sets, and one as a rule.
type workBySet []workOfSet

type workOfSet struct {
	workers *matcher.Set
	amount  int64
}

// add adds an amount of work that a set of workers could do.
func (w *workBySet) add(workers *matcher.Set, amount int64) {
	for i := range *w {
		if (*w)[i].workers == workers {
			(*w)[i].amount += amount
			return
		}
	}
	*w = append(*w, workOfSet{workers, amount})
}

// sum returns the total of all amounts.
func (w workBySet) sum() int64 {
	var total int64
	for _, part := range w {
		total += part.amount
	}
	return total
}

// spreadable converts the work for a Spreader.
func (w workBySet) spreadable() []spreader.Work {
	work := make([]spreader.Work, 0, len(w))
	for _, part := range w {
		work = append(work, spreader.Work{Groups: groupIndexes(part.workers), Amount: float64(part.amount)})
	}
	slices.SortFunc(work, func(a, b spreader.Work) int { return slices.Compare(a.Groups, b.Groups) })
	return work
}

// isForPool reports whether all workers of the pool could do all of the work.
func (w workBySet) isForPool() bool {
	return !slices.ContainsFunc(w, func(part workOfSet) bool { return !part.workers.IsPool() })
}

// waitBehind returns how much later than on idle workers a step ends that a set of workers could run. Its own work and
// the work ahead of it, by set, are given in core-milliseconds.
func waitBehind(b *backlog, ahead workBySet, workers *matcher.Set, own int64) time.Duration {
	capacity := float64(workers.CPU()) * usableCapacityShare
	if capacity <= 0 {
		return 0
	}
	if len(ahead) == 0 || len(ahead) == 1 && ahead[0].workers == workers {
		return time.Duration(float64(ahead.sum())/capacity*1000) * time.Millisecond
	}
	groups := b.matcher.Groups()
	capacities := make([]float64, len(groups))
	for i, g := range groups {
		capacities[i] = float64(g.Capacity().CPU()*int64(len(g.Workers()))) * usableCapacityShare
	}
	s := spreader.New(capacities, make([]float64, len(groups)))
	s.SpreadAll(ahead.spreadable())
	level, _ := s.Spread(spreader.Work{Groups: groupIndexes(workers), Amount: float64(own)})
	return time.Duration(max(0, level-float64(own)/capacity)*1000) * time.Millisecond
}

func groupIndexes(workers *matcher.Set) []int {
	indexes := make([]int, 0, len(workers.Groups()))
	for _, g := range workers.Groups() {
		indexes = append(indexes, g.Index())
	}
	return indexes
}

// coreMsAhead returns the waiting work, in core-milliseconds, of the queue's pool with the queue's priority or a more
// urgent one, by the set of workers that could do it.
func (b *backlog) coreMsAhead(queue *wire.Queue) workBySet {
	var ahead workBySet
	for class, work := range b.work {
		if class.pool == queue.GetPool() && class.priority <= queue.GetPriority() && work.coreMs > 0 {
			ahead.add(class.workers, work.coreMs)
		}
	}
	return ahead
}

// setCompetition sets what a new job competes with: the work ahead of it and other work, by the sets of workers that
// could do it. Where some work is for a part of the pool only, it spreads the work over the workers and describes those
// that the job would use.
func (sc *Scheduler) setCompetition(
	input *forecaster.Job, b *backlog, queue *wire.Queue, job *wire.SubmittedJob, ahead, others workBySet,
) {
	workers := sc.startSet(queue, job)
	if workers == nil || workers.IsPool() && ahead.isForPool() && others.isForPool() {
		input.Ahead, input.Others = ahead.sum(), others.sum()
		return
	}
	groups := b.matcher.Groups()
	capacities, inUse := make([]float64, len(groups)), make([]float64, len(groups))
	for i, g := range groups {
		capacities[i], inUse[i] = float64(g.Capacity().CPU()*int64(len(g.Workers()))), float64(b.inUse[i])
	}
	withAhead, withOthers := spreader.New(capacities, inUse), spreader.New(capacities, inUse)
	withAhead.SpreadAll(ahead.spreadable())
	withOthers.SpreadAll(others.spreadable())
	loads := make([]float64, len(groups))
	for i := range groups {
		loads[i] = withAhead.Load(i)
	}
	_, used := withAhead.Spread(spreader.Work{Groups: groupIndexes(workers), Amount: float64(input.Need)})
	total := input.InUse
	input.Capacity, input.InUse = 0, 0
	for _, i := range used {
		input.Capacity += int64(capacities[i])
		input.InUse += b.inUse[i]
		input.Ahead += int64(loads[i] - inUse[i])
		input.Others += int64(withOthers.Load(i) - inUse[i])
	}
	if total > 0 {
		input.Share = float64(max(1, input.InUse)) / float64(total)
	}
}

// startSet returns the smallest set of workers that could run a step of a new job that may start at once, or nil if no
// worker could run the job.
func (sc *Scheduler) startSet(queue *wire.Queue, job *wire.SubmittedJob) *matcher.Set {
	var smallest *matcher.Set
	steps, possible := sc.matchJob(queue, job)
	for number, step := range job.GetSteps() {
		set := steps[number].Set()
		if possible[number] && len(step.GetAfter()) == 0 && (smallest == nil || set.CPU() < smallest.CPU()) {
			smallest = set
		}
	}
	return smallest
}
