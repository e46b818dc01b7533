package scheduler

import (
	"cmp"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

// The intervals of a replay, as measured on a cell of five voters.
const (
	replayTurn   = 5 * time.Millisecond
	commitTime   = 20 * time.Millisecond
	orderTime    = 5 * time.Millisecond
	checkpointed = 500 * time.Millisecond
	gangPatience = 3 * time.Second
	// settle is how long a replay goes on after the last arrival.
	settle = 14 * time.Second
)

// kind is one kind of job of a load.
type kind struct {
	name     string
	priority uint32
	// perSecond is the mean rate of arrivals.
	perSecond float64
	steps     float64
	tasks     float64
	cores     float64
	// memoryMB is for each core.
	memoryMB  float64
	runs      time.Duration
	stretch   float64
	allowance time.Duration
	attempts  uint32
	// gangs and checkpoints are shares of the jobs.
	gangs, checkpoints float64
	worth              float64
	consent            *wire.ConsentPolicy
	// granted is the share of the workers that may run a step.
	granted float64
}

// burst multiplies the rate of a kind for a while.
type burst struct {
	kind      string
	at, until time.Duration
	factor    float64
}

// loss takes workers away without notice; they come back as new lives.
type loss struct {
	at, until time.Duration
	share     float64
}

// load is what a replay plays.
type load struct {
	workers int
	helpers int
	kinds   []kind
	bursts  []burst
	losses  []loss
	// handover is when another leader takes over; 0 is never.
	handover time.Duration
	length   time.Duration
}

// served is how a kind fared: the share of its worth that was served, where work within its objective counts in full and
// work within three objectives a fifth.
type served struct {
	owed, earned   float64
	jobs, inTime   int
	late, unserved int
	turnedAway     int
}

func (s served) share() float64 { return s.earned / max(s.owed, 1e-9) }

// standardLoad is four fifths of the room of 48 workers, with a burst of the short kind and one of gangs.
func standardLoad() load {
	return load{
		workers: 48, helpers: 13, length: 34 * time.Second,
		kinds: []kind{
			{
				name: "gangs", priority: 1, perSecond: 1.8, steps: 1.2, tasks: 8, cores: 9, memoryMB: 2900, runs: 4 * time.Second, stretch: 2.2,
				allowance: time.Second, attempts: 2, gangs: 1, checkpoints: 0.5, worth: 12.9,
				consent: &wire.ConsentPolicy{CallMs: 410, WorkerMs: 5.9, ValidMs: 2000}, granted: 0.3,
			},
			{
				name: "batch", priority: 2, perSecond: 5.44, steps: 1.5, tasks: 10, cores: 2, memoryMB: 3700, runs: 2700 * time.Millisecond, stretch: 4,
				allowance: 3 * time.Second, attempts: 4, checkpoints: 0.8, worth: 2.67,
				consent: &wire.ConsentPolicy{CallMs: 66, WorkerMs: 0.94, ValidMs: 2000}, granted: 0.45,
			},
			{
				name: "short", priority: 0, perSecond: 48.2, steps: 1, tasks: 2, cores: 2.8, memoryMB: 2800, runs: 640 * time.Millisecond, stretch: 1.5,
				allowance: 250 * time.Millisecond, attempts: 3, gangs: 0.3, worth: 0.422,
				consent: &wire.ConsentPolicy{CallMs: 7.4, WorkerMs: 0.11, ValidMs: 2000}, granted: 0.7,
			},
		},
		bursts: []burst{
			{kind: "short", at: 5 * time.Second, until: 9 * time.Second, factor: 2.2},
			{kind: "gangs", at: 19 * time.Second, until: 23 * time.Second, factor: 1.9},
		},
	}
}

// grownLoad is nine tenths of the room of 350 workers.
func grownLoad() load {
	l := standardLoad()
	l.workers, l.helpers = 350, 43
	l.kinds[0].perSecond, l.kinds[0].tasks, l.kinds[0].worth = 5.96, 20, 10.4
	l.kinds[0].consent = &wire.ConsentPolicy{CallMs: 442, WorkerMs: 6.37, ValidMs: 2000}
	l.kinds[1].perSecond, l.kinds[1].tasks, l.kinds[1].cores, l.kinds[1].worth = 9.86, 25, 3.5, 3.94
	l.kinds[1].consent = &wire.ConsentPolicy{CallMs: 130, WorkerMs: 1.82, ValidMs: 2000}
	l.kinds[2].perSecond, l.kinds[2].tasks, l.kinds[2].cores, l.kinds[2].worth = 138, 3.2, 5, 0.395
	l.kinds[2].consent = &wire.ConsentPolicy{CallMs: 9.36, WorkerMs: 0.13, ValidMs: 2000}
	return l
}

// troubledLoad is the load of many workers while an eighth of them are lost and another leader takes over, with an outside
// service that takes longer and whose tickets end sooner.
func troubledLoad() load {
	l := grownLoad()
	l.helpers = 45
	l.kinds[0].perSecond, l.kinds[0].runs = 5, 5*time.Second
	l.kinds[0].consent = &wire.ConsentPolicy{CallMs: 559, WorkerMs: 8.06, ValidMs: 1500}
	l.kinds[1].consent.ValidMs, l.kinds[2].consent.ValidMs = 1500, 1500
	l.losses = []loss{{at: 8 * time.Second, until: 14 * time.Second, share: 0.12}}
	l.handover = 6 * time.Second
	return l
}

// sharesOfSizes returns the share of the jobs of a kind that were served within three objectives, of all and of the largest
// tenth by their work.
func (r *replay) sharesOfSizes(kind int) (all, largest float64) {
	var jobs []*replayJob
	for _, j := range r.jobs {
		if j.kind == kind {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *replayJob) int { return cmp.Compare(b.work, a.work) })
	share := func(jobs []*replayJob) float64 {
		count := 0
		for _, j := range jobs {
			if j.done && j.took <= lateFactor*j.objective {
				count++
			}
		}
		return float64(count) / float64(max(1, len(jobs)))
	}
	return share(jobs), share(jobs[:(len(jobs)+9)/10])
}

// TestReplay replays the worst loads that the policy answers. It guards against a kind of job, or the largest jobs of a
// kind, that starve behind others, and against work that waits beside idle workers: the users ask that each kind is served by half at least, and the largest tenth of a kind
// at least half as often as the kind.
func TestReplay(t *testing.T) {
	const leastShare, leastOfLargest = 0.5, 0.5
	// mostIdle is how long a job may wait for its start beside idle workers that could run it.
	const mostIdle = 3 * time.Second
	lost := standardLoad()
	lost.losses = []loss{{at: 10 * time.Second, until: 30 * time.Second, share: 0.2}}
	handover := standardLoad()
	handover.handover = 12 * time.Second
	tests := []struct {
		name string
		load load
	}{
		{"bursts on four fifths of the room", standardLoad()},
		{"a fifth of the workers vanish", lost},
		{"another leader takes over", handover},
		{"bursts on nine tenths of the room of many workers", grownLoad()},
		{"many workers, of which some vanish, and another leader", troubledLoad()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			replays := runReplays(test.load, replaySeeds)
			for i, k := range test.load.kinds {
				var s served
				var all, largest float64
				for _, r := range replays {
					s.add(r.served[i])
					allOfSeed, largestOfSeed := r.sharesOfSizes(i)
					all, largest = all+allOfSeed/replaySeeds, largest+largestOfSeed/replaySeeds
				}
				t.Logf("%s: worth %.3f of %d jobs, %d in time, %d late, %d turned away; served %.3f, the largest tenth %.3f",
					k.name, s.share(), s.jobs, s.inTime, s.late, s.turnedAway, all, largest)
				require.GreaterOrEqual(t, s.share(), leastShare, k.name)
				require.GreaterOrEqual(t, largest, leastOfLargest*all, k.name)
			}
			for _, r := range replays {
				t.Logf("longest wait beside idle workers: %v", r.longestIdle)
				require.Less(t, r.longestIdle, mostIdle)
			}
		})
	}
}

// replaySeeds is how many replays of a load are taken together. The order in which a round looks at equal workers is not
// fixed, and the largest tenth of one replay is some 30 jobs: its share alone varies by a tenth.
const replaySeeds = 3

// runReplays plays a load with several seeds beside each other.
func runReplays(l load, seeds int) []*replay {
	replays := make([]*replay, seeds)
	var done sync.WaitGroup
	for i := range replays {
		replays[i] = newReplay(l, uint64(i+1))
		done.Go(func() { replays[i].run() })
	}
	done.Wait()
	return replays
}

func (s *served) add(other served) {
	s.owed, s.earned, s.jobs, s.inTime = s.owed+other.owed, s.earned+other.earned, s.jobs+other.jobs, s.inTime+other.inTime
	s.late, s.unserved, s.turnedAway = s.late+other.late, s.unserved+other.unserved, s.turnedAway+other.turnedAway
}
