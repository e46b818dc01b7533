// Package forecaster predicts how long a new job waits for capacity, and decides when its caller is to come back. It
// does no I/O and reads no clock.
package forecaster

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// usableShare is the share of the processors that a mix of tasks of 3 to 15 cores can use. The rest is in pieces that
	// are too small (measured by scheduler.TestReplay).
	usableShare = 0.75
	// minSpeed and maxSpeed bound how far the speed at which capacity came free may differ from the expected one. After a
	// time with few runs, none ends for a while.
	minSpeed, maxSpeed = 0.5, 1.2
	// minObserved is how long the speed must have been observed before it is used.
	minObserved = 500 * time.Millisecond
	// maxObservationGap is the longest time between two observations that counts.
	maxObservationGap = 500 * time.Millisecond
	// minRateShare is the least share of the capacity that comes free which work behind all other work can expect.
	minRateShare = 0.1
	// overdueFactor is how many times its objective a job may take before its result is worthless.
	overdueFactor = 3
)

const (
	minRetrySeconds = 1
	maxRetrySeconds = 10
	// minRetrySpread is the least difference between the earliest and the latest time at which refused callers return.
	minRetrySpread = 2
)

// Forecaster holds what was observed of one pool of workers.
type Forecaster struct {
	// released and expected hold the processors that came free, and those that were expected to by the lengths of the
	// runs; observed holds the seconds of the observation.
	released, expected, observed window
	releasedSince                float64
	observedAt                   time.Duration
	rate                         float64
	// arrived holds the accepted work of each priority that is not excess, in processors.
	arrived map[uint32]*window
	// returning holds the processors that refused jobs need, by the second in which their callers return.
	returning map[int64]float64
}

// New returns a Forecaster without observations.
func New() *Forecaster {
	return &Forecaster{arrived: map[uint32]*window{}, returning: map[int64]float64{}}
}

// Released records that a run has released processors, in thousandths.
func (f *Forecaster) Released(cpu int64) { f.releasedSince += float64(cpu) }

// Observe records the rate at which processors are expected to come free, by the lengths of the present runs, in
// thousandths a second.
func (f *Forecaster) Observe(rate float64, now time.Duration) {
	if gap := now - f.observedAt; f.observedAt > 0 && gap <= maxObservationGap {
		f.released.add(f.releasedSince, now)
		f.expected.add(f.rate*gap.Seconds(), now)
		f.observed.add(gap.Seconds(), now)
	}
	f.releasedSince, f.observedAt, f.rate = 0, now, rate
}

// Arrived records an accepted job that is not excess, by the processors that all its tasks need.
func (f *Forecaster) Arrived(priority uint32, cpu int64, now time.Duration) {
	w := f.arrived[priority]
	if w == nil {
		w = &window{}
		f.arrived[priority] = w
	}
	w.add(float64(cpu), now)
}

// Job describes a new job and the work ahead of it. Processors are in thousandths.
type Job struct {
	Priority uint32
	Excess   bool
	// Capacity is that of the pool, and InUse what its runs occupy.
	Capacity, InUse int64
	// Ahead is what waiting tasks ahead of the job need, and Need what the tasks of its first step do.
	Ahead, Need int64
	// AheadLength is how long the tasks ahead of the job run on average.
	AheadLength time.Duration
	// Others is what waiting tasks need that are not excess, whatever their priority.
	Others int64
	// Share is the share of the processors in use that come free for the job, where it can use only a part of the pool; 0
	// stands for all.
	Share float64
	// Consent is how long it takes to get consent for the first step, and Length how long the job runs.
	Consent, Length, Objective time.Duration
}

// Forecast is the expected course of a job.
type Forecast struct {
	// Wait is the time until the job starts, and Limit the longest wait after which its result still has a value.
	Wait, Limit time.Duration
	// OthersWait is the time until all waiting tasks that are not excess have capacity.
	OthersWait time.Duration
	// Rate is the processors that come free for the job, in thousandths a second; Ahead is what the job names, and Free
	// what can be used now.
	Rate, Ahead, Free int64
}

// InTime reports whether the job is expected to end while its result has a value.
func (f Forecast) InTime() bool { return f.Wait <= f.Limit }

// Forecast predicts how long a job waits. While it can still meet its objective, it competes with work of a more urgent
// priority; after that, with all work that can.
func (f *Forecaster) Forecast(job Job, now time.Duration) Forecast {
	share := job.Share
	if share == 0 {
		share = 1
	}
	rate := f.Rate(now) * share
	if rate <= 0 {
		// Nothing runs. Capacity comes free as what is ahead of the job ends.
		rate = usableShare * float64(job.Capacity) / max(job.AheadLength.Seconds(), job.Length.Seconds(), 0.1)
	}
	least := minRateShare * rate
	var urgent, all float64
	for priority, w := range f.arrived {
		arriving := w.perSecond(now) * share
		all += arriving
		if priority < job.Priority || job.Excess {
			urgent += arriving
		}
	}
	free := freeOf(job)
	missing := max(0, float64(job.Ahead+job.Need)-free)
	slack := max(0, job.Objective-job.Length)
	own := max(least, rate-urgent)
	wait := missing / own
	if wait > slack.Seconds() {
		wait = slack.Seconds() + (missing-own*slack.Seconds())/max(least, rate-all)
	}
	return Forecast{
		Wait:       max(job.Consent, seconds(wait)),
		Limit:      overdueFactor*job.Objective - job.Length,
		OthersWait: seconds(max(0, float64(job.Others)-free) / rate),
		Rate:       int64(own), Ahead: job.Ahead, Free: int64(free),
	}
}

// freeOf returns the processors that can be used now. While more than half of them are free, the pieces are large enough
// for all kinds of tasks.
func freeOf(job Job) float64 {
	if 2*job.InUse < job.Capacity {
		return float64(job.Capacity - job.InUse)
	}
	return max(0, usableShare*float64(job.Capacity)-float64(job.InUse))
}

// Rate returns the rate at which processors come free, in thousandths a second: that expected by the lengths of the runs,
// corrected by how fast they came free lately.
func (f *Forecaster) Rate(now time.Duration) float64 {
	speed := 1.0
	if expected := f.expected.sum(now); expected > 0 && f.observed.sum(now) >= minObserved.Seconds() {
		speed = min(maxSpeed, max(minSpeed, f.released.sum(now)/expected))
	}
	return f.rate * speed
}

// RetryAfter returns when the caller of a refused job is to come back, in whole seconds. Callers are spread from the
// earliest time at which the job could be accepted over that in which capacity for all refused jobs comes free.
func (f *Forecaster) RetryAfter(id string, need int64, earliest time.Duration, now time.Duration) time.Duration {
	returning := 0.0
	for second, cpu := range f.returning {
		if second < int64(now/time.Second) {
			delete(f.returning, second)
			continue
		}
		returning += cpu
	}
	first := earliest.Seconds()
	last := first + (returning+float64(need))/max(1, f.Rate(now))
	from := min(max(minRetrySeconds, int64(math.Ceil(min(first, maxRetrySeconds)))), maxRetrySeconds-minRetrySpread)
	until := min(max(from+minRetrySpread, int64(math.Ceil(min(last, maxRetrySeconds)))), maxRetrySeconds)
	after := time.Duration(from+int64(hash(id)%uint64(until-from+1))) * time.Second
	f.returning[int64((now+after)/time.Second)] += float64(need)
	return after
}

// hash returns a number for an id that is spread evenly.
func hash(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	// The low bits of FNV differ little for ids that differ in the last character only.
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}
