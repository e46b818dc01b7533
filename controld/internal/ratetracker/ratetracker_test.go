package ratetracker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/ratetracker"
)

// arrivals is a constant rate of submissions for some time.
type arrivals struct {
	from, until time.Duration
	perSecond   float64
}

// TestIsExcess guards against a workspace that gets more or less than its rate, whatever it submits.
func TestIsExcess(t *testing.T) {
	tests := []struct {
		name      string
		perSecond float64
		arrivals  []arrivals
		// from and until bound the period that is checked; within is the number of jobs within the rate in it.
		from, until time.Duration
		within      int
	}{
		{
			name: "usual load", perSecond: 40, arrivals: []arrivals{{0, 20 * time.Second, 40}},
			from: 0, until: 20 * time.Second, within: 800,
		},
		{
			name: "nine times the usual load for 7 s", perSecond: 40,
			arrivals: []arrivals{{0, 10 * time.Second, 40}, {10 * time.Second, 17 * time.Second, 360}},
			from:     10 * time.Second, until: 17 * time.Second, within: 280,
		},
		{
			name: "a burst after silence may use the rate of one window at once", perSecond: 10,
			arrivals: []arrivals{{10 * time.Second, 11 * time.Second, 200}},
			from:     0, until: 20 * time.Second, within: 50,
		},
		{
			name: "less than one job per window", perSecond: 0.1, arrivals: []arrivals{{0, 100 * time.Second, 10}},
			from: 0, until: 100 * time.Second, within: 10,
		},
		{
			name: "no rate", perSecond: 0, arrivals: []arrivals{{0, 10 * time.Second, 10}},
			from: 0, until: 10 * time.Second, within: 0,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker := ratetracker.New(-time.Minute)
			within, number := 0, 0
			for _, a := range test.arrivals {
				step := time.Duration(float64(time.Second) / a.perSecond)
				for now := a.from; now < a.until; now += step {
					number++
					job := fmt.Sprint(number)
					if tracker.IsExcess("w", job, test.perSecond, now) {
						continue
					}
					tracker.Accept("w", job, now)
					if now >= test.from && now < test.until {
						within++
					}
				}
			}
			require.InDelta(t, test.within, within, 1)
		})
	}
}

// TestRepetitionCountsOnce guards against a caller whose repeated submissions of one job use up its rate.
func TestRepetitionCountsOnce(t *testing.T) {
	tracker := ratetracker.New(-time.Minute)
	for range 10 {
		require.False(t, tracker.IsExcess("w", "a", 0.4, time.Second))
		tracker.Accept("w", "a", time.Second)
	}
	require.False(t, tracker.IsExcess("w", "b", 0.4, time.Second))
	tracker.Accept("w", "b", time.Second)
	require.True(t, tracker.IsExcess("w", "c", 0.4, time.Second))
	require.False(t, tracker.IsExcess("w", "a", 0.4, 2*time.Second), "a counts already")
	require.False(t, tracker.IsExcess("w", "c", 0.4, 6*time.Second), "the window has passed")
}

// TestRefusedJobsDoNotCount guards against retries of refused jobs that use up the rate.
func TestRefusedJobsDoNotCount(t *testing.T) {
	tracker := ratetracker.New(-time.Minute)
	tracker.Accept("w", "a", 0)
	for i := range 100 {
		require.True(t, tracker.IsExcess("w", "b", 0.2, time.Duration(i)*time.Millisecond))
	}
	require.False(t, tracker.IsExcess("w", "b", 0.2, 5*time.Second))
}

// TestWorkspacesAreIndependent guards against one workspace that uses up the rate of another.
func TestWorkspacesAreIndependent(t *testing.T) {
	tracker := ratetracker.New(-time.Minute)
	for i := range 10 {
		tracker.Accept("hot", fmt.Sprint(i), 0)
	}
	require.True(t, tracker.IsExcess("hot", "x", 1, 0))
	require.False(t, tracker.IsExcess("other", "x", 1, 0))
	tracker.Keep(func(workspace string) bool { return workspace != "hot" })
	require.False(t, tracker.IsExcess("hot", "x", 1, 0))
}

// TestNewLeader guards against a workspace that gets its whole window again from each new leader.
func TestNewLeader(t *testing.T) {
	tracker := ratetracker.New(time.Minute)
	within := 0
	for i := range 300 {
		now := time.Minute + time.Duration(i)*10*time.Millisecond
		if job := fmt.Sprint(i); !tracker.IsExcess("w", job, 10, now) {
			tracker.Accept("w", job, now)
			within++
		}
	}
	require.InDelta(t, 40, within, 1, "one second of the rate at once, and 3 s at the rate")
}
