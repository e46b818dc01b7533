package scheduler

import (
	"slices"
	"time"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
)

// overdueFactor is how many times its objective a job may take before its result is worthless to the caller.
const overdueFactor = 3

// jobTiming holds the times of a job from which its urgency is computed. It is created when the job is accepted or
// taken over from an earlier leader.
type jobTiming struct {
	acceptedAt time.Duration
	objective  time.Duration
	// criticalPaths holds, for each step, the estimated length of the longest chain of steps that begins with it.
	criticalPaths []time.Duration
	// lengthsMs holds the expected length of each step's tasks on a worker of average speed, in milliseconds, and ended the
	// lengths of those that have ended.
	lengthsMs []int64
	ended     []taskLengths
	// work is the expected work of the job in core-milliseconds.
	work int64
	// matches holds which workers could run the steps.
	matches *jobMatches
	// started is set once this leader has placed the job's first run.
	started bool
}

func (sc *Scheduler) newJobTiming(j *batch.Job, now time.Duration) jobTiming {
	timing := jobTiming{
		acceptedAt: now, ended: make([]taskLengths, len(j.Steps())),
		matches: &jobMatches{
			consideredAt: slices.Repeat([]time.Duration{now}, len(j.Steps())),
			waitsSince:   make([]time.Duration, len(j.Steps())),
		},
	}
	sc.estimate(&timing, j, now)
	return timing
}

// estimate computes the lengths of a job's steps and what follows from them.
func (sc *Scheduler) estimate(timing *jobTiming, j *batch.Job, now time.Duration) {
	timing.criticalPaths = make([]time.Duration, len(j.Steps()))
	timing.lengthsMs, timing.work = make([]int64, len(j.Steps())), 0
	var longest time.Duration
	for number := len(timing.criticalPaths) - 1; number >= 0; number-- {
		step := j.Steps()[number]
		spec := step.Spec()
		length := sc.expectedMs(j.Queue().GetName(), spec)
		if sc.cfg.LearnRunTimes {
			length = sc.refine(step, length, timing.ended[number], now)
		}
		timing.lengthsMs[number] = length
		timing.work += int64(spec.GetCount()) * spec.GetCpuMillis() * length / 1000
		timing.criticalPaths[number] += time.Duration(length) * time.Millisecond
		longest = max(longest, timing.criticalPaths[number])
		for _, before := range spec.GetAfter() {
			timing.criticalPaths[before] = max(timing.criticalPaths[before], timing.criticalPaths[number])
		}
	}
	timing.objective = time.Duration(j.Queue().GetStretch()*float64(longest)) +
		time.Duration(j.Queue().GetAllowanceMs())*time.Millisecond
}

// startBy returns the time by which a step is to start, weighted by the size of the job, in milliseconds of this host's
// clock, and whether the job can still meet its objective.
func (sc *Scheduler) startBy(step *batch.Step, now time.Duration) (int64, allocator.Lateness) {
	timing := sc.timings[step.Job()]
	criticalPath := timing.criticalPaths[step.Number()]
	slack := timing.objective - criticalPath
	weighted := timing.acceptedAt + time.Duration(float64(slack)*sc.sizeWeight(step.Job()))
	switch {
	case now <= timing.acceptedAt+slack:
		return weighted.Milliseconds(), allocator.InTime
	case now <= timing.acceptedAt+overdueFactor*timing.objective-criticalPath:
		return weighted.Milliseconds(), allocator.Late
	default:
		return weighted.Milliseconds(), allocator.Overdue
	}
}

// latestStart returns the time by which a step must start for the job to meet its objective.
func (sc *Scheduler) latestStart(step *batch.Step) time.Duration {
	timing := sc.timings[step.Job()]
	return timing.acceptedAt + timing.objective - timing.criticalPaths[step.Number()]
}

const (
	// minSizeWeight and maxSizeWeight bound how much the size of a job changes its place in the order.
	minSizeWeight = 0.4
	maxSizeWeight = 2.0
	// meanGangWeight is the weight of a gang of mean size; minGangWeight and maxGangWeight bound the weights of large and
	// of small gangs. See docs/platform.md for the effect of these weights.
	meanGangWeight = 0.8
	minGangWeight  = 0.5
	maxGangWeight  = 1.0
	// meanWorkWeight is the weight of a new job in the moving average of its queue's work.
	meanWorkWeight = 0.05
)

// sizeWeight returns the weight that orders the jobs of a queue by size: small jobs go before large ones, but each
// still gets its turn. This is for overload, where all jobs would start just too late if ordered by deadline alone. For
// gangs it is the reverse: a large gang needs capacity on many workers at once and finds it last, so that behind small
// gangs it would hardly ever start in time.
func (sc *Scheduler) sizeWeight(j *batch.Job) float64 {
	size, mean := float64(sc.timings[j].work), sc.meanWork[j.Queue().GetName()]
	switch {
	case mean <= 0 || size <= 0:
		return 1
	case slices.ContainsFunc(j.Steps(), func(s *batch.Step) bool { return s.Spec().GetGang() }):
		return min(maxGangWeight, max(minGangWeight, meanGangWeight*mean/size))
	default:
		return min(maxSizeWeight, max(minSizeWeight, size/mean))
	}
}

// updateMeanWork adds a new job to the mean work of its queue. A job that no worker can run does not compete with others.
func (sc *Scheduler) updateMeanWork(j *batch.Job) {
	if !sc.isPossible(j) {
		return
	}
	queue := j.Queue().GetName()
	size := float64(sc.timings[j].work)
	if mean, ok := sc.meanWork[queue]; ok {
		size = (1-meanWorkWeight)*mean + meanWorkWeight*size
	}
	sc.meanWork[queue] = size
}
