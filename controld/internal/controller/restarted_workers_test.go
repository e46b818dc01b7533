package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

const (
	// reportInterval is how often a fake worker reports about itself.
	reportInterval = 1500 * time.Millisecond
	// restartSeeds is how many seeds of each case are played.
	restartSeeds = 8
)

// restartingFleet is a fleet whose workers start again under their old names and are cut off now and then.
type restartingFleet struct {
	*fakeFleet
	names []string
	// nextReport and nextFault are when each worker reports, and starts again or is cut off.
	nextReport, nextFault map[string]time.Duration
	// restarted is set for the workers that are cut off at their next fault.
	restarted map[string]bool
}

func newRestartingFleet(t *testing.T, seed uint64, longestLease time.Duration) *restartingFleet {
	f := &restartingFleet{
		fakeFleet: newFakeFleet(t, seed, 6), nextReport: map[string]time.Duration{},
		nextFault: map[string]time.Duration{}, restarted: map[string]bool{},
	}
	f.longestLease, f.stopDuration, f.forgetsLostEnds = longestLease, 300*time.Millisecond, true
	config := f.config()
	config.Scheduler.RenewWait = time.Second
	g := newGroupWithTiming(t, 3, config, deployedTiming)
	f.group = g
	f.waitForAnswers()
	g.callUntilOK(configureCall(1))
	for name, w := range f.workers {
		w.slowness = 0.019
		f.names = append(f.names, name)
	}
	slices.Sort(f.names)
	for _, name := range f.names {
		f.nextFault[name] = g.now + f.drawn(10*time.Second)
		f.report(name)
	}
	return f
}

// drawn returns a random time below a limit.
func (f *restartingFleet) drawn(limit time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(limit)))
}

// report lets a worker report to the leader, if there is one.
func (f *restartingFleet) report(name string) {
	f.nextReport[name] = f.group.now + reportInterval
	if leader := f.group.leader(); leader != nil {
		call := workerCall(name)
		call.GetWorker().BornUnixMs = f.workers[name].born
		f.group.call(leader, call)
	}
}

// step advances the time by one tick.
func (f *restartingFleet) step() {
	f.runDuration = 500*time.Millisecond + f.drawn(9*time.Second)
	f.group.run(testTick)
	f.wakeCalls()
	f.advance()
	for _, name := range f.names {
		w, now := f.workers[name], f.group.now
		if now >= f.nextReport[name] && now >= w.silentUntil {
			f.report(name)
		}
		if now < f.nextFault[name] {
			continue
		}
		if f.restarted[name] {
			w.silentUntil = now + 9*time.Second
			f.nextFault[name] = w.silentUntil + f.drawn(10*time.Second)
		} else {
			f.restart(name)
			w = f.workers[name]
			w.silentUntil, w.brokenConnections = now+50*time.Millisecond+f.drawn(800*time.Millisecond), f.rand.IntN(8)
			f.nextReport[name] = w.silentUntil + f.drawn(400*time.Millisecond)
			f.nextFault[name] = w.silentUntil + f.drawn(2500*time.Millisecond)
		}
		f.restarted[name] = !f.restarted[name]
	}
}

// play submits jobs for a minute, ends early after a failed check, and returns how many it submitted.
func (f *restartingFleet) play(kills *rand.Rand, killsLeaders bool) int {
	g := f.group
	submitted, killed, backAt := 0, (*testNode)(nil), time.Duration(0)
	for end := g.now + time.Minute; g.now < end && !f.t.Failed(); f.step() {
		leader := g.leader()
		if leader != nil && (g.now/testTick)%25 == 0 && len(leader.ctl.cell.Batch().Active()) < 8 {
			g.call(leader, submitCall(submitted))
			submitted++
		}
		switch {
		case killed != nil && g.now > backAt:
			g.restart(killed, killed.dir)
			killed.ctl.async = f.async
			killed = nil
		case killsLeaders && killed == nil && kills.IntN(200) == 0:
			if killed = leader; killed != nil {
				killed.down, backAt = true, g.now+time.Second
			}
		}
	}
	return submitted
}

// Guards against counting the lease of a worker as over that an order for its former incarnation has extended, and
// against placing a run anew that such an order has started: the task runs twice at a time, which the fake fleet checks.
func TestRestartedWorkersRunNoTaskTwice(t *testing.T) {
	tests := []struct {
		name         string
		longestLease time.Duration
		killsLeaders bool
	}{
		{"longest lease of 6 s", 6 * time.Second, false},
		{"longest lease of 10 s", 10 * time.Second, false},
		{"killed leaders", 6 * time.Second, true},
	}
	for _, tt := range tests {
		for seed := range uint64(restartSeeds) {
			t.Run(fmt.Sprintf("%s, seed %d", tt.name, seed), func(t *testing.T) {
				f := newRestartingFleet(t, seed, tt.longestLease)
				submitted := f.play(rand.New(rand.NewPCG(seed, 2)), tt.killsLeaders)
				if t.Failed() {
					return
				}
				require.Greater(t, f.starts, 20)
				jobs := f.group.awaitLeader().ctl.cell.Batch()
				completed := 0
				for number := range submitted {
					if j := jobs.Job(submitID(number)); j != nil && j.Phase() == wire.JobPhase_JOB_PHASE_COMPLETED {
						completed++
					}
				}
				require.NotZero(t, completed)
			})
		}
	}
}
