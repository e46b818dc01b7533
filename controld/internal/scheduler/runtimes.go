package scheduler

import (
	"math"
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/runtimeestimator"
	"flamingodrift.example/core/wire"
)

const (
	// runDeviation and siblingDeviation are log deviations of the length of a run from what is expected: from what was
	// learned of the queue, and from the lengths of other tasks of the step, which differ by 15 to 30 %.
	runDeviation     = 0.5
	siblingDeviation = 0.3
	// stepPriorWeight is how many ended tasks of a step the length learned of its queue counts for.
	stepPriorWeight = (siblingDeviation * siblingDeviation) / (runDeviation * runDeviation)
	// maxStepFactor bounds by which factor the length of one task may differ from what is expected of its step: a few
	// percent of the runs take seven times as long.
	maxStepFactor = 3
	// maxAnswerGap bounds how late a run's end may be reported for its length to be known. A renewal is open nearly always,
	// and answered when a run ends; a worker that was cut off reports its ends later. The longest usual gap is commitWait.
	maxAnswerGap = 250 * time.Millisecond
	// timingInterval is how often the times of all jobs are computed anew from what was learned since.
	timingInterval = time.Second
)

// taskLengths holds the lengths of the ended tasks of a step on a worker of average speed.
type taskLengths struct {
	logSum float64
	count  int
}

// expectedMs returns the expected length of a task on a worker of average speed, in milliseconds: what was learned of its
// queue, or the declared length.
func (sc *Scheduler) expectedMs(queue string, step *wire.JobStep) int64 {
	if sc.cfg.LearnRunTimes {
		if ms, known := sc.batch.Runtimes().Expected(queue, step.GetEstimateMs()); known {
			return int64(ms)
		}
	}
	return int64(step.GetEstimateMs())
}

// stepMs returns the expected length of a task of a step on a worker of average speed, in milliseconds. It also considers
// the tasks of the step that have ended.
func (sc *Scheduler) stepMs(step *batch.Step) int64 {
	if timing, ok := sc.timings[step.Job()]; ok && sc.cfg.LearnRunTimes {
		return timing.lengthsMs[step.Number()]
	}
	return sc.expectedMs(step.Job().Queue().GetName(), step.Spec())
}

func (sc *Scheduler) stepLength(step *batch.Step) time.Duration {
	return time.Duration(sc.stepMs(step)) * time.Millisecond
}

// speedOf returns the relative speed of a worker; 1 is average.
func (sc *Scheduler) speedOf(s *session) float64 {
	if sc.cfg.LearnRunTimes {
		return sc.speedEstimator.Factor(s.incarnation.Worker())
	}
	return s.speed.factor()
}

// refine returns the expected length of a step's tasks, given that of its queue, from its ended tasks. A run that has
// already taken longer counts as one that ends now: the first tasks to end are the short ones.
func (sc *Scheduler) refine(step *batch.Step, queueMs int64, ended taskLengths, now time.Duration) int64 {
	if ended.count == 0 || queueMs <= 0 {
		return queueMs
	}
	prior := math.Log(float64(queueMs))
	bounded := func(log float64) float64 {
		return min(prior+math.Log(maxStepFactor), max(prior-math.Log(maxStepFactor), log))
	}
	sum, weight := stepPriorWeight*prior+ended.logSum, stepPriorWeight+float64(ended.count)
	mean := sum / weight
	for _, t := range step.Tasks() {
		if t.Incarnation() == nil {
			continue
		}
		s := sc.currentSession(t.Incarnation())
		if s == nil || s.runs[t] == nil || !s.runs[t].measurable() || s.runs[t].endQueued {
			continue
		}
		soFar := math.Log(max(1, float64((now-s.runs[t].startAnsweredAt).Milliseconds())*sc.speedOf(s)))
		if soFar > mean {
			sum, weight = sum+bounded(soFar), weight+1
		}
	}
	return min(runtimeestimator.MaxRunTimeMs, max(1, int64(math.Exp(sum/weight))))
}

// runLength returns how long a successful run took on its worker, by the worker's clock; 0 if that is not known or says
// nothing about the length of the task.
func (sc *Scheduler) runLength(s *session, t *batch.Task, r *run) time.Duration {
	if !r.measurable() || s.answerGap > maxAnswerGap {
		return 0
	}
	length := s.clock - r.startClock
	if t.Step().Spec().GetGang() {
		latest, ok := sc.lastMemberStart(t.Step(), r.number)
		if !ok || r.number > 1 {
			return 0
		}
		// A gang begins to work when all its members have started.
		length -= latest - r.startAnsweredAt
	}
	return max(0, length)
}

// lastMemberStart returns when the last member of a gang's run has started. It is not known if another leader started it or
// the answer to a start was lost.
func (sc *Scheduler) lastMemberStart(step *batch.Step, number int) (time.Duration, bool) {
	var latest time.Duration
	for _, t := range step.Tasks() {
		if t.Incarnation() == nil {
			return 0, false
		}
		s := sc.currentSession(t.Incarnation())
		if s == nil || s.runs[t] == nil || s.runs[t].number != number || !s.runs[t].measurable() {
			return 0, false
		}
		latest = max(latest, s.runs[t].startAnsweredAt)
	}
	return latest, true
}

// gangSpeed returns the speed of the slowest worker of a gang, which determines when the gang ends.
func (sc *Scheduler) gangSpeed(step *batch.Step) float64 {
	slowest := math.Inf(1)
	for _, t := range step.Tasks() {
		if t.Incarnation() == nil {
			continue
		}
		if s := sc.currentSession(t.Incarnation()); s != nil {
			slowest = min(slowest, sc.speedEstimator.Factor(s.incarnation.Worker()))
		}
	}
	if math.IsInf(slowest, 1) {
		return 1
	}
	return slowest
}

// learn records the length of a successful run, and returns it for the log: that on a worker of average speed, or 0 if it
// is not known.
func (sc *Scheduler) learn(s *session, t *batch.Task, r *run, now time.Duration) uint32 {
	length := sc.runLength(s, t, r)
	if length <= 0 || t.Done() {
		return 0
	}
	step, worker := t.Step(), s.incarnation.Worker()
	queue, declared := step.Job().Queue().GetName(), step.Spec().GetEstimateMs()
	speed := sc.speedEstimator.Factor(worker)
	if step.Spec().GetGang() {
		speed = sc.gangSpeed(step)
	}
	ran := float64(length.Milliseconds()) * speed
	if ran < 1 {
		return 0
	}
	if declared > 0 {
		sc.cfg.Meter.RunTimeCompared(queue, "declared", ran/float64(declared))
	}
	expected, known := sc.batch.Runtimes().Expected(queue, declared)
	if known {
		sc.cfg.Meter.RunTimeCompared(queue, "learned", ran/float64(expected))
	}
	timing, ok := sc.timings[step.Job()]
	if known && !step.Spec().GetGang() {
		deviation := runDeviation
		if ok && timing.ended[step.Number()].count > 0 {
			expected, deviation = uint32(sc.refine(step, int64(expected), timing.ended[step.Number()], now)), siblingDeviation
		}
		sc.speedEstimator.Record(worker, time.Duration(expected)*time.Millisecond, length, deviation)
	}
	if ok {
		log := math.Log(ran)
		if known {
			middle := math.Log(float64(expected))
			log = min(middle+math.Log(maxStepFactor), max(middle-math.Log(maxStepFactor), log))
		}
		ended := &timing.ended[step.Number()]
		ended.logSum += log
		ended.count++
	}
	return uint32(min(runtimeestimator.MaxRunTimeMs, ran))
}

// measurable reports whether the length of a run says how long its task takes: this leader has started it without a
// checkpoint and knows when.
func (r *run) measurable() bool { return r.fresh && r.startAnswered }

// updateTiming computes the times of a job anew after a task of it has ended or when the queues' lengths may have changed.
func (sc *Scheduler) updateTiming(j *batch.Job, now time.Duration) {
	timing, ok := sc.timings[j]
	if !ok || !sc.cfg.LearnRunTimes || j.Ended() {
		return
	}
	sc.estimate(&timing, j, now)
	sc.timings[j] = timing
}

// updateTimings computes the times of all jobs anew.
func (sc *Scheduler) updateTimings(now time.Duration) {
	if !sc.cfg.LearnRunTimes || now < sc.nextTimings {
		return
	}
	sc.nextTimings = now + timingInterval
	sc.backlog.valid = false
	for _, j := range sc.jobs.runnable {
		sc.updateTiming(j, now)
	}
}
