package explainer

import "flamingodrift.example/core/reason"

// waitSentences maps each reason for waiting to a sentence that says what it means and what ends the wait.
var waitSentences = map[reason.Reason]string{
	reason.NoCapacity:           "No worker has enough free processors, memory and accelerators; it starts when tasks end or workers join.",
	reason.QuotaReached:         "Its team or workspace has reached its quota; it starts when other tasks of it end or the quota is raised.",
	reason.ExceedsLargestWorker: "It asks for more than any worker has, so it can never run; ask for less or add a larger worker.",
	reason.ExceedsQuota:         "It asks for more than its team's whole quota, so it can never run; ask for less or raise the quota.",
	reason.ExceedsCell:          "Its tasks together ask for more than all workers have, so they can never run at once; ask for less or add workers.",
	reason.WaitsForAll:          "All its tasks start at once, and there is no room for all of them yet; they start when tasks end or workers join.",
	reason.BehindOthers:         "Work that is ahead of it takes the free room; it starts when that work has started or ended.",
	reason.BehindReservation:    "The free room is reserved for a larger job that has waited longer; it starts after that job.",
	reason.SpreadUnsatisfied:    "Its tasks must be spread, and no worker with free room satisfies that; it starts when room is free in another rack or failure domain.",
	reason.JobHeld:              "Its tasks failed on several workers, so it is held; it starts again when its row has another command, size or kind.",
	reason.StopInProgress:       "Its earlier tasks are still stopping; it starts when they have ended.",
	reason.LeaseNotOver:         "Its earlier worker is silent and may still run it; it starts when that worker's lease has run out.",
	reason.NoWorkers:            "No worker is available; it starts when a worker joins or a drain ends.",
	reason.NoMatchingWorker:     "No worker may run it; it starts when one joins that may, and can be cancelled until then.",
	reason.NotYetDecided:        "The next round of decisions has not looked at it yet.",
	reason.RecoveryRateLimited:  "Many tasks are placed again after a failure, at a bounded rate; it starts at its turn.",
	reason.WaitsForStep:         "An earlier step of its job is not done; it starts when that step has ended.",
	reason.WaitsForIsolation:    "Workers were lost just after they began it, so it starts apart from other work; it starts when such a worker is free.",
	reason.WaitsToRetry:         "Its tasks have failed on the workers that are left for it; it starts there again after a delay, or earlier on another.",
	reason.WaitsForConsent:      "The service that decides which workers may run it has not allowed enough of them yet; more are asked for.",
}

// stopExplanations maps each reason for stopping a running task to a clause that gives the cause and the consequence.
var stopExplanations = map[reason.Reason]string{
	reason.RemovedFromSheet: "its row left the sheet or lists fewer tasks, so it is not placed again",
	reason.Cancelled:        "an operator cancelled the job, so it is not placed again",
	reason.WorkerDraining:   "an operator drains its worker, so it is placed on another one",
	reason.Preempted:        "urgent work needs its room, so it waits and is placed again",
	reason.OverMemory:       "it uses more memory than its row declares, so it is placed again with more",
	reason.SpecChanged:      "its row changed, so it is placed again as the new row says",
	reason.WaitsForAll:      "another task of its all-at-once job ended without success, so all its tasks start again together",
}

// neverRuns reports whether a job that waits for reason r can run only after an operator has changed something.
func neverRuns(r reason.Reason) bool {
	switch r {
	case reason.ExceedsLargestWorker, reason.ExceedsQuota, reason.ExceedsCell:
		return true
	default:
		return false
	}
}
