package forecaster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/forecaster"
)

const (
	tick  = 25 * time.Millisecond
	start = time.Minute
	// cores is one core in the unit of the package.
	cores = 1000
)

// observe lets processors come free for a time, at a rate and at the rate that the lengths of the runs make expect, both
// in cores a second.
func observe(f *forecaster.Forecaster, expected, actual int64, length time.Duration) time.Duration {
	now := start
	for ; now < start+length; now += tick {
		f.Observe(float64(expected*cores), now)
		f.Released(actual * cores * tick.Milliseconds() / 1000)
	}
	return now
}

// urgent is a job of the urgent kind in docs/contention.md on a full pool of 10,000 cores.
func urgent(ahead int64) forecaster.Job {
	return forecaster.Job{
		Capacity: 10_000 * cores, InUse: 7_500 * cores, Ahead: ahead * cores, Need: 15 * cores, Others: ahead * cores,
		Consent: 10 * time.Millisecond, Length: 640 * time.Millisecond, Objective: 1260 * time.Millisecond,
	}
}

// TestForecast guards against jobs that are accepted although they cannot be served in time, and against refusals of jobs
// that can.
func TestForecast(t *testing.T) {
	tests := []struct {
		name             string
		expected, actual int64
		arrivals         func(f *forecaster.Forecaster, now time.Duration)
		job              forecaster.Job
		wait             time.Duration
		inTime           bool
	}{
		{
			name: "an urgent job waits for those ahead of it", expected: 3000, actual: 3000, job: urgent(1485),
			wait: 500 * time.Millisecond, inTime: true,
		},
		{
			name: "free capacity is used first", expected: 3000, actual: 3000,
			job:  func() forecaster.Job { j := urgent(1485); j.InUse -= 1500 * cores; return j }(),
			wait: 10 * time.Millisecond, inTime: true,
		},
		{
			name: "capacity that comes free at half the expected speed", expected: 3000, actual: 1500, job: urgent(735),
			wait: 500 * time.Millisecond, inTime: true,
		},
		{
			name: "no job of the pool has ended for a while", expected: 3000, actual: 0, job: urgent(735),
			wait: 500 * time.Millisecond, inTime: true,
		},
		{
			name: "a backlog that takes longer than three times the objective", expected: 3000, actual: 3000,
			job: urgent(10_000), wait: 3338 * time.Millisecond,
		},
		{
			name: "a late job has to wait for new jobs that can still be in time", expected: 3000, actual: 3000,
			arrivals: func(f *forecaster.Forecaster, now time.Duration) { f.Arrived(0, 6000*cores, now) },
			job:      urgent(4000), wait: 7837 * time.Millisecond,
		},
		{
			name: "batch gets what more urgent work leaves", expected: 3000, actual: 3000,
			arrivals: func(f *forecaster.Forecaster, now time.Duration) { f.Arrived(0, 1000*cores, now) },
			job: forecaster.Job{
				Priority: 2, Capacity: 10_000 * cores, InUse: 7_500 * cores, Ahead: 920 * cores, Need: 80 * cores,
				Length: 3 * time.Second, Objective: 15 * time.Second,
			},
			wait: 500 * time.Millisecond, inTime: true,
		},
		{
			name: "more urgent work does not wait for batch", expected: 3000, actual: 3000,
			arrivals: func(f *forecaster.Forecaster, now time.Duration) { f.Arrived(2, 100_000*cores, now) },
			job:      urgent(1485), wait: 500 * time.Millisecond, inTime: true,
		},
		{
			name: "excess waits for all other work", expected: 3000, actual: 3000,
			arrivals: func(f *forecaster.Forecaster, now time.Duration) { f.Arrived(2, 100_000*cores, now) },
			job:      func() forecaster.Job { j := urgent(1485); j.Excess = true; return j }(),
			wait:     5 * time.Second,
		},
		{
			name: "a gang whose consent calls take 700 ms", expected: 3000, actual: 3000,
			job: forecaster.Job{
				Priority: 1, Capacity: 10_000 * cores, InUse: 0, Need: 180 * cores, Consent: 700 * time.Millisecond,
				Length: 4 * time.Second, Objective: 9800 * time.Millisecond,
			},
			wait: 700 * time.Millisecond, inTime: true,
		},
		{
			name: "a job that nothing can serve", expected: 3000, actual: 3000,
			job: forecaster.Job{
				Capacity: 10_000 * cores, Need: 15 * cores, Consent: 2 * time.Second, Length: 100 * time.Millisecond,
				Objective: 500 * time.Millisecond,
			},
			wait: 2 * time.Second,
		},
		{
			name: "an idle pool", job: func() forecaster.Job { j := urgent(0); j.InUse = 0; return j }(),
			wait: 10 * time.Millisecond, inTime: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := forecaster.New()
			now := observe(f, test.expected, test.actual, 3*time.Second)
			if test.arrivals != nil {
				test.arrivals(f, now-time.Second)
			}
			forecast := f.Forecast(test.job, now)
			require.InDelta(t, test.wait.Milliseconds(), forecast.Wait.Milliseconds(), 0.1*float64(test.wait.Milliseconds()))
			require.Equal(t, test.inTime, forecast.InTime())
		})
	}
}

// TestOthersWait guards against excess that is accepted while other work waits for capacity.
func TestOthersWait(t *testing.T) {
	f := forecaster.New()
	now := observe(f, 3000, 3000, 3*time.Second)
	job := urgent(0)
	job.Others = 1500 * cores
	require.InDelta(t, 500, f.Forecast(job, now).OthersWait.Milliseconds(), 50)
	job.InUse -= 1500 * cores
	require.Zero(t, f.Forecast(job, now).OthersWait)
	job.Others, job.InUse = 5000*cores, 4900*cores
	require.Zero(t, f.Forecast(job, now).OthersWait, "most of the processors are free: what waits lacks consent")
	job.Others = 6000 * cores
	require.Positive(t, f.Forecast(job, now).OthersWait, "a burst that the free workers cannot hold")
}

// TestRetryAfterSpreads guards against clients that return at one instant, and against return times outside 1 to 10 s or
// long before capacity is free.
func TestRetryAfterSpreads(t *testing.T) {
	tests := []struct {
		name     string
		jobs     int
		earliest time.Duration
		// first and last are the seconds over which the clients are spread.
		first, last int
	}{
		{"few jobs", 20, 0, 1, 3},
		{"five seconds of refused work", 1000, 0, 1, 5},
		{"a storm", 10_000, 0, 1, 10},
		{"capacity comes back later", 1000, 4500 * time.Millisecond, 5, 10},
		{"capacity does not come back soon", 1000, time.Minute, 8, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := forecaster.New()
			now := observe(f, 3000, 3000, 3*time.Second)
			count := map[int]int{}
			for i := range test.jobs {
				after := f.RetryAfter(fmt.Sprintf("%016x", i), 15*cores, test.earliest, now)
				require.Zero(t, after%time.Second)
				count[int(after/time.Second)]++
			}
			for second, n := range count {
				require.GreaterOrEqual(t, second, test.first)
				require.LessOrEqual(t, second, test.last)
				require.Less(t, n, max(10, test.jobs*6/10), "second %d", second)
			}
			require.Positive(t, count[test.first])
			require.Positive(t, count[test.last])
		})
	}
}

// TestRetryAfterIsDeterministic guards against return times that a repeated request changes by chance.
func TestRetryAfterIsDeterministic(t *testing.T) {
	for i := range 20 {
		id := fmt.Sprint("job", i)
		first := forecaster.New().RetryAfter(id, cores, 0, start)
		require.Equal(t, first, forecaster.New().RetryAfter(id, cores, 0, start))
	}
}
