package planner

import "time"

// profile holds the parameters that differ between cells, or that decide how much is given up for what.
type profile struct {
	// packed is true when a task goes to the worker with the least room left, false when to the one with the most.
	packed bool
	// reserveAfter is how long an all-at-once job waits before room is reserved for it.
	reserveAfter time.Duration
	// backfillMax is the longest declared run that may use reserved room.
	backfillMax time.Duration
	// reclaimAfter is the age of a reservation from which low-urgency batch tasks older than it are stopped for it.
	reclaimAfter time.Duration
	// fairAfter is how long a team below its fair share waits before low-urgency batch tasks of teams above theirs stop.
	fairAfter time.Duration
}

// profiles maps Config.profile to its parameters. Unknown names get those of "waiting".
var profiles = map[string]profile{
	"waiting": {
		packed: false, reserveAfter: 30 * time.Second, backfillMax: 5 * time.Minute,
		reclaimAfter: 5 * time.Minute, fairAfter: 30 * time.Second,
	},
	"packing": {
		packed: true, reserveAfter: time.Minute, backfillMax: 10 * time.Minute,
		reclaimAfter: 10 * time.Minute, fairAfter: 2 * time.Minute,
	},
}

func profileOf(name string) profile {
	if p, ok := profiles[name]; ok {
		return p
	}
	return profiles["waiting"]
}

const (
	// maxPlacements bounds one round, so that one log entry stays small and a round takes milliseconds.
	maxPlacements = 300
	// roundInterval bounds the processor time of rounds: at 10,000 waiting jobs one round costs milliseconds.
	roundInterval = 100 * time.Millisecond
	// wakeInterval is how often a round runs without a change in the cell, for decisions that depend on time alone.
	wakeInterval = time.Second
	// maxPreemptions limits the lost work of one task: after so many preemptions it is not stopped for others again.
	maxPreemptions = 3
	// maxRoundStops bounds how many tasks one round preempts.
	maxRoundStops = 200
	// stopTimeout is how long room is expected from a task that was asked to stop; a checkpoint and two polls fit in.
	stopTimeout = 2 * time.Second
	// recoveryRate and recoveryBurst bound the placements per second of tasks whose worker was lost, so that the loss of a
	// failure domain does not start hundreds of tasks in one instant.
	recoveryRate  = 100.0
	recoveryBurst = 100.0
	// drainStops is how many tasks of one draining worker may be stopping at a time.
	drainStops = 2
	// heldPercent is the largest share of workers that are held at a time.
	heldPercent = 10
	// probeDelay is how long a worker is held the first time; each hold without a success in between doubles it.
	probeDelay    = 30 * time.Second
	probeDelayMax = time.Hour
	// probationMax ends a probation during which nothing failed.
	probationMax = 10 * time.Minute
	// overMemoryGrace is how long a throttled run may stay above its memory before it is stopped. Usage reports lag.
	overMemoryGrace = 5 * time.Second
	// learnedSlackPercent is added to a learned peak, and learnedMaxFactor limits it to a multiple of the declared size, so
	// that one wrong report cannot make a job too large for every worker.
	learnedSlackPercent = 10
	learnedMaxFactor    = 4
	maxLearnedClasses   = 10_000
)
