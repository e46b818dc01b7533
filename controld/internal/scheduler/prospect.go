package scheduler

import (
	"slices"
	"time"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/wire"
)

// lateFactor is how many objectives a job may take and still be worth something to its caller.
const lateFactor = 3

// prospect is what a leader knows of a job's time: it is worked out once, when the job is accepted or taken over.
type prospect struct {
	acceptedAt time.Duration
	objective  time.Duration
	// rests are the lengths of the longest chain of work from each step on.
	rests []time.Duration
	// started is set once the job's first run was placed by this leader.
	started bool
}

func newProspect(j *batch.Job, now time.Duration) prospect {
	p := prospect{acceptedAt: now, rests: make([]time.Duration, len(j.Steps()))}
	var longest time.Duration
	for number := len(p.rests) - 1; number >= 0; number-- {
		spec := j.Steps()[number].Spec()
		p.rests[number] += time.Duration(spec.GetEstimateMs()) * time.Millisecond
		longest = max(longest, p.rests[number])
		for _, before := range spec.GetAfter() {
			p.rests[before] = max(p.rests[before], p.rests[number])
		}
	}
	p.objective = time.Duration(j.Queue().GetStretch()*float64(longest)) +
		time.Duration(j.Queue().GetAllowanceMs())*time.Millisecond
	return p
}

// urgency returns by when a step must start to meet its objective, in milliseconds of this host's clock, and whether that
// can still be met.
func (f *Scheduler) urgency(step *batch.Step, now time.Duration) (int64, allocator.Lateness) {
	p := f.prospects[step.Job()]
	rest := p.rests[step.Number()]
	slack := p.objective - rest
	weighted := p.acceptedAt + time.Duration(float64(slack)*f.sizeWeight(step.Job()))
	switch {
	case now <= p.acceptedAt+slack:
		return weighted.Milliseconds(), allocator.InTime
	case now <= p.acceptedAt+lateFactor*p.objective-rest:
		return weighted.Milliseconds(), allocator.Late
	default:
		return weighted.Milliseconds(), allocator.Overdue
	}
}

// latestStart returns by when a step must start to meet its objective.
func (f *Scheduler) latestStart(step *batch.Step) time.Duration {
	p := f.prospects[step.Job()]
	return p.acceptedAt + p.objective - p.rests[step.Number()]
}

const (
	// leastWeight and mostWeight bound how much the size of a job shifts its turn.
	leastWeight = 0.4
	mostWeight  = 2.0
	// gangWeight is the weight of a gang of the mean size; leastGangWeight and mostGangWeight bound that of large and of
	// small ones. Replays decided on these and on the bounds above: see docs/platform.md.
	gangWeight      = 0.8
	leastGangWeight = 0.5
	mostGangWeight  = 1.0
	// workWeight is the weight of a new job in the mean work of its queue.
	workWeight = 0.05
)

// sizeWeight lets small jobs go before large ones of the same queue, and still gives each its turn. It answers a load above
// the room: served by deadline alone, all jobs would start just too late. Gangs are the other way round: a large one needs
// room on many workers at a time and finds it last, so that after the small ones it would hardly ever start in time.
func (f *Scheduler) sizeWeight(j *batch.Job) float64 {
	size, mean := float64(work(j.Spec())), f.meanWork[j.Queue().GetName()]
	switch {
	case mean <= 0 || size <= 0:
		return 1
	case slices.ContainsFunc(j.Steps(), func(s *batch.Step) bool { return s.Spec().GetGang() }):
		return min(mostGangWeight, max(leastGangWeight, gangWeight*mean/size))
	default:
		return min(mostWeight, max(leastWeight, size/mean))
	}
}

// work returns the work of a job in core-milliseconds, by its estimates.
func work(spec *wire.SubmittedJob) int64 {
	var sum int64
	for _, step := range spec.GetSteps() {
		sum += int64(step.GetCount()) * step.GetCpuMillis() * int64(step.GetEstimateMs()) / 1000
	}
	return sum
}

func (f *Scheduler) noteWork(j *batch.Job) {
	queue := j.Queue().GetName()
	size := float64(work(j.Spec()))
	if mean, ok := f.meanWork[queue]; ok {
		size = (1-workWeight)*mean + workWeight*size
	}
	f.meanWork[queue] = size
}
