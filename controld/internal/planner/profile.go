package planner

import "time"

// profile holds the parameters that trade waiting time against utilization and lost work. A cell selects one by name.
type profile struct {
	// binPack places a task on the worker that has the least capacity left afterwards, instead of the most.
	binPack bool
	// reserveAfter is how long an all-at-once job waits before capacity is reserved for it.
	reserveAfter time.Duration
	// maxBackfillRun is the longest declared run that may use reserved capacity.
	maxBackfillRun time.Duration
	// reclaimAfter is the age of a reservation from which low-urgency batch tasks that were placed before it may be
	// stopped for it.
	reclaimAfter time.Duration
	// fairnessAfter is how long a job of a team below its fair share waits before low-urgency batch tasks of teams
	// above theirs are stopped.
	fairnessAfter time.Duration
}

// profiles maps the profile of the cell's configuration to its parameters.
var profiles = map[string]profile{
	"waiting": {
		binPack: false, reserveAfter: 30 * time.Second, maxBackfillRun: 5 * time.Minute,
		reclaimAfter: 5 * time.Minute, fairnessAfter: 30 * time.Second,
	},
	"packing": {
		binPack: true, reserveAfter: time.Minute, maxBackfillRun: 10 * time.Minute,
		reclaimAfter: 10 * time.Minute, fairnessAfter: 2 * time.Minute,
	},
}

// profileOf returns the profile of a name, or "waiting" for an unknown name.
func profileOf(name string) profile {
	if p, ok := profiles[name]; ok {
		return p
	}
	return profiles["waiting"]
}

const (
	// maxPlacements bounds the placements of one round, so that its log entry stays small and it takes milliseconds.
	// Only an all-at-once job with more tasks, as the first of its round, may exceed it.
	maxPlacements = 300
	// minRoundInterval bounds the processor time of rounds: with 10,000 waiting jobs a round takes milliseconds.
	minRoundInterval = 100 * time.Millisecond
	// timedRoundInterval is how often a round runs without a change of the cell, for decisions that depend on time
	// alone.
	timedRoundInterval = time.Second
	// maxPreemptions is the number of preemptions after which a task is not stopped for others any more, which bounds
	// the work that it loses. Backfilled tasks are an exception.
	maxPreemptions = 3
	// maxRoundStops bounds the preempted tasks of one round.
	maxRoundStops = 200
	// stopTimeout is how long urgent tasks wait for a stopping task to free its capacity; it covers a checkpoint and
	// two polls.
	stopTimeout = 2 * time.Second
	// recoveryPerSecond and recoveryBurst limit the placements of tasks whose worker was lost, so that the loss of a
	// failure domain does not start hundreds of tasks at once.
	recoveryPerSecond = 100.0
	recoveryBurst     = 100.0
	// maxDrainStops is how many tasks of a draining worker may be stopping at a time.
	maxDrainStops = 2
	// maxHeldPercent is the largest share of the workers that may be held at a time.
	maxHeldPercent = 10
	// firstHold is how long a worker is held the first time. Each further hold without a success in between doubles the
	// duration, up to maxHold.
	firstHold = 30 * time.Second
	maxHold   = time.Hour
	// maxProbation is how long a probation without a failure lasts.
	maxProbation = 10 * time.Minute
	// overMemoryGrace is how long a throttled run may stay above its memory before it is stopped; usage reports lag
	// behind.
	overMemoryGrace = 5 * time.Second
	// peakMarginPercent is added to an observed peak. maxPeakFactor limits the sum to a multiple of the declared
	// memory, so that one wrong report cannot make a job too large for every worker.
	peakMarginPercent = 10
	maxPeakFactor     = 4
	// maxRunClasses bounds the classes of which the peak is stored.
	maxRunClasses = 10_000
)
