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

// Timing of a replay: that of a cell of five voters.
const (
	replayTick         = 5 * time.Millisecond
	commitDelay        = 20 * time.Millisecond
	orderDelay         = 5 * time.Millisecond
	reportInterval     = 1500 * time.Millisecond
	checkpointInterval = 500 * time.Millisecond
	gangStartTimeout   = 3 * time.Second
	// settleTime is how long a replay continues after the last arrival.
	settleTime = 14 * time.Second
)

// jobKind describes one kind of jobs of a load.
type jobKind struct {
	name     string
	priority uint32
	// perSecond is the mean arrival rate.
	perSecond float64
	steps     float64
	tasks     float64
	cores     float64
	// memoryMB is the memory per core.
	memoryMB  float64
	runTime   time.Duration
	stretch   float64
	allowance time.Duration
	attempts  uint32
	// gangShare and checkpointShare are shares of the jobs.
	gangShare, checkpointShare float64
	value                      float64
	consent                    *wire.ConsentPolicy
	// grantedShare is the share of the workers that may run a step.
	grantedShare float64
}

// burst multiplies the arrival rate of a kind for some time.
type burst struct {
	kind        string
	from, until time.Duration
	factor      float64
}

// loss makes a share of the workers unreachable without notice; they come back as new incarnations.
type loss struct {
	from, until time.Duration
	share       float64
}

// crashes adds jobs of which one task crashes each worker that starts it: share says how many there are for each job of
// the kind.
type crashes struct {
	kind        string
	from, until time.Duration
	share       float64
}

// restarts makes perSecond workers a second crash, each whatever it runs.
type restarts struct {
	from, until time.Duration
	perSecond   float64
}

// hotWorkspace multiplies the load of one workspace for some time. Its share is that of the usual load, and kind is the
// only kind of jobs of which it sends more; empty means all.
type hotWorkspace struct {
	name        string
	share       float64
	kind        string
	from, until time.Duration
	factor      float64
}

// lateStarts delays the execution of start orders for some time.
type lateStarts struct {
	from, until, delay time.Duration
}

// load describes the workers and the jobs of a replay.
type load struct {
	workers int
	helpers int
	kinds   []jobKind
	bursts  []burst
	losses  []loss
	crashes crashes
	// restarts makes workers crash for other reasons than their tasks.
	restarts restarts
	// handover is when another leader takes over; 0 means never.
	handover time.Duration
	length   time.Duration
	// learn makes the Scheduler use the run times that it learns.
	learn bool
	// declaredError is the log deviation of the declared from the actual lengths; 0 means 0.2 without outliers.
	declaredError float64
	// slowRuns is the share of the runs that take slowRunFactor times as long. The objectives do not allow for it.
	slowRuns float64
	// speeds are those of the workers, in turn; nil means the usual ones.
	speeds []float64
	// workspaces submit the jobs, each its share of them.
	workspaces      []*wire.Workspace
	workspaceShares []float64
	hot             hotWorkspace
	// lateStarts makes start orders arrive late.
	lateStarts lateStarts
	// retries is how often clients submit a refused job again.
	retries int
	// slowdown makes a share of the workers slower for some time.
	slowdown slowdown
}

// slowdown divides the speed of a share of the workers. It affects the runs that start while it lasts.
type slowdown struct {
	from, until time.Duration
	share       float64
	factor      float64
}

const slowRunFactor = 7

// kindResult is the result of a kind. Its value share counts jobs that met their objective in full and jobs that took
// up to three times their objective at a fifth.
type kindResult struct {
	possibleValue, earnedValue float64
	jobs, inTime               int
	late, tooLate              int
	rejected                   int
}

func (s kindResult) valueShare() float64 { return s.earnedValue / max(s.possibleValue, 1e-9) }

// standardLoad uses four fifths of the capacity of 48 workers, with a burst of short jobs and one of gangs.
func standardLoad() load {
	return load{
		workers: 48, helpers: 13, length: 34 * time.Second,
		kinds: []jobKind{
			{
				name: "gangs", priority: 1, perSecond: 1.8, steps: 1.2, tasks: 8, cores: 9, memoryMB: 2900,
				runTime: 4 * time.Second, stretch: 2.2, allowance: time.Second, attempts: 2, gangShare: 1, checkpointShare: 0.5,
				value:   12.9,
				consent: &wire.ConsentPolicy{CallMs: 410, WorkerMs: 5.9, ValidMs: 2000}, grantedShare: 0.3,
			},
			{
				name: "batch", priority: 2, perSecond: 5.44, steps: 1.5, tasks: 10, cores: 2, memoryMB: 3700,
				runTime: 2700 * time.Millisecond, stretch: 4, allowance: 3 * time.Second, attempts: 4, checkpointShare: 0.8,
				value:   2.67,
				consent: &wire.ConsentPolicy{CallMs: 66, WorkerMs: 0.94, ValidMs: 2000}, grantedShare: 0.45,
			},
			{
				name: "short", priority: 0, perSecond: 48.2, steps: 1, tasks: 2, cores: 2.8, memoryMB: 2800,
				runTime: 640 * time.Millisecond, stretch: 1.5, allowance: 250 * time.Millisecond, attempts: 3, gangShare: 0.3,
				value:   0.422,
				consent: &wire.ConsentPolicy{CallMs: 7.4, WorkerMs: 0.11, ValidMs: 2000}, grantedShare: 0.7,
			},
		},
		bursts: []burst{
			{kind: "short", from: 5 * time.Second, until: 9 * time.Second, factor: 2.2},
			{kind: "gangs", from: 19 * time.Second, until: 23 * time.Second, factor: 1.9},
		},
	}
}

// largeLoad uses nine tenths of the capacity of 350 workers.
func largeLoad() load {
	l := standardLoad()
	l.workers, l.helpers = 350, 43
	l.kinds[0].perSecond, l.kinds[0].tasks, l.kinds[0].value = 5.96, 20, 10.4
	l.kinds[0].consent = &wire.ConsentPolicy{CallMs: 442, WorkerMs: 6.37, ValidMs: 2000}
	l.kinds[1].perSecond, l.kinds[1].tasks, l.kinds[1].cores, l.kinds[1].value = 9.86, 25, 3.5, 3.94
	l.kinds[1].consent = &wire.ConsentPolicy{CallMs: 130, WorkerMs: 1.82, ValidMs: 2000}
	l.kinds[2].perSecond, l.kinds[2].tasks, l.kinds[2].cores, l.kinds[2].value = 138, 3.2, 5, 0.395
	l.kinds[2].consent = &wire.ConsentPolicy{CallMs: 9.36, WorkerMs: 0.13, ValidMs: 2000}
	return l
}

// lossAndHandoverLoad is a load on 350 workers of which an eighth are lost while another leader takes over, with a
// slower consent service and tickets that expire sooner.
func lossAndHandoverLoad() load {
	l := largeLoad()
	l.helpers = 45
	l.kinds[0].perSecond, l.kinds[0].runTime = 5, 5*time.Second
	l.kinds[0].consent = &wire.ConsentPolicy{CallMs: 559, WorkerMs: 8.06, ValidMs: 1500}
	l.kinds[1].consent.ValidMs, l.kinds[2].consent.ValidMs = 1500, 1500
	l.losses = []loss{{from: 8 * time.Second, until: 14 * time.Second, share: 0.12}}
	l.handover = 6 * time.Second
	return l
}

// fleetLoad uses nine tenths of the capacity of 540 workers, of whose processors gangs ask for about half. A burst of
// short jobs and one of gangs ask for more than there is.
func fleetLoad() load {
	return load{
		workers: 540, helpers: 102, length: 34 * time.Second,
		kinds: []jobKind{
			{
				name: "gangs", priority: 1, perSecond: 9.15, steps: 1.2, tasks: 20, cores: 9, memoryMB: 2900,
				runTime: 4 * time.Second, stretch: 2.2, allowance: time.Second, attempts: 2, gangShare: 1, checkpointShare: 0.5,
				value:   6.83,
				consent: &wire.ConsentPolicy{CallMs: 507, WorkerMs: 7.28, ValidMs: 2000}, grantedShare: 0.3,
			},
			{
				name: "batch", priority: 2, perSecond: 12.2, steps: 1.5, tasks: 19, cores: 5.5, memoryMB: 3640,
				runTime: 2700 * time.Millisecond, stretch: 4, allowance: 3 * time.Second, attempts: 4, checkpointShare: 0.8,
				value:   3.19,
				consent: &wire.ConsentPolicy{CallMs: 182, WorkerMs: 2.6, ValidMs: 2000}, grantedShare: 0.45,
			},
			{
				name: "short", priority: 0, perSecond: 135, steps: 1, tasks: 3.1, cores: 7.9, memoryMB: 2900,
				runTime: 640 * time.Millisecond, stretch: 1.5, allowance: 250 * time.Millisecond, attempts: 3, gangShare: 0.3,
				value:   0.404,
				consent: &wire.ConsentPolicy{CallMs: 16.9, WorkerMs: 0.234, ValidMs: 2000}, grantedShare: 0.7,
			},
		},
		bursts: []burst{
			{kind: "short", from: 9 * time.Second, until: 13 * time.Second, factor: 2},
			{kind: "gangs", from: 19 * time.Second, until: 23 * time.Second, factor: 1.8},
		},
	}
}

// servedShares returns the share of a kind's jobs that were completed within three times their objective: of all jobs,
// and of the largest tenth by work.
func (r *replay) servedShares(kind int) (all, largest float64) {
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
			if j.done && j.took <= overdueFactor*j.objective {
				count++
			}
		}
		return float64(count) / float64(max(1, len(jobs)))
	}
	return share(jobs), share(jobs[:(len(jobs)+9)/10])
}

// TestReplay replays the most demanding loads that the policy supports. It guards against starving one kind of jobs, or
// the largest jobs of a kind, and against jobs that wait while suitable workers are idle. The users require that at
// least half of each kind's value is served, and that the largest tenth of a kind is served at least half as often as
// the whole kind.
func TestReplay(t *testing.T) {
	const minValueShare, minLargestShare = 0.5, 0.5
	lost := standardLoad()
	lost.losses = []loss{{from: 10 * time.Second, until: 30 * time.Second, share: 0.2}}
	handover := standardLoad()
	handover.handover = 12 * time.Second
	tests := []struct {
		name  string
		load  load
		seeds int
	}{
		{"bursts at four fifths of the capacity", standardLoad(), replaySeeds},
		{"a fifth of the workers are lost", lost, replaySeeds},
		{"another leader takes over", handover, replaySeeds},
		{"bursts at nine tenths of the capacity of many workers", largeLoad(), replaySeeds},
		{"many workers, of which some are lost, and another leader", lossAndHandoverLoad(), replaySeeds},
		// Its largest tenth of one seed is as many jobs as those of the others.
		{"bursts at nine tenths of the capacity of a large fleet", fleetLoad(), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			replays := runReplays(test.load, test.seeds)
			for i, k := range test.load.kinds {
				var s kindResult
				var all, largest float64
				for _, r := range replays {
					s.add(r.results[i])
					allOfSeed, largestOfSeed := r.servedShares(i)
					all, largest = all+allOfSeed/float64(test.seeds), largest+largestOfSeed/float64(test.seeds)
				}
				t.Logf("%s: value share %.3f of %d jobs, %d in time, %d late, %d rejected; completed %.3f, the largest tenth %.3f",
					k.name, s.valueShare(), s.jobs, s.inTime, s.late, s.rejected, all, largest)
				require.GreaterOrEqual(t, s.valueShare(), minValueShare, k.name)
				require.GreaterOrEqual(t, largest, minLargestShare*all, k.name)
			}
			for _, r := range replays {
				t.Logf("longest wait while workers were idle: %v", r.longestIdleWait)
				require.Less(t, r.longestIdleWait, maxIdleWait)
			}
		})
	}
}

// maxIdleWait is the maximum time that a job may wait for its start while suitable workers are idle.
const maxIdleWait = 3 * time.Second

// replaySeeds is the number of replays of a load whose results are averaged. The order in which a round considers equal
// workers is not fixed, and the largest tenth of one replay is about 30 jobs, so that its share alone varies by a
// tenth.
const replaySeeds = 3

// runReplays replays a load concurrently with several seeds.
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

func (s *kindResult) add(other kindResult) {
	s.possibleValue, s.earnedValue, s.jobs, s.inTime = s.possibleValue+other.possibleValue,
		s.earnedValue+other.earnedValue, s.jobs+other.jobs, s.inTime+other.inTime
	s.late, s.tooLate, s.rejected = s.late+other.late, s.tooLate+other.tooLate, s.rejected+other.rejected
}
